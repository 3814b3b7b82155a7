// Package dispatch makes every decision of a scheduler: which worker an op is pushed to, when it is
// retried, and how it ends. It does no I/O and reads no clock.
//
// New creates the dispatcher of one scheduler. The inputs (AdvanceClock, UpsertWorker, AddOp,
// ProbeAnswered, AttemptEnded and the others) only update its state. After them the host calls Next until
// it returns NoDecision. Workers and ops are identified by small indices that the host assigns; the index
// of an op may be reused after Forget. Times are in tenths of a millisecond.
//
// docs/design.md describes which parts of the paper's mechanism are used, and when each departure from it
// applies.
package dispatch

import (
	"woaddyke/internal/base/deadlines"
	"woaddyke/internal/base/sprt"
	"woaddyke/internal/base/stats"
)

// Dispatcher makes the decisions of one scheduler and holds the state that they depend on.
type Dispatcher struct {
	settings           Settings // Categories is nil: the field categories holds them
	random             stats.Random
	now                Time
	timerAt            Time // when the last SetTimer expires
	categories         categoryTable
	fleet              workerTable
	ops                opTable
	pendingPeerReports []peerReport
	workersAcknowledge bool // workers acknowledge attempts on receipt

	estimator    thresholdEstimator
	keys         affinityKeys
	halvedAt     Time // end of the last period after which estimator and keys were halved
	samples      loadSamples
	placements   sprt.Test[Time] // sequential test of whether ops can be placed
	demandCounts demandCounts
	summary      sampleSummary
	shadow       shadow
}

// New creates a scheduler's dispatcher from a random seed and its settings.
func New(seed uint64, settings Settings) *Dispatcher {
	d := &Dispatcher{
		settings:   settings,
		random:     stats.NewRandom(seed),
		fleet:      workerTable{kinds: make([]machineKind, 1)},
		keys:       affinityKeys{counts: map[uint64]float64{}},
		placements: sprt.New(placementNormalFailureRate, placementShortageFailureRate, maxPlacementVerdictAge),
	}
	d.settings.Categories = nil // d.categories holds the categories in force, which change at run time
	d.SetCategories(settings)
	for k := range d.ops.inFlight {
		event := awaitedEvent(k)
		d.ops.inFlight[k] = deadlines.New(func(o *op) (base, limit Time, counts bool) {
			counts = o.lastAttempt.inFlight && !o.finished && !o.lastAttempt.silenceCounted &&
				d.awaitedEvent(o) == event
			return d.silenceStart(o, event), o.ttl, counts
		})
	}
	return d
}

// AdvanceClock sets the current time, unless the given time is before it. In either case it begins a new
// round of decisions, in which Next considers all ops again, and invalidates the sample summary.
func (d *Dispatcher) AdvanceClock(now Time) {
	d.now = max(d.now, now)
	d.ops.beginRound()
	d.summary.valid = false
}

// Next returns one decision. The host calls it until the kind is NoDecision.
func (d *Dispatcher) Next() Decision {
	if !d.ops.overdueCollected {
		d.collectOverdue()
	}
	for o := d.ops.nextUndecided(); o != nil; o = d.ops.nextUndecided() {
		if next := d.decide(o); next.Kind != NoDecision {
			next.Op = o.index
			d.applyDecision(o, next.Kind)
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

// nextPeerReport removes and returns the first pending peer report.
func (d *Dispatcher) nextPeerReport() Decision {
	report := d.pendingPeerReports[0]
	d.pendingPeerReports = d.pendingPeerReports[1:]
	inFlight := len(d.fleet.workers[report.worker].inFlight)
	return Decision{Kind: ReportToPeer, Peer: report.peer, Worker: report.worker, InFlight: inFlight}
}
