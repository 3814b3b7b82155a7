// Package meter counts what each scheduler sends and is sent, by what it is for: control apart from clients' work. Bytes are those that
// the sockets carry, with HTTP's heads and without those of TCP and IP.
package meter

import "sync/atomic"

// Kind is what bytes are for.
type Kind int

// Clients' own connections are not counted.
const (
	Probes  Kind = iota // load reports
	Work                // pushes, and what workers say of them
	List                // discovery
	Members             // datagrams and streams between schedulers
	Kinds
)

func (k Kind) String() string { return [Kinds]string{"probes", "work", "list", "members"}[k] }

// Count is what one scheduler received and sent of a kind; Messages are requests, or datagrams that it sent.
type Count struct{ In, Out, Messages int64 }

// Sheet is the counts of all schedulers at a moment.
type Sheet [][Kinds]Count

type cell struct{ in, out, messages atomic.Int64 }

// Meter counts; nil counts nothing.
type Meter struct{ cells [][Kinds]cell }

// New makes a meter for so many schedulers.
func New(schedulers int) *Meter { return &Meter{make([][Kinds]cell, schedulers)} }

// Add counts what the n-th scheduler, from 0, received and sent. Others than those that it was made for are not counted.
func (m *Meter) Add(n int, k Kind, in, out, messages int) {
	if m == nil || n < 0 || n >= len(m.cells) {
		return
	}
	c := &m.cells[n][k]
	c.in.Add(int64(in))
	c.out.Add(int64(out))
	c.messages.Add(int64(messages))
}

// Now is the counts as they are.
func (m *Meter) Now() Sheet {
	if m == nil {
		return nil
	}
	s := make(Sheet, len(m.cells))
	for n := range m.cells {
		for k := range m.cells[n] {
			c := &m.cells[n][k]
			s[n][k] = Count{c.in.Load(), c.out.Load(), c.messages.Load()}
		}
	}
	return s
}

// Since is what was added after another moment.
func (s Sheet) Since(before Sheet) Sheet {
	d := make(Sheet, len(s))
	for n := range s {
		for k := range s[n] {
			a, b := s[n][k], before[n][k]
			d[n][k] = Count{a.In - b.In, a.Out - b.Out, a.Messages - b.Messages}
		}
	}
	return d
}
