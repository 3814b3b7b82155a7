package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/operatorstate"
	"woaddyke/internal/lifecycle/boottime"
)

// broadcastInterval is the time between two messages with the operator state to a random member. They make
// up for lost messages.
const broadcastInterval = time.Second

// operatorBoard holds the operator state of each scheduler, as the members report it.
type operatorBoard struct {
	mu              sync.Mutex
	states          *operatorstate.Registry
	loggedDiffering []string // members with other settings, as last logged

	done chan struct{} // ends shareOperatorState
	once sync.Once
}

func newOperatorBoard() *operatorBoard {
	return &operatorBoard{
		states: operatorstate.New(uint64(boottime.Since())),
		done:   make(chan struct{}),
	}
}

func (b *operatorBoard) receive(name string, incarnation uint64, state operatorstate.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states.Receive(name, incarnation, state)
}

func (b *operatorBoard) forget(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states.Forget(name)
}

func (b *operatorBoard) close() { b.once.Do(func() { close(b.done) }) }

// operatorStatus is the console's answer to a request for the operator state. It identifies settings by their
// hash.
type operatorStatus struct {
	Settings string   `json:"settings"` // hash of this scheduler's settings
	Differ   []string `json:"differ"`   // members with other settings
	Away     []string `json:"away"`     // members whose clients are drained
}

func (b *operatorBoard) status() operatorStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	return operatorStatus{
		Settings: formatHash(b.states.Own().SettingsHash),
		Differ:   append([]string{}, b.states.DifferingMembers()...), // [] in JSON if empty, not null
		Away:     append([]string{}, b.states.DrainedMembers()...),
	}
}

func formatHash(hash uint64) string { return fmt.Sprintf("%016x", hash) }

// update is the result of setOwn: this scheduler's operator state, the members with other settings, and
// what has changed since the last call.
type update struct {
	own        operatorstate.State
	ownChanged bool

	differ        []string
	differChanged bool
}

func (b *operatorBoard) setOwn(settingsHash uint64, clientsDrained bool) (changes update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changes.ownChanged = b.states.SetOwn(settingsHash, clientsDrained)
	changes.own = b.states.Own()
	changes.differ = b.states.DifferingMembers()
	changes.differChanged = !slices.Equal(changes.differ, b.loggedDiffering)
	b.loggedDiffering = changes.differ
	return changes
}

// shareOperatorState sends the operator state of this scheduler to the other members, and logs the members
// with other settings, until the board is closed.
func (p *process) shareOperatorState() {
	ticker := time.NewTicker(broadcastInterval)
	defer ticker.Stop()
	for {
		changes := p.operatorBoard.setOwn(p.server.SettingsHash(), p.server.DrainingClients())
		if changes.differChanged {
			others := strings.Join(changes.differ, ", ")
			p.log.Warn().Str("here", formatHash(changes.own.SettingsHash)).Str("others", others).
				Msg("members run with other settings")
		}
		names := p.mesh.Names()
		if !changes.ownChanged && len(names) > 0 {
			names = []string{names[rand.IntN(len(names))]} // not seeded: no scheduling decision depends on it
		}
		for _, name := range names {
			p.mesh.SendOperatorState(name, changes.own)
		}
		select {
		case <-ticker.C:
		case <-p.operatorBoard.done:
			return
		}
	}
}

// forgetEnded removes a member that has ended from the board.
func (p *process) forgetEnded(c membership.MemberChanged) {
	if c.State.Ended() {
		p.operatorBoard.forget(c.Name)
	}
}
