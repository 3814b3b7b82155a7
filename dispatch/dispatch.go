// Package dispatch holds every decision of a scheduler: which worker an op is pushed to, when it is
// pushed again, and how it ends. It does no input or output and reads no clock.
//
// New makes the dispatcher of one scheduler. The inputs (AdvanceClock, UpsertWorker, AddOp,
// ProbeAnswered, AttemptEnded and the others) only update what is known. After them the host pulls
// decisions with Next, one by one, until there is none. Workers and ops are small indices that the host
// gives out; an op's index is free again after Forget. Times are tenths of a millisecond.
//
// docs/design.md says what is kept of the paper's mechanism and when each departure from it acts.
package dispatch

import (
	"woaddyke/internal/base/deadlines"
	"woaddyke/internal/base/sprt"
	"woaddyke/internal/base/stats"
)

// Dispatcher is one scheduler's decisions and the state that they rest on.
type Dispatcher struct {
	settings           Settings // but for the categories
	random             stats.Random
	now                Time
	timerAt            Time // the moment of the last SetTimer
	categories         categoryTable
	fleet              workerTable
	ops                opTable
	pendingPeerReports []peerReport
	workersAcknowledge bool // workers report at once that they have an attempt

	estimator    thresholdEstimator
	keys         affinityKeys
	halvedAt     Time // the counters of the estimator and of keys were halved up to then
	samples      loadSamples
	placements   sprt.Test[Time] // whether ops find a place
	demandCounts demandCounts
	digest       digest
	shadow       shadow
}

// New starts a scheduler's dispatcher from its seed and its settings.
func New(seed uint64, settings Settings) *Dispatcher {
	d := &Dispatcher{
		settings:   settings,
		random:     stats.NewRandom(seed),
		fleet:      workerTable{kinds: make([]machineKind, 1)},
		keys:       affinityKeys{counts: map[uint64]float64{}},
		placements: sprt.New(placementOrdinaryFailure, placementShortFailure, maxPlacementAge),
	}
	d.settings.Categories = nil // they change while the dispatcher runs; d.categories holds those in force
	d.SetCategories(settings)
	for k := range d.ops.inFlight {
		event := awaited(k)
		d.ops.inFlight[k] = deadlines.New(func(o *op) (base, limit Time, counts bool) {
			counts = o.last.inFlight && !o.finished && !o.last.silenceCounted && d.awaited(o) == event
			return d.silenceSince(o, event), o.ttl, counts
		})
	}
	return d
}

// AdvanceClock sets the time, which never goes back.
func (d *Dispatcher) AdvanceClock(now Time) {
	d.now = max(d.now, now)
	d.ops.beginRound()
	d.digest.valid = false
}

// Next returns one decision; the host calls it until its kind is NoDecision.
func (d *Dispatcher) Next() Decision {
	if !d.ops.overdueCollected {
		d.collectOverdue()
	}
	for o := d.ops.nextUndecided(); o != nil; o = d.ops.nextUndecided() {
		if next := d.decide(o); next.Kind != NoDecision {
			next.Op = o.index
			d.carryOut(o, next.Kind)
			return next
		}
		d.ops.nextNumber = o.number + 1
	}
	d.ops.nextNumber = d.ops.admitted
	if len(d.pendingPeerReports) > 0 {
		return d.nextPeerReport()
	}
	if at := d.nextDeadline(); at < noDeadline && at > d.now && (d.timerAt <= d.now || at < d.timerAt) {
		d.timerAt = at
		return Decision{Kind: SetTimer, Duration: at - d.now}
	}
	return Decision{}
}

// nextPeerReport takes the first report that is pending.
func (d *Dispatcher) nextPeerReport() Decision {
	report := d.pendingPeerReports[0]
	d.pendingPeerReports = d.pendingPeerReports[1:]
	inFlight := len(d.fleet.workers[report.worker].inFlight)
	return Decision{Kind: ReportToPeer, Peer: report.peer, Worker: report.worker, InFlight: inFlight}
}
