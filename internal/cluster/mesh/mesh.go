package mesh

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/cluster/drainstate"
	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/operatorstate"
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/lifecycle/boottime"
)

// Bounds, each of one thing that others could make grow.
const (
	maxQueuedInputs    = 1024 // messages that were read and wait for the loop
	maxAcceptedStreams = 16   // streams that others opened
	maxOpenedStreams   = 16   // streams of our own
	streamTimeout      = 5 * time.Second
	dialTimeout        = time.Second
	replyTimeout       = 2 * time.Second // for the loop to answer on a stream
	snapshotInterval   = 250 * time.Millisecond
	dropLogInterval    = time.Minute // between two lines about what is dropped
	receiveBufferBytes = 1 << 20     // bytes that the kernel keeps for a process that stands still
)

// Descriptors is how many a member holds at the most: its two sockets, its streams, and one that is turned away.
const Descriptors = 2 + maxAcceptedStreams + maxOpenedStreams + 1

// Host is told what the mesh finds out. Its methods are called from the mesh's one loop and must not wait for it.
type Host struct {
	MemberChanged func(membership.MemberChanged)
	UserMessage   func(number int, text string)
	Stopped       func(superseded bool)                             // this process is a member no more; once for each time
	Serving       func(on bool, life membership.Incarnation)        // it is a member as of now, or is not
	Drains        func(from string, words []drainstate.DrainRecord) // what another was told of workers; called as Copied is
	Replication   func(from string, x replication.Message)          // from a member as it is known here; called from the reader of datagrams
	ReplicaSet    func(from string, x replicaset.Message)           // likewise
	OperatorState func(from string, incarnation uint64, w operatorstate.State)
}

// Mesh is one process's part in a cluster.
type Mesh struct {
	config *Config
	host   Host
	log    zerolog.Logger
	udp    *net.UDPConn
	tcp    *net.TCPListener
	core   *membership.Node
	clock  clock

	inputs            chan membership.Input
	calls             chan func()
	quit              chan struct{}
	loopDone          chan struct{}
	once              sync.Once
	acceptedSlots     chan struct{}
	openedSlots       chan struct{}
	handedOver        atomic.Bool            // its heir speaks
	servedIncarnation membership.Incarnation // as which the host was told that it serves
	servedCatchingUp  bool                   // it was away, and does not know yet what it missed

	mu           sync.Mutex
	streams      map[uint64]*stream
	lastStreamID uint64
	dropped      map[string]uint64
	dropLoggedAt time.Time
	status       atomic.Pointer[Status]
	known        atomic.Pointer[knownMembers]
	readers      sync.WaitGroup
}

// knownMembers is who is known, for those who don't wait for the loop.
type knownMembers struct {
	self   membership.MemberRecord
	byName map[string]membership.MemberView
}

// clock is the machine's time since its start: it goes on while a process stands still, and while the machine sleeps, and nobody
// can set it back.
type clock struct{}

func (clock) now() membership.Time { return membership.Time(boottime.Since() / membership.Tenth) }

// Status is what staff see.
type Status struct {
	Self    membership.LocalStatus `json:"self"`
	LateMS  float64                `json:"late_ms"`       // by how much this process was late last
	WorstMS float64                `json:"worst_late_ms"` // and at worst
	Dropped map[string]uint64      `json:"dropped"`       // messages that were not read, by cause
	Members []MemberStatus         `json:"members"`
	Digest  string                 `json:"digest"` // the same wherever the views are the same
}

// MemberStatus is one member in it.
type MemberStatus struct {
	membership.MemberView
	ForS  float64 `json:"for_s"` // in this state, as seen here
	RTTms float64 `json:"rtt_ms"`
}

// Identity is who a process is to the others.
type Identity struct {
	Name   string
	Number int // among the schedulers of the settings, -1 without
	Seed   uint64
}

