// Package reducer holds the ops that a scheduler has taken and has not forgotten. Its one reducer takes an input
// with its time, tells the module, pulls what the module decides and returns it as effects for the host to
// carry out. It does no input or output, reads no clock and starts nothing.
package reducer

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"woaddyke/dispatch"
	"woaddyke/internal/base/opkey"
	"woaddyke/internal/base/stats"
	"woaddyke/internal/config"
	"woaddyke/internal/workers/outcome"
)

const (
	maxMachineKinds       = 256  // of machines told apart; the module keeps something for each
	maxDroppedCategories  = 4096 // categories that are served no more and whose ops are not taken for strangers' yet
	minForgettableWorkers = 1024 // workers that have left the list and are remembered, beside as many as were known at the last look
)

// Input is one of Listed, Arrived, Left, Noted, Ended, Probed, Told, Fell, Came, Woken, Retuned,
// Inherited and Stopping.
type Input interface{ input() }

// Endpoint is one worker in a list.
type Endpoint struct {
	Worker, Addr string
	Zone         string
	MachineKind  string // of machine
	WorkerGroup  int
	Ready        bool
	Removed      bool          // it is in the list no more
	BootID       int64         // names its present process, as discovery does
	StartedAt    dispatch.Time // when that started; 0: long ago
}

// EndpointsChanged is a list of workers, whole or of changes. A remembered one is from before the start.
type EndpointsChanged struct {
	Snapshot, Cached bool
	Revision         int64 // discovery's own; nothing is decided by it here
	Endpoints        []Endpoint
}

// OpArrived is a new op; the host numbers ops and never uses a number twice.
type OpArrived struct {
	Op            uint64
	ID            string // the client's own
	Category      string
	TTL           dispatch.Time // the moment at which the client gives up
	Slots, Memory float64
	Work          dispatch.Time
	AffinityKey   uint64        // what it needs at its worker, hashed; 0: nothing that workers keep
	PriorAttempt  *PriorAttempt // nil for an op that ran nowhere before
	Effect        string        // by which it was let in at the door; empty where nothing was asked by it
}

// PriorAttempt is where an op may have run for another scheduler, and since when.
type PriorAttempt struct {
	Group
	StartedAt dispatch.Time
}

// Group is where repeats of an op may be dropped.
type Group struct {
	Zone        string
	WorkerGroup int
}

// ClientDisconnected says that an op's client has gone.
type ClientDisconnected struct{ Op uint64 }

// AttemptProgressed is a job line before the last one, or with Done below 0 the worker's word that it has taken the push.
type AttemptProgressed struct {
	Op      uint64
	Started bool
	Done    float64
}

// AttemptEnded is the end of an op's one push that was out.
type AttemptEnded struct {
	Op         uint64
	Ending     outcome.Ending
	Result     []byte
	LoadReport []byte // the load report that came with it, if any
}

// ProbeEnded is the end of a probe.
type ProbeEnded struct {
	Probe      uint64
	Ending     outcome.Ending
	LoadReport []byte
}

// PeerMessage is another scheduler's message.
type PeerMessage struct {
	Sender int
	Text   string
}

// PeerLost says that another scheduler is no more: what it said is void at once.
type PeerLost struct{ Peer int }

// PeerJoined says that another scheduler is new, or back as another process: it is told all.
type PeerJoined struct{ Peer int }

// TimerFired says that the moment asked for with Wake has come.
type TimerFired struct{}

// ShutdownStarted says that all ops must have their answer by then; the host says it again at that moment.
type ShutdownStarted struct{ Deadline dispatch.Time }

// SettingsChanged brings other settings, of which the categories and the number of pushes are taken up. Ops that were taken keep the
// rules that they were taken with, and so do those that still come for a category that is served no more, until then.
type SettingsChanged struct {
	Settings    map[string]any
	RetainUntil dispatch.Time
}

func (EndpointsChanged) input()   {}
func (OpArrived) input()          {}
func (ClientDisconnected) input() {}
func (AttemptProgressed) input()  {}
func (AttemptEnded) input()       {}
func (ProbeEnded) input()         {}
func (PeerMessage) input()        {}
func (PeerLost) input()           {}
func (PeerJoined) input()         {}
func (TimerFired) input()         {}
func (SettingsChanged) input()    {}
func (ShutdownStarted) input()    {}

