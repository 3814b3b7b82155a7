package clientconn

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// maxReceiveTimes bounds the receive times that are stored per connection. Beyond the bound, bytes get the
// time of the last entry, so that a request never seems younger than it is.
const maxReceiveTimes = 32

// receiveTime records that all bytes of a connection up to an offset had been received by a time.
type receiveTime struct {
	upTo int64
	at   time.Time
}

// receiveTimes records when this process saw the bytes of a connection reach this machine. The age of a
// pipelined request counts from then, however long the response to the request before it takes.
type receiveTimes struct {
	entries []receiveTime // by ascending offset; without those of answered requests
}

// record adds that all bytes up to an offset had been received by a time.
func (a *receiveTimes) record(upTo int64, at time.Time) {
	n := len(a.entries)
	switch {
	case n > 0 && upTo <= a.entries[n-1].upTo:
	case n == maxReceiveTimes:
		a.entries[n-1].upTo = upTo
	default:
		a.entries = append(a.entries, receiveTime{upTo, at})
	}
}

// lookup returns when the byte before an offset was received; ok is false if that is not recorded.
func (a *receiveTimes) lookup(offset int64) (at time.Time, ok bool) {
	for _, x := range a.entries {
		if x.upTo >= offset {
			return x.at, true
		}
	}
	return time.Time{}, false
}

// discard removes the entries that end at or before an offset.
func (a *receiveTimes) discard(offset int64) {
	k := 0
	for k < len(a.entries) && a.entries[k].upTo <= offset {
		k++
	}
	a.entries = append(a.entries[:0], a.entries[k:]...)
}

// recordPreAcceptBytes records how many bytes were received before the connection was accepted. They may be
// as old as the connection. The connection's age is the kernel's time since data was last sent on it: before
// any data is sent, this time counts from the handshake.
func (c *conn) recordPreAcceptBytes() {
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
			c.preAccept = receiveTime{int64(unread), time.Now().Add(-age)}
		}
	})
}

// applyPreAcceptBytes adds the receive time of the bytes received before the accept. It is called, with the
// lock held, once a further request has been received. For a single request the kernel's time of the last
// received data is used instead.
func (c *conn) applyPreAcceptBytes() {
	if c.preAccept.upTo > 0 {
		c.receiveTimes.record(c.preAccept.upTo, c.preAccept.at)
		c.preAccept = receiveTime{}
	}
}

// recordUnread records the receive time of the bytes that are unread in the socket while a request is served.
func (c *conn) recordUnread(fd uintptr) {
	unread := max(unreadBytes(fd), 1) // at least 1: the caller saw unread data
	now := time.Now()
	receivedAt := c.pool.stalls.earliestReceiveOf(now, lastReceiveTime(fd, now))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyPreAcceptBytes()
	c.receiveTimes.record(c.parser.offset+int64(c.ahead.retained.length+unread), receivedAt)
}

// lastReceiveTime returns the kernel's time at which a connection last received data, or now if that is not
// known.
func lastReceiveTime(fd uintptr, now time.Time) time.Time {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return now
	}
	return now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
}

func (c *conn) lastReceiveTime(now time.Time) (last time.Time) {
	last = now
	raw, err := c.SyscallConn()
	if err != nil {
		return last
	}
	raw.Control(func(fd uintptr) { last = lastReceiveTime(fd, now) })
	return last
}

// recordRead records the receive time of what has just been read, with the lock held. For a single request
// the kernel's time of the last received data is used instead.
func (c *conn) recordRead(now time.Time) {
	receivedAt := now
	if c.parser.pipelined() {
		receivedAt = c.pool.stalls.earliestReceiveOf(now, c.lastReceiveTime(now))
		c.applyPreAcceptBytes()
	}
	c.receiveTimes.record(c.parser.offset, receivedAt)
	c.receiveTimes.discard(c.parser.answeredOffset())
}

// HeaderAge returns the time since the end of the current request's header was received, as far as this
// process saw. The request may have been received while the request before it was served. HeaderAge returns 0
// if the time is not known.
func HeaderAge(ctx context.Context) time.Duration {
	c, ok := FromContext(ctx).(*conn)
	if !ok {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.parser.pending) == 0 {
		return 0
	}
	at, ok := c.receiveTimes.lookup(c.parser.pending[0].headerEnd)
	if !ok {
		return 0
	}
	return time.Since(at)
}
