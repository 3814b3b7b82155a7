// Package simulation plays a whole cluster of members under one seed in virtual time: links with loss, delay and cuts in either
// direction, pauses, crashes and returns. It knows what was true at each moment and holds every view against it.
package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/testsupport/simclock"
)

// Time is a member's.
type Time = membership.Time

// Spans in the unit of Time.
const (
	MS     Time = 10
	Second Time = 10_000
)

// Links are what all links are like but for cuts.
type Links struct {
	Loss          float64 // of a datagram, each way
	Dup           float64
	Delay, Jitter Time
}

// node is one name's place: at most one process speaks for it, and others of that name may stand still or live elsewhere.
type node struct {
	name, addr string
	index      int
	m          *membership.Node
	up         bool
	started    Time
	died       Time
	paused     bool
	pausedAt   Time
	waits      []membership.Input // what came while it was paused
	tick       Time               // of the newest tick that is planned
	nonce      uint64
	ended      bool // its own word: superseded, or gone after leaving
	settled    bool
	held       map[string]holding // what it holds of each name
}

type holding struct {
	state membership.State
	life  membership.Incarnation
	turn  uint64
	since Time

	private bool
}

// Swarm is one cluster.
type Swarm struct {
	simclock.Clock[Time]
	rand   *rand.Rand
	Links  Links
	Terms  membership.Config
	nodes  []*node
	byAddr map[string]*node
	byName map[string][]*node
	cut    map[[2]int]bool // from, to
	bad    [][]Time        // when two could last not reach each other both ways, directly or through one other
	gone   map[string]bool // names that left or were superseded for good

	streams  map[uint64][2]*node // who opened, who answers
	lastID   uint64
	Seeds    []string
	Breaches []string
	Bound    Time // a pause up to this long must not be taken for an end
	Watch    func(at Time, by, of string, state membership.State)

	Weigh       func(membership.Message) // each message that is sent
	Around      func(take func())        // each input that a member takes
	Sent, Bytes int64                    // datagrams and messages on streams, by an estimate of their size
	Detected    []Time
	Kinds       map[membership.Kind]int64
}

// New makes a cluster of so many names, none of which runs.
func New(n int, seed uint64) *Swarm {
	s := &Swarm{rand: rand.New(rand.NewPCG(seed, 0x737761726d)), byAddr: map[string]*node{}, byName: map[string][]*node{}, cut: map[[2]int]bool{},
		streams: map[uint64][2]*node{}, Kinds: map[membership.Kind]int64{}, Terms: membership.Defaults(), Links: Links{Delay: 2 * 1, Jitter: 3}, Bound: 2 * Second, gone: map[string]bool{},
		Weigh: func(membership.Message) {}, Around: func(take func()) { take() }}
	for i := range n {
		s.Place(fmt.Sprintf("n%03d", i))
	}
	s.Seeds = []string{s.nodes[0].addr, s.nodes[min(1, n-1)].addr}
	return s
}

// Place adds a place where a process of that name can run.
func (s *Swarm) Place(name string) int {
	i := len(s.nodes)
	n := &node{name: name, index: i, addr: fmt.Sprintf("a%d", i), held: map[string]holding{}}
	s.nodes, s.byAddr[n.addr] = append(s.nodes, n), n
	s.byName[name] = append(s.byName[name], n)
	for k := range s.bad {
		s.bad[k] = append(s.bad[k], math.MinInt32)
	}
	row := make([]Time, len(s.nodes))
	for k := range row {
		row[k] = math.MinInt32
	}
	s.bad = append(s.bad, row)
	return i
}

// Start starts a new process at a place.
func (s *Swarm) Start(i int) {
	n := s.nodes[i]
	t := s.Terms
	t.Cluster, t.Name, t.Addr, t.Number, t.Seeds = "swarm", n.name, n.addr, i, s.Seeds
	t.Nonce, t.Seed = s.rand.Uint64(), s.rand.Uint64()
	n.m, n.up, n.paused, n.ended, n.settled, n.started, n.waits = membership.New(t, s.Now()), true, false, false, false, s.Now(), nil
	n.nonce, n.held, n.tick = t.Nonce, map[string]holding{}, 0
	s.world()
	s.feed(n, membership.Tick{})
}

// Kill ends a process at once.
func (s *Swarm) Kill(i int) {
	s.world()
	n := s.nodes[i]
	n.up, n.died, n.waits = false, s.Now(), nil
	s.world()
}

// Leave has a process tell the others that it ends, and end.
func (s *Swarm) Leave(i int) { s.feed(s.nodes[i], membership.LeaveRequested{}) }

// Pause stops a process.
func (s *Swarm) Pause(i int) {
	n := s.nodes[i]
	n.paused, n.pausedAt = true, s.Now()
}

