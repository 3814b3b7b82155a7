// Package reducer holds the ops that a scheduler has admitted and has not forgotten. Its one reducer
// takes an input with its time, gives it to the dispatcher, pulls the decisions and returns them as
// effects for the host to carry out. It does no input or output, reads no clock and starts nothing.
package reducer

import (
	"woaddyke/dispatch"
	"woaddyke/internal/config"
	"woaddyke/internal/workers/loadreport"
)

// Reducer holds a scheduler's ops and the names of what its dispatcher knows by numbers. All its state
// changes in Step.
type Reducer struct {
	dispatcher         *dispatch.Dispatcher
	report             loadreport.Format
	reportsInline      bool // load reports come with the ends of attempts
	cancelsAttempts    bool
	distinguishesKinds bool // of machines; else all share their samples

	categories        map[string]int // the dispatcher's place of each
	droppedCategories map[string]droppedCategory

	zones           map[string]int
	kinds           map[string]int // of machines
	workers         []worker       // by index
	workersByName   map[string]int
	workersByTag    map[string]int // by the tags that peer messages carry
	freeWorkers     []int          // indices
	forgetWorkersAt int            // with more workers than that, those that have left are forgotten

	ops              []op           // by index
	opsByNumber      map[uint64]int // indices
	freeOps          []int          // indices
	ids              idRegistry
	probes           map[uint64]probe
	lastProbe        uint64
	shutdownDeadline dispatch.Time // 0 before ShutdownStarted
}

// New starts a reducer from a scheduler's seed and its flat settings.
func New(seed uint64, flat map[string]any) *Reducer {
	settings := config.DecisionSettings(flat)
	r := &Reducer{
		dispatcher:         dispatch.New(seed, settings),
		report:             config.ReportFormatOf(flat),
		reportsInline:      flat["report.how"] == "inline",
		cancelsAttempts:    settings.CancelsAttempts,
		distinguishesKinds: flat["kinds"] == true,
		droppedCategories:  map[string]droppedCategory{},
		zones:              map[string]int{},
		kinds:              map[string]int{},
		workersByName:      map[string]int{},
		workersByTag:       map[string]int{},
		opsByNumber:        map[uint64]int{},
		ids:                newIDRegistry(),
		probes:             map[uint64]probe{},
	}
	r.categories = placesByName(settings.Categories, r.dispatcher.SetCategories(settings))
	for i, zone := range config.StringList(flat, "failureDomains") {
		r.zones[zone] = i
	}
	return r
}

// SetShadowSettings has the dispatcher count what other flat settings would have had it decide otherwise.
func (r *Reducer) SetShadowSettings(flat map[string]any) {
	r.dispatcher.SetShadowSettings(config.DecisionSettings(flat))
}

// ShadowDivergence returns how many decisions of each kind shadow settings would have changed.
func (r *Reducer) ShadowDivergence() (pairs, placements, reports int) {
	n := r.dispatcher.ShadowDivergence()
	return n[dispatch.ShadowedPair], n[dispatch.ShadowedPlacement], n[dispatch.ShadowedReport]
}

// Step takes an input and returns what is to be done.
func (r *Reducer) Step(now dispatch.Time, in Input) []Effect {
	r.dispatcher.AdvanceClock(now)
	var todo []Effect
	switch in := in.(type) {
	case EndpointsChanged:
		todo = r.updateEndpoints(in)
	case OpArrived:
		todo = r.admitOp(now, in)
	case ClientDisconnected:
		todo = r.disconnectClient(in.Op)
	case AttemptProgressed:
		r.progressAttempt(in)
	case AttemptEnded:
		todo = r.endAttempt(now, in)
	case ProbeEnded:
		r.endProbe(now, in)
	case PeerMessage:
		if worker, inFlight, ok := config.DecodePeerReport(in.Text, r.workersByTag); ok {
			r.dispatcher.PeerReport(in.Sender, worker, inFlight)
		}
	case PeerLost:
		r.dispatcher.PeerLost(in.Peer)
	case PeerJoined:
		r.dispatcher.PeerJoined(in.Peer)
	case SettingsChanged:
		r.changeSettings(now, in)
	case StateRestored:
		r.restoreState(in)
	case ShutdownStarted:
		todo = r.startShutdown(now, in.Deadline)
	}
	return r.pullDecisions(now, todo)
}
