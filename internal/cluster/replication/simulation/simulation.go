// Package simulation plays a whole cluster of schedulers and keepers under one seed in virtual time, with crashes, pauses, cuts, lost memory
// and messages that are lost, doubled and late, and judges what it did by what the schedulers were told.
package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/testsupport/simclock"
)

// Time is the core's.
type Time = replication.Time

// Spans in the unit of Time.
const (
	Millisecond Time = 10
	Second      Time = 10_000
)

// HistoryEntry is one step of the history: what a scheduler was told of an op, or did with it.
type HistoryEntry struct {
	At          Time
	Scheduler   string
	Key         string
	Claim       int // numbers wants
	Step        string
	Result      replication.ClaimResult
	RequestedAt Time
}

// Place is where processes of one name run: two at once where a second one is started while the first stands still.
type node struct {
	name        string
	core        *replication.Core
	running     bool
	paused      bool
	deferred    []func()
	generation  uint64
	replicaSet  *replicaset.Core // nil where keepers do not change
	disk        *disk
	diskFailing bool // its disk takes nothing now
	diskFailed  bool // nor did it, some time since its process started
}

// disk is what lasts of a place.
type disk struct {
	state       replicaset.State
	records     map[string]replication.Record
	firstSeen   map[string]Time // when each was first heard of
	cursors     map[string]replication.ReplicationCursor
	incarnation replication.Incarnation
	setID       uint64
}

// ChangeAnswer is what staff were told.
type ChangeAnswer struct {
	OK   bool
	Text string
}

// Cluster is one cluster.
type Cluster struct {
	simclock.Clock[Time]
	Rand        *rand.Rand
	Config      replication.Config
	Loss        float64
	Duplication float64
	Delay       Time
	nodes       []*node
	byName      map[string]*node
	cutLinks    map[[2]string]bool
	lastRequest uint64
	claims      map[uint64]claim

	History          []HistoryEntry
	Violations       []string
	holders          map[string]string // key: which claim may have run, or has ended
	Granted          int
	DedupWindow      Time // for which groups drop repeats of ops whose key begins with d; 0: there are none
	BoundClaims      int  // claims that were given beside another
	firstRuns        map[string]firstRun
	repeatedUnder    map[string]map[string]bool // key: claims under which it was repeated
	SentRecords      int                        // that were sent to who lacked them
	SentDigests      int                        // that were sent
	OnSend           func(replication.Send)     // hears of each message; nil for nobody
	Answers          map[uint64]ChangeAnswer
	DynamicReplicas  bool                                        // keepers have disks, and change by agreement
	ReplicaSetConfig replicaset.Config                           // of the agreement
	DropIf           func(to string, x replication.Message) bool // which messages are lost besides; nil for none
	CrashProbability float64                                     // chance to end after each round of what a process does, anywhere among its messages
	Epochs           map[uint64]int                              // turns that came into force, and at how many processes
	DiskFailures     int                                         // rounds that a disk did not take
}

type claim struct {
	key         string
	scheduler   *node
	core        *replication.Core
	requestedAt Time
}

// New makes a cluster of so many schedulers, the first of which are keepers.
func New(n, count int, seed uint64) *Cluster {
	p := &Cluster{Rand: rand.New(rand.NewPCG(seed, 0x706c6179)), Config: replication.Defaults(), Delay: 5, byName: map[string]*node{},
		cutLinks: map[[2]string]bool{}, claims: map[uint64]claim{}, holders: map[string]string{}, firstRuns: map[string]firstRun{}, repeatedUnder: map[string]map[string]bool{}, Answers: map[uint64]ChangeAnswer{}, Epochs: map[uint64]int{}, ReplicaSetConfig: replicaset.Defaults()}
	p.Config.AmnesiaHoldOff, p.Config.Retention = 5*Second, 600*Second
	for i := range count {
		p.Config.Replicas = append(p.Config.Replicas, fmt.Sprint("n", i))
	}
	for i := range n {
		pl := &node{name: fmt.Sprint("n", i)}
		p.nodes = append(p.nodes, pl)
		p.byName[pl.name] = pl
	}
	return p
}

