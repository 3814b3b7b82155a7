// Package meter counts the traffic that each scheduler sends and receives, by purpose. Bytes are those read
// from and written to sockets. They include HTTP headers, and no TCP or IP headers.
package meter

import "sync/atomic"

// Kind is the purpose of traffic.
type Kind int

// Traffic with clients is not counted.
const (
	Probes  Kind = iota // load reports
	Work                // pushes and the workers' replies
	List                // endpoint lists from discovery
	Members             // datagrams and streams between schedulers
	Kinds
)

func (k Kind) String() string { return [Kinds]string{"probes", "work", "list", "members"}[k] }

// Count is the number of bytes that a scheduler received and sent. Messages counts requests and sent
// datagrams.
type Count struct{ In, Out, Messages int64 }

// Snapshot holds the counts of all schedulers at a moment, by scheduler and kind.
type Snapshot [][Kinds]Count

type counter struct{ in, out, messages atomic.Int64 }

// Meter counts the traffic of schedulers. A nil Meter counts nothing.
type Meter struct{ counters [][Kinds]counter }

// New returns a meter for a number of schedulers.
func New(schedulers int) *Meter { return &Meter{make([][Kinds]counter, schedulers)} }

// Add adds to the counts of scheduler n, from 0. It ignores an n outside the range given to New.
func (m *Meter) Add(n int, k Kind, in, out, messages int) {
	if m == nil || n < 0 || n >= len(m.counters) {
		return
	}
	c := &m.counters[n][k]
	c.in.Add(int64(in))
	c.out.Add(int64(out))
	c.messages.Add(int64(messages))
}

// Now returns the present counts.
func (m *Meter) Now() Snapshot {
	if m == nil {
		return nil
	}
	s := make(Snapshot, len(m.counters))
	for n := range m.counters {
		for k := range m.counters[n] {
			c := &m.counters[n][k]
			s[n][k] = Count{c.in.Load(), c.out.Load(), c.messages.Load()}
		}
	}
	return s
}

// Since returns the difference from an earlier snapshot.
func (s Snapshot) Since(before Snapshot) Snapshot {
	d := make(Snapshot, len(s))
	for n := range s {
		for k := range s[n] {
			a, b := s[n][k], before[n][k]
			d[n][k] = Count{a.In - b.In, a.Out - b.Out, a.Messages - b.Messages}
		}
	}
	return d
}