// Start joins a cluster, on sockets of its own.
func Start(t *Config, who Identity, host Host, log zerolog.Logger) (*Mesh, error) {
	at, err := netip.ParseAddrPort(t.Listen)
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	var last error
	for range 20 { // with port 0, one that is free for both is looked for
		udp, err := oserror.RetryTransient(func() (*net.UDPConn, error) { return net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)) })
		if err != nil {
			return nil, fmt.Errorf("members: %w", err)
		}
		beside := net.TCPAddrFromAddrPort(udp.LocalAddr().(*net.UDPAddr).AddrPort())
		tcp, err := oserror.RetryTransient(func() (*net.TCPListener, error) { return net.ListenTCP("tcp", beside) })
		if err == nil {
			return run(t, who, host, log, udp, tcp, nil)
		}
		udp.Close()
		if last = err; at.Port() != 0 {
			break
		}
	}
	return nil, fmt.Errorf("members: %w", last)
}

// Restore goes on as the process before did, on its sockets: first that of datagrams, then that of streams.
func Restore(t *Config, who Identity, host Host, log zerolog.Logger, text []byte, files []*os.File) (*Mesh, error) {
	l, err := decodeHandover(text)
	if err != nil {
		return nil, err
	}
	if l.Self.Name != who.Name || len(files) != 2 {
		return nil, errors.New("members: what was handed over is another's")
	}
	conn, err := oserror.RetryTransient(func() (net.PacketConn, error) { return net.FilePacketConn(files[0]) })
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	at, err := oserror.RetryTransient(func() (net.Listener, error) { return net.FileListener(files[1]) })
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("members: %w", err)
	}
	udp, ok := conn.(*net.UDPConn)
	tcp, also := at.(*net.TCPListener)
	if !ok || !also {
		return nil, errors.New("members: what was handed over are no sockets of a member")
	}
	return run(t, who, host, log, udp, tcp, &l)
}

func run(t *Config, who Identity, host Host, log zerolog.Logger, udp *net.UDPConn, tcp *net.TCPListener, l *membership.HandoverState) (*Mesh, error) {
	udp.SetReadBuffer(receiveBufferBytes)
	addr := t.Advertise
	if addr == "" {
		addr = udp.LocalAddr().String()
	}
	terms := t.membershipConfig(who.Name, addr, who.Number)
	var room [8]byte
	if _, err := crand.Read(room[:]); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	// Not from the seed: the next process of this name may have the same one.
	terms.Nonce, terms.Seed = binary.BigEndian.Uint64(room[:])|1, who.Seed
	if err := terms.Validate(); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	m := &Mesh{config: t, host: host, log: log, udp: udp, tcp: tcp, inputs: make(chan membership.Input, maxQueuedInputs), calls: make(chan func()),
		quit: make(chan struct{}), loopDone: make(chan struct{}), acceptedSlots: make(chan struct{}, maxAcceptedStreams),
		openedSlots: make(chan struct{}, maxOpenedStreams), streams: map[uint64]*stream{}, dropped: map[string]uint64{}}
	if now := m.clock.now(); l != nil {
		terms.Nonce = l.Self.Nonce
		m.core = membership.Restore(terms, *l, now)
	} else {
		m.core = membership.New(terms, now)
	}
	m.log.Info().Str("member", terms.Name).Str("listen", udp.LocalAddr().String()).Str("address", addr).Msg("joining")
	m.snapshot()
	m.startReaders()
	if l != nil && host.Serving != nil {
		host.Serving(true, l.Self.Incarnation)
	}
	go m.loop()
	return m, nil
}

// startReaders starts what reads the sockets.
func (m *Mesh) startReaders() {
	m.udp.SetReadDeadline(time.Time{})
	m.tcp.SetDeadline(time.Time{})
	m.readers.Go(m.readDatagrams)
	m.readers.Go(m.acceptStreams)
}

