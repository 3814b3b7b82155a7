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

const broadcastInterval = time.Second // between two words to somebody by chance, which mend what was lost

// operatorBoard keeps what staff decided for each scheduler, as far as members tell.
type operatorBoard struct {
	mu     sync.Mutex
	states *operatorstate.Board
	differ []string // as it was logged last
	done   chan struct{}
	once   sync.Once
}

func newOperatorBoard() *operatorBoard {
	return &operatorBoard{states: operatorstate.New(uint64(boottime.Since())), done: make(chan struct{})}
}

func (b *operatorBoard) receive(name string, life uint64, w operatorstate.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states.Receive(name, life, w)
}

func (b *operatorBoard) forget(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states.Forget(name)
}

func (b *operatorBoard) close() { b.once.Do(func() { close(b.done) }) }

// operatorStatus is what staff see.
type operatorStatus struct {
	Settings string   `json:"settings"` // of this one, hashed
	Differ   []string `json:"differ"`   // members that run by other settings
	Away     []string `json:"away"`     // members whose clients are sent away
}

func (b *operatorBoard) status() operatorStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	return operatorStatus{fmt.Sprintf("%016x", b.states.Own().Settings), append([]string{}, b.states.DifferingMembers()...), append([]string{}, b.states.DrainedMembers()...)}
}

// shareOperatorState tells the other schedulers what staff decided for this one, and says in one line which run by other settings.
func (p *process) shareOperatorState() {
	b := p.operatorBoard
	tick := time.NewTicker(broadcastInterval)
	defer tick.Stop()
	for {
		b.mu.Lock()
		news := b.states.SetOwn(p.server.SettingsHash(), p.server.ClientsDrained())
		word, differ := b.states.Own(), b.states.DifferingMembers()
		changed := !slices.Equal(differ, b.differ)
		b.differ = differ
		b.mu.Unlock()
		if changed {
			p.log.Warn().Str("here", fmt.Sprintf("%016x", word.Settings)).Str("others", strings.Join(differ, ", ")).Msg("schedulers run by other settings")
		}
		names := p.mesh.Names()
		if !news && len(names) > 0 {
			names = []string{names[rand.IntN(len(names))]} // it decides nothing
		}
		for _, name := range names {
			p.mesh.BroadcastOperatorState(name, word)
		}
		select {
		case <-tick.C:
		case <-b.done:
			return
		}
	}
}

// memberEnded keeps the board to those that are here.
func (p *process) memberEnded(c membership.MemberChanged) {
	if c.State.Ended() {
		p.operatorBoard.forget(c.Name)
	}
}