// Effect is one of Push, Close, Probe, Answer, Tell and Wake.
type Effect interface{ effect() }

// Push sends an op to a worker and waits for its end at most Within.
type Push struct {
	Op      uint64
	Attempt int
	Worker  string
	Addr    string
	Timeout dispatch.Time
	Group   Group // of the worker
}

// CancelAttempt ends the push of an op that is out, or only keeps it from being written.
type CancelAttempt struct {
	Op           uint64
	OnlyIfUnsent bool
	Ending       outcome.Ending // how it is said to have ended
}

// Probe asks a worker for its load.
type Probe struct {
	Probe  uint64
	Worker string
	Addr   string
}

// Verdict is an op's final answer.
type Verdict int

// Unknown category and taken ID answer what the module was not told of.
const (
	Acked Verdict = iota
	Nacked
	DeadLettered
	UnknownCategory
	DuplicateID
)

func (v Verdict) String() string {
	return [...]string{"acked", "nacked", "dead-lettered", "unknown-category", "taken-id"}[v]
}

// Respond is the one final answer to an op's client.
type Respond struct {
	Op         uint64
	Verdict    Verdict
	RetryAfter dispatch.Time
	Result     []byte
	Reason     dispatch.RejectionReason // of a nack or a dead letter
}

// SendToPeer sends another scheduler a message, which may be lost.
type SendToPeer struct {
	Peer int
	Text string
}

// SetTimer asks for Woken after a span, in place of what was asked for before.
type SetTimer struct{ Delay dispatch.Time }

func (Push) effect()          {}
func (CancelAttempt) effect() {}
func (Probe) effect()         {}
func (Respond) effect()       {}
func (SendToPeer) effect()    {}
func (SetTimer) effect()      {}

type worker struct {
	name, addr    string
	group         Group
	listed, ready bool
	vacant        bool // its index is free
}

type op struct {
	number   uint64
	id       string
	ttl      dispatch.Time
	attempts int
	worker   int // of the last push
	sentAt   dispatch.Time
	inFlight bool
	answered bool // or its client has left
}

type probe struct {
	worker int
	sentAt dispatch.Time
}

// droppedCategory is a category that is served until then.
type droppedCategory struct {
	place       int // at the module; -1 once it may be another's
	retainUntil dispatch.Time
}

// Reducer holds a scheduler's ops. All its state changes in Take.
type Reducer struct {
	dispatcher         *dispatch.Dispatcher
	report             config.ReportFormat
	reportsInline      bool
	cancelsAttempts    bool
	categories         map[string]int             // by name: the place of each at the module
	droppedCategories  map[string]droppedCategory // those that are served no more but for a while
	zones              map[string]int
	distinguishesKinds bool // kinds are told apart
	kinds              map[string]int
	workersByTag       map[string]int // workers by what messages call them
	workersByName      map[string]int // of workers
	workers            []worker
	freeWorkers        []int          // indices of workers that were forgotten
	forgetWorkersAt    int            // with more workers than that those that have left are looked over
	opsByNumber        map[uint64]int // op number to index
	ids                idRegistry
	ops                []op // by index
	freeOps            []int
	probes             map[uint64]probe
	lastProbe          uint64
	shutdownDeadline   dispatch.Time
}

// New starts a reducer from a scheduler's seed and its flat settings.
func New(seed uint64, flat map[string]any) *Reducer {
	settings := config.DecisionSettings(flat)
	r := &Reducer{dispatcher: dispatch.New(seed, settings), report: config.ReportFormatOf(flat), droppedCategories: map[string]droppedCategory{},
		zones: map[string]int{}, kinds: map[string]int{}, workersByTag: map[string]int{}, workersByName: map[string]int{},
		opsByNumber: map[uint64]int{}, probes: map[uint64]probe{}, ids: newIDRegistry()}
	r.distinguishesKinds = flat["kinds"] == true
	r.reportsInline = flat["report.how"] == "inline"
	r.cancelsAttempts = flat["bounds.cancel"] == true
	r.categories = placesByName(settings.Categories, r.dispatcher.SetCategories(settings))
	for i, z := range config.StringList(flat, "failureDomains") {
		r.zones[z] = i
	}
	return r
}

// placesByName maps the names of categories to their places; one without a name can't be asked for.
func placesByName(categories []dispatch.CategoryRules, places []int) map[string]int {
	byName := make(map[string]int, len(categories))
	for i, category := range categories {
		if category.Name != "" {
			byName[category.Name] = places[i]
		}
	}
	return byName
}

