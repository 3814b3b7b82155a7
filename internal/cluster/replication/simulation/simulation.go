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
	MS     Time = 10
	Second Time = 10_000
)

// Op is one step of the history: what a scheduler was told of an op, or did with it.
type Op struct {
	At      Time
	By      string
	Key     string
	Claim   int // numbers wants
	What    string
	Outcome replication.ClaimResult
	Asked   Time
}

// Place is where processes of one name run: two at once where a second one is started while the first stands still.
type place struct {
	name       string
	core       *replication.Core
	up         bool
	paused     bool
	waits      []func()
	life       uint64
	agree      *replicaset.Core // nil where keepers do not change
	disk       *disk
	diskFails  bool // its disk takes nothing now
	diskFailed bool // nor did it, some time since its process started
}

// disk is what lasts of a place.
type disk struct {
	state   replicaset.State
	records map[string]replication.Record
	first   map[string]Time // when each was first heard of
	seen    map[string]replication.ReplicationCursor
	life    replication.Incarnation
	epoch   uint64
}

// Answer is what staff were told.
type Answer struct {
	Done bool
	Text string
}

// Play is one cluster.
type Play struct {
	simclock.Clock[Time]
	Rand    *rand.Rand
	Terms   replication.Config
	Loss    float64
	Dup     float64
	Delay   Time
	places  []*place
	byName  map[string]*place
	cuts    map[[2]string]bool
	tickets uint64
	wants   map[uint64]want

	History  []Op
	Breaches []string
	holder   map[string]string // key: which claim may have run, or has ended
	Granted  int
	Window   Time // for which groups drop repeats of ops whose key begins with d; 0: there are none
	Bound    int  // claims that were given beside another
	first    map[string]ran
	repeats  map[string]map[string]bool // key: claims under which it was repeated
	Records  int                        // that were sent to who lacked them
	Digests  int                        // that were sent
	Weigh    func(replication.Send)     // hears of each message; nil for nobody
	Answers  map[uint64]Answer
	Agreed   bool                                        // keepers have disks, and change by agreement
	Rule     replicaset.Config                           // of the agreement
	Lose     func(to string, x replication.Message) bool // which messages are lost besides; nil for none
	Crash    float64                                     // chance to end after each round of what a process does, anywhere among its messages
	Turns    map[uint64]int                              // turns that came into force, and at how many processes
	Failed   int                                         // rounds that a disk did not take
}

type want struct {
	key   string
	by    *place
	core  *replication.Core
	asked Time
}

// New makes a cluster of so many schedulers, the first of which are keepers.
func New(n, count int, seed uint64) *Play {
	p := &Play{Rand: rand.New(rand.NewPCG(seed, 0x706c6179)), Terms: replication.Defaults(), Delay: 5, byName: map[string]*place{},
		cuts: map[[2]string]bool{}, wants: map[uint64]want{}, holder: map[string]string{}, first: map[string]ran{}, repeats: map[string]map[string]bool{}, Answers: map[uint64]Answer{}, Turns: map[uint64]int{}, Rule: replicaset.Defaults()}
	p.Terms.AmnesiaHoldOff, p.Terms.Retention = 5*Second, 600*Second
	for i := range count {
		p.Terms.Replicas = append(p.Terms.Replicas, fmt.Sprint("n", i))
	}
	for i := range n {
		pl := &place{name: fmt.Sprint("n", i)}
		p.places = append(p.places, pl)
		p.byName[pl.name] = pl
	}
	return p
}

