// Package play plays a whole cluster of schedulers and keepers under one seed in virtual time, with crashes, pauses, cuts, lost memory
// and messages that are lost, doubled and late, and judges what it did by what the schedulers were told.
package play

import (
	"fmt"
	"math/rand/v2"

	"woaddyke/internal/copies"
	"woaddyke/internal/virtual"
)

// Time is the core's.
type Time = copies.Time

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
	Outcome copies.Outcome
	Asked   Time
}

// Place is where processes of one name run: two at once where a second one is started while the first stands still.
type place struct {
	name   string
	core   *copies.Core
	up     bool
	paused bool
	waits  []func()
	life   uint64
}

// Play is one cluster.
type Play struct {
	virtual.Clock[Time]
	Rand    *rand.Rand
	Terms   copies.Terms
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
	Bytes    int
	Records  int // records that were sent in pieces
}

type want struct {
	key   string
	by    *place
	core  *copies.Core
	asked Time
}

// New makes a cluster of so many schedulers, the first of which are keepers.
func New(n, keepers int, seed uint64) *Play {
	p := &Play{Rand: rand.New(rand.NewPCG(seed, 0x706c6179)), Terms: copies.Defaults(), Delay: 5, byName: map[string]*place{},
		cuts: map[[2]string]bool{}, wants: map[uint64]want{}, holder: map[string]string{}}
	p.Terms.HoldOff, p.Terms.Remember = 5*Second, 600*Second
	for i := range keepers {
		p.Terms.Keepers = append(p.Terms.Keepers, fmt.Sprint("n", i))
	}
	for i := range n {
		pl := &place{name: fmt.Sprint("n", i)}
		p.places = append(p.places, pl)
		p.byName[pl.name] = pl
	}
	return p
}

// Start starts a process without memory at a place.
func (p *Play) Start(i int) {
	pl := p.places[i]
	t := p.Terms
	t.Name, t.Chance, t.Nonce = pl.name, p.Rand.Uint64(), p.Rand.Uint64()
	pl.life++
	pl.core, pl.up, pl.paused, pl.waits = copies.New(t, p.Now()), true, false, nil
	p.feed(pl, pl.core, copies.Serving{On: true, Life: pl.life})
	p.tick(pl, pl.core)
}

func (p *Play) tick(pl *place, core *copies.Core) {
	p.At(p.Now()+MS*5, func() {
		if pl.core == core && pl.up {
			p.feed(pl, core, copies.Tick{})
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
	old := &place{name: pl.name, core: pl.core, up: pl.up, paused: true, life: pl.life}
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
	p.wants[ticket] = want{key, pl, pl.core, p.Now()}
	p.feed(pl, pl.core, copies.Want{Ticket: ticket, Key: key, Print: 1, Within: 5 * Second})
}

func (p *Play) breach(format string, v ...any) {
	p.Breaches = append(p.Breaches, fmt.Sprintf("at %.3f s: ", float64(p.Now())/float64(Second))+fmt.Sprintf(format, v...))
}

// decided judges an outcome: of one op, no two claims may be used.
func (p *Play) decided(d copies.Decided) {
	w := p.wants[d.Ticket]
	claim := fmt.Sprint(d.Ticket)
	p.History = append(p.History, Op{At: p.Now(), By: w.by.name, Key: w.key, Claim: int(d.Ticket), What: "asked", Outcome: d.Outcome, Asked: w.asked})
	switch d.Outcome {
	case copies.Mine:
		p.Granted++
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
				p.History = append(p.History, Op{At: p.Now(), By: w.by.name, Key: w.key, Claim: int(d.Ticket), What: map[bool]string{true: "released", false: "ended"}[unsent]})
				p.feed(w.by, w.core, copies.End{Ticket: d.Ticket, Unsent: unsent, Verdict: 200, Result: []byte(claim), Held: true})
			})
		}
	case copies.Again:
		if h := p.holder[w.key]; string(d.Fate.Result) != h {
			p.breach("%s is answered with the result of claim %s, and claim %s had it", w.key, d.Fate.Result, h)
		}
	}
}

func (p *Play) feed(pl *place, core *copies.Core, in copies.Input) {
	if !pl.up || pl.core != core {
		return
	}
	if pl.paused {
		if len(pl.waits) < 500 {
			pl.waits = append(pl.waits, func() { p.feed(pl, core, in) })
		}
		return
	}
	for _, e := range core.Take(p.Now(), in) {
		switch e := e.(type) {
		case copies.Decided:
			p.decided(e)
		case copies.Send:
			p.send(pl, e)
		}
	}
}

func (p *Play) send(from *place, e copies.Send) {
	to := p.byName[e.To]
	lost, twice := p.Rand.Float64() < p.Loss, p.Rand.Float64() < p.Dup
	wait := p.Delay/2 + Time(p.Rand.Int64N(int64(p.Delay)+1))
	if p.Rand.Float64() < p.Dup/4 {
		wait += Time(p.Rand.Int64N(int64(30 * Second))) // and some come much later
	}
	for _, r := range e.Records {
		p.Records++
		p.Bytes += len(r.Key) + 80
	}
	if to == nil || lost {
		return
	}
	way := [2]string{from.name, e.To}
	deliver := func() {
		if !p.cuts[way] && to.core != nil {
			p.feed(to, to.core, copies.Heard{From: from.name, Message: e.Message})
		}
	}
	if p.At(p.Now()+wait, deliver); twice {
		p.At(p.Now()+3*wait, deliver)
	}
}

// Core is what runs at a place, nil for nothing.
func (p *Play) Core(i int) *copies.Core {
	if pl := p.places[i]; pl.up {
		return pl.core
	}
	return nil
}
