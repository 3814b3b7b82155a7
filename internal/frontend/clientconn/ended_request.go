package clientconn

import "time"

// Errors of reads from a connection whose incomplete request was ended by this side. They count as timeouts, so that
// the standard server closes a connection without a response if not even the header is complete.
var (
	// ErrOutOfMemory means that all connections together held too many bytes of requests.
	ErrOutOfMemory error = &endedError{"requests hold too much memory", ReasonOutOfMemory}
	// ErrEvicted means that a new connection needed the slot.
	ErrEvicted error = &endedError{"a new connection needs the slot", ReasonEvicted}
)

// endedError is the error of an incomplete request that this side has ended.
type endedError struct {
	text   string
	reason Reason
}

func (e *endedError) Error() string   { return e.text }
func (e *endedError) Timeout() bool   { return true }
func (e *endedError) Temporary() bool { return false }

// endIncomplete makes reads fail with an error if the request that starts at an offset is still incomplete. It
// returns false if it is not. An op that was admitted is thus never given up.
func (c *conn) endIncomplete(startOffset int64, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.parser.readingOnlyRequest() || c.parser.requestStart != startOffset || c.ended != nil {
		return false
	}
	c.ended = err
	c.Conn.SetReadDeadline(longPast)
	return true
}

// incompleteBody returns the offset at which the request starts whose body is being read; ok is false if there is
// none.
func (c *conn) incompleteBody() (startOffset int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok = c.parser.readingOnlyRequest() && c.parser.inBodyPart() && c.ended == nil
	return c.parser.requestStart, ok
}

// evictIncomplete ends the request whose body has been awaited longest, with the lock held. It returns false if no
// body has been awaited since before a given time. A body of which more has been received already is spared.
func (g *Pool) evictIncomplete(before time.Time) bool {
	var oldest *conn
	var oldestStart int64
	for c, x := range g.open {
		if !x.stateSince.Before(before) {
			continue
		}
		if start, ok := c.incompleteBody(); ok && !c.hasUnreadData() {
			oldest, oldestStart, before = c, start, x.stateSince
		}
	}
	if oldest == nil || !oldest.endIncomplete(oldestStart, ErrEvicted) {
		return false
	}
	delete(g.open, oldest)
	g.closePending[oldest] = true
	return true
}