// Start starts a process at a place, with what lasts there and nothing else.
func (p *Play) Start(i int) {
	pl := p.places[i]
	t := p.Terms
	t.Name, t.Seed, t.Nonce, t.DynamicReplicas = pl.name, p.Rand.Uint64(), p.Rand.Uint64(), p.Agreed
	pl.life++
	pl.core, pl.up, pl.paused, pl.waits, pl.diskFailed = replication.New(t, p.Now()), true, false, nil, false
	if p.Agreed {
		if pl.disk == nil {
			pl.disk = &disk{state: replicaset.State{VoterID: p.Rand.Uint64()>>1 | 1}, records: map[string]replication.Record{}, first: map[string]Time{}, seen: map[string]replication.ReplicationCursor{}}
		}
		a := p.Rule
		a.Name, a.Replicas, a.Seed = pl.name, t.Replicas, p.Rand.Uint64()
		pl.agree = replicaset.New(a, pl.disk.state, p.Now())
		pl.core.AdoptStored(pl.agree.Set())
		life := pl.disk.life
		if pl.disk.epoch != pl.core.SetID() {
			life = replication.Incarnation{}
		}
		var records []replication.Record
		for _, k := range slices.Sorted(maps.Keys(pl.disk.records)) {
			r := pl.disk.records[k]
			r.Age = uint64((p.Now() - pl.disk.first[k]) / Second)
			records = append(records, r)
		}
		var seen []replication.ReplicationCursor
		for _, k := range slices.Sorted(maps.Keys(pl.disk.seen)) {
			seen = append(seen, pl.disk.seen[k])
		}
		pl.core.Restore(records, life, seen)
		p.agree(pl, pl.core, replicaset.Membership{Serving: true})
	}
	p.feed(pl, pl.core, replication.Membership{Serving: true, Generation: pl.life})
	for _, other := range p.places {
		if other != pl && other.up && p.Agreed {
			p.feed(other, other.core, replication.PeerStatus{Name: pl.name})
			p.feed(pl, pl.core, replication.PeerStatus{Name: other.name})
		}
	}
	p.tick(pl, pl.core)
}

// Forget has nothing last of a place whose process has ended.
func (p *Play) Forget(i int) { p.places[i].disk = nil }

// FailDisk has the disk of a place take nothing from now on, or work again.
func (p *Play) FailDisk(i int, on bool) { p.places[i].diskFails = on }

// DiskFailed tells whether the disk of a place failed since its process started.
func (p *Play) DiskFailed(i int) bool { return p.places[i].diskFailed }

// fails tells whether a place's disk fails in a round. What it fails to sync it may have written all the same.
func (p *Play) fails(pl *place) (failed, written bool) {
	if !pl.diskFails {
		return false, true
	}
	pl.diskFailed = true
	p.Failed++
	return true, p.Rand.IntN(2) == 0
}

// See has everybody hold a member for here, or for gone.
func (p *Play) See(i int, here bool) {
	for _, pl := range p.places {
		if pl.up && pl.agree != nil && pl != p.places[i] {
			p.agree(pl, pl.core, replicaset.PeerStatus{Name: p.places[i].name, Alive: here})
		}
	}
}

// Change has staff ask a scheduler for other keepers; it returns the ticket under which Answers has the answer.
func (p *Play) Change(i int, want ...int) uint64 {
	pl := p.places[i]
	p.tickets++
	if !pl.up || pl.agree == nil {
		return p.tickets
	}
	var names []string
	for _, k := range want {
		names = append(names, p.places[k].name)
	}
	p.agree(pl, pl.core, replicaset.ChangeRequest{RequestID: p.tickets, Epoch: pl.agree.Set().Epoch, Replicas: names})
	return p.tickets
}

func (p *Play) tick(pl *place, core *replication.Core) {
	p.At(p.Now()+MS*5, func() {
		if pl.core == core && pl.up {
			p.feed(pl, core, replication.Tick{})
			if pl.agree != nil && pl.agree.NextTick() <= p.Now() {
				p.agree(pl, core, replicaset.Tick{})
			}
			p.tick(pl, core)
		}
	})
}

// Kill ends a process at once.
func (p *Play) Kill(i int) { p.places[i].up, p.places[i].waits = false, nil }

// Pause stops a process; what comes waits for it.
func (p *Play) Pause(i int) { p.places[i].paused = true }

// Resume has it go on.
func (p *Play) Resume(i int) {
	pl := p.places[i]
	pl.paused = false
	waits := pl.waits
	pl.waits = nil
	for _, f := range waits {
		f()
	}
}

