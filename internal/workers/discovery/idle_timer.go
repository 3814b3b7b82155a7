package discovery

import (
	"sync"
	"time"
)

const (
	// maxTimerLateness is how late a timer may fire. A larger delay shows that this process was not
	// running, and proves nothing about discovery.
	maxTimerLateness = 100 * time.Millisecond
	// unreadGrace is the extra time for reading data that arrived while the process was not running, limited
	// to a quarter of the timeout.
	unreadGrace = 500 * time.Millisecond
	// maxLateTimers is how often in a row unreadGrace is granted: a process that is permanently starved of
	// CPU time must eventually call again. If lists are pushed, a call may take two fifths of the drain
	// grace, and the extra times together less than a third.
	maxLateTimers = 3
)

// idleTimer ends a watch on which no data arrives within the timeout. A process that was stopped or starved
// in the meantime may have unread data, such as a drain that is already in force: it reads that data first
// instead of making a new call.
type idleTimer struct {
	hasUnread func() bool // reports whether data has arrived but is not processed
	onIdle    func()

	mu         sync.Mutex
	timer      *time.Timer
	timeout    time.Duration // within which data must arrive
	deadline   time.Time
	lateTimers int // how often unreadGrace was granted since data last arrived
}

// newIdleTimer returns a running timer, which calls onIdle when it expires. reset restarts it.
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

// reset records that data arrived. The next data must arrive within the timeout.
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

// expired is called by the timer. The deadline may be in the future, if data arrived just as the timer fired.
func (t *idleTimer) expired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	remaining := time.Until(t.deadline)
	if remaining <= 0 {
		if t.isIdle(-remaining) {
			t.onIdle()
			return
		}
		remaining = min(unreadGrace, t.timeout/4)
		t.lateTimers++
	}
	t.deadline = time.Now().Add(remaining)
	t.timer.Reset(remaining)
}

// isIdle reports whether the watch counts as idle when the timer fires this late: the timer is on time and no
// data is unread, or unreadGrace has been granted maxLateTimers times. The caller holds the lock.
func (t *idleTimer) isIdle(lateness time.Duration) bool {
	if t.lateTimers == maxLateTimers {
		return true
	}
	return lateness <= maxTimerLateness && !t.hasUnread()
}
