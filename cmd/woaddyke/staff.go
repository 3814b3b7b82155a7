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

const staffEvery = time.Second // between two words to somebody by chance, which mend what was lost

// board keeps what staff decided for each scheduler, as far as members tell.
type board struct {
	mu     sync.Mutex
	staff  *operatorstate.Board
	differ []string // as it was logged last
	quit   chan struct{}
	once   sync.Once
}

func newBoard() *board {
	return &board{staff: operatorstate.New(uint64(boottime.Since())), quit: make(chan struct{})}
}

func (b *board) heard(name string, life uint64, w operatorstate.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.staff.Receive(name, life, w)
}

func (b *board) lost(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.staff.Forget(name)
}

func (b *board) close() { b.once.Do(func() { close(b.quit) }) }

// told is what staff see.
type told struct {
	Settings string   `json:"settings"` // of this one, hashed
	Differ   []string `json:"differ"`   // members that run by other settings
	Away     []string `json:"away"`     // members whose clients are sent away
}

func (b *board) shown() told {
	b.mu.Lock()
	defer b.mu.Unlock()
	return told{fmt.Sprintf("%016x", b.staff.Own().Settings), append([]string{}, b.staff.DifferingMembers()...), append([]string{}, b.staff.DrainedMembers()...)}
}

// tellStaff tells the other schedulers what staff decided for this one, and says in one line which run by other settings.
func (p *process) tellStaff() {
	b := p.board
	tick := time.NewTicker(staffEvery)
	defer tick.Stop()
	for {
		b.mu.Lock()
		news := b.staff.SetOwn(p.front.SettingsHash(), p.front.ClientsDrained())
		word, differ := b.staff.Own(), b.staff.DifferingMembers()
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
		case <-b.quit:
			return
		}
	}
}

// ended keeps the board to those that are here.
func (p *process) ended(c membership.MemberChanged) {
	if c.State.Ended() {
		p.board.lost(c.Name)
	}
}
