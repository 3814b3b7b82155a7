package clientconn

import (
	"sync"
	"time"
)

// freeRequestBytes is how much of its requests each connection may hold beside the limit of requestMemory. A
// connection with small requests is thus never affected by those with large ones.
const freeRequestBytes = 4 << 10

// requestMemory limits the bytes of unanswered requests that the connections of a pool hold, beyond
// freeRequestBytes each. Above the limit, the incomplete request that was begun first is ended. A complete
// request is never ended.
type requestMemory struct {
	mu      sync.Mutex
	limit   int64 // 0 for none
	held    int64 // by all holders, without freeRequestBytes each
	holders map[*conn]requestHolder
}

// requestHolder is what a connection holds.
type requestHolder struct {
	bytes      int64 // without freeRequestBytes
	incomplete incompleteRequest
}

// incompleteRequest identifies a request of which not all was read. The zero value means that there is none.
type incompleteRequest struct {
	begunAt     time.Time
	startOffset int64 // in the connection's bytes
}

func (r incompleteRequest) exists() bool { return !r.begunAt.IsZero() }

// endedRequest is a request to be ended for lack of memory.
type endedRequest struct {
	conn    *conn
	request incompleteRequest
}

// setLimit changes the limit. What is held already stays.
func (m *requestMemory) setLimit(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = bytes
}

// set records what a connection holds.
func (m *requestMemory) set(c *conn, bytes int64, incomplete incompleteRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.release(c)
	if bytes -= freeRequestBytes; bytes <= 0 {
		return
	}
	if m.holders == nil {
		m.holders = map[*conn]requestHolder{}
	}
	m.holders[c] = requestHolder{bytes, incomplete}
	m.held += bytes
}

// takeExcess returns the requests to be ended, which no longer count.
func (m *requestMemory) takeExcess() (ended []endedRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for m.limit > 0 && m.held > m.limit {
		oldest := m.oldestIncomplete()
		if oldest.conn == nil {
			break
		}
		m.release(oldest.conn)
		ended = append(ended, oldest)
	}
	return ended
}

// release forgets what a connection holds, with the lock held.
func (m *requestMemory) release(c *conn) {
	m.held -= m.holders[c].bytes
	delete(m.holders, c)
}

// forget is release for a connection that is closed.
func (m *requestMemory) forget(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.release(c)
}

// available reports whether the share of the limit for bytes that are read ahead is not used up.
func (m *requestMemory) available() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limit == 0 || m.held < m.limit/2
}

// oldestIncomplete returns the incomplete request that was begun first, with the lock held.
func (m *requestMemory) oldestIncomplete() (oldest endedRequest) {
	for c, x := range m.holders {
		if !x.incomplete.exists() {
			continue
		}
		if oldest.conn == nil || x.incomplete.begunAt.Before(oldest.request.begunAt) {
			oldest = endedRequest{c, x.incomplete}
		}
	}
	return oldest
}

// SetRequestMemory limits the bytes that unanswered requests of all connections hold together. Each connection
// may hold freeRequestBytes beside that.
func (g *Pool) SetRequestMemory(bytes int64) { g.requestMemory.setLimit(bytes) }

// countMemory tells the pool what this connection holds, with the lock held. It reports whether that is so much
// that it counts.
func (c *conn) countMemory() (counts bool) {
	held := c.parser.heldBytes + int64(c.ahead.retained.length)
	counts = held > freeRequestBytes
	if counts || c.countsMemory {
		c.pool.requestMemory.set(c, held, c.incompleteRequest())
	}
	c.countsMemory = counts
	return counts
}

// endExcess ends requests if all connections hold too much. The caller holds no lock of a connection.
func (g *Pool) endExcess() {
	for _, x := range g.requestMemory.takeExcess() {
		x.conn.endIncomplete(x.request.startOffset, ErrOutOfMemory)
	}
}

// incompleteRequest returns the request that is being read, unless another one before it has no answer. The
// lock is held.
func (c *conn) incompleteRequest() incompleteRequest {
	switch {
	case !c.parser.readingOnlyRequest():
		c.incomplete = incompleteRequest{}
	case !c.incomplete.exists() || c.incomplete.startOffset != c.parser.requestStart:
		c.incomplete = incompleteRequest{time.Now(), c.parser.requestStart}
	}
	return c.incomplete
}
