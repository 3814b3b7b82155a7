package front

import (
	"sync"
	"time"
)

const (
	pulseEvery = 25 * time.Millisecond
	skipped    = 100 * time.Millisecond // so long without a beat, and the process did not run
	catchingUp = 500 * time.Millisecond // after a halt, what lay unread meanwhile is read within this time
)

// pulse tells of halts of the whole process: stopped, swapped out, its machine asleep. Requests lie in the kernel
// meanwhile, and nothing says since when: taken as new, they were pushed seconds after their clients' TTL.
type pulse struct {
	mu         sync.Mutex
	last       time.Time // the newest beat
	from, back time.Time // the last halt
}

// beat is told again and again that the process runs.
func (p *pulse) beat(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.last.IsZero() && now.Sub(p.last) > skipped {
		p.from, p.back = p.last, now
	}
	p.last = now
}

// came is the earliest moment at which a request can have come that is read now.
func (p *pulse) came(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.last.IsZero():
		return now
	case now.Sub(p.back) <= min(catchingUp, p.back.Sub(p.from)): // a short halt is soon caught up with
		return p.from
	case now.Sub(p.last) > skipped: // the halt is over, but its first beat is still to come
		return p.last
	}
	return now
}

// run beats until quit is closed.
func (p *pulse) run(quit <-chan struct{}) {
	t := time.NewTicker(pulseEvery)
	defer t.Stop()
	for {
		p.beat(time.Now())
		select {
		case <-t.C:
		case <-quit:
			return
		}
	}
}
