package discovery

import (
	"sync"
	"time"
)

const (
	// maxTimerLateness is how late a timer may fire. One that is later shows that this process did not
	// run, and proves nothing of discovery.
	maxTimerLateness = 100 * time.Millisecond
	// unreadGrace is the longest time for what came meanwhile to be read. At most a quarter of the
	// timeout is given.
	unreadGrace = 500 * time.Millisecond
	// maxLateTimers is how often in a row the grace is given: a process that never gets enough of the
	// processor has to call again some time. In all it is less than a third of a drain's grace where
	// lists are pushed, of which a call has two fifths.
	maxLateTimers = 3
)

// idleTimer ends a watch on which nothing came in time. A process that was stopped or starved meanwhile
// may have unread data, perhaps a drain that is already in force: it reads that first, in place of a new
// call.
type idleTimer struct {
	hasUnread func() bool // data has arrived that nobody has read
	onIdle    func()

	mu         sync.Mutex
	timer      *time.Timer
	timeout    time.Duration // within which something has to come
	deadline   time.Time
	lateTimers int // since something came
}

// newIdleTimer returns a running timer. onIdle is called when it expires; reset puts that off.
func newIdleTimer(timeout time.Duration, hasUnread func() bool, onIdle func()) *idleTimer {
	t := &idleTimer{
		hasUnread: hasUnread,
		onIdle:    onIdle,
		timeout:   timeout,
		deadline:  time.Now().Add(timeout),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.expired)
	return t
}

// reset notes that something came. The next thing has to come within the timeout.
func (t *idleTimer) reset(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeout = timeout
	t.deadline = time.Now().Add(timeout)
	t.lateTimers = 0
	t.timer.Reset(timeout)
}

func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
}

// expired is called by the timer. It may find a deadline to come, if something came in this instant.
func (t *idleTimer) expired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	remaining := time.Until(t.deadline)
	if remaining <= 0 {
		if t.idle(-remaining) {
			t.onIdle()
			return
		}
		remaining = min(unreadGrace, t.timeout/4)
		t.lateTimers++
	}
	t.deadline = time.Now().Add(remaining)
	t.timer.Reset(remaining)
}

// idle tells whether a timer that is late by so much proves that nothing has come, with the lock held.
func (t *idleTimer) idle(lateness time.Duration) bool {
	if t.lateTimers == maxLateTimers {
		return true
	}
	return lateness <= maxTimerLateness && !t.hasUnread()
}