// Depose has another process take the name of one that stands still; the first one wakes up after a while, and says what it still has
// to say before it learns of it.
func (p *Play) Depose(i int, after Time) {
	pl := p.places[i]
	old := &place{name: pl.name, core: pl.core, up: pl.up, paused: true, life: pl.life, agree: pl.agree, disk: pl.disk}
	pl.disk = nil // the other one runs elsewhere
	p.places = append(p.places, old)
	k := len(p.places) - 1
	p.Start(i)
	p.At(p.Now()+after, func() {
		p.Resume(k)
		p.tick(old, old.core)
	})
	p.At(p.Now()+after+2*Second, func() { old.up = false }) // by then it has learned that it is superseded
}

// Cut cuts the way from one to another, or opens it.
func (p *Play) Cut(from, to int, on bool) {
	k := [2]string{p.places[from].name, p.places[to].name}
	if on {
		p.cuts[k] = true
	} else {
		delete(p.cuts, k)
	}
}

// Want has a scheduler ask for an op.
func (p *Play) Want(i int, key string) {
	pl := p.places[i]
	if !pl.up || pl.core == nil {
		return
	}
	p.tickets++
	ticket := p.tickets
	in := replication.ClaimRequest{RequestID: ticket, Key: key, Fingerprint: 1, Timeout: 5 * Second}
	if key[0] == 'd' {
		in.Window = p.Window
	}
	p.wants[ticket] = want{key, pl, pl.core, p.Now()}
	p.feed(pl, pl.core, in)
}

func (p *Play) breach(format string, v ...any) {
	p.Breaches = append(p.Breaches, fmt.Sprintf("at %.3f s: ", float64(p.Now())/float64(Second))+fmt.Sprintf(format, v...))
}

// decided judges an outcome: of one op, no two claims may be used.
func (p *Play) decided(d replication.ClaimDecided) {
	w := p.wants[d.RequestID]
	claim := fmt.Sprint(d.RequestID)
	p.History = append(p.History, Op{At: p.Now(), By: w.by.name, Key: w.key, Claim: int(d.RequestID), What: "asked", Outcome: d.Result, Asked: w.asked})
	switch d.Result {
	case replication.Granted:
		p.Granted++
		if d.Outcome.Group != "" {
			p.boundTo(w, claim, d)
			return
		}
		if p.Window > 0 && w.key[0] == 'd' {
			p.runs(w, claim, d.RequestID)
			return
		}
		if h := p.holder[w.key]; h != "" {
			p.breach("%s is given to claim %s of %s, and claim %s may have run", w.key, claim, w.by.name, h)
		}
		p.holder[w.key] = claim
		if r := p.Rand.IntN(10); r < 2 {
			return // its end is never told
		} else {
			p.At(p.Now()+Time(p.Rand.IntN(5000)), func() {
				if !w.by.up || w.by.core != w.core {
					return
				}
				unsent := r < 5
				if unsent && p.holder[w.key] == claim {
					p.holder[w.key] = "" // from here on it pushes nothing
				}
				p.History = append(p.History, Op{At: p.Now(), By: w.by.name, Key: w.key, Claim: int(d.RequestID), What: map[bool]string{true: "released", false: "ended"}[unsent]})
				p.feed(w.by, w.core, replication.OpEnded{RequestID: d.RequestID, NeverRan: unsent, Verdict: 200, Result: []byte(claim), ResultRetained: true})
			})
		}
	case replication.AlreadyAnswered:
		if p.repeats[w.key][string(d.Outcome.Result)] {
			return // it ran under another claim as well, where that was dropped
		}
		if h := p.holder[w.key]; string(d.Outcome.Result) != h {
			p.breach("%s is answered with the result of claim %s, and claim %s had it", w.key, d.Outcome.Result, h)
		}
	}
}

// ran is where an op ran first, and when.
type ran struct {
	where string
	at    Time
}

