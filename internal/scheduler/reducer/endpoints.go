package reducer

import (
	"woaddyke/dispatch"
	"woaddyke/internal/base/stats"
	"woaddyke/internal/config"
	"woaddyke/internal/workers/outcome"
)

const (
	// maxMachineKinds bounds the machine kinds that are distinguished; the dispatcher keeps samples of each.
	maxMachineKinds = 256
	// Up to minRetainedWorkers known workers, none is forgotten after it leaves the list.
	minRetainedWorkers = 1024
)

// worker is a worker from an endpoint list. Its index in Reducer.workers is the dispatcher's index for it.
type worker struct {
	name, addr    string
	group         Group
	listed, ready bool
	free          bool // the index belongs to no worker
}

// updateEndpoints applies an endpoint list. It cancels unsent attempts to workers that are draining, because
// a dial may outlast the drain grace.
func (r *Reducer) updateEndpoints(in EndpointsChanged) (effects []Effect) {
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
			effects = append(effects, cancel)
		}
	}
	return effects
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
		MachineKind:  r.machineKindNumber(e.MachineKind),
	})
}

// machineKindNumber returns the number of a machine kind. Kinds that are not distinguished get the same
// number and share their samples.
func (r *Reducer) machineKindNumber(name string) int {
	_, known := r.machineKinds[name]
	if !r.distinguishesMachineKinds || !known && len(r.machineKinds) >= maxMachineKinds {
		name = ""
	}
	return numberOf(r.machineKinds, name)
}

// numberOf returns the number of a name. Names are numbered in the order in which they are first seen.
func numberOf(numbers map[string]int, name string) int {
	n, ok := numbers[name]
	if !ok {
		n = len(numbers)
		numbers[name] = n
	}
	return n
}

// addWorker assigns an index to a new worker.
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

// forgetWorkers frees the indices of workers that have left the list, once many workers are known. A worker
// that returns later is treated as new. A worker that an attempt, a probe or an op refers to keeps its index
// until a later call.
func (r *Reducer) forgetWorkers() {
	if len(r.workersByName) <= max(r.forgetWorkersAbove, minRetainedWorkers) {
		return
	}
	inUse := r.dispatcher.WorkersInUse()
	for _, p := range r.probes {
		inUse[p.worker] = true
	}
	for i := range r.workers {
		if w := &r.workers[i]; !w.free && !w.listed && !inUse[i] {
			r.forgetWorker(i)
		}
	}
	r.forgetWorkersAbove = 2*len(r.workersByName) + minRetainedWorkers
}

func (r *Reducer) forgetWorker(i int) {
	name := r.workers[i].name
	delete(r.workersByName, name)
	if tag := config.WorkerTag(name); r.workersByTag[tag] == i {
		delete(r.workersByTag, tag)
	}
	r.dispatcher.ForgetWorker(i)
	r.workers[i] = worker{free: true}
	r.freeWorkers = append(r.freeWorkers, i)
}

// WorkerCounts returns how many workers are in the list, and how many of them are avoided: not ready, or
// suspected.
func (r *Reducer) WorkerCounts(now dispatch.Time) (listed, avoided int) {
	for i := range r.workers {
		w := &r.workers[i]
		if w.listed {
			listed++
			avoided += stats.BoolToInt(!w.ready || r.dispatcher.Suspected(i, now))
		}
	}
	return listed, avoided
}
