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

// staffEvery is the program's own span between two words of staff to somebody by chance.
const staffEvery = time.Second

// board is what one member knows of what staff decided. Its own settings are those that it heard of first: it has none.
type board struct {
	mu    sync.Mutex
	staff *operatorstate.Board
	knows bool
	news  bool
}

func newBoard() *board { return &board{staff: operatorstate.New(uint64(boottime.Since()))} }

func (b *board) host() mesh.Host {
	return mesh.Host{OperatorState: func(from string, life uint64, w operatorstate.State) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.staff.Receive(from, life, w); !b.knows {
			b.knows, b.news = true, b.staff.SetOwn(w.Settings, false)
		}
	}, MemberChanged: func(c membership.MemberChanged) {
		if c.State.Ended() {
			b.mu.Lock()
			b.staff.Forget(c.Name)
			b.mu.Unlock()
		}
	}}
}

// tellStaff has each member tell its word as a scheduler does: all others what is new, and one by chance each second.
func tellStaff(all []*mesh.Mesh, boards []*board, quit chan struct{}) {
	tick := time.NewTicker(staffEvery)
	defer tick.Stop()
	for {
		for n, m := range all {
			b := boards[n]
			b.mu.Lock()
			word, knows, news := b.staff.Own(), b.knows, b.news
			b.news = false
			b.mu.Unlock()
			names := m.Names()
			if !knows || len(names) == 0 {
				continue
			}
			if !news {
				names = []string{names[rand.IntN(len(names))]}
			}
			for _, name := range names {
				m.BroadcastOperatorState(name, word)
			}
		}
		select {
		case <-tick.C:
		case <-quit:
			return
		}
	}
}