// Start starts a process at a place, with what lasts there and nothing else.
func (p *Cluster) Start(i int) {
	pl := p.nodes[i]
	t := p.Config
	t.Name, t.Seed, t.Nonce, t.DynamicReplicas = pl.name, p.Rand.Uint64(), p.Rand.Uint64(), p.DynamicReplicas
	pl.generation++
	pl.core, pl.running, pl.paused, pl.deferred, pl.diskFailed = replication.New(t, p.Now()), true, false, nil, false
	if p.DynamicReplicas {
		if pl.disk == nil {
			pl.disk = &disk{state: replicaset.State{VoterID: p.Rand.Uint64()>>1 | 1}, records: map[string]replication.Record{}, firstSeen: map[string]Time{}, cursors: map[string]replication.ReplicationCursor{}}
		}
		a := p.ReplicaSetConfig
		a.Name, a.Replicas, a.Seed = pl.name, t.Replicas, p.Rand.Uint64()
		pl.replicaSet = replicaset.New(a, pl.disk.state, p.Now())
		pl.core.AdoptStored(pl.replicaSet.Set())
		life := pl.disk.incarnation
		if pl.disk.setID != pl.core.SetID() {
			life = replication.Incarnation{}
		}
		var records []replication.Record
		for _, k := range slices.Sorted(maps.Keys(pl.disk.records)) {
			r := pl.disk.records[k]
			r.Age = uint64((p.Now() - pl.disk.firstSeen[k]) / Second)
			records = append(records, r)
		}
		var seen []replication.ReplicationCursor
		for _, k := range slices.Sorted(maps.Keys(pl.disk.cursors)) {
			seen = append(seen, pl.disk.cursors[k])
		}
		pl.core.Restore(records, life, seen)
		p.stepReplicaSet(pl, pl.core, replicaset.Membership{Serving: true})
	}
	p.step(pl, pl.core, replication.Membership{Serving: true, Generation: pl.generation})
	for _, other := range p.nodes {
		if other != pl && other.running && p.DynamicReplicas {
			p.step(other, other.core, replication.PeerStatus{Name: pl.name})
			p.step(pl, pl.core, replication.PeerStatus{Name: other.name})
		}
	}
	p.tick(pl, pl.core)
}

// LoseDisk has nothing last of a place whose process has ended.
func (p *Cluster) LoseDisk(i int) { p.nodes[i].disk = nil }

// FailDisk has the disk of a place take nothing from now on, or work again.
func (p *Cluster) FailDisk(i int, on bool) { p.nodes[i].diskFailing = on }

// DiskFailed tells whether the disk of a place failed since its process started.
func (p *Cluster) DiskFailed(i int) bool { return p.nodes[i].diskFailed }

// diskFault tells whether a place's disk fails in a round. What it fails to sync it may have written all the same.
func (p *Cluster) diskFault(pl *node) (failed, written bool) {
	if !pl.diskFailing {
		return false, true
	}
	pl.diskFailed = true
	p.DiskFailures++
	return true, p.Rand.IntN(2) == 0
}

// SetAlive has everybody hold a member for here, or for gone.
func (p *Cluster) SetAlive(i int, here bool) {
	for _, pl := range p.nodes {
		if pl.running && pl.replicaSet != nil && pl != p.nodes[i] {
			p.stepReplicaSet(pl, pl.core, replicaset.PeerStatus{Name: p.nodes[i].name, Alive: here})
		}
	}
}

// RequestChange has staff ask a scheduler for other keepers; it returns the ticket under which Answers has the answer.
func (p *Cluster) RequestChange(i int, want ...int) uint64 {
	pl := p.nodes[i]
	p.lastRequest++
	if !pl.running || pl.replicaSet == nil {
		return p.lastRequest
	}
	var names []string
	for _, k := range want {
		names = append(names, p.nodes[k].name)
	}
	p.stepReplicaSet(pl, pl.core, replicaset.ChangeRequest{RequestID: p.lastRequest, Epoch: pl.replicaSet.Set().Epoch, Replicas: names})
	return p.lastRequest
}

func (p *Cluster) tick(pl *node, core *replication.Core) {
	p.At(p.Now()+Millisecond*5, func() {
		if pl.core == core && pl.running {
			p.step(pl, core, replication.Tick{})
			if pl.replicaSet != nil && pl.replicaSet.NextTick() <= p.Now() {
				p.stepReplicaSet(pl, core, replicaset.Tick{})
			}
			p.tick(pl, core)
		}
	})
}

// Kill ends a process at once.
func (p *Cluster) Kill(i int) { p.nodes[i].running, p.nodes[i].deferred = false, nil }

// Pause stops a process; what comes waits for it.
func (p *Cluster) Pause(i int) { p.nodes[i].paused = true }