// runs has an op whose repeats a group drops begin to run at one of two, for a while.
func (p *Play) runs(w want, claim string, ticket uint64) {
	p.holder[w.key] = claim
	where := []string{"zone east", "zone west"}[p.Rand.IntN(2)]
	p.At(p.Now()+Time(p.Rand.IntN(300)), func() {
		if !w.by.up || w.by.core != w.core || w.by.paused {
			return
		}
		p.first[w.key] = ran{where, p.Now()}
		p.feed(w.by, w.core, replication.MayHaveRun{RequestID: ticket, Group: where})
		p.finish(w, claim, ticket)
	})
}

// finish has an op end after a while, or never.
func (p *Play) finish(w want, claim string, ticket uint64) {
	if p.Rand.IntN(3) == 0 {
		return
	}
	p.At(p.Now()+Time(p.Rand.IntN(60_000)), func() {
		if p.Rand.IntN(3) == 0 { // nacked: a repeat is harmless, there
			p.feed(w.by, w.core, replication.OpEnded{RequestID: ticket, Abandoned: true})
			return
		}
		p.feed(w.by, w.core, replication.OpEnded{RequestID: ticket, Verdict: 200, Result: []byte(claim), ResultRetained: true})
	})
}

// boundTo judges a claim that is given beside another one: only in the group where that ran, within the window, and told no younger.
func (p *Play) boundTo(w want, claim string, d replication.ClaimDecided) {
	p.Bound++
	f, ok := p.first[w.key]
	switch {
	case !ok || f.where != d.Outcome.Group:
		p.breach("%s is given to claim %s of %s in %s, and ran in %q", w.key, claim, w.by.name, d.Outcome.Group, f.where)
	case p.Now()-f.at >= p.Window:
		p.breach("%s is given to claim %s of %s after the window", w.key, claim, w.by.name)
	case p.Now()-Time(d.Outcome.Age) > f.at:
		p.breach("%s is told to be younger than it is", w.key)
	}
	if p.repeats[w.key] == nil {
		p.repeats[w.key] = map[string]bool{}
	}
	p.repeats[w.key][claim] = true
	p.finish(w, claim, d.RequestID)
}

// Hold has everybody hold a member for gone, or for here.
func (p *Play) Hold(i int, gone bool) {
	for _, pl := range p.places {
		if pl.up && pl != p.places[i] {
			p.feed(pl, pl.core, replication.PeerStatus{Name: p.places[i].name, Dead: gone})
		}
	}
}

// awake tells whether a process takes an input now; one that stands still takes it when it goes on.
func (p *Play) awake(pl *place, core *replication.Core, later func()) bool {
	if !pl.up || pl.core != core {
		return false
	}
	if pl.paused && len(pl.waits) < 500 {
		pl.waits = append(pl.waits, later)
	}
	return !pl.paused
}

func (p *Play) feed(pl *place, core *replication.Core, in replication.Input) {
	if !p.awake(pl, core, func() { p.feed(pl, core, in) }) {
		return
	}
	effects := core.Step(p.Now(), in)
	kept := p.keep(pl, core, effects) // what must last does before anything is sent
	var owed []replication.Input
	if !kept {
		owed = append(owed, replication.PersistFailed{Keys: replication.PersistedKeys(effects)})
	}
	for _, e := range effects {
		if e, ok := e.(replication.SetAdopted); ok {
			p.Turns[e.Epoch]++
			kept = p.agree(pl, core, replicaset.SetLearned{Set: e.Set}) && kept
		}
	}
	for _, e := range effects {
		if p.crashes(pl, core) {
			return
		}
		switch e := e.(type) {
		case replication.ClaimDecided:
			if !kept && e.Result == replication.Granted { // its own vote may be among those that granted it
				e = replication.ClaimDecided{RequestID: e.RequestID, Result: replication.NoQuorum}
				owed = append(owed, replication.OpEnded{RequestID: e.RequestID, NeverRan: true})
			}
			p.decided(e)
		case replication.ReplicasReady:
			if kept {
				p.agree(pl, core, replicaset.ReplicasReady{Epoch: e.Epoch})
			}
		case replication.Send:
			if !kept && e.RequiresDurability() {
				continue
			}
			p.Records += len(e.Records)
			p.Digests += len(e.Digests)
			if p.Weigh != nil {
				p.Weigh(e)
			}
			if p.Lose != nil && p.Lose(e.To, e.Message) {
				continue
			}
			p.send(pl, e.To, func(to *place) { p.feed(to, to.core, replication.MessageReceived{From: pl.name, Message: e.Message}) })
		}
	}
	for _, in := range owed {
		p.feed(pl, core, in)
	}
}

