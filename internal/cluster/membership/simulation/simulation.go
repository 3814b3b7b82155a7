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
	Millisecond Time = 10
	Second      Time = 10_000
)

// LinkConditions are what all links are like but for cuts.
type LinkConditions struct {
	Loss          float64 // of a datagram, each way
	Dup           float64
	Delay, Jitter Time
}

// process is one name's place: at most one process speaks for it, and others of that name may stand still or live elsewhere.
type process struct {
	name, addr   string
	index        int
	node         *membership.Node
	running      bool
	startedAt    Time
	endedAt      Time
	paused       bool
	pausedAt     Time
	queuedInputs []membership.Input // what came while it was paused
	nextTick     Time               // of the newest tick that is planned
	nonce        uint64
	stopped      bool // its own word: superseded, or gone after leaving
	joined       bool
	beliefs      map[string]belief // what it holds of each name
}

type belief struct {
	state       membership.State
	incarnation membership.Incarnation
	refutations uint64
	since       Time

	private bool
}

// Cluster is one cluster.
type Cluster struct {
	simclock.Clock[Time]
	rand          *rand.Rand
	Conditions    LinkConditions
	Config        membership.Config
	nodes         []*process
	byAddr        map[string]*process
	byName        map[string][]*process
	cutLinks      map[[2]int]bool // from, to
	unreachableAt [][]Time        // when two could last not reach each other both ways, directly or through one other
	leftNames     map[string]bool // names that left or were superseded for good

	streams    map[uint64][2]*process // who opened, who answers
	lastID     uint64
	Seeds      []string
	Violations []string
	MaxPause   Time // a pause up to this long must not be taken for an end
	OnChange   func(at Time, by, of string, state membership.State)

	OnSend      func(membership.Message) // each message that is sent
	AroundStep  func(take func())        // each input that a member takes
	Sent, Bytes int64                    // datagrams and messages on streams, by an estimate of their size
	Detected    []Time
	Kinds       map[membership.Kind]int64
}

// New makes a cluster of so many names, none of which runs.
func New(n int, seed uint64) *Cluster {
	s := &Cluster{rand: rand.New(rand.NewPCG(seed, 0x737761726d)), byAddr: map[string]*process{}, byName: map[string][]*process{}, cutLinks: map[[2]int]bool{},
		streams: map[uint64][2]*process{}, Kinds: map[membership.Kind]int64{}, Config: membership.Defaults(), Conditions: LinkConditions{Delay: 2 * 1, Jitter: 3}, MaxPause: 2 * Second, leftNames: map[string]bool{},
		OnSend: func(membership.Message) {}, AroundStep: func(take func()) { take() }}
	for i := range n {
		s.AddProcess(fmt.Sprintf("n%03d", i))
	}
	s.Seeds = []string{s.nodes[0].addr, s.nodes[min(1, n-1)].addr}
	return s
}

// AddProcess adds a place where a process of that name can run.
func (s *Cluster) AddProcess(name string) int {
	i := len(s.nodes)
	n := &process{name: name, index: i, addr: fmt.Sprintf("a%d", i), beliefs: map[string]belief{}}
	s.nodes, s.byAddr[n.addr] = append(s.nodes, n), n
	s.byName[name] = append(s.byName[name], n)
	for k := range s.unreachableAt {
		s.unreachableAt[k] = append(s.unreachableAt[k], math.MinInt32)
	}
	row := make([]Time, len(s.nodes))
	for k := range row {
		row[k] = math.MinInt32
	}
	s.unreachableAt = append(s.unreachableAt, row)
	return i
}

// Start starts a new process at a place.
func (s *Cluster) Start(i int) {
	n := s.nodes[i]
	t := s.Config
	t.Cluster, t.Name, t.Addr, t.Number, t.Seeds = "swarm", n.name, n.addr, i, s.Seeds
	t.Nonce, t.Seed = s.rand.Uint64(), s.rand.Uint64()
	n.node, n.running, n.paused, n.stopped, n.joined, n.startedAt, n.queuedInputs = membership.New(t, s.Now()), true, false, false, false, s.Now(), nil
	n.nonce, n.beliefs, n.nextTick = t.Nonce, map[string]belief{}, 0
	s.recordReachability()
	s.feed(n, membership.Tick{})
}

// Kill ends a process at once.
func (s *Cluster) Kill(i int) {
	s.recordReachability()
	n := s.nodes[i]
	n.running, n.endedAt, n.queuedInputs = false, s.Now(), nil
	s.recordReachability()
}

// Leave has a process tell the others that it ends, and end.
func (s *Cluster) Leave(i int) { s.feed(s.nodes[i], membership.LeaveRequested{}) }

// Pause stops a process.
func (s *Cluster) Pause(i int) {
	n := s.nodes[i]
	n.paused, n.pausedAt = true, s.Now()
}

