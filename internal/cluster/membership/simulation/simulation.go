// Package simulation runs a whole cluster of membership nodes under one seed in virtual time: links with
// loss, delay and cuts in either direction, and processes that pause, crash, leave and come back. It knows
// what is true at each moment and checks every view against it.
package simulation

import (
	"fmt"
	"math/rand/v2"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/testsupport/simclock"
)

// Time is the time of the nodes.
type Time = membership.Time

// Spans in the unit of Time.
const (
	Millisecond Time = 10
	Second      Time = 10_000
)

const (
	clusterName     = "swarm"
	randomStream    = 0x737761726d // tells these draws from others of the same seed
	maxQueuedInputs = 400          // what a socket holds for a process that is paused
)

// Hooks are called while a cluster runs. The zero value calls nothing.
type Hooks struct {
	OnChange   func(at Time, by, of string, state membership.State) // by holds of to be in a new state
	OnSend     func(membership.Message)
	AroundStep func(step func()) // must call step, in which a node takes an input
}

// Cluster is a cluster in virtual time.
type Cluster struct {
	simclock.Clock[Time]
	Hooks
	Traffic
	Config     membership.Config // of all processes, but for what tells them apart
	Conditions LinkConditions
	Seeds      []string
	MaxPause   Time // a pause up to this long must not be taken for an end

	Violations []string // of what members promise
	Detected   []Time   // for each report of a death that is true, how long after it

	rand      *rand.Rand
	processes []*process
	byAddr    map[string]*process
	byName    map[string][]*process
	network   network
	truth     reachability
}

// process is a place at which processes of one name run, one after the other. Other places may have the
// same name.
type process struct {
	name, addr   string
	index        int
	node         *membership.Node // nil before the first start
	nonce        uint64           // of the present incarnation
	running      bool
	startedAt    Time
	endedAt      Time
	paused       bool
	pausedAt     Time
	queuedInputs []membership.Input // that came while it was paused
	nextTick     Time               // the newest tick that is planned; 0 for none
	joined       bool               // as it reported itself
	stopped      bool               // as it reported itself: replaced, or it has left
	beliefs      map[string]belief  // what it holds of each name
}

// live tells whether a process runs and is not paused, and has not stopped by itself.
func (p *process) live() bool { return p.running && !p.stopped && !p.paused }

// New returns a cluster of count names, none of which runs.
func New(count int, seed uint64) *Cluster {
	c := &Cluster{
		Config:     membership.Defaults(),
		Conditions: LinkConditions{Delay: 2, Jitter: 3},
		MaxPause:   2 * Second,
		Traffic:    Traffic{Kinds: map[membership.Kind]int64{}},
		rand:       rand.New(rand.NewPCG(seed, randomStream)),
		byAddr:     map[string]*process{},
		byName:     map[string][]*process{},
		network: network{
			cut:     map[link]bool{},
			streams: map[uint64]streamEnds{},
		},
	}
	for i := range count {
		c.AddProcess(fmt.Sprintf("n%03d", i))
	}
	c.Seeds = []string{c.processes[0].addr, c.processes[min(1, count-1)].addr}
	return c
}

// AddProcess adds a place where processes of a name can run, and returns its index.
func (c *Cluster) AddProcess(name string) int {
	index := len(c.processes)
	p := &process{name: name, index: index, addr: fmt.Sprintf("a%d", index), beliefs: map[string]belief{}}
	c.processes = append(c.processes, p)
	c.byAddr[p.addr] = p
	c.byName[name] = append(c.byName[name], p)
	c.truth.grow()
	return index
}

// Start starts a new process at a place.
func (c *Cluster) Start(index int) {
	p := c.processes[index]
	config := c.Config
	config.Cluster = clusterName
	config.Name = p.name
	config.Addr = p.addr
	config.Number = index
	config.Seeds = c.Seeds
	config.Nonce = c.rand.Uint64()
	config.Seed = c.rand.Uint64()
	p.reset(config, c.Now())
	c.recordReachability()
	c.feed(p, membership.Tick{})
}