// keep puts on a place's disk what a round of effects asks for; false where that failed.
func (p *Play) keep(pl *place, core *replication.Core, effects []replication.Effect) bool {
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
	failed, written := p.fails(pl)
	if !written {
		return false
	}
	for _, e := range effects {
		switch e := e.(type) {
		case replication.Persist:
			pl.disk.records[e.Key], pl.disk.first[e.Key] = e.Record, p.Now()-Time(e.Age)*Second
		case replication.Delete:
			delete(pl.disk.records, e.Key)
		case replication.ReplicationCursor:
			pl.disk.seen[e.Replica] = e
		case replication.IncarnationPersisted:
			pl.disk.life, pl.disk.epoch = e.Incarnation, core.SetID()
		}
	}
	return !failed
}

// agree feeds the agreement; false where its state could not be put where it lasts.
func (p *Play) agree(pl *place, core *replication.Core, in replicaset.Input) bool {
	if !p.awake(pl, core, func() { p.agree(pl, core, in) }) {
		return true
	}
	effects := pl.agree.Step(p.Now(), in)
	for _, e := range effects {
		e, ok := e.(replicaset.Persist)
		if !ok {
			continue
		}
		failed, written := p.fails(pl)
		if written {
			pl.disk.state = e.State
		}
		if failed {
			pl.agree.Step(p.Now(), replicaset.PersistFailed{})
			p.feed(pl, core, replication.PersistFailed{})
			return false
		}
	}
	for _, e := range effects {
		if p.crashes(pl, core) {
			return true
		}
		switch e := e.(type) {
		case replicaset.Send:
			p.send(pl, e.To, func(to *place) {
				if to.agree != nil {
					p.agree(to, to.core, replicaset.MessageReceived{From: pl.name, Message: e.Message})
				}
			})
		case replicaset.SetAgreed:
			p.feed(pl, core, replication.AdoptSet{Set: e.Set})
		case replicaset.ChangeResult:
			p.Answers[e.RequestID] = Answer{e.OK, e.Message}
		case replicaset.Event:
			if e.Description == "takes no part in changes of keepers any more" {
				p.breach("%s: %s", pl.name, e.Subject)
			}
		}
	}
	return true
}

// crashes has a process end among what it does, by chance, and come back.
func (p *Play) crashes(pl *place, core *replication.Core) bool {
	if pl.core != core || !pl.up {
		return true
	}
	i := slices.Index(p.places, pl)
	if p.Crash == 0 || i >= len(p.byName) || p.Rand.Float64() >= p.Crash {
		return false
	}
	p.Kill(i)
	p.At(p.Now()+Time(p.Rand.IntN(20_000)), func() {
		if !pl.up {
			p.Start(i)
		}
	})
	return true
}

func (p *Play) send(from *place, name string, hear func(to *place)) {
	to := p.byName[name]
	lost, twice := p.Rand.Float64() < p.Loss, p.Rand.Float64() < p.Dup
	wait := p.Delay/2 + Time(p.Rand.Int64N(int64(p.Delay)+1))
	if p.Rand.Float64() < p.Dup/4 {
		wait += Time(p.Rand.Int64N(int64(30 * Second))) // and some come much later
	}
	if to == nil || lost {
		return
	}
	way := [2]string{from.name, name}
	deliver := func() {
		if !p.cuts[way] && to.core != nil {
			hear(to)
		}
	}
	if p.At(p.Now()+wait, deliver); twice {
		p.At(p.Now()+3*wait, deliver)
	}
}

// Core is what runs at a place, nil for nothing.
func (p *Play) Core(i int) *replication.Core {
	if pl := p.places[i]; pl.up {
		return pl.core
	}
	return nil
}
