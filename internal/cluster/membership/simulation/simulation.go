// Package simulation runs a complete cluster of membership nodes under one seed in virtual time: links
// with loss, delay and cuts in either direction, and processes that pause, crash, leave and restart. The
// simulation knows the real state of each process, and checks every view against these states.
package simulation

import (
	"fmt"
	"math/rand/v2"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/testsupport/simclock"
)

// Time is the unit of the nodes' time.
type Time = membership.Time

// Durations in the unit of Time.
const (
	Millisecond Time = 10
	Second      Time = 10_000
)

const (
	clusterName     = "swarm"
	randomStream    = 0x737761726d // separates these random draws from others with the same seed
	maxQueuedInputs = 400          // inputs that a socket buffers for a paused process
)

// Hooks are called while a cluster runs. The zero value calls nothing.
type Hooks struct {
	OnChange   func(at Time, observer, subject string, state membership.State) // in the observer's view
	OnSend     func(membership.Message)
	AroundStep func(step func()) // must call step, which passes an input to a node
}

// Cluster is a cluster in virtual time.
type Cluster struct {
	simclock.Clock[Time]
	Hooks
	Traffic
	Config     membership.Config // of all processes; the fields that identify a process are not set
	Conditions LinkConditions
	Seeds      []string
	MaxPause   Time // a pause up to this long must not be reported as a death

	Violations     []string // of the guarantees of membership
	DetectionTimes []Time   // times from a death to each report of it

	rand         *rand.Rand
	hosts        []*host
	byAddr       map[string]*host
	byName       map[string][]*host
	network      network
	reachability reachability
}

// host is an address at which processes of one name run, one after the other. Other hosts may have the
// same name.
type host struct {
	name, addr    string
	index         int
	node          *membership.Node // nil before the first start
	nonce         uint64           // of the present incarnation
	running       bool
	startedAt     Time
	endedAt       Time
	paused        bool
	pausedAt      Time
	queuedInputs  []membership.Input       // inputs that arrived while the process was paused
	scheduledTick Time                     // time of the latest scheduled tick; 0 for none
	joined        bool                     // the node has reported Joined
	stopped       bool                     // the node has reported Stopped: it was replaced, or it has left
	observed      map[string]observedState // the state of each name in its view
}

// live reports whether a process runs, is not paused, and has not reported Stopped.
func (h *host) live() bool { return h.running && !h.stopped && !h.paused }

// New returns a cluster of count hosts with different names. No process runs yet.
func New(count int, seed uint64) *Cluster {
	c := &Cluster{
		Config:     membership.Defaults(),
		Conditions: LinkConditions{Delay: 2, Jitter: 3},
		MaxPause:   2 * Second,
		Traffic:    Traffic{Kinds: map[membership.Kind]int64{}},
		rand:       rand.New(rand.NewPCG(seed, randomStream)),
		byAddr:     map[string]*host{},
		byName:     map[string][]*host{},
		network: network{
			cut:     map[link]bool{},
			streams: map[uint64]streamEndpoints{},
		},
	}
	for i := range count {
		c.AddHost(fmt.Sprintf("n%03d", i))
	}
	c.Seeds = []string{c.hosts[0].addr, c.hosts[min(1, count-1)].addr}
	return c
}

// AddHost adds a host for processes of a name, and returns its index.
func (c *Cluster) AddHost(name string) int {
	index := len(c.hosts)
	h := &host{name: name, index: index, addr: fmt.Sprintf("a%d", index), observed: map[string]observedState{}}
	c.hosts = append(c.hosts, h)
	c.byAddr[h.addr] = h
	c.byName[name] = append(c.byName[name], h)
	c.reachability.addHost()
	return index
}

// Start starts a new process on a host.
func (c *Cluster) Start(index int) {
	h := c.hosts[index]
	config := c.Config
	config.Cluster = clusterName
	config.Name = h.name
	config.Addr = h.addr
	config.Number = index
	config.Seeds = c.Seeds
	config.Nonce = c.rand.Uint64()
	config.Seed = c.rand.Uint64()
	h.reset(config, c.Now())
	c.recordReachability()
	c.feed(h, membership.Tick{})
}

