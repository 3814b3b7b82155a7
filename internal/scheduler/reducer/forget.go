package reducer

import "woaddyke/internal/config"

// addWorker gives a worker that is new its index.
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

// forgetWorkers lets go of workers that have left the list, once there are many of them. One that comes back later is new. A worker whose
// push or probe is out, or that an op remembers, keeps its index until the next look.
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
