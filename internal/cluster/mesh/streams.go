package mesh

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/cluster/membership"
)

// streamTable holds the open streams by ID. The node refers to a stream by its ID.
type streamTable struct {
	accepted slots
	opened   slots

	mu     sync.Mutex
	byID   map[uint64]*stream
	lastID uint64
}

// stream is a connection to another member.
type stream struct {
	conn    net.Conn
	replies chan membership.StreamReply
}

// slots is a semaphore that bounds the number of open streams.
type slots chan struct{}

func (s slots) acquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s slots) release() { <-s }

func newStreamTable() streamTable {
	return streamTable{
		accepted: make(slots, maxAcceptedStreams),
		opened:   make(slots, maxOpenedStreams),
		byID:     map[uint64]*stream{},
	}
}

func (t *streamTable) add(conn net.Conn) (uint64, *stream) {
	s := &stream{conn: conn, replies: make(chan membership.StreamReply, 1)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	t.byID[t.lastID] = s
	return t.lastID, s
}

// close closes a stream and removes it from the table.
func (t *streamTable) close(id uint64, s *stream) {
	t.mu.Lock()
	delete(t.byID, id)
	t.mu.Unlock()
	s.conn.Close()
}

func (t *streamTable) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.byID {
		s.conn.Close()
	}
}

// reply passes a reply to its stream. If the stream has ended, the reply is lost.
func (t *streamTable) reply(reply membership.StreamReply) {
	t.mu.Lock()
	s := t.byID[reply.Stream]
	t.mu.Unlock()
	if s == nil {
		return
	}
	select {
	case s.replies <- reply:
	default:
	}
}

// maxFrameBytes returns the largest size of a message with the records of a full view.
func (m *Mesh) maxFrameBytes() int {
	return maxFrameBytesWithoutRecords + maxRecordBytes*m.config.MaxMembers
}

// acceptStreams accepts streams until the sockets are interrupted or closed.
func (m *Mesh) acceptStreams() {
	failures := 0 // consecutive
	for {
		conn, err := m.sockets.tcp.Accept()
		if err != nil {
			if readsEnded(err) {
				return
			}
			failures++ // the error may be temporary, such as a lack of file descriptors
			time.Sleep(oserror.Backoff(failures))
			continue
		}
		failures = 0
		if err := m.acceptStream(conn); err != nil {
			m.dropped.add(err)
			conn.Close()
		}
	}
}

// acceptStream starts to serve a stream that another member opened. The error is a dropCause.
func (m *Mesh) acceptStream(conn net.Conn) error {
	from, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil || !m.config.isAllowed(from.Addr()) {
		return errOutsideNetworks
	}
	if !m.streams.accepted.acquire() {
		return errTooManyAccepted
	}
	go func() {
		defer m.streams.accepted.release()
		m.serveStream(conn, nil)
	}()
	return nil
}

// openStream opens a stream and sends a message on it, in a new goroutine.
func (m *Mesh) openStream(to string, message membership.Message) {
	addr, err := netip.ParseAddrPort(to)
	data, encodeErr := encode(message)
	if err != nil || encodeErr != nil || !m.config.isAllowed(addr.Addr()) {
		m.dropped.add(errOutsideNetworks)
		return
	}
	if !m.streams.opened.acquire() {
		m.dropped.add(errTooManyOpened)
		return
	}
	go func() {
		defer m.streams.opened.release()
		conn, err := m.dial(to)
		if err != nil {
			m.log.Debug().Err(err).Str("to", to).Msg("stream not opened")
			return
		}
		m.serveStream(conn, data)
	}()
}

// dial connects from the IP address of this member's sockets, because other members accept streams only from
// allowed addresses.
func (m *Mesh) dial(to string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: m.sockets.addr().IP}}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return dialer.DialContext(ctx, "tcp", to)
}

// serveStream exchanges messages on a stream until it ends. If this process opened the stream, it sends the
// first message; otherwise first is nil.
func (m *Mesh) serveStream(conn net.Conn, first []byte) {
	conn.SetDeadline(time.Now().Add(streamTimeout))
	id, s := m.streams.add(conn)
	defer m.streams.close(id, s)
	if first != nil && writeFrame(conn, first) != nil {
		return
	}
	for {
		message, ok := m.readStream(conn)
		if !ok {
			return
		}
		m.enqueue(membership.MessageReceived{Message: message, Stream: id})
		if endsStream(message) || !m.writeReply(s) {
			return
		}
	}
}

// readStream reads the next message. It returns false if the read fails or the message is dropped.
func (m *Mesh) readStream(conn net.Conn) (membership.Message, bool) {
	data, err := readFrame(conn, m.maxFrameBytes())
	if err != nil {
		if errors.Is(err, errTooLong) {
			m.dropped.add(err)
		}
		return membership.Message{}, false
	}
	message, err := decode(data, m.config.isAllowed)
	if err != nil {
		m.dropped.add(err)
		return membership.Message{}, false
	}
	return message, true
}

// endsStream reports whether a message has no reply, so that its stream ends.
func endsStream(message membership.Message) bool {
	switch message.Kind {
	case membership.Ack, membership.DigestDiffReply:
		return true
	case membership.DigestDiff:
		return len(message.Buckets) == 0
	}
	return false
}

// writeReply waits for the loop's reply and writes it. It reports whether the stream continues after the
// reply.
func (m *Mesh) writeReply(s *stream) bool {
	timeout := time.NewTimer(replyTimeout)
	defer timeout.Stop()
	select {
	case reply := <-s.replies:
		data, err := encode(reply.Message)
		return err == nil && writeFrame(s.conn, data) == nil && !reply.Last
	case <-timeout.C:
		return false
	case <-m.loop.quit:
		return false
	}
}