// reset replaces the host's process by a new one.
func (h *host) reset(config membership.Config, now Time) {
	h.node = membership.New(config, now)
	h.nonce = config.Nonce
	h.running = true
	h.startedAt = now
	h.paused = false
	h.queuedInputs = nil
	h.scheduledTick = 0
	h.joined = false
	h.stopped = false
	h.observed = map[string]observedState{}
}

// Kill ends a process without notice.
func (c *Cluster) Kill(index int) {
	c.recordReachability()
	c.end(c.hosts[index])
	c.recordReachability()
}

func (c *Cluster) end(h *host) {
	h.running = false
	h.endedAt = c.Now()
	h.queuedInputs = nil
}

// Leave makes a process notify the other members that it leaves, and end.
func (c *Cluster) Leave(index int) { c.feed(c.hosts[index], membership.LeaveRequested{}) }

// Pause suspends a process until Resume. The process is not notified.
func (c *Cluster) Pause(index int) {
	h := c.hosts[index]
	h.paused = true
	h.pausedAt = c.Now()
}

// Resume resumes a paused process. It then receives the inputs that arrived meanwhile.
func (c *Cluster) Resume(index int) {
	h := c.hosts[index]
	if !h.paused {
		return
	}
	c.recordReachability()
	h.paused = false
	if c.Now()-h.pausedAt > c.MaxPause {
		c.reachability.markUnreachable(index, c.Now())
	}
	inputs := h.queuedInputs
	h.queuedInputs = nil
	c.feed(h, membership.Tick{})
	for _, input := range inputs {
		c.feed(h, input)
	}
}

// feed passes an input to a process, and carries out the effects.
func (c *Cluster) feed(h *host, input membership.Input) {
	switch {
	case !h.running:
		return
	case h.paused:
		if len(h.queuedInputs) < maxQueuedInputs {
			h.queuedInputs = append(h.queuedInputs, input)
		}
		return
	}
	node := h.node
	for _, effect := range c.step(node, input) {
		c.apply(h, effect)
	}
	c.scheduleTick(h, node)
}

func (c *Cluster) step(node *membership.Node, input membership.Input) (effects []membership.Effect) {
	step := func() { effects = node.Step(c.Now(), input) }
	if c.AroundStep != nil {
		c.AroundStep(step)
	} else {
		step()
	}
	return effects
}

// scheduleTick schedules the next tick of a node. If an earlier tick is scheduled already, that tick
// schedules the next one.
func (c *Cluster) scheduleTick(h *host, node *membership.Node) {
	at := node.NextTick()
	if h.scheduledTick > c.Now() && h.scheduledTick <= at {
		return
	}
	h.scheduledTick = at
	c.At(at, func() {
		if h.node != node || !h.running || h.scheduledTick != at {
			return
		}
		h.scheduledTick = 0
		if !h.paused { // else Resume feeds a tick
			c.feed(h, membership.Tick{})
		}
	})
}

// apply carries out an effect of a process.
func (c *Cluster) apply(h *host, effect membership.Effect) {
	switch e := effect.(type) {
	case membership.Send:
		c.sendDatagram(h, e)
	case membership.OpenStream:
		c.openStream(h, e)
	case membership.StreamReply:
		c.replyOnStream(h, e)
	case membership.MemberChanged:
		c.checkChange(h, e)
	case membership.Joined:
		h.joined = true
		h.stopped = false
		c.recordReachability()
	case membership.Stopped:
		h.stopped = true
		c.recordReachability()
		if !e.Replaced {
			h.running = false
			h.endedAt = c.Now()
		}
	}
}

// Member returns the node on a host.
func (c *Cluster) Member(index int) *membership.Node { return c.hosts[index].node }

// Running reports whether a process runs on a host, and whether it has reported that it is a member.
func (c *Cluster) Running(index int) (running, member bool) {
	h := c.hosts[index]
	return h.running, h.running && h.joined && !h.stopped
}

// StateOf returns the state of a name in the view of a host's process.
func (c *Cluster) StateOf(index int, name string) membership.State {
	return c.hosts[index].observed[name].state
}

// Rand returns the cluster's source of random numbers, from which callers draw faults.
func (c *Cluster) Rand() *rand.Rand { return c.rand }

// Size returns the number of hosts.
func (c *Cluster) Size() int { return len(c.hosts) }