// Resume has it go on.
func (p *Cluster) Resume(i int) {
	pl := p.nodes[i]
	pl.paused = false
	waits := pl.deferred
	pl.deferred = nil
	for _, f := range waits {
		f()
	}
}

// Replace has another process take the name of one that stands still; the first one wakes up after a while, and says what it still has
// to say before it learns of it.
func (p *Cluster) Replace(i int, after Time) {
	pl := p.nodes[i]
	old := &node{name: pl.name, core: pl.core, running: pl.running, paused: true, generation: pl.generation, replicaSet: pl.replicaSet, disk: pl.disk}
	pl.disk = nil // the other one runs elsewhere
	p.nodes = append(p.nodes, old)
	k := len(p.nodes) - 1
	p.Start(i)
	p.At(p.Now()+after, func() {
		p.Resume(k)
		p.tick(old, old.core)
	})
	p.At(p.Now()+after+2*Second, func() { old.running = false }) // by then it has learned that it is superseded
}

// CutLink cuts the way from one to another, or opens it.
func (p *Cluster) CutLink(from, to int, on bool) {
	k := [2]string{p.nodes[from].name, p.nodes[to].name}
	if on {
		p.cutLinks[k] = true
	} else {
		delete(p.cutLinks, k)
	}
}

// Claim has a scheduler ask for an op.
func (p *Cluster) Claim(i int, key string) {
	pl := p.nodes[i]
	if !pl.running || pl.core == nil {
		return
	}
	p.lastRequest++
	ticket := p.lastRequest
	in := replication.ClaimRequest{RequestID: ticket, Key: key, Fingerprint: 1, Timeout: 5 * Second}
	if key[0] == 'd' {
		in.Window = p.DedupWindow
	}
	p.claims[ticket] = claim{key, pl, pl.core, p.Now()}
	p.step(pl, pl.core, in)
}

func (p *Cluster) violation(format string, v ...any) {
	p.Violations = append(p.Violations, fmt.Sprintf("at %.3f s: ", float64(p.Now())/float64(Second))+fmt.Sprintf(format, v...))
}

// checkDecision judges an outcome: of one op, no two claims may be used.
func (p *Cluster) checkDecision(d replication.ClaimDecided) {
	w := p.claims[d.RequestID]
	claim := fmt.Sprint(d.RequestID)
	p.History = append(p.History, HistoryEntry{At: p.Now(), Scheduler: w.scheduler.name, Key: w.key, Claim: int(d.RequestID), Step: "asked", Result: d.Result, RequestedAt: w.requestedAt})
	switch d.Result {
	case replication.Granted:
		p.Granted++
		if d.Outcome.Group != "" {
			p.checkBound(w, claim, d)
			return
		}
		if p.DedupWindow > 0 && w.key[0] == 'd' {
			p.startRun(w, claim, d.RequestID)
			return
		}
		if h := p.holders[w.key]; h != "" {
			p.violation("%s is given to claim %s of %s, and claim %s may have run", w.key, claim, w.scheduler.name, h)
		}
		p.holders[w.key] = claim
		if r := p.Rand.IntN(10); r < 2 {
			return // its end is never told
		} else {
			p.At(p.Now()+Time(p.Rand.IntN(5000)), func() {
				if !w.scheduler.running || w.scheduler.core != w.core {
					return
				}
				unsent := r < 5
				if unsent && p.holders[w.key] == claim {
					p.holders[w.key] = "" // from here on it pushes nothing
				}
				p.History = append(p.History, HistoryEntry{At: p.Now(), Scheduler: w.scheduler.name, Key: w.key, Claim: int(d.RequestID), Step: map[bool]string{true: "released", false: "ended"}[unsent]})
				p.step(w.scheduler, w.core, replication.OpEnded{RequestID: d.RequestID, NeverRan: unsent, Verdict: 200, Result: []byte(claim), ResultRetained: true})
			})
		}
	case replication.AlreadyAnswered:
		if p.repeatedUnder[w.key][string(d.Outcome.Result)] {
			return // it ran under another claim as well, where that was dropped
		}
		if h := p.holders[w.key]; string(d.Outcome.Result) != h {
			p.violation("%s is answered with the result of claim %s, and claim %s had it", w.key, d.Outcome.Result, h)
		}
	}
}

// firstRun is where an op ran first, and when.
type firstRun struct {
	group string
	at    Time
}