// Resume has it go on.
func (s *Swarm) Resume(i int) {
	n := s.nodes[i]
	if !n.paused {
		return
	}
	s.world()
	n.paused = false
	if s.Now()-n.pausedAt > s.Bound {
		s.mark(i)
	}
	waits := n.waits
	n.waits = nil
	if n.up {
		s.feed(n, membership.Tick{})
		for _, in := range waits {
			s.feed(n, in)
		}
	}
}

// Cut cuts the link from one place to another, or opens it.
func (s *Swarm) Cut(from, to int, on bool) {
	s.world()
	if on {
		s.cut[[2]int{from, to}] = true
	} else {
		delete(s.cut, [2]int{from, to})
	}
	s.world()
}

// Part cuts all links between two groups, or opens them.
func (s *Swarm) Part(a, b []int, on bool) {
	for _, i := range a {
		for _, j := range b {
			if i != j {
				s.Cut(i, j, on)
				s.Cut(j, i, on)
			}
		}
	}
}

// mark notes that nobody could count on a place until now.
func (s *Swarm) mark(i int) {
	for j := range s.nodes {
		s.bad[i][j], s.bad[j][i] = s.Now(), s.Now()
	}
}

func (s *Swarm) answers(i int) bool {
	n := s.nodes[i]
	return n.up && !n.ended && !(n.paused && s.Now()-n.pausedAt > s.Bound)
}

func (s *Swarm) both(i, j int) bool {
	return !s.cut[[2]int{i, j}] && !s.cut[[2]int{j, i}]
}

// reaches tells whether two can reach each other both ways, directly or through one other.
func (s *Swarm) reaches(i, j int) bool {
	if !s.answers(i) || !s.answers(j) {
		return false
	}
	if s.both(i, j) {
		return true
	}
	for k := range s.nodes {
		if k != i && k != j && s.answers(k) && s.both(i, k) && s.both(k, j) {
			return true
		}
	}
	return false
}

// world notes which pairs can't reach each other now. It is called before and after each change of what is true.
func (s *Swarm) world() {
	if len(s.nodes) > 64 { // large plays judge deaths only
		return
	}
	for i := range s.nodes {
		for j := range s.nodes[:i] {
			if !s.reaches(i, j) {
				s.bad[i][j], s.bad[j][i] = s.Now(), s.Now()
			}
		}
	}
}

const mostWaits = 400 // what a socket holds for a process that stands still

func (s *Swarm) feed(n *node, in membership.Input) {
	if !n.up {
		return
	}
	if n.paused {
		if len(n.waits) < mostWaits {
			n.waits = append(n.waits, in)
		}
		return
	}
	m := n.m
	var todo []membership.Effect
	s.Around(func() { todo = m.Step(s.Now(), in) })
	for _, e := range todo {
		s.carry(n, e)
	}
	at := m.NextTick()
	if n.tick > s.Now() && n.tick <= at {
		return // a tick that comes earlier plans the next
	}
	n.tick = at
	s.At(at, func() {
		if n.m == m && n.up && n.tick == at {
			if n.tick = 0; n.paused {
				return // Resume feeds one
			}
			s.feed(n, membership.Tick{})
		}
	})
}

func size(x membership.Message) int64 {
	n := 60 + len(x.From.Name) + len(x.From.Addr) + len(x.Target) + len(x.Text) + 9*len(x.Digests) + 2*len(x.Buckets)
	for _, c := range x.Records {
		n += 28 + len(c.Name) + len(c.Addr) + len(c.ReportedBy)
	}
	return int64(n)
}

func (s *Swarm) carry(n *node, e membership.Effect) {
	switch e := e.(type) {
	case membership.Send:
		s.datagram(n, e.To, e.Message)
	case membership.OpenStream:
		to := s.byAddr[e.To]
		if to == nil {
			return
		}
		s.lastID++
		id := s.lastID
		s.streams[id] = [2]*node{n, to}
		s.At(s.Now()+10*Second, func() { delete(s.streams, id) })
		s.stream(n, to, id, e.Message)
	case membership.StreamReply:
		pair, ok := s.streams[e.Stream]
		if !ok {
			return
		}
		to := pair[0]
		if to == n {
			to = pair[1]
		}
		s.stream(n, to, e.Stream, e.Message)
	case membership.Joined:
		n.settled, n.ended = true, false
		s.world()
	case membership.Stopped:
		n.ended = true
		s.world()
		if !e.Replaced {
			n.up, n.died = false, s.Now()
			s.gone[n.name] = true
		}
	case membership.MemberChanged:
		s.changed(n, e)
	}
}

func (s *Swarm) count(x membership.Message) {
	s.Sent++
	s.Bytes += size(x)
	s.Kinds[x.Kind]++
	s.Weigh(x)
}

