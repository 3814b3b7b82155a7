// Package reducer holds the ops that a scheduler has admitted and has not forgotten. Its reducer passes each
// input, with the time of the input, to the dispatcher. It then pulls the dispatcher's decisions and returns
// them as effects, which the host carries out. It does no I/O, reads no clock and starts no goroutine.
package reducer

import (
	"woaddyke/dispatch"
	"woaddyke/internal/config"
	"woaddyke/internal/workers/loadreport"
)

// Reducer holds a scheduler's ops and maps names to the numbers that its dispatcher uses. Its state changes
// only in Step.
type Reducer struct {
	dispatcher                *dispatch.Dispatcher
	reportFormat              loadreport.Format
	reportsInline             bool // load reports come with the ends of attempts
	cancelsAttempts           bool
	distinguishesMachineKinds bool // otherwise all machines share their samples

	categories        map[string]int // the dispatcher's indices, by name
	droppedCategories map[string]droppedCategory

	zones              map[string]int
	machineKinds       map[string]int // numbers, by name
	workers            []worker       // by index
	workersByName      map[string]int
	workersByTag       map[string]int // indices, by the tags that peer messages carry
	freeWorkers        []int          // indices
	forgetWorkersAbove int            // number of known workers above which unlisted workers are forgotten

	ops              []op           // by index
	opsByNumber      map[uint64]int // indices
	freeOps          []int          // indices
	ids              idRegistry
	probes           map[uint64]probe
	lastProbe        uint64
	shutdownDeadline dispatch.Time // 0 before ShutdownStarted
}

// New returns a reducer for a scheduler's seed and its flattened settings.
func New(seed uint64, flat map[string]any) *Reducer {
	settings := config.DecisionSettings(flat)
	r := &Reducer{
		dispatcher:                dispatch.New(seed, settings),
		reportFormat:              config.ReportFormatOf(flat),
		reportsInline:             flat["report.how"] == "inline",
		cancelsAttempts:           settings.CancelsAttempts,
		distinguishesMachineKinds: flat["kinds"] == true,
		droppedCategories:         map[string]droppedCategory{},
		zones:                     map[string]int{},
		machineKinds:              map[string]int{},
		workersByName:             map[string]int{},
		workersByTag:              map[string]int{},
		opsByNumber:               map[uint64]int{},
		ids:                       newIDRegistry(),
		probes:                    map[uint64]probe{},
	}
	r.categories = indicesByName(settings.Categories, r.dispatcher.SetCategories(settings))
	for i, zone := range config.StringList(flat, "failureDomains") {
		r.zones[zone] = i
	}
	return r
}

// SetShadowSettings makes the dispatcher count the decisions that other flattened settings would have
// changed.
func (r *Reducer) SetShadowSettings(flat map[string]any) {
	r.dispatcher.SetShadowSettings(config.DecisionSettings(flat))
}

// ShadowDivergence returns how many decisions of each kind shadow settings would have changed.
func (r *Reducer) ShadowDivergence() (pairs, placements, reports int) {
	n := r.dispatcher.ShadowDivergence()
	return n[dispatch.ShadowedPair], n[dispatch.ShadowedPlacement], n[dispatch.ShadowedReport]
}

// Step applies an input and returns the effects to carry out.
func (r *Reducer) Step(now dispatch.Time, in Input) []Effect {
	r.dispatcher.AdvanceClock(now)
	var effects []Effect
	switch in := in.(type) {
	case EndpointsChanged:
		effects = r.updateEndpoints(in)
	case OpArrived:
		effects = r.admitOp(now, in)
	case ClientDisconnected:
		effects = r.disconnectClient(in.Op)
	case AttemptProgressed:
		r.progressAttempt(in)
	case AttemptEnded:
		effects = r.endAttempt(now, in)
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
	case IDsAnnounced:
		r.reserveIDs(now, in)
	case ShutdownStarted:
		effects = r.startShutdown(now, in.Deadline)
	}
	return r.pullDecisions(now, effects)
}