// Resume has it go on.
func (s *Cluster) Resume(i int) {
	n := s.nodes[i]
	if !n.paused {
		return
	}
	s.recordReachability()
	n.paused = false
	if s.Now()-n.pausedAt > s.MaxPause {
		s.markUnreachable(i)
	}
	waits := n.queuedInputs
	n.queuedInputs = nil
	if n.running {
		s.feed(n, membership.Tick{})
		for _, in := range waits {
			s.feed(n, in)
		}
	}
}

// Cut cuts the link from one place to another, or opens it.
func (s *Cluster) Cut(from, to int, on bool) {
	s.recordReachability()
	if on {
		s.cutLinks[[2]int{from, to}] = true
	} else {
		delete(s.cutLinks, [2]int{from, to})
	}
	s.recordReachability()
}

// Partition cuts all links between two groups, or opens them.
func (s *Cluster) Partition(a, b []int, on bool) {
	for _, i := range a {
		for _, j := range b {
			if i != j {
				s.Cut(i, j, on)
				s.Cut(j, i, on)
			}
		}
	}
}

// markUnreachable notes that nobody could count on a place until now.
func (s *Cluster) markUnreachable(i int) {
	for j := range s.nodes {
		s.unreachableAt[i][j], s.unreachableAt[j][i] = s.Now(), s.Now()
	}
}

func (s *Cluster) responsive(i int) bool {
	n := s.nodes[i]
	return n.running && !n.stopped && !(n.paused && s.Now()-n.pausedAt > s.MaxPause)
}

func (s *Cluster) linked(i, j int) bool {
	return !s.cutLinks[[2]int{i, j}] && !s.cutLinks[[2]int{j, i}]
}

// mutuallyReachable tells whether two can reach each other both ways, directly or through one other.
func (s *Cluster) mutuallyReachable(i, j int) bool {
	if !s.responsive(i) || !s.responsive(j) {
		return false
	}
	if s.linked(i, j) {
		return true
	}
	for k := range s.nodes {
		if k != i && k != j && s.responsive(k) && s.linked(i, k) && s.linked(k, j) {
			return true
		}
	}
	return false
}

// recordReachability notes which pairs can't reach each other now. It is called before and after each change of what is true.
func (s *Cluster) recordReachability() {
	if len(s.nodes) > 64 { // large plays judge deaths only
		return
	}
	for i := range s.nodes {
		for j := range s.nodes[:i] {
			if !s.mutuallyReachable(i, j) {
				s.unreachableAt[i][j], s.unreachableAt[j][i] = s.Now(), s.Now()
			}
		}
	}
}

const maxQueuedInputs = 400 // what a socket holds for a process that stands still