func (s *Swarm) datagram(n *node, addr string, x membership.Message) {
	s.count(x)
	to := s.byAddr[addr]
	lost, twice := s.rand.Float64() < s.Links.Loss, s.rand.Float64() < s.Links.Dup
	wait := s.Links.Delay + Time(float64(s.Links.Jitter)*s.rand.Float64())
	if to == nil || lost || s.cut[[2]int{n.index, to.index}] {
		return
	}
	deliver := func() {
		if !s.cut[[2]int{n.index, to.index}] {
			s.feed(to, membership.MessageReceived{Message: x})
		}
	}
	if s.At(s.Now()+wait, deliver); twice {
		s.At(s.Now()+2*wait+MS, deliver)
	}
}

// stream passes a message of a stream on: whole, later than a datagram and later still for what was lost of it, or not at all.
func (s *Swarm) stream(n, to *node, id uint64, x membership.Message) {
	s.count(x)
	wait := 3*s.Links.Delay + Time(float64(3*s.Links.Jitter)*s.rand.Float64())
	for s.rand.Float64() < s.Links.Loss {
		if wait += 200 * MS; wait > 5*Second {
			return
		}
	}
	if !s.both(n.index, to.index) {
		return
	}
	s.At(s.Now()+wait, func() {
		if s.both(n.index, to.index) {
			s.feed(to, membership.MessageReceived{Message: x, Stream: id})
		}
	})
}

func (s *Swarm) breach(format string, v ...any) {
	if len(s.Breaches) < 20 {
		s.Breaches = append(s.Breaches, fmt.Sprintf("at %.3f s: ", float64(s.Now())/float64(Second))+fmt.Sprintf(format, v...))
	}
}

// Grace is for how long two must have reached each other before a word that the other is gone is false: an older word may have
// been right, and the longest way from a word to a verdict is a doubt of the greatest length.
const Grace = 15 * Second

// changed holds what a member holds against what is true.
func (s *Swarm) changed(n *node, e membership.MemberChanged) {
	if s.Watch != nil {
		s.Watch(s.Now(), n.name, e.Name, e.State)
	}
	h, known := n.held[e.Name]
	now := holding{e.State, e.Incarnation, e.Refutations, s.Now(), e.Private}
	n.held[e.Name] = now
	if known && !h.private && h.life == now.life && h.turn == now.turn && h.state > now.state {
		s.breach("%s holds %s %v after %v in the same turn", n.name, e.Name, now.state, h.state)
	}
	i := n.index
	for _, of := range s.byName[e.Name] {
		if of.nonce != e.Nonce {
			continue
		}
		j := of.index
		s.world()
		if e.State == membership.Dead && len(s.nodes) <= 64 && s.answers(j) && s.Now()-max(s.bad[i][j], of.started, n.started) > Grace {
			s.breach("%s calls %s gone, by %s, and could reach it since %.3f s", n.name, e.Name, e.ReportedBy, float64(s.bad[i][j])/float64(Second))
		}
		if e.State == membership.Dead && !of.up {
			s.Detected = append(s.Detected, s.Now()-of.died)
		}
	}
}

// Settle says in which way the views of those that live and reach each other differ from one another or from what is true.
func (s *Swarm) Settle() (wrong []string) {
	for i, a := range s.nodes {
		if !a.up || a.ended || a.paused {
			continue
		}
		for j, b := range s.nodes {
			if i == j || s.taken(b) {
				continue
			}
			h := a.held[b.name]
			switch alive := b.up && !b.ended && !b.paused; {
			case alive && s.reaches(i, j) && (h.state != membership.Alive || h.life.Nonce != b.nonce):
				wrong = append(wrong, fmt.Sprintf("%s holds %s %v, which is here", a.name, b.name, h.state))
			case !b.up && b.m != nil && !h.state.Ended() && h.state != 0:
				wrong = append(wrong, fmt.Sprintf("%s holds %s %v, which is no more", a.name, b.name, h.state))
			}
			if b.up && !b.ended && i < j && s.reaches(i, j) && a.m.Digest() != b.m.Digest() {
				wrong = append(wrong, fmt.Sprintf("the digests of %s and %s differ", a.name, b.name))
			}
		}
	}
	return wrong
}

// taken tells whether another place has a process of this name that came later.
func (s *Swarm) taken(n *node) bool {
	for _, o := range s.nodes {
		if o != n && o.name == n.name && o.up && !o.ended && (o.started > n.started || n.ended || !n.up) {
			return true
		}
	}
	return false
}

// Member is what runs at a place.
func (s *Swarm) Member(i int) *membership.Node { return s.nodes[i].m }

// Runs tells whether a process runs at a place, and whether it is a member by its own word.
func (s *Swarm) Runs(i int) (up, member bool) {
	return s.nodes[i].up, s.nodes[i].up && s.nodes[i].settled && !s.nodes[i].ended
}

// Holds is what a place holds of a name.
func (s *Swarm) Holds(i int, name string) membership.State { return s.nodes[i].held[name].state }

// Rand draws for a play's own troubles.
func (s *Swarm) Rand() *rand.Rand { return s.rand }

// Size is how many places there are.
func (s *Swarm) Size() int { return len(s.nodes) }
