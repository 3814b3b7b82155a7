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

// broadcastInterval is between two broadcasts of the operator state to a random member, which repair
// lost ones.
const broadcastInterval = time.Second

// operatorBoard has what operators decided for each scheduler, as far as members report it.
type operatorBoard struct {
	mu     sync.Mutex
	states *operatorstate.Board
	differ []string // members with other settings, as last logged

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

// operatorStatus is the console's answer on operator state.
type operatorStatus struct {
	Settings string   `json:"settings"` // hash of this scheduler's settings
	Differ   []string `json:"differ"`   // members with other settings
	Away     []string `json:"away"`     // members whose clients are drained
}

func (b *operatorBoard) status() operatorStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	return operatorStatus{
		Settings: formatHash(b.states.Own().Settings),
		Differ:   append([]string{}, b.states.DifferingMembers()...), // [] in JSON where there is none
		Away:     append([]string{}, b.states.DrainedMembers()...),
	}
}

func formatHash(hash uint64) string { return fmt.Sprintf("%016x", hash) }

// update is what shareOperatorState has to do with the present operator state.
type update struct {
	own        operatorstate.State
	ownChanged bool

	differ        []string
	differChanged bool
}

func (b *operatorBoard) setOwn(settingsHash uint64, clientsDrained bool) (u update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u.ownChanged = b.states.SetOwn(settingsHash, clientsDrained)
	u.own = b.states.Own()
	u.differ = b.states.DifferingMembers()
	u.differChanged = !slices.Equal(u.differ, b.differ)
	b.differ = u.differ
	return u
}

// shareOperatorState sends this scheduler's operator state to the other members, and logs which of them
// have other settings, until the board is closed.
func (p *process) shareOperatorState() {
	ticker := time.NewTicker(broadcastInterval)
	defer ticker.Stop()
	for {
		u := p.operatorBoard.setOwn(p.server.SettingsHash(), p.server.DrainingClients())
		if u.differChanged {
			others := strings.Join(u.differ, ", ")
			p.log.Warn().Str("here", formatHash(u.own.Settings)).Str("others", others).
				Msg("schedulers run by other settings")
		}
		names := p.mesh.Names()
		if !u.ownChanged && len(names) > 0 {
			names = []string{names[rand.IntN(len(names))]} // no decision depends on this random number
		}
		for _, name := range names {
			p.mesh.BroadcastOperatorState(name, u.own)
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