// reset puts a new process in the place of the one before.
func (p *process) reset(config membership.Config, now Time) {
	p.node = membership.New(config, now)
	p.nonce = config.Nonce
	p.running = true
	p.startedAt = now
	p.paused = false
	p.queuedInputs = nil
	p.nextTick = 0
	p.joined = false
	p.stopped = false
	p.beliefs = map[string]belief{}
}

// Kill ends a process at once.
func (c *Cluster) Kill(index int) {
	c.recordReachability()
	c.end(c.processes[index])
	c.recordReachability()
}

func (c *Cluster) end(p *process) {
	p.running = false
	p.endedAt = c.Now()
	p.queuedInputs = nil
}

// Leave has a process notify the others that it leaves, and end.
func (c *Cluster) Leave(index int) { c.feed(c.processes[index], membership.LeaveRequested{}) }

// Pause stops a process without its knowledge.
func (c *Cluster) Pause(index int) {
	p := c.processes[index]
	p.paused = true
	p.pausedAt = c.Now()
}

// Resume lets a paused process go on with what came meanwhile.
func (c *Cluster) Resume(index int) {
	p := c.processes[index]
	if !p.paused {
		return
	}
	c.recordReachability()
	p.paused = false
	if c.Now()-p.pausedAt > c.MaxPause {
		c.truth.markUnreachable(index, c.Now())
	}
	inputs := p.queuedInputs
	p.queuedInputs = nil
	c.feed(p, membership.Tick{})
	for _, input := range inputs {
		c.feed(p, input)
	}
}

// feed gives a process an input, and carries out the effects.
func (c *Cluster) feed(p *process, input membership.Input) {
	switch {
	case !p.running:
		return
	case p.paused:
		if len(p.queuedInputs) < maxQueuedInputs {
			p.queuedInputs = append(p.queuedInputs, input)
		}
		return
	}
	node := p.node
	for _, effect := range c.step(node, input) {
		c.apply(p, effect)
	}
	c.planTick(p, node)
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

// planTick plans the next tick of a node, unless an earlier one is planned, which then plans the next.
func (c *Cluster) planTick(p *process, node *membership.Node) {
	at := node.NextTick()
	if p.nextTick > c.Now() && p.nextTick <= at {
		return
	}
	p.nextTick = at
	c.At(at, func() {
		if p.node != node || !p.running || p.nextTick != at {
			return
		}
		p.nextTick = 0
		if !p.paused { // else Resume feeds a tick
			c.feed(p, membership.Tick{})
		}
	})
}

// apply carries out an effect of a process.
func (c *Cluster) apply(p *process, effect membership.Effect) {
	switch e := effect.(type) {
	case membership.Send:
		c.sendDatagram(p, e)
	case membership.OpenStream:
		c.openStream(p, e)
	case membership.StreamReply:
		c.replyOnStream(p, e)
	case membership.MemberChanged:
		c.checkChange(p, e)
	case membership.Joined:
		p.joined = true
		p.stopped = false
		c.recordReachability()
	case membership.Stopped:
		p.stopped = true
		c.recordReachability()
		if !e.Replaced {
			p.running = false
			p.endedAt = c.Now()
		}
	}
}

// Member returns the node at a place.
func (c *Cluster) Member(index int) *membership.Node { return c.processes[index].node }

// Running tells whether a process runs at a place, and whether it has reported that it is a member.
func (c *Cluster) Running(index int) (running, member bool) {
	p := c.processes[index]
	return p.running, p.running && p.joined && !p.stopped
}

// StateOf returns what a place holds of a name.
func (c *Cluster) StateOf(index int, name string) membership.State {
	return c.processes[index].beliefs[name].state
}

// Rand returns the source of random draws, for faults.
func (c *Cluster) Rand() *rand.Rand { return c.rand }

// Size returns the number of places.
func (c *Cluster) Size() int { return len(c.processes) }