func (s *Cluster) feed(n *process, in membership.Input) {
	if !n.running {
		return
	}
	if n.paused {
		if len(n.queuedInputs) < maxQueuedInputs {
			n.queuedInputs = append(n.queuedInputs, in)
		}
		return
	}
	m := n.node
	var todo []membership.Effect
	s.AroundStep(func() { todo = m.Step(s.Now(), in) })
	for _, e := range todo {
		s.apply(n, e)
	}
	at := m.NextTick()
	if n.nextTick > s.Now() && n.nextTick <= at {
		return // a tick that comes earlier plans the next
	}
	n.nextTick = at
	s.At(at, func() {
		if n.node == m && n.running && n.nextTick == at {
			if n.nextTick = 0; n.paused {
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

func (s *Cluster) apply(n *process, e membership.Effect) {
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
		s.streams[id] = [2]*process{n, to}
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
		n.joined, n.stopped = true, false
		s.recordReachability()
	case membership.Stopped:
		n.stopped = true
		s.recordReachability()
		if !e.Replaced {
			n.running, n.endedAt = false, s.Now()
			s.leftNames[n.name] = true
		}
	case membership.MemberChanged:
		s.checkChange(n, e)
	}
}

func (s *Cluster) count(x membership.Message) {
	s.Sent++
	s.Bytes += size(x)
	s.Kinds[x.Kind]++
	s.OnSend(x)
}

func (s *Cluster) datagram(n *process, addr string, x membership.Message) {
	s.count(x)
	to := s.byAddr[addr]
	lost, twice := s.rand.Float64() < s.Conditions.Loss, s.rand.Float64() < s.Conditions.Dup
	wait := s.Conditions.Delay + Time(float64(s.Conditions.Jitter)*s.rand.Float64())
	if to == nil || lost || s.cutLinks[[2]int{n.index, to.index}] {
		return
	}
	deliver := func() {
		if !s.cutLinks[[2]int{n.index, to.index}] {
			s.feed(to, membership.MessageReceived{Message: x})
		}
	}
	if s.At(s.Now()+wait, deliver); twice {
		s.At(s.Now()+2*wait+Millisecond, deliver)
	}
}

// stream passes a message of a stream on: whole, later than a datagram and later still for what was lost of it, or not at all.
func (s *Cluster) stream(n, to *process, id uint64, x membership.Message) {
	s.count(x)
	wait := 3*s.Conditions.Delay + Time(float64(3*s.Conditions.Jitter)*s.rand.Float64())
	for s.rand.Float64() < s.Conditions.Loss {
		if wait += 200 * Millisecond; wait > 5*Second {
			return
		}
	}
	if !s.linked(n.index, to.index) {
		return
	}
	s.At(s.Now()+wait, func() {
		if s.linked(n.index, to.index) {
			s.feed(to, membership.MessageReceived{Message: x, Stream: id})
		}
	})
}

func (s *Cluster) violation(format string, v ...any) {
	if len(s.Violations) < 20 {
		s.Violations = append(s.Violations, fmt.Sprintf("at %.3f s: ", float64(s.Now())/float64(Second))+fmt.Sprintf(format, v...))
	}
}

// Grace is for how long two must have reached each other before a word that the other is gone is false: an older word may have
// been right, and the longest way from a word to a verdict is a doubt of the greatest length.
const Grace = 15 * Second

// checkChange holds what a member holds against what is true.
func (s *Cluster) checkChange(n *process, e membership.MemberChanged) {
	if s.OnChange != nil {
		s.OnChange(s.Now(), n.name, e.Name, e.State)
	}
	h, known := n.beliefs[e.Name]
	now := belief{e.State, e.Incarnation, e.Refutations, s.Now(), e.Private}
	n.beliefs[e.Name] = now
	if known && !h.private && h.incarnation == now.incarnation && h.refutations == now.refutations && h.state > now.state {
		s.violation("%s holds %s %v after %v in the same turn", n.name, e.Name, now.state, h.state)
	}
	i := n.index
	for _, of := range s.byName[e.Name] {
		if of.nonce != e.Nonce {
			continue
		}
		j := of.index
		s.recordReachability()
		if e.State == membership.Dead && len(s.nodes) <= 64 && s.responsive(j) && s.Now()-max(s.unreachableAt[i][j], of.startedAt, n.startedAt) > Grace {
			s.violation("%s calls %s gone, by %s, and could reach it since %.3f s", n.name, e.Name, e.ReportedBy, float64(s.unreachableAt[i][j])/float64(Second))
		}
		if e.State == membership.Dead && !of.running {
			s.Detected = append(s.Detected, s.Now()-of.endedAt)
		}
	}
}

// Disagreements says in which way the views of those that live and reach each other differ from one another or from what is true.
func (s *Cluster) Disagreements() (wrong []string) {
	for i, a := range s.nodes {
		if !a.running || a.stopped || a.paused {
			continue
		}
		for j, b := range s.nodes {
			if i == j || s.nameTaken(b) {
				continue
			}
			h := a.beliefs[b.name]
			switch alive := b.running && !b.stopped && !b.paused; {
			case alive && s.mutuallyReachable(i, j) && (h.state != membership.Alive || h.incarnation.Nonce != b.nonce):
				wrong = append(wrong, fmt.Sprintf("%s holds %s %v, which is here", a.name, b.name, h.state))
			case !b.running && b.node != nil && !h.state.Ended() && h.state != 0:
				wrong = append(wrong, fmt.Sprintf("%s holds %s %v, which is no more", a.name, b.name, h.state))
			}
			if b.running && !b.stopped && i < j && s.mutuallyReachable(i, j) && a.node.Digest() != b.node.Digest() {
				wrong = append(wrong, fmt.Sprintf("the digests of %s and %s differ", a.name, b.name))
			}
		}
	}
	return wrong
}

// nameTaken tells whether another place has a process of this name that came later.
func (s *Cluster) nameTaken(n *process) bool {
	for _, o := range s.nodes {
		if o != n && o.name == n.name && o.running && !o.stopped && (o.startedAt > n.startedAt || n.stopped || !n.running) {
			return true
		}
	}
	return false
}

// Member is what runs at a place.
func (s *Cluster) Member(i int) *membership.Node { return s.nodes[i].node }

// Running tells whether a process runs at a place, and whether it is a member by its own word.
func (s *Cluster) Running(i int) (up, member bool) {
	return s.nodes[i].running, s.nodes[i].running && s.nodes[i].joined && !s.nodes[i].stopped
}

// StateOf is what a place holds of a name.
func (s *Cluster) StateOf(i int, name string) membership.State { return s.nodes[i].beliefs[name].state }

// Rand draws for a play's own troubles.
func (s *Cluster) Rand() *rand.Rand { return s.rand }

// Size is how many places there are.
func (s *Cluster) Size() int { return len(s.nodes) }
