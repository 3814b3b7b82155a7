package mesh

import (
	"time"

	"woaddyke/internal/cluster/membership"
)

// loop holds the channels of the goroutine that owns the node.
type loop struct {
	inputs chan membership.Input
	calls  chan func() // functions to run between two inputs
	quit   chan struct{}
	done   chan struct{} // closed when the goroutine has ended
}

func newLoop() loop {
	return loop{
		inputs: make(chan membership.Input, maxQueuedInputs),
		calls:  make(chan func()),
		quit:   make(chan struct{}),
		done:   make(chan struct{}),
	}
}

// servingState is the state that the host was last notified of. Only the loop uses it.
type servingState struct {
	incarnation membership.Incarnation
	catchingUp  bool
}

// run passes inputs to the node and applies its effects until the mesh is closed.
func (m *Mesh) run() {
	defer close(m.loop.done)
	tick := time.NewTimer(0)
	defer tick.Stop()
	snapshot := time.NewTicker(snapshotInterval)
	defer snapshot.Stop()
	for {
		select {
		case <-m.loop.quit:
			return
		case call := <-m.loop.calls:
			call()
			continue
		case <-snapshot.C:
			m.updateSnapshot()
			continue
		case input := <-m.loop.inputs:
			m.handleInput(input)
		case <-tick.C:
			m.handleInput(membership.Tick{})
		}
		if !m.handedOver.Load() {
			wait := time.Duration(m.node.NextTick()-Now()) * membership.Tenth
			tick.Reset(max(wait, 0))
		}
	}
}

// enqueue queues an input for the loop, or drops it if the queue is full.
func (m *Mesh) enqueue(input membership.Input) {
	select {
	case m.loop.inputs <- input:
	default:
		m.dropped.add(errQueueFull)
	}
}

// callInLoop runs a function in the loop and waits for it. It does nothing once the loop has ended.
func (m *Mesh) callInLoop(f func()) {
	returned := make(chan struct{})
	select {
	case m.loop.calls <- func() { f(); close(returned) }:
		<-returned
	case <-m.loop.done:
	}
}

func (m *Mesh) handleInput(input membership.Input) {
	if m.handedOver.Load() {
		return
	}
	viewChanged, joined := false, false
	for _, effect := range m.node.Step(Now(), input) {
		switch effect.(type) {
		case membership.Joined:
			viewChanged, joined = true, true
		case membership.MemberChanged, membership.Stopped:
			viewChanged = true
		}
		m.applyEffect(effect)
	}
	if viewChanged || m.node.Self() != m.known.Load().self {
		m.updateSnapshot()
	}
	m.reportServing(joined)
}

// applyEffect applies an effect of the node.
func (m *Mesh) applyEffect(effect membership.Effect) {
	switch e := effect.(type) {
	case membership.Send:
		m.sendDatagram(e.To, e.Message)
	case membership.OpenStream:
		m.openStream(e.To, e.Message)
	case membership.StreamReply:
		m.streams.reply(e)
	case membership.MemberChanged:
		m.handleMemberChanged(e)
	case membership.UserMessageReceived:
		if m.host.UserMessage != nil {
			m.host.UserMessage(e.Number, e.Text)
		}
	case membership.Event:
		m.log.Info().Str("event", e.Description).Str("subject", e.Subject).Msg("membership event")
	case membership.Joined:
		self := m.node.Status()
		m.log.Info().Uint64("incarnation", self.Generation).Int("live", self.Live).Msg("joined the cluster")
	case membership.Stopped:
		m.handleStopped(e)
	}
}

func (m *Mesh) handleMemberChanged(e membership.MemberChanged) {
	m.log.Info().
		Str("member", e.Name).
		Stringer("state", e.State).
		Stringer("before", e.Before).
		Uint64("incarnation", e.Generation).
		Uint64("turn", e.Refutations).
		Str("by", e.ReportedBy).
		Bool("private", e.Private).
		Msg("member changed")
	if m.host.MemberChanged != nil {
		m.host.MemberChanged(e)
	}
}

func (m *Mesh) handleStopped(e membership.Stopped) {
	if m.host.ServingChanged != nil {
		m.host.ServingChanged(false, membership.Incarnation{})
	}
	m.log.Info().Bool("replaced", e.Replaced).Msg("no longer a member")
	if m.host.Stopped != nil {
		m.host.Stopped(e.Replaced)
	}
}

// reportServing notifies the host when this process joins, when it starts or stops catching up, and when its
// incarnation grows. The incarnation grows if the process chose it without knowing of another process of
// the same name.
func (m *Mesh) reportServing(joined bool) {
	if m.host.ServingChanged == nil {
		return
	}
	self := m.node.Self()
	current := servingState{incarnation: self.Incarnation, catchingUp: m.node.CatchingUp()}
	newIncarnation := current.incarnation != m.lastReported.incarnation && self.State == membership.Alive
	if joined || newIncarnation || current.catchingUp != m.lastReported.catchingUp {
		m.lastReported = current
		m.host.ServingChanged(!current.catchingUp, current.incarnation)
	}
}