// changeSettings takes up other categories. A place at the module is kept for those that are dropped for as long as each is served.
func (r *Reducer) changeSettings(now dispatch.Time, in SettingsChanged) {
	settings := config.DecisionSettings(in.Settings)
	served := make(map[string]bool, len(settings.Categories))
	for _, category := range settings.Categories {
		served[category.Name] = true
	}
	for name, place := range r.categories {
		if !served[name] {
			r.droppedCategories[name] = droppedCategory{place, in.RetainUntil}
		}
	}
	for name := range served {
		delete(r.droppedCategories, name)
	}
	r.pruneDroppedCategories()
	var kept []int
	for name, x := range r.droppedCategories {
		if x.place >= 0 && now <= x.retainUntil {
			kept = append(kept, x.place)
		} else if x.place >= 0 {
			r.droppedCategories[name] = droppedCategory{-1, x.retainUntil}
		}
	}
	r.categories = placesByName(settings.Categories, r.dispatcher.SetCategories(settings, kept...))
}

// pruneDroppedCategories keeps the last of those that were dropped: names without end would fill the memory.
func (r *Reducer) pruneDroppedCategories() {
	if len(r.droppedCategories) <= maxDroppedCategories {
		return
	}
	names := slices.SortedFunc(maps.Keys(r.droppedCategories), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.droppedCategories[a].retainUntil, r.droppedCategories[b].retainUntil), strings.Compare(a, b))
	})
	for _, name := range names[:len(names)-maxDroppedCategories*3/4] { // some more at once, so that few changes sort them
		delete(r.droppedCategories, name)
	}
}

// categoryPlace is where the module has a category; false where it is not served.
func (r *Reducer) categoryPlace(now dispatch.Time, category string) (place int, ok bool) {
	if place, ok = r.categories[category]; !ok {
		x, was := r.droppedCategories[category]
		place, ok = x.place, was && x.place >= 0 && now <= x.retainUntil
	}
	return place, ok
}

// SetShadowSettings has the dispatcher count what other flat settings would have had it decide otherwise.
func (r *Reducer) SetShadowSettings(flat map[string]any) {
	r.dispatcher.SetShadowSettings(config.DecisionSettings(flat))
}

// ShadowDivergence is what a watch has counted, by kind of decision.
func (r *Reducer) ShadowDivergence() (asked, chosen, spoken int) {
	n := r.dispatcher.ShadowDivergence()
	return n[dispatch.ShadowedPair], n[dispatch.ShadowedPlacement], n[dispatch.ShadowedReport]
}

// WorkerCounts is how many workers are in the list, and how many of them get nothing new, or in doubt only little.
func (r *Reducer) WorkerCounts(now dispatch.Time) (known, avoided int) {
	for i, w := range r.workers {
		if w.listed {
			known++
			avoided += stats.Bit(!w.ready || r.dispatcher.Suspected(i, now))
		}
	}
	return known, avoided
}