// loop feeds the core and carries out what it asks for.
func (m *Mesh) loop() {
	defer close(m.loopDone)
	tick := time.NewTimer(0)
	defer tick.Stop()
	show := time.NewTicker(snapshotInterval)
	defer show.Stop()
	for {
		select {
		case <-m.quit:
			return
		case f := <-m.calls:
			f()
			continue
		case <-show.C:
			m.snapshot()
			continue
		case in := <-m.inputs:
			m.handleInput(in)
		case <-tick.C:
			m.handleInput(membership.Tick{})
		}
		if wait := time.Duration(m.core.NextTick()-m.clock.now()) * membership.Tenth; !m.handedOver.Load() {
			tick.Reset(max(wait, 0))
		}
	}
}

func (m *Mesh) handleInput(in membership.Input) {
	if m.handedOver.Load() {
		return
	}
	changed, serving := false, false
	for _, e := range m.core.Step(m.clock.now(), in) {
		switch e := e.(type) {
		case membership.Send:
			m.sendDatagram(e.To, e.Message)
		case membership.OpenStream:
			m.openStream(e.To, e.Message)
		case membership.StreamReply:
			m.replyOnStream(e)
		case membership.MemberChanged:
			changed = true
			m.log.Info().Str("member", e.Name).Stringer("state", e.State).Stringer("before", e.Before).Uint64("incarnation", e.Generation).
				Uint64("turn", e.Refutations).Str("by", e.ReportedBy).Bool("private", e.Private).Msg("member changed")
			if m.host.MemberChanged != nil {
				m.host.MemberChanged(e)
			}
		case membership.UserMessageReceived:
			if m.host.UserMessage != nil {
				m.host.UserMessage(e.Number, e.Text)
			}
		case membership.Event:
			m.log.Info().Str("what", e.Description).Str("who", e.Member).Msg("membership")
		case membership.Joined:
			own := m.core.Status()
			m.log.Info().Uint64("incarnation", own.Generation).Int("live", own.Live).Msg("is a member")
			changed, serving = true, true
		case membership.Stopped:
			changed = true
			if m.host.Serving != nil {
				m.host.Serving(false, membership.Incarnation{})
			}
			m.log.Info().Bool("superseded", e.Replaced).Msg("is a member no more")
			if m.host.Stopped != nil {
				m.host.Stopped(e.Replaced)
			}
		}
	}
	if me := m.core.Self(); changed || me != m.known.Load().self {
		m.snapshot()
	}
	// Its incarnation may grow while it is a member: it was taken without knowing of another process of this name.
	asks, life := m.core.CatchingUp(), m.core.Self().Incarnation
	if m.host.Serving != nil && (serving || asks != m.servedCatchingUp || life != m.servedIncarnation && m.core.Self().State == membership.Alive) {
		m.servedCatchingUp, m.servedIncarnation = asks, life
		m.host.Serving(!asks, life)
	}
}

// snapshot keeps what staff see.
func (m *Mesh) snapshot() {
	now, own := m.clock.now(), m.core.Status()
	ms := func(t membership.Time) float64 { return float64(t) / 10 }
	s := &Status{Self: own, LateMS: ms(own.Lateness), WorstMS: ms(own.MaxLateness), Members: []MemberStatus{}, Digest: fmt.Sprintf("%016x", m.core.Digest())}
	for _, x := range m.core.View() {
		s.Members = append(s.Members, MemberStatus{x, ms(now-x.Since) / 1000, ms(x.RTT)})
	}
	m.mu.Lock()
	s.Dropped = make(map[string]uint64, len(m.dropped))
	for k, v := range m.dropped {
		s.Dropped[k] = v
	}
	m.mu.Unlock()
	m.status.Store(s)
	b := &knownMembers{self: m.core.Self(), byName: make(map[string]membership.MemberView, len(s.Members))}
	for _, x := range s.Members {
		b.byName[x.Name] = x.MemberView
	}
	m.known.Store(b)
}

// Status is the view as it was a moment ago. It waits for nothing.
func (m *Mesh) Status() *Status { return m.status.Load() }

