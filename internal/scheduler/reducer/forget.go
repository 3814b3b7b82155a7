package reducer

import "woaddyke/internal/config"

// index gives a worker that is new its index.
func (r *Reducer) index(name string) (i int) {
	if n := len(r.vacant); n > 0 {
		i, r.vacant = r.vacant[n-1], r.vacant[:n-1]
		r.workers[i] = worker{name: name}
	} else {
		i = len(r.workers)
		r.workers = append(r.workers, worker{name: name})
	}
	r.indices[name] = i
	r.tags[config.WorkerTag(name)] = i
	return i
}

// forgetWorkers lets go of workers that have left the list, once there are many of them. One that comes back later is new. A worker whose
// push or probe is out, or that an op remembers, keeps its index until the next look.
func (r *Reducer) forgetWorkers() {
	if len(r.indices) <= max(r.forgetAt, mostGone) {
		return
	}
	inUse := r.d.WorkersInUse()
	for _, p := range r.probes {
		inUse[p.worker] = true
	}
	for i := range r.workers {
		if w := &r.workers[i]; !w.vacant && !w.listed && !inUse[i] {
			r.forgetWorker(i)
		}
	}
	r.forgetAt = 2*len(r.indices) + mostGone
}

func (r *Reducer) forgetWorker(i int) {
	name := r.workers[i].name
	delete(r.indices, name)
	if tag := config.WorkerTag(name); r.tags[tag] == i {
		delete(r.tags, tag)
	}
	r.d.ForgetWorker(i)
	r.workers[i] = worker{vacant: true}
	r.vacant = append(r.vacant, i)
}
