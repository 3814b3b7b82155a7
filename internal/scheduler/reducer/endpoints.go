package reducer

import (
	"woaddyke/dispatch"
	"woaddyke/internal/base/stats"
	"woaddyke/internal/config"
	"woaddyke/internal/workers/outcome"
)

const (
	// maxMachineKinds bounds the kinds that are distinguished; the dispatcher keeps samples of each.
	maxMachineKinds = 256
	// minForgettableWorkers is the number of known workers up to which those that have left are not
	// looked for.
	minForgettableWorkers = 1024
)

// worker is a worker by the index that the dispatcher knows it by.
type worker struct {
	name, addr    string
	group         Group
	listed, ready bool
	vacant        bool // its index is free
}

// updateEndpoints takes up an endpoint list. An attempt that is not written yet must not be written to a
// worker that is draining: a dial may outlast the drain's grace.
func (r *Reducer) updateEndpoints(in EndpointsChanged) (todo []Effect) {
	if in.Snapshot {
		r.dispatcher.BeginSnapshot()
		for i := range r.workers {
			r.workers[i].listed, r.workers[i].ready = false, false
		}
	}
	for _, e := range in.Endpoints {
		r.updateEndpoint(e)
	}
	r.dispatcher.EndUpdate()
	r.forgetWorkers()
	for i := range r.ops {
		if o := &r.ops[i]; o.inFlight && !r.workers[o.worker].ready {
			cancel := CancelAttempt{Op: o.number, OnlyIfUnsent: true, Ending: outcome.CancelledUnsent}
			todo = append(todo, cancel)
		}
	}
	return todo
}

func (r *Reducer) updateEndpoint(e Endpoint) {
	i, ok := r.workersByName[e.Worker]
	if !ok {
		i = r.addWorker(e.Worker)
	}
	w := &r.workers[i]
	w.group = Group{e.Zone, e.WorkerGroup}
	w.addr, w.listed, w.ready = e.Addr, !e.Removed, e.Ready && e.Addr != ""
	r.dispatcher.UpsertWorker(i, dispatch.WorkerEntry{
		Zone:         numberOf(r.zones, e.Zone),
		Group:        e.WorkerGroup,
		Ready:        w.ready,
		StartedAt:    e.StartedAt,
		IdentityHash: config.IdentityHash(e.Worker),
		MachineKind:  r.machineKind(e.MachineKind),
	})
}

// machineKind is the number of a kind of machine. Kinds that are not distinguished share their samples.
func (r *Reducer) machineKind(name string) int {
	_, known := r.kinds[name]
	if !r.distinguishesKinds || !known && len(r.kinds) >= maxMachineKinds {
		name = ""
	}
	return numberOf(r.kinds, name)
}

// numberOf numbers names in the order in which they are first seen.
func numberOf(numbers map[string]int, name string) int {
	n, ok := numbers[name]
	if !ok {
		n = len(numbers)
		numbers[name] = n
	}
	return n
}

// addWorker gives a new worker its index.
func (r *Reducer) addWorker(name string) (i int) {
	if n := len(r.freeWorkers); n > 0 {
		i, r.freeWorkers = r.freeWorkers[n-1], r.freeWorkers[:n-1]
		r.workers[i] = worker{name: name}
	} else {
		i = len(r.workers)
		r.workers = append(r.workers, worker{name: name})
	}
	r.workersByName[name] = i
	r.workersByTag[config.WorkerTag(name)] = i
	return i
}

// forgetWorkers frees the indices of workers that have left the list, once many are known. One that comes
// back later is new. A worker that an attempt, a probe or an op refers to keeps its index until the next
// time.
func (r *Reducer) forgetWorkers() {
	if len(r.workersByName) <= max(r.forgetWorkersAt, minForgettableWorkers) {
		return
	}
	inUse := r.dispatcher.WorkersInUse()
	for _, p := range r.probes {
		inUse[p.worker] = true
	}
	for i := range r.workers {
		if w := &r.workers[i]; !w.vacant && !w.listed && !inUse[i] {
			r.forgetWorker(i)
		}
	}
	r.forgetWorkersAt = 2*len(r.workersByName) + minForgettableWorkers
}

func (r *Reducer) forgetWorker(i int) {
	name := r.workers[i].name
	delete(r.workersByName, name)
	if tag := config.WorkerTag(name); r.workersByTag[tag] == i {
		delete(r.workersByTag, tag)
	}
	r.dispatcher.ForgetWorker(i)
	r.workers[i] = worker{vacant: true}
	r.freeWorkers = append(r.freeWorkers, i)
}

// WorkerCounts returns how many workers are in the list, and how many of them are avoided: not ready, or
// suspected.
func (r *Reducer) WorkerCounts(now dispatch.Time) (known, avoided int) {
	for i := range r.workers {
		w := &r.workers[i]
		if w.listed {
			known++
			avoided += stats.Bit(!w.ready || r.dispatcher.Suspected(i, now))
		}
	}
	return known, avoided
}
