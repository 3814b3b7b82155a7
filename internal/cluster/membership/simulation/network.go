package simulation

import "woaddyke/internal/cluster/membership"

const (
	streamLifetime   = 10 * Second
	streamRetransmit = 200 * Millisecond // delay of a message on a stream for each part that is lost
	maxStreamDelay   = 5 * Second        // after which a message on a stream is lost
)

// LinkConditions are the conditions of all links.
type LinkConditions struct {
	Loss          float64 // probability that a datagram is lost
	Dup           float64 // probability that a datagram is delivered twice
	Delay, Jitter Time    // a datagram takes from Delay to Delay + Jitter
}

// Traffic counts the messages that were sent.
type Traffic struct {
	Sent  int64 // datagrams and messages on streams
	Bytes int64 // estimated size of these messages
	Kinds map[membership.Kind]int64
}

// link is one direction between two hosts, given by their indices.
type link struct{ from, to int }

type streamEndpoints struct{ opener, acceptor *host }

// network is the state of the network: the links that are cut, and the open streams.
type network struct {
	cut          map[link]bool
	streams      map[uint64]streamEndpoints
	lastStreamID uint64
}

func (n *network) open(from, to int) bool { return !n.cut[link{from, to}] }

func (n *network) openBothWays(a, b int) bool { return n.open(a, b) && n.open(b, a) }

// Cut cuts the link from one host to another, or restores it if cut is false.
func (c *Cluster) Cut(from, to int, cut bool) {
	c.recordReachability()
	if cut {
		c.network.cut[link{from, to}] = true
	} else {
		delete(c.network.cut, link{from, to})
	}
	c.recordReachability()
}

// Partition cuts all links between two groups of hosts, or restores them if cut is false.
func (c *Cluster) Partition(a, b []int, cut bool) {
	for _, i := range a {
		for _, j := range b {
			if i != j {
				c.Cut(i, j, cut)
				c.Cut(j, i, cut)
			}
		}
	}
}

// estimatedSize estimates the bytes that a message takes.
func estimatedSize(m membership.Message) int64 {
	size := 60 + len(m.From.Name) + len(m.From.Addr) + len(m.Target) + len(m.Text)
	size += 9*len(m.Digests) + 2*len(m.Buckets)
	for _, record := range m.Records {
		size += 28 + len(record.Name) + len(record.Addr) + len(record.ReportedBy)
	}
	return int64(size)
}

func (c *Cluster) countSent(message membership.Message) {
	c.Sent++
	c.Bytes += estimatedSize(message)
	c.Kinds[message.Kind]++
	if c.OnSend != nil {
		c.OnSend(message)
	}
}

func (c *Cluster) sendDatagram(from *host, send membership.Send) {
	c.countSent(send.Message)
	lost := c.rand.Float64() < c.Conditions.Loss
	duplicated := c.rand.Float64() < c.Conditions.Dup
	delay := c.Conditions.Delay + Time(float64(c.Conditions.Jitter)*c.rand.Float64())
	to := c.byAddr[send.To]
	if to == nil || lost || !c.network.open(from.index, to.index) {
		return
	}
	deliver := func() {
		if c.network.open(from.index, to.index) {
			c.feed(to, membership.MessageReceived{Message: send.Message})
		}
	}
	c.At(c.Now()+delay, deliver)
	if duplicated {
		c.At(c.Now()+2*delay+Millisecond, deliver)
	}
}

func (c *Cluster) openStream(from *host, open membership.OpenStream) {
	to := c.byAddr[open.To]
	if to == nil {
		return
	}
	c.network.lastStreamID++
	id := c.network.lastStreamID
	c.network.streams[id] = streamEndpoints{from, to}
	c.At(c.Now()+streamLifetime, func() { delete(c.network.streams, id) })
	c.sendOnStream(from, to, id, open.Message)
}

func (c *Cluster) replyOnStream(from *host, reply membership.StreamReply) {
	ends, ok := c.network.streams[reply.Stream]
	if !ok {
		return
	}
	to := ends.opener
	if to == from {
		to = ends.acceptor
	}
	c.sendOnStream(from, to, reply.Stream, reply.Message)
}

// sendOnStream delivers a complete message or nothing. A message takes longer than a datagram, and each
// part that is lost and retransmitted adds streamRetransmit.
func (c *Cluster) sendOnStream(from, to *host, id uint64, message membership.Message) {
	c.countSent(message)
	delay := 3*c.Conditions.Delay + Time(float64(3*c.Conditions.Jitter)*c.rand.Float64())
	for c.rand.Float64() < c.Conditions.Loss {
		delay += streamRetransmit
		if delay > maxStreamDelay {
			return
		}
	}
	if !c.network.openBothWays(from.index, to.index) {
		return
	}
	c.At(c.Now()+delay, func() {
		if c.network.openBothWays(from.index, to.index) {
			c.feed(to, membership.MessageReceived{Message: message, Stream: id})
		}
	})
}
