package clientconn

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// mostArrivals is how many moments of one connection are told apart. Beyond them bytes count as come with the last of these, so that no
// request seems younger than it is.
const mostArrivals = 32

// arrival says that so many bytes of a connection, from its first one on, had come at a moment.
type arrival struct {
	bytes int64
	at    time.Time
}

// arrivals are when the bytes of a connection came to this machine, as far as this process saw. The client of a request that comes behind
// another counts its time from then, however long the answer to the other one takes.
type arrivals struct {
	seen []arrival // in order; what was served is forgotten
}

// saw notes that so many bytes have come by now.
func (a *arrivals) saw(bytes int64, now time.Time) {
	n := len(a.seen)
	switch {
	case n > 0 && bytes <= a.seen[n-1].bytes:
	case n == mostArrivals:
		a.seen[n-1].bytes = bytes
	default:
		a.seen = append(a.seen, arrival{bytes, now})
	}
}

// of is when the byte before an offset came; false where nothing tells.
func (a *arrivals) of(offset int64) (at time.Time, ok bool) {
	for _, x := range a.seen {
		if x.bytes >= offset {
			return x.at, true
		}
	}
	return time.Time{}, false
}

// forget lets go of what tells nothing of the bytes behind an offset.
func (a *arrivals) forget(offset int64) {
	k := 0
	for k < len(a.seen) && a.seen[k].bytes <= offset {
		k++
	}
	a.seen = append(a.seen[:0], a.seen[k:]...)
}

// noteQueued notes how many bytes came while the connection waited to be accepted. They may be as old as the connection: the kernel tells
// the time since it last sent data, which counts from the handshake while it has sent none.
func (c *conn) noteQueued() {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		unread := unreadBytes(fd)
		if unread == 0 {
			return
		}
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age := time.Duration(info.Last_data_sent) * time.Millisecond
			c.queued = arrival{int64(unread), time.Now().Add(-age)}
		}
	})
}

// sawQueued dates what came before the connection was accepted, with the lock held. It is called once something has come behind
// a request: one alone is dated by the kernel.
func (c *conn) sawQueued() {
	if c.queued.bytes > 0 {
		c.arrived.saw(c.queued.bytes, c.queued.at)
		c.queued = arrival{}
	}
}

// sawUnread notes what lies in a socket while a request is served.
func (c *conn) sawUnread(fd uintptr) {
	unread := max(unreadBytes(fd), 1) // something lies there
	now := time.Now()
	since := c.of.stands.earliestOf(now, newestBytes(fd, now))
	c.of.stands.want(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sawQueued()
	c.arrived.saw(c.requests.offset+int64(unread), since)
}

// newestBytes is when the newest bytes of a connection came, as the kernel says; now where it does not.
func newestBytes(fd uintptr, now time.Time) time.Time {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return now
	}
	return now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
}

func (c *conn) newestBytes(now time.Time) (newest time.Time) {
	newest = now
	raw, err := c.SyscallConn()
	if err != nil {
		return newest
	}
	raw.Control(func(fd uintptr) { newest = newestBytes(fd, now) })
	return newest
}

// sawRead notes what has just been read, with the lock held. One request alone is dated by the kernel's word of its newest bytes.
func (c *conn) sawRead(now time.Time) {
	since := now
	if c.requests.several() {
		since = c.of.stands.earliestOf(now, c.newestBytes(now))
		c.of.stands.want(now)
		c.sawQueued()
	}
	c.arrived.saw(c.requests.offset, since)
	c.arrived.forget(c.requests.answeredUpTo())
}

// HeaderAge is how long ago the head of the request that is served came to this machine, as far as this process saw: it may have lain behind
// the one before.
func HeaderAge(ctx context.Context) time.Duration {
	c, ok := FromContext(ctx).(*conn)
	if !ok {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.requests.awaited) == 0 {
		return 0
	}
	at, ok := c.arrived.of(c.requests.awaited[0].headEnd)
	if !ok {
		return 0
	}
	return time.Since(at)
}