// startRun has an op whose repeats a group drops begin to run at one of two, for a while.
func (p *Cluster) startRun(w claim, claim string, ticket uint64) {
	p.holders[w.key] = claim
	where := []string{"zone east", "zone west"}[p.Rand.IntN(2)]
	p.At(p.Now()+Time(p.Rand.IntN(300)), func() {
		if !w.scheduler.running || w.scheduler.core != w.core || w.scheduler.paused {
			return
		}
		p.firstRuns[w.key] = firstRun{where, p.Now()}
		p.step(w.scheduler, w.core, replication.MayHaveRun{RequestID: ticket, Group: where})
		p.endLater(w, claim, ticket)
	})
}

// endLater has an op end after a while, or never.
func (p *Cluster) endLater(w claim, claim string, ticket uint64) {
	if p.Rand.IntN(3) == 0 {
		return
	}
	p.At(p.Now()+Time(p.Rand.IntN(60_000)), func() {
		if p.Rand.IntN(3) == 0 { // nacked: a repeat is harmless, there
			p.step(w.scheduler, w.core, replication.OpEnded{RequestID: ticket, Abandoned: true})
			return
		}
		p.step(w.scheduler, w.core, replication.OpEnded{RequestID: ticket, Verdict: 200, Result: []byte(claim), ResultRetained: true})
	})
}

// checkBound judges a claim that is given beside another one: only in the group where that ran, within the window, and told no younger.
func (p *Cluster) checkBound(w claim, claim string, d replication.ClaimDecided) {
	p.BoundClaims++
	f, ok := p.firstRuns[w.key]
	switch {
	case !ok || f.group != d.Outcome.Group:
		p.violation("%s is given to claim %s of %s in %s, and ran in %q", w.key, claim, w.scheduler.name, d.Outcome.Group, f.group)
	case p.Now()-f.at >= p.DedupWindow:
		p.violation("%s is given to claim %s of %s after the window", w.key, claim, w.scheduler.name)
	case p.Now()-Time(d.Outcome.Age) > f.at:
		p.violation("%s is told to be younger than it is", w.key)
	}
	if p.repeatedUnder[w.key] == nil {
		p.repeatedUnder[w.key] = map[string]bool{}
	}
	p.repeatedUnder[w.key][claim] = true
	p.endLater(w, claim, d.RequestID)
}

// SetDead has everybody hold a member for gone, or for here.
func (p *Cluster) SetDead(i int, gone bool) {
	for _, pl := range p.nodes {
		if pl.running && pl != p.nodes[i] {
			p.step(pl, pl.core, replication.PeerStatus{Name: p.nodes[i].name, Dead: gone})
		}
	}
}

// ready tells whether a process takes an input now; one that stands still takes it when it goes on.
func (p *Cluster) ready(pl *node, core *replication.Core, later func()) bool {
	if !pl.running || pl.core != core {
		return false
	}
	if pl.paused && len(pl.deferred) < 500 {
		pl.deferred = append(pl.deferred, later)
	}
	return !pl.paused
}

func (p *Cluster) step(pl *node, core *replication.Core, in replication.Input) {
	if !p.ready(pl, core, func() { p.step(pl, core, in) }) {
		return
	}
	effects := core.Step(p.Now(), in)
	kept := p.persist(pl, core, effects) // what must last does before anything is sent
	var owed []replication.Input
	if !kept {
		owed = append(owed, replication.PersistFailed{Keys: replication.PersistedKeys(effects)})
	}
	for _, e := range effects {
		if e, ok := e.(replication.SetAdopted); ok {
			p.Epochs[e.Epoch]++
			kept = p.stepReplicaSet(pl, core, replicaset.SetLearned{Set: e.Set}) && kept
		}
	}
	for _, e := range effects {
		if p.mayCrash(pl, core) {
			return
		}
		switch e := e.(type) {
		case replication.ClaimDecided:
			if !kept && e.Result == replication.Granted { // its own vote may be among those that granted it
				e = replication.ClaimDecided{RequestID: e.RequestID, Result: replication.NoQuorum}
				owed = append(owed, replication.OpEnded{RequestID: e.RequestID, NeverRan: true})
			}
			p.checkDecision(e)
		case replication.ReplicasReady:
			if kept {
				p.stepReplicaSet(pl, core, replicaset.ReplicasReady{Epoch: e.Epoch})
			}
		case replication.Send:
			if !kept && e.RequiresDurability() {
				continue
			}
			p.SentRecords += len(e.Records)
			p.SentDigests += len(e.Digests)
			if p.OnSend != nil {
				p.OnSend(e)
			}
			if p.DropIf != nil && p.DropIf(e.To, e.Message) {
				continue
			}
			p.send(pl, e.To, func(to *node) { p.step(to, to.core, replication.MessageReceived{From: pl.name, Message: e.Message}) })
		}
	}
	for _, in := range owed {
		p.step(pl, core, in)
	}
}