// call has the loop call something and waits for it.
func (m *Mesh) call(f func()) {
	done := make(chan struct{})
	select {
	case m.calls <- func() { f(); close(done) }:
		<-done
	case <-m.loopDone:
	}
}

func (m *Mesh) enqueue(in membership.Input) {
	select {
	case m.inputs <- in:
	default:
		m.countDropped(errors.New("no room"))
	}
}

// SendUserMessage sends a word to the member with a number.
func (m *Mesh) SendUserMessage(number int, text string) {
	m.enqueue(membership.SendUserMessage{Number: number, Text: text})
}

// Leave tells the others that this process ends. It returns at once.
func (m *Mesh) Leave() { m.enqueue(membership.LeaveRequested{}) }

// HandOver is what the process that takes the place of this one needs; from here on this one says nothing, until Resume.
func (m *Mesh) HandOver() (text []byte, sockets []syscall.Conn, err error) {
	err = errors.New("members: not a member just now")
	m.call(func() {
		l, ok := m.core.HandoverState()
		if !ok {
			return
		}
		if text, err = encodeHandover(l); err == nil {
			m.handedOver.Store(true)
		}
	})
	if err != nil {
		return nil, nil, err
	}
	m.udp.SetReadDeadline(time.Unix(1, 0))
	m.tcp.SetDeadline(time.Unix(1, 0))
	m.readers.Wait()
	return text, []syscall.Conn{m.udp, m.tcp}, nil
}

// Resume goes on as a member: the process that was to take over has ended.
func (m *Mesh) Resume() {
	resumes := false
	m.call(func() {
		if resumes = m.handedOver.CompareAndSwap(true, false); resumes {
			m.startReaders()
		}
	})
	if !resumes {
		return
	}
	select { // it must not be lost, as a message may be
	case m.inputs <- membership.Resumed{}:
	case <-m.loopDone:
	}
}

// Close ends all at once. One that leaves is given a moment to say so first.
func (m *Mesh) Close() {
	m.once.Do(func() {
		close(m.quit)
		<-m.loopDone
		m.udp.Close()
		m.tcp.Close()
		m.readers.Wait()
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, s := range m.streams {
			s.conn.Close()
		}
	})
}

// countDropped counts what is not read, and says so now and then.
func (m *Mesh) countDropped(why error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropped[why.Error()]++
	if now := time.Now(); now.Sub(m.dropLoggedAt) >= dropLogInterval {
		m.dropLoggedAt = now
		m.log.Warn().Str("why", why.Error()).Interface("all", m.dropped).Msg("messages of others are dropped")
	}
}

func (m *Mesh) readDatagrams() {
	room := make([]byte, maxServiceBytes+1)
	failures := 0 // in a row
	for {
		n, from, err := m.udp.ReadFromUDPAddrPort(room)
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
				return
			}
			failures++ // one datagram's trouble, such as a port that refused, or this machine's
			time.Sleep(oserror.Backoff(failures))
			continue
		}
		failures = 0
		if n > 1 && room[1] == serviceMark {
			m.receiveService(room[:n], n > maxServiceBytes, from.Addr())
			continue
		}
		x, err := m.decodeDatagram(room[:n], n > maxDatagramBytes, from.Addr())
		if err != nil {
			m.countDropped(err)
			continue
		}
		m.enqueue(membership.MessageReceived{Message: x})
	}
}

