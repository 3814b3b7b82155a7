package dispatch

import (
	"slices"

	"woaddyke/internal/base/sprt"
	"woaddyke/internal/base/stats"
	"woaddyke/internal/cluster/peerload"
)

// worker is what is known of a worker's present process.
type worker struct {
	known, listed, ready bool
	zone, group          int
	kind                 int    // of machine
	identityHash         uint64 // of its name: the same at every scheduler
	startedAt            Time   // 0 where that is long ago

	readings          []reading     // the last few, the newest last
	queueSamples      []queueSample // the last few
	serviceTimeRatios stats.Recent  // service times over the expected ones, the last few
	health            sprt.Test[Time]
	heardAt           Time // when it last said anything of an attempt

	inFlight    []*op                  // whose attempts this scheduler has at it
	peerReports peerload.Reports[Time] // how many attempts other schedulers have at it
	subscribers []int                  // schedulers that are notified of the attempts at it, in order
}

// reading is a load report with its times.
type reading struct {
	load               LoadReport
	sentAt, answeredAt Time // of the probe
	paired             bool // counted in the threshold's counters
}

// queueSample is the position at which an attempt was queued, and how long it took to start.
type queueSample struct {
	position float64
	wait     Time
}

// lastReading returns a worker's newest reading, nil before there is one.
func (w *worker) lastReading() *reading {
	if len(w.readings) == 0 {
		return nil
	}
	return &w.readings[len(w.readings)-1]
}

// machineKind is what is learned of all workers of a kind: a scheduler that meets a worker once a minute
// learns little of that one.
type machineKind struct {
	serviceTimeRatios stats.Pool
	maxFreeSlots      float64 // that were reported free at one
}

// workerTable holds the workers by the indices that the host gives them.
type workerTable struct {
	workers []worker
	ready   int
	zones   []sprt.Test[Time] // whether workers of a zone can be reached from here
	kinds   []machineKind
}

func (t *workerTable) identityHash(i int) uint64 { return t.workers[i].identityHash }

// slots is the number of slots that workers of its kind have, as far as it was seen.
func (t *workerTable) slots(w *worker) float64 { return t.kinds[w.kind].maxFreeSlots }

// serviceTimeRatio is how much longer than expected jobs run on a worker; while samples are few, its
// kind's weigh in.
func (t *workerTable) serviceTimeRatio(i int) float64 {
	w := &t.workers[i]
	return t.kinds[w.kind].serviceTimeRatios.Median(w.serviceTimeRatios)
}

// grow makes room for an entry's index, zone and kind.
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

// BeginSnapshot begins a complete list: a worker that it does not name has left.
func (d *Dispatcher) BeginSnapshot() {
	for i := range d.fleet.workers {
		d.fleet.workers[i].listed = false
	}
}

// UpsertWorker takes up one entry of an endpoint list.
func (d *Dispatcher) UpsertWorker(i int, entry WorkerEntry) {
	d.fleet.grow(i, entry)
	w := &d.fleet.workers[i]
	if !w.known || entry.StartedAt > w.startedAt {
		d.replaceProcess(w, entry.StartedAt)
	}
	w.zone, w.group, w.ready, w.listed = entry.Zone, entry.Group, entry.Ready, true
	if len(w.serviceTimeRatios) == 0 { // they count in its kind's pool too, so the kind must stay
		w.identityHash, w.kind = entry.IdentityHash, entry.MachineKind
	}
}

// replaceProcess discards what was learned of a worker: a restarted process is another worker under the
// same name. Its silence about attempts of before is measured anew.
func (d *Dispatcher) replaceProcess(w *worker, startedAt Time) {
	d.discardSamples(w)
	*w = worker{known: true, startedAt: startedAt, inFlight: w.inFlight, health: newWorkerTest()}
	for _, o := range w.inFlight {
		d.track(o)
	}
}

// EndUpdate ends a list.
func (d *Dispatcher) EndUpdate() {
	d.fleet.ready = 0
	for i := range d.fleet.workers {
		w := &d.fleet.workers[i]
		w.ready = w.ready && w.listed
		d.fleet.ready += stats.Bit(w.ready)
	}
	if d.settings.exchangesPeerReports() || d.shadow.exchangesPeerReports() {
		d.assignSubscribers()
	}
}

// WorkersInUse returns the workers that an op or a message refers to. Such a worker must keep its index
// though it has left the list. The other indices are the host's to give out anew: a fleet that is
// replaced day by day names ever new workers, and each decision walks over all that are known.
func (d *Dispatcher) WorkersInUse() map[int]bool {
	inUse := map[int]bool{}
	for _, o := range d.ops.byIndex {
		if o == nil {
			continue
		}
		if o.attempts > 0 {
			inUse[o.last.worker] = true
		}
		for _, i := range slices.Concat(o.probes.pair, o.calledInvalidBy) {
			inUse[i] = true
		}
	}
	for _, report := range d.pendingPeerReports {
		inUse[report.worker] = true
	}
	return inUse
}

// ForgetWorker frees the index of a worker that has left the list and is not in use.
func (d *Dispatcher) ForgetWorker(i int) {
	w := &d.fleet.workers[i]
	d.discardSamples(w)
	*w = worker{}
	d.digest.valid = false
}

// discardSamples takes a worker's samples out of those of all workers.
func (d *Dispatcher) discardSamples(w *worker) {
	for _, s := range w.queueSamples {
		d.samples.queue.remove(s)
	}
	w.serviceTimeRatios.RemoveFrom(&d.fleet.kinds[w.kind].serviceTimeRatios)
}

// addQueueSample adds a sample to a worker's and to those of all workers.
func (d *Dispatcher) addQueueSample(w *worker, s queueSample) {
	if len(w.queueSamples) == stats.MaxRecent {
		d.samples.queue.remove(w.queueSamples[0])
	}
	w.queueSamples = stats.AppendRecent(w.queueSamples, s)
	d.samples.queue.add(s)
}