// Step tells the module of an input and returns what is to be done.
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
		if i, ok := r.opsByNumber[in.Op]; ok {
			r.dispatcher.AttemptProgress(i, r.ops[i].attempts-1, in.Started, in.Done)
		}
	case AttemptEnded:
		todo = r.endAttempt(now, in)
	case ProbeEnded:
		r.endProbe(now, in)
	case PeerMessage:
		if i, n, ok := config.DecodePeerReport(in.Text, r.workersByTag); ok {
			r.dispatcher.PeerReport(in.Sender, i, n)
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

func (r *Reducer) updateEndpoints(in EndpointsChanged) (todo []Effect) {
	if in.Snapshot {
		r.dispatcher.BeginSnapshot()
		for i := range r.workers {
			r.workers[i].listed, r.workers[i].ready = false, false
		}
	}
	for _, e := range in.Endpoints {
		i, ok := r.workersByName[e.Worker]
		if !ok {
			i = r.addWorker(e.Worker)
		}
		z, ok := r.zones[e.Zone]
		if !ok {
			z = len(r.zones)
			r.zones[e.Zone] = z
		}
		w := &r.workers[i]
		w.group = Group{e.Zone, e.WorkerGroup}
		w.addr, w.listed, w.ready = e.Addr, !e.Removed, e.Ready && e.Addr != ""
		kind := e.MachineKind
		if _, known := r.kinds[kind]; !r.distinguishesKinds || !known && len(r.kinds) >= maxMachineKinds {
			kind = "" // what is not told apart is learned together
		}
		k, ok := r.kinds[kind]
		if !ok {
			k = len(r.kinds)
			r.kinds[kind] = k
		}
		r.dispatcher.UpsertWorker(i, dispatch.WorkerEntry{Zone: z, Group: e.WorkerGroup, Ready: w.ready,
			StartedAt: e.StartedAt, IdentityHash: config.IdentityHash(e.Worker), MachineKind: k})
	}
	r.dispatcher.EndUpdate()
	r.forgetWorkers()
	for i := range r.ops {
		// A dial that outlasts the drain's grace must not end in a push.
		if o := &r.ops[i]; o.inFlight && !r.workers[o.worker].ready {
			todo = append(todo, CancelAttempt{Op: o.number, OnlyIfUnsent: true, Ending: outcome.CancelledUnsent})
		}
	}
	return todo
}

func (r *Reducer) admitOp(now dispatch.Time, in OpArrived) []Effect {
	cat, ok := r.categoryPlace(now, in.Category)
	if !ok {
		verdict := UnknownCategory
		if _, was := r.droppedCategories[in.Category]; was {
			verdict = Nacked // it was never pushed, and its client has done nothing wrong
		}
		return []Effect{Respond{Op: in.Op, Verdict: verdict}}
	}
	if in.Effect != "" && dispatch.Effect(in.Effect) != r.dispatcher.CategoryEffect(cat) {
		// The settings changed between the door and here: it was asked for by one rule, and would be kept to another.
		return []Effect{Respond{Op: in.Op, Verdict: Nacked}}
	}
	// A second push under one id is a second copy for its worker, also after the answer: the first may still run.
	key := opkey.FromID(in.ID)
	if r.ids.isReserved(now, key) {
		return []Effect{Respond{Op: in.Op, Verdict: DuplicateID}}
	}
	i := len(r.ops)
	if n := len(r.freeOps); n > 0 {
		i, r.freeOps = r.freeOps[n-1], r.freeOps[:n-1]
	} else {
		r.ops = append(r.ops, op{})
	}
	if !r.dispatcher.AddOp(i, r.opSpec(cat, in)) {
		r.freeOps = append(r.freeOps, i)
		return []Effect{Respond{Op: in.Op, Verdict: UnknownCategory}}
	}
	r.ops[i] = op{number: in.Op, id: key, ttl: in.TTL}
	r.ids.reserve(key)
	r.opsByNumber[in.Op] = i
	if r.shutdownDeadline > 0 {
		r.dispatcher.LimitDeadlines(r.shutdownDeadline)
	}
	return nil
}

func (r *Reducer) opSpec(category int, in OpArrived) dispatch.OpSpec {
	spec := dispatch.OpSpec{Category: category, TTL: in.TTL, Slots: max(in.Slots, 1), Memory: in.Memory,
		Work: in.Work, AffinityKey: in.AffinityKey}
	if p := in.PriorAttempt; p != nil {
		zone, ok := r.zones[p.Zone]
		if !ok {
			zone = -1
		}
		spec.PriorAttempt = &dispatch.PriorAttempt{Zone: zone, Group: p.WorkerGroup, StartedAt: p.StartedAt}
	}
	return spec
}

func (r *Reducer) disconnectClient(number uint64) []Effect {
	i, ok := r.opsByNumber[number]
	if !ok {
		return nil
	}
	o := &r.ops[i]
	o.answered = true
	r.dispatcher.ClientDisconnected(i)
	switch {
	case o.inFlight && r.cancelsAttempts:
		return []Effect{CancelAttempt{Op: number, Ending: outcome.Cancelled}}
	case o.inFlight: // to keep back what is not written yet withdraws nothing: it is no cancel
		return []Effect{CancelAttempt{Op: number, OnlyIfUnsent: true, Ending: outcome.CancelledUnsent}}
	}
	return nil
}

func (r *Reducer) endAttempt(now dispatch.Time, in AttemptEnded) (todo []Effect) {
	i, ok := r.opsByNumber[in.Op]
	if !ok || !r.ops[i].inFlight {
		return nil
	}
	o := &r.ops[i]
	o.inFlight = false
	how := in.Ending.Outcome()
	if how == dispatch.Succeeded && !o.answered {
		o.answered = true
		todo = append(todo, Respond{Op: in.Op, Verdict: Acked, Result: in.Result})
	}
	elapsed := now - o.sentAt
	r.dispatcher.AttemptEnded(i, o.attempts-1, how, how == dispatch.Succeeded)
	if r.reportsInline && len(in.LoadReport) > 0 {
		if load, err := r.report.FromJSON(in.LoadReport); err == nil {
			r.dispatcher.ProbeAnswered(o.worker, elapsed, load)
		}
	}
	return todo
}

func (r *Reducer) endProbe(now dispatch.Time, in ProbeEnded) {
	p, ok := r.probes[in.Probe]
	if !ok {
		return
	}
	delete(r.probes, in.Probe)
	how, elapsed := in.Ending.Outcome(), now-p.sentAt
	if how == dispatch.Succeeded {
		load, err := r.report.FromJSON(in.LoadReport)
		if err == nil {
			r.dispatcher.ProbeAnswered(p.worker, elapsed, load)
			return
		}
		how = dispatch.Failed
	}
	r.dispatcher.ProbeFailed(p.worker, elapsed, how)
}

// pullDecisions asks the dispatcher for its decisions until there is none, and appends their effects.
func (r *Reducer) pullDecisions(now dispatch.Time, todo []Effect) []Effect {
	for {
		next := r.dispatcher.Next()
		if next.Kind == dispatch.NoDecision {
			return todo
		}
		if effect := r.carryOut(now, next); effect != nil {
			todo = append(todo, effect)
		}
	}
}

// carryOut notes a decision here and returns its effect, nil for one that the host has no part in.
func (r *Reducer) carryOut(now dispatch.Time, next dispatch.Decision) Effect {
	switch next.Kind {
	case dispatch.Push:
		return r.push(now, next)
	case dispatch.CancelAttempt:
		return CancelAttempt{Op: r.ops[next.Op].number, Ending: outcome.Cancelled}
	case dispatch.Probe:
		w := &r.workers[next.Worker]
		r.lastProbe++
		r.probes[r.lastProbe] = probe{next.Worker, now}
		return Probe{r.lastProbe, w.name, w.addr}
	case dispatch.Nack, dispatch.DeadLetter:
		return r.respond(next)
	case dispatch.ReportToPeer:
		text := config.EncodePeerReport(r.workers[next.Worker].name, next.InFlight)
		return SendToPeer{Peer: next.Peer, Text: text}
	case dispatch.SetTimer:
		return SetTimer{next.Duration}
	case dispatch.Forget:
		r.forgetOp(now, next.Op)
	}
	return nil
}

func (r *Reducer) push(now dispatch.Time, next dispatch.Decision) Effect {
	o, w := &r.ops[next.Op], &r.workers[next.Worker]
	o.worker, o.sentAt, o.inFlight = next.Worker, now, true
	attempt := o.attempts
	o.attempts++
	return Push{Op: o.number, Attempt: attempt, Worker: w.name, Addr: w.addr, Timeout: next.Duration, Group: w.group}
}

// respond is the answer to an op that was given up; nil where it has its answer, or its client has gone.
func (r *Reducer) respond(next dispatch.Decision) Effect {
	o := &r.ops[next.Op]
	if o.answered {
		return nil
	}
	o.answered = true
	verdict := Nacked
	if next.Kind == dispatch.DeadLetter {
		verdict = DeadLettered
	}
	return Respond{Op: o.number, Verdict: verdict, RetryAfter: next.Duration, Reason: next.Reason}
}

func (r *Reducer) forgetOp(now dispatch.Time, i int) {
	o := &r.ops[i]
	delete(r.opsByNumber, o.number)
	r.ids.release(now, o.id, o.ttl)
	*o = op{}
	r.freeOps = append(r.freeOps, i)
}

// startShutdown cuts short what is held. At the moment itself this side stops waiting for workers, as at a TTL.
func (r *Reducer) startShutdown(now, by dispatch.Time) (todo []Effect) {
	r.shutdownDeadline = by
	r.dispatcher.LimitDeadlines(by)
	for i := range r.ops {
		if o := &r.ops[i]; o.inFlight && now >= by {
			todo = append(todo, CancelAttempt{Op: o.number, Ending: outcome.TimedOut})
		}
	}
	return todo
}