// receiveService hands on a message that is not of membership, if it comes from the process that is known under its sender's name.
func (m *Mesh) receiveService(text []byte, long bool, from netip.Addr) {
	err := errTooLong
	var w serviceMessage
	if !m.config.allowed(from) {
		err = errOutside
	} else if !long {
		w, err = decodeService(text)
	}
	b := m.known.Load()
	switch seen, known := b.byName[w.From.Name]; {
	case err != nil:
		m.countDropped(err)
	case w.Cluster != m.config.Cluster:
		m.countDropped(errors.New("wrong cluster"))
	case w.Replication != nil && m.host.Replication == nil || w.ReplicaSet != nil && m.host.ReplicaSet == nil || w.Drains != nil && m.host.Drains == nil ||
		w.OperatorState != nil && m.host.OperatorState == nil:
		m.countDropped(errors.New("switched off here"))
	case !known || seen.Incarnation != (membership.Incarnation{Generation: w.From.Incarnation, Nonce: w.From.Nonce}):
		m.countDropped(errors.New("not the process that is known"))
	case b.self.State == membership.Alive && w.Replication != nil:
		m.host.Replication(w.From.Name, *w.Replication)
	case b.self.State == membership.Alive && w.ReplicaSet != nil:
		m.host.ReplicaSet(w.From.Name, *w.ReplicaSet)
	case b.self.State == membership.Alive && w.OperatorState != nil:
		m.host.OperatorState(w.From.Name, w.From.Incarnation, *w.OperatorState)
	case b.self.State == membership.Alive && w.Drains != nil:
		m.host.Drains(w.From.Name, w.Drains)
	}
}

// SendReplication sends a message of copies to a member; it is lost where that one is not known. After Give only what became of ops is sent: the
// heir votes.
func (m *Mesh) SendReplication(to string, x replication.Message) {
	if !m.handedOver.Load() || x.Kind == replication.OutcomeReported {
		m.sendService(to, serviceMessage{Replication: &x})
	}
}

// SendReplicaSet sends a message of who keeps copies to a member.
func (m *Mesh) SendReplicaSet(to string, x replicaset.Message) {
	if !m.handedOver.Load() {
		m.sendService(to, serviceMessage{ReplicaSet: &x})
	}
}

// BroadcastOperatorState sends a member what staff decided for this one.
func (m *Mesh) BroadcastOperatorState(to string, w operatorstate.State) {
	if !m.handedOver.Load() {
		m.sendService(to, serviceMessage{OperatorState: &w})
	}
}

// SendDrains sends words of workers to a member.
func (m *Mesh) SendDrains(to string, words []drainstate.DrainRecord) {
	if !m.handedOver.Load() {
		m.sendService(to, serviceMessage{Drains: words})
	}
}

func (m *Mesh) sendService(to string, w serviceMessage) {
	b := m.known.Load()
	seen, known := b.byName[to]
	if !known || b.self.State != membership.Alive {
		return
	}
	addr, err := netip.ParseAddrPort(seen.Addr)
	if err != nil || !m.config.allowed(addr.Addr()) {
		return
	}
	w.Cluster, w.From = m.config.Cluster, recordToWire(b.self)
	text, err := encodeService(w)
	if err == nil && len(text) > maxServiceBytes {
		err = errTooLong
		m.countDropped(err)
	}
	if err == nil {
		_, err = m.udp.WriteToUDPAddrPort(text, addr)
	}
	if err != nil {
		m.log.Debug().Err(err).Str("to", to).Msg("message lost")
	}
}

