package dispatch

import (
	"slices"

	"woaddyke/internal/base/sprt"
	"woaddyke/internal/base/stats"
	"woaddyke/internal/cluster/peerload"
)

// worker is the state of a worker's current process.
type worker struct {
	known, listed, ready bool
	zone, group          int
	kind                 int    // machine kind, an index into workerTable.kinds
	identityHash         uint64 // hash of its name, the same at every scheduler
	startedAt            Time   // 0 if it started long ago

	readings          []reading     // the most recent, newest last
	queueSamples      []queueSample // the most recent
	serviceTimeRatios stats.Recent  // recent ratios of actual to expected service time
	health            sprt.Test[Time]
	lastHeardAt       Time // when it last reported on any attempt

	inFlight    []*op                  // this scheduler's ops in flight at this worker
	peerReports peerload.Reports[Time] // other schedulers' attempts in flight at this worker
	subscribers []int                  // schedulers that are sent peer reports about this worker, ascending
}

// reading is a load report and the time at which it was obtained.
type reading struct {
	load               LoadReport
	sentAt, answeredAt Time // of the probe
	paired             bool // already counted by the threshold estimator
}

// queueSample is an attempt's position in a worker's queue and the time that it took to start.
type queueSample struct {
	position float64
	wait     Time
}

// lastReading returns the newest reading of a worker, or nil if there is none.
func (w *worker) lastReading() *reading {
	if len(w.readings) == 0 {
		return nil
	}
	return &w.readings[len(w.readings)-1]
}

// machineKind is what is learned from all workers of a kind. A scheduler that uses a worker once a minute
// learns too little from that worker alone.
type machineKind struct {
	serviceTimeRatios stats.Pool
	maxFreeSlots      float64 // most free slots that any worker of the kind reported
}

// workerTable holds the workers by the indices that the host assigns.
type workerTable struct {
	workers []worker
	ready   int
	zones   []sprt.Test[Time] // whether this scheduler can reach the workers of a zone
	kinds   []machineKind
}

func (t *workerTable) identityHash(i int) uint64 { return t.workers[i].identityHash }

// slots returns the number of slots of a worker: the most free slots that a worker of its kind has
// reported.
func (t *workerTable) slots(w *worker) float64 { return t.kinds[w.kind].maxFreeSlots }

// serviceTimeRatio returns the ratio of actual to expected service time on a worker. While the worker has
// few samples, the samples of its machine kind are included.
func (t *workerTable) serviceTimeRatio(i int) float64 {
	w := &t.workers[i]
	return t.kinds[w.kind].serviceTimeRatios.Median(w.serviceTimeRatios)
}

// grow extends the tables to the index, zone and machine kind of an entry.
func (t *workerTable) grow(i int, entry WorkerEntry) {
	for len(t.workers) <= i {
		t.workers = append(t.workers, worker{})
	}
	for len(t.zones) <= entry.Zone {
		t.zones = append(t.zones, newZoneTest())
	}
	for len(t.kinds) <= entry.MachineKind {
		t.kinds = append(t.kinds, machineKind{})
	}
}

// BeginSnapshot starts a snapshot of the endpoint list. A worker that the snapshot does not list has left.
func (d *Dispatcher) BeginSnapshot() {
	for i := range d.fleet.workers {
		d.fleet.workers[i].listed = false
	}
}

// UpsertWorker applies one entry of a snapshot or a delta of the endpoint list.
func (d *Dispatcher) UpsertWorker(i int, entry WorkerEntry) {
	d.fleet.grow(i, entry)
	w := &d.fleet.workers[i]
	if !w.known || entry.StartedAt > w.startedAt {
		d.replaceProcess(w, entry.StartedAt)
	}
	w.zone, w.group, w.ready, w.listed = entry.Zone, entry.Group, entry.Ready, true
	if len(w.serviceTimeRatios) == 0 { // the pool of the worker's kind holds its samples too, so the kind stays
		w.identityHash, w.kind = entry.IdentityHash, entry.MachineKind
	}
}

// replaceProcess resets a worker's state: a restarted process is a different worker under the same name.
// The silence deadlines of the attempts in flight at it are recomputed.
func (d *Dispatcher) replaceProcess(w *worker, startedAt Time) {
	d.discardSamples(w)
	*w = worker{known: true, startedAt: startedAt, inFlight: w.inFlight, health: newWorkerTest()}
	for _, o := range w.inFlight {
		d.trackDeadline(o)
	}
}

// EndUpdate ends a snapshot or a delta of the endpoint list.
func (d *Dispatcher) EndUpdate() {
	d.fleet.ready = 0
	for i := range d.fleet.workers {
		w := &d.fleet.workers[i]
		w.ready = w.ready && w.listed
		d.fleet.ready += stats.BoolToInt(w.ready)
	}
	if d.settings.exchangesPeerReports() || d.shadow.exchangesPeerReports() {
		d.assignSubscribers()
	}
}

// WorkersInUse returns the workers that an op or a pending peer report refers to. They keep their indices
// even after they have left the endpoint list. The host reuses all other indices: each decision scans all
// known workers, and a fleet that is replaced daily adds new ones all the time.
func (d *Dispatcher) WorkersInUse() map[int]bool {
	inUse := map[int]bool{}
	for _, o := range d.ops.byIndex {
		if o == nil {
			continue
		}
		if o.attempts > 0 {
			inUse[o.lastAttempt.worker] = true
		}
		for _, i := range slices.Concat(o.probes.pair, o.reportedInvalidBy) {
			inUse[i] = true
		}
	}
	for _, report := range d.pendingPeerReports {
		inUse[report.worker] = true
	}
	return inUse
}

// ForgetWorker frees the index of a worker that has left the endpoint list and is not in use.
func (d *Dispatcher) ForgetWorker(i int) {
	w := &d.fleet.workers[i]
	d.discardSamples(w)
	*w = worker{}
	d.summary.valid = false
}

// discardSamples removes a worker's samples from the totals of the fleet and of its machine kind.
func (d *Dispatcher) discardSamples(w *worker) {
	for _, s := range w.queueSamples {
		d.samples.queue.remove(s)
	}
	w.serviceTimeRatios.RemoveFrom(&d.fleet.kinds[w.kind].serviceTimeRatios)
}

// addQueueSample adds a sample to a worker's samples and to the totals of the fleet.
func (d *Dispatcher) addQueueSample(w *worker, s queueSample) {
	if len(w.queueSamples) == stats.MaxRecent {
		d.samples.queue.remove(w.queueSamples[0])
	}
	w.queueSamples = stats.AppendRecent(w.queueSamples, s)
	d.samples.queue.add(s)
}
