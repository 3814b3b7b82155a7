// Package drainstate keeps a scheduler from going back behind what its neighbours were told of workers: that one drains or has left the list
// binds whoever hears of it, until its own discovery has come as far. It takes an input with its time and returns what to tell; it does
// no input or output and reads no clock.
package drainstate

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"woaddyke/internal/cluster/membership"
)

// Time is a moment as members take it.
type Time = membership.Time

// DrainRecord says that a worker takes nothing new, as discovery told somebody. A worker that starts again has another boot and is another
// one. Revisions are discovery's own.
type DrainRecord struct {
	Worker   string `cbor:"Worker"`
	BootID   int64  `cbor:"Boot"` // ms, as discovery tells it
	Removed  bool   `cbor:"Gone"` // it has left the list; otherwise it drains
	Revision int64  `cbor:"Rev"`
}

// Merge is the rule for two words of one worker: of a later start, else of a later revision, else the worse one. It is commutative,
// associative and idempotent.
func Merge(a, b DrainRecord) DrainRecord {
	if compare(a, b) < 0 {
		return b
	}
	return a
}

func compare(a, b DrainRecord) int {
	gone := func(w DrainRecord) int {
		if w.Removed {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.BootID, b.BootID), cmp.Compare(a.Revision, b.Revision), cmp.Compare(gone(a), gone(b)))
}

// Bounds.
const (
	mostWords = 4096
	fan       = 3            // members that news is told to at a time
	times     = 4            // so often
	every     = Time(1000)   // 100 ms
	mostTold  = 24           // words to one member at a time: with the longest names they fit a message of the mesh
	longName  = 255          // bytes of a worker's name; nothing is told of one with a longer name
	remember  = Time(600000) // 60 s: by then discovery has told everybody, or nobody
)

// Endpoint is a worker as the own discovery tells it.
type Endpoint struct {
	Worker  string
	BootID  int64
	Ready   bool
	Removed bool
}

// EndpointsChanged is a list of the own discovery, whole or of changes.
type EndpointsChanged struct {
	Revision  int64
	Snapshot  bool
	Endpoints []Endpoint
}

// RecordsReceived are words of another member.
type RecordsReceived struct{ Records []DrainRecord }

// PeersChanged are the members that are here now; a new one among them is told all.
type PeersChanged struct{ Names []string }

// Tick says that the moment of Next has come.
type Tick struct{}

// Input is one of Told, Heard, Others and Tick.
type Input interface{ input() }

func (EndpointsChanged) input() {}
func (RecordsReceived) input()  {}
func (PeersChanged) input()     {}
func (Tick) input()             {}

// SendRecords has words told to a member.
type SendRecords struct {
	To      string
	Records []DrainRecord
}

// WorkerExcluded says that a worker takes nothing new from this scheduler, though its own discovery still lists it.
type WorkerExcluded struct{ Worker string }

// Effect is one of Tell and Bound.
type Effect interface{ effect() }

func (SendRecords) effect()    {}
func (WorkerExcluded) effect() {}

type held struct {
	DrainRecord
	at    Time
	times int
}

// Core is one scheduler's part.
type Core struct {
	rand   *rand.Rand
	rev    int64
	listed map[string]Endpoint
	words  map[string]*held
	others []string
	next   Time
	now    Time
	out    []Effect
}

// New starts with nothing.
func New(chance uint64) *Core {
	return &Core{rand: rand.New(rand.NewPCG(chance, 0x6c69737473)), listed: map[string]Endpoint{}, words: map[string]*held{}}
}

// Step takes an input and returns what to do.
func (c *Core) Step(now Time, in Input) []Effect {
	c.now, c.out = max(now, c.now), nil
	switch in := in.(type) {
	case EndpointsChanged:
		c.told(in)
	case RecordsReceived:
		for _, w := range in.Records {
			c.learn(w)
		}
	case PeersChanged:
		c.members(in.Names)
	}
	if c.now >= c.next {
		c.next = c.now + every
		c.spread()
	}
	return c.out
}

// NextTick is when a Tick is due.
func (c *Core) NextTick() Time { return c.next }

func (c *Core) told(in EndpointsChanged) {
	c.rev = in.Revision
	before := c.listed
	if in.Snapshot {
		c.listed = map[string]Endpoint{}
	}
	for _, e := range in.Endpoints {
		was, known := before[e.Worker] // of a change it is the same list
		if e.Removed {
			delete(c.listed, e.Worker)
		} else {
			c.listed[e.Worker] = e
		}
		if e.Removed || !e.Ready {
			if e.BootID == 0 && known {
				e.BootID = was.BootID
			}
			c.learn(DrainRecord{Worker: e.Worker, BootID: e.BootID, Removed: e.Removed, Revision: in.Revision})
		}
	}
	if in.Snapshot {
		for _, name := range sorted(before) {
			if _, still := c.listed[name]; !still {
				c.learn(DrainRecord{Worker: name, BootID: before[name].BootID, Removed: true, Revision: in.Revision})
			}
		}
	}
}

func sorted[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// learn takes a word, and passes on what is news.
func (c *Core) learn(w DrainRecord) {
	if w.Worker == "" || len(w.Worker) > longName {
		return
	}
	h := c.words[w.Worker]
	if h == nil {
		if len(c.words) >= mostWords {
			return // its own discovery will tell
		}
		h = &held{}
		c.words[w.Worker] = h
	} else if compare(w, h.DrainRecord) <= 0 {
		return
	}
	*h = held{DrainRecord: w, at: c.now}
	if c.Excluded(w.Worker) {
		c.out = append(c.out, WorkerExcluded{w.Worker})
	}
}

// Excluded tells whether a worker takes nothing new though the own discovery lists it as one that serves: a neighbour was told
// otherwise of this very start of it, at a revision that has not come here.
func (c *Core) Excluded(worker string) bool {
	e, listed := c.listed[worker]
	h := c.words[worker]
	return listed && e.Ready && h != nil && h.BootID >= e.BootID && h.Revision > c.rev && c.now-h.at < remember
}

// members takes the others that are here; those that are new are told all.
func (c *Core) members(names []string) {
	for _, n := range names {
		if !slices.Contains(c.others, n) {
			c.tell(n, func(*held) bool { return true })
		}
	}
	c.others = names
}

func (c *Core) tell(to string, which func(*held) bool) {
	var words []DrainRecord
	for _, name := range sorted(c.words) {
		if h := c.words[name]; which(h) {
			words = append(words, h.DrainRecord)
		}
	}
	for len(words) > 0 {
		n := min(len(words), mostTold)
		c.out = append(c.out, SendRecords{to, words[:n:n]})
		words = words[n:]
	}
}

// spread tells some members what is news, a few times: each passes it on.
func (c *Core) spread() {
	news := false
	for name, h := range c.words {
		if c.now-h.at >= remember {
			delete(c.words, name)
		} else if h.times < times {
			news = true
		}
	}
	if !news || len(c.others) == 0 {
		return
	}
	for _, i := range c.rand.Perm(len(c.others))[:min(fan, len(c.others))] {
		c.tell(c.others[i], func(h *held) bool { return h.times < times })
	}
	for _, h := range c.words {
		h.times++
	}
}