// Names are the other members that are here or doubted.
func (m *Mesh) Names() (names []string) {
	for name, x := range m.known.Load().byName {
		if !x.State.Ended() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (m *Mesh) decodeDatagram(text []byte, long bool, from netip.Addr) (membership.Message, error) {
	if !m.config.allowed(from) {
		return membership.Message{}, errOutside
	}
	if long {
		return membership.Message{}, errTooLong
	}
	return decode(text, m.config.allowed)
}

func (m *Mesh) sendDatagram(to string, x membership.Message) {
	addr, err := netip.ParseAddrPort(to)
	if err != nil || !m.config.allowed(addr.Addr()) {
		m.countDropped(errOutside)
		return
	}
	text, err := encode(x)
	if err == nil && len(text) > maxDatagramBytes {
		x.Records = nil // full exchange brings them
		text, err = encode(x)
	}
	if err == nil && len(text) <= maxDatagramBytes {
		_, err = m.udp.WriteToUDPAddrPort(text, addr)
	}
	if err != nil {
		m.log.Debug().Err(err).Str("to", to).Msg("message lost")
	}
}

// stream is one connection to another member.
type stream struct {
	conn    net.Conn
	replies chan membership.StreamReply
}

func (m *Mesh) maxFrameBytes() int { return baseFrameBytes + maxRecordBytes*m.config.MaxMembers }

func (m *Mesh) acceptStreams() {
	failures := 0 // in a row
	for {
		c, err := m.tcp.Accept()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
				return
			}
			failures++
			time.Sleep(oserror.Backoff(failures)) // no descriptors, for one: the next one may find some
			continue
		}
		failures = 0
		from, err := netip.ParseAddrPort(c.RemoteAddr().String())
		if err != nil || !m.config.allowed(from.Addr()) {
			m.countDropped(errOutside)
			c.Close()
			continue
		}
		select {
		case m.acceptedSlots <- struct{}{}:
			go func() {
				defer func() { <-m.acceptedSlots }()
				m.serveStream(c, nil)
			}()
		default:
			m.countDropped(errors.New("too many streams"))
			c.Close()
		}
	}
}

// openStream opens a stream and begins with a message. It waits for nothing.
func (m *Mesh) openStream(to string, x membership.Message) {
	addr, err := netip.ParseAddrPort(to)
	text, bad := encode(x)
	if err != nil || bad != nil || !m.config.allowed(addr.Addr()) {
		m.countDropped(errOutside)
		return
	}
	select {
	case m.openedSlots <- struct{}{}:
	default:
		m.countDropped(errors.New("no room to open a stream"))
		return
	}
	go func() {
		defer func() { <-m.openedSlots }()
		d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: m.udp.LocalAddr().(*net.UDPAddr).IP}}
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		c, err := d.DialContext(ctx, "tcp", to)
		if err != nil {
			m.log.Debug().Err(err).Str("to", to).Msg("no stream")
			return
		}
		m.serveStream(c, text)
	}()
}

// serveStream carries one stream's few messages.
func (m *Mesh) serveStream(c net.Conn, first []byte) {
	s := &stream{conn: c, replies: make(chan membership.StreamReply, 1)}
	c.SetDeadline(time.Now().Add(streamTimeout))
	m.mu.Lock()
	m.lastStreamID++
	id := m.lastStreamID
	m.streams[id] = s
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.streams, id)
		m.mu.Unlock()
		c.Close()
	}()
	if first != nil {
		if writeFrame(c, first) != nil {
			return
		}
	}
	for {
		text, err := readFrame(c, m.maxFrameBytes())
		if err != nil {
			if errors.Is(err, errTooLong) {
				m.countDropped(err)
			}
			return
		}
		x, err := decode(text, m.config.allowed)
		if err != nil {
			m.countDropped(err)
			return
		}
		m.enqueue(membership.MessageReceived{Message: x, Stream: id})
		if x.Kind == membership.Ack || x.Kind == membership.DigestDiffReply || x.Kind == membership.DigestDiff && len(x.Buckets) == 0 {
			return // there is no answer to it
		}
		wait := time.NewTimer(replyTimeout)
		select {
		case a := <-s.replies:
			wait.Stop()
			text, err := encode(a.Message)
			if err != nil || writeFrame(c, text) != nil || a.Last {
				return
			}
		case <-wait.C:
			return
		case <-m.quit:
			wait.Stop()
			return
		}
	}
}

func (m *Mesh) replyOnStream(a membership.StreamReply) {
	m.mu.Lock()
	s := m.streams[a.Stream]
	m.mu.Unlock()
	if s == nil {
		return
	}
	select {
	case s.replies <- a:
	default:
	}
}

// Now is the clock that all members' times are of.
func (m *Mesh) Now() membership.Time { return Now() }

// Now is the machine's time since its start.
func Now() membership.Time { return clock{}.now() }
