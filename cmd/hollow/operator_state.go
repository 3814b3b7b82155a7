package main

import (
	"math/rand/v2"
	"sync"
	"time"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/mesh"
	"woaddyke/internal/cluster/operatorstate"
	"woaddyke/internal/lifecycle/boottime"
)

// broadcastInterval is the time between two messages with the operator state to a random member, as in
// cmd/woaddyke.
const broadcastInterval = time.Second

// board holds the operator states that one member knows. The member has no settings at first and adopts the
// first settings that it receives.
type board struct {
	mu          sync.Mutex
	states      *operatorstate.Registry
	hasSettings bool
	changed     bool // this member's state has changed since it was last sent
}

func newBoard() *board { return &board{states: operatorstate.New(uint64(boottime.Since()))} }

func (b *board) host() mesh.Host {
	return mesh.Host{OperatorState: b.receive, MemberChanged: b.memberChanged}
}

func (b *board) receive(from string, incarnation uint64, state operatorstate.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states.Receive(from, incarnation, state)
	if !b.hasSettings {
		b.hasSettings = true
		b.changed = b.states.SetOwn(state.SettingsHash, false)
	}
}

func (b *board) memberChanged(c membership.MemberChanged) {
	if !c.State.Ended() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states.Forget(c.Name)
}

// takeOwn returns this member's operator state, and whether it has changed since the last call. known is
// false until the member has adopted settings.
func (b *board) takeOwn() (state operatorstate.State, changed, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed = b.changed
	b.changed = false
	return b.states.Own(), changed, b.hasSettings
}

// broadcastOperatorStates sends the operator state of each member as a scheduler does: a changed state to
// all other members, and in each interval the present state to a random member.
func broadcastOperatorStates(members []*member, quit chan struct{}) {
	tick := time.NewTicker(broadcastInterval)
	defer tick.Stop()
	for {
		for _, m := range members {
			m.broadcastOperatorState()
		}
		select {
		case <-tick.C:
		case <-quit:
			return
		}
	}
}

func (m *member) broadcastOperatorState() {
	state, changed, known := m.board.takeOwn()
	names := m.mesh.Names()
	if !known || len(names) == 0 {
		return
	}
	if !changed {
		names = []string{names[rand.IntN(len(names))]}
	}
	for _, name := range names {
		m.mesh.SendOperatorState(name, state)
	}
}