// persist puts on a place's disk what a round of effects asks for; false where that failed.
func (p *Cluster) persist(pl *node, core *replication.Core, effects []replication.Effect) bool {
	lasts := slices.ContainsFunc(effects, func(e replication.Effect) bool {
		switch e.(type) {
		case replication.Persist, replication.Delete, replication.ReplicationCursor, replication.IncarnationPersisted:
			return pl.disk != nil
		}
		return false
	})
	if !lasts {
		return true
	}
	failed, written := p.diskFault(pl)
	if !written {
		return false
	}
	for _, e := range effects {
		switch e := e.(type) {
		case replication.Persist:
			pl.disk.records[e.Key], pl.disk.firstSeen[e.Key] = e.Record, p.Now()-Time(e.Age)*Second
		case replication.Delete:
			delete(pl.disk.records, e.Key)
		case replication.ReplicationCursor:
			pl.disk.cursors[e.Replica] = e
		case replication.IncarnationPersisted:
			pl.disk.incarnation, pl.disk.setID = e.Incarnation, core.SetID()
		}
	}
	return !failed
}

// stepReplicaSet feeds the agreement; false where its state could not be put where it lasts.
func (p *Cluster) stepReplicaSet(pl *node, core *replication.Core, in replicaset.Input) bool {
	if !p.ready(pl, core, func() { p.stepReplicaSet(pl, core, in) }) {
		return true
	}
	effects := pl.replicaSet.Step(p.Now(), in)
	for _, e := range effects {
		e, ok := e.(replicaset.Persist)
		if !ok {
			continue
		}
		failed, written := p.diskFault(pl)
		if written {
			pl.disk.state = e.State
		}
		if failed {
			pl.replicaSet.Step(p.Now(), replicaset.PersistFailed{})
			p.step(pl, core, replication.PersistFailed{})
			return false
		}
	}
	for _, e := range effects {
		if p.mayCrash(pl, core) {
			return true
		}
		switch e := e.(type) {
		case replicaset.Send:
			p.send(pl, e.To, func(to *node) {
				if to.replicaSet != nil {
					p.stepReplicaSet(to, to.core, replicaset.MessageReceived{From: pl.name, Message: e.Message})
				}
			})
		case replicaset.SetAgreed:
			p.step(pl, core, replication.AdoptSet{Set: e.Set})
		case replicaset.ChangeResult:
			p.Answers[e.RequestID] = ChangeAnswer{e.OK, e.Message}
		case replicaset.Event:
			if e.Description == "takes no part in changes of keepers any more" {
				p.violation("%s: %s", pl.name, e.Subject)
			}
		}
	}
	return true
}

// mayCrash has a process end among what it does, by chance, and come back.
func (p *Cluster) mayCrash(pl *node, core *replication.Core) bool {
	if pl.core != core || !pl.running {
		return true
	}
	i := slices.Index(p.nodes, pl)
	if p.CrashProbability == 0 || i >= len(p.byName) || p.Rand.Float64() >= p.CrashProbability {
		return false
	}
	p.Kill(i)
	p.At(p.Now()+Time(p.Rand.IntN(20_000)), func() {
		if !pl.running {
			p.Start(i)
		}
	})
	return true
}

func (p *Cluster) send(from *node, name string, hear func(to *node)) {
	to := p.byName[name]
	lost, twice := p.Rand.Float64() < p.Loss, p.Rand.Float64() < p.Duplication
	wait := p.Delay/2 + Time(p.Rand.Int64N(int64(p.Delay)+1))
	if p.Rand.Float64() < p.Duplication/4 {
		wait += Time(p.Rand.Int64N(int64(30 * Second))) // and some come much later
	}
	if to == nil || lost {
		return
	}
	way := [2]string{from.name, name}
	deliver := func() {
		if !p.cutLinks[way] && to.core != nil {
			hear(to)
		}
	}
	if p.At(p.Now()+wait, deliver); twice {
		p.At(p.Now()+3*wait, deliver)
	}
}

// Core is what runs at a place, nil for nothing.
func (p *Cluster) Core(i int) *replication.Core {
	if pl := p.nodes[i]; pl.running {
		return pl.core
	}
	return nil
}
