package keepers

import (
	"fmt"
	"slices"
	"strings"

	"go.etcd.io/raft/v3/raftpb"
)

// hear takes a message.
func (c *Core) hear(in Heard) {
	switch in.Kind {
	case SeatAsked:
		c.send(in.From, Message{Kind: SeatSaid})
	case SeatSaid:
		c.seatSaid(in)
	case Founded:
		c.founded(in)
	case Joined:
		if in.Founding == c.state.Founding {
			c.joined[in.Seat] = true
		}
	case Round:
		c.round(in)
	case Reseat:
		c.reseat(in)
	case Asked:
		if why := c.begin(&ask{from: in.From, ticket: in.Ticket, want: in.Keepers, seats: map[string]uint64{}}, in.Turn); why != "" && c.Leads() {
			c.send(in.From, Message{Kind: Answered, Ticket: in.Ticket, Again: why == busy, Text: why})
		}
	case Answered:
		if a := c.asks[in.Ticket]; a != nil && slices.Contains(c.set.All(), in.From) {
			delete(c.asks, in.Ticket)
			c.do(Told{in.Ticket, in.Done, in.Again, in.Text})
		}
	}
}

// presence notes since when a member is here, or is not.
func (c *Core) presence(in Present) {
	since, known := c.present[in.Name]
	if known && (since > 0) == in.Here || !known && len(c.present) >= mostNames {
		return
	}
	c.present[in.Name] = max(c.now, 1)
	if !in.Here {
		c.present[in.Name] = -max(c.now, 1)
	}
}

// learned takes a set that others told of: whoever is not in it any more may never hear of that through the agreement.
func (c *Core) learned(s Set) {
	if !s.After(c.set) || c.state.Founding != 0 && s.Founding != c.state.Founding {
		return
	}
	c.set, c.changed = s, c.now
	if s.Turn > c.turn && !s.seated(c.t.Name) {
		c.node = nil
	}
	if c.state.Seat != 0 {
		c.keep()
	}
}

// lookRound does what is due each second: the founding, a seat that was lost, the end of a change, and the rule that replaces.
func (c *Core) lookRound() {
	if !c.serving || c.broken || c.state.Seat == 0 {
		return
	}
	switch {
	case c.set.Founding == 0 && c.state.Founding == 0:
		c.found()
	case c.node == nil && slices.Contains(c.set.New, c.t.Name):
		for _, k := range c.set.All() {
			c.send(k, Message{Kind: Reseat})
		}
	case c.state.Founding != 0 && len(c.t.Keepers) > 0 && c.t.Keepers[0] == c.t.Name:
		c.tellFounding()
	}
	if c.Leads() {
		c.rule()
	}
}

// found begins the agreement, once every keeper of the file has told its seat and none knows of one that was founded before. One process
// alone may do that, so that there are no two.
func (c *Core) found() {
	if len(c.t.Keepers) == 0 || c.t.Keepers[0] != c.t.Name {
		return
	}
	c.founds[c.t.Name] = c.state.Seat
	var seats []Seat
	for _, k := range c.t.Keepers {
		if id := c.founds[k]; id != 0 {
			seats = append(seats, Seat{id, k})
		}
		c.send(k, Message{Kind: SeatAsked})
	}
	if len(seats) < len(c.t.Keepers) {
		return
	}
	founding := c.rand.Uint64() | 1
	c.do(Noted{"changes of keepers are founded", strings.Join(c.t.Keepers, ", ")})
	c.take(founding, seats)
	c.tellFounding()
}

func (c *Core) tellFounding() {
	if c.turn > 1 || len(c.joined) >= len(c.t.Keepers)-1 || c.node == nil {
		return
	}
	for _, s := range c.seats() {
		if !c.joined[s.ID] {
			c.send(s.Name, Message{Kind: Founded, Seats: c.seats()})
		}
	}
}

// take has a founding last, and begins.
func (c *Core) take(founding uint64, seats []Seat) {
	conf := raftpb.ConfState{}
	for _, s := range seats {
		conf.Voters = append(conf.Voters, s.ID)
	}
	slices.Sort(conf.Voters)
	slices.SortFunc(seats, func(a, b Seat) int { return strings.Compare(a.Name, b.Name) })
	first := raftpb.Snapshot{Data: marshal(settled{1, seats}), Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1, ConfState: conf}}
	text, err1 := first.Marshal()
	hard := raftpb.HardState{Term: 1, Commit: 1}
	hardText, err2 := hard.Marshal()
	if err1 != nil || err2 != nil {
		panic(fmt.Sprint(err1, err2))
	}
	c.state.Founding, c.state.Snapshot, c.state.Hard, c.state.Entries = founding, text, hardText, nil
	c.start()
	c.keep()
}

func (c *Core) founded(in Heard) {
	mine := slices.Contains(in.Seats, Seat{c.state.Seat, c.t.Name})
	if c.state.Founding == 0 && mine && c.state.Seat != 0 && in.Founding != 0 && len(in.Seats) <= Most {
		c.take(in.Founding, in.Seats)
	}
	if c.state.Founding == in.Founding {
		c.send(in.From, Message{Kind: Joined})
	}
}

func (c *Core) seatSaid(in Heard) {
	if c.state.Founding == 0 && c.set.Founding == 0 {
		if in.Founding != 0 {
			clear(c.founds) // one was founded before: this process has lost its file, and hears of the set
		} else if in.Seat != 0 {
			c.founds[in.From] = in.Seat
		}
		return
	}
	if a := c.ask; a != nil && !a.put && slices.Contains(a.want, in.From) {
		switch {
		case in.Seat == 0:
			c.end(false, in.From+" has no file for what must last")
		case in.Founding != 0 && in.Founding != c.state.Founding:
			c.end(false, in.From+" belongs to another agreement")
		default:
			a.seats[in.From] = in.Seat
		}
	}
}

// reseat has a keeper that lost its file seated anew.
func (c *Core) reseat(in Heard) {
	if !c.Leads() || c.ask != nil || c.set.Joint() || in.Seat == 0 || !slices.Contains(c.set.New, in.From) ||
		in.Founding != 0 && in.Founding != c.state.Founding || slices.Contains(c.conf.Voters, in.Seat) {
		return
	}
	c.begin(&ask{want: c.set.New, seats: map[string]uint64{in.From: in.Seat}}, c.set.Turn)
}

// What staff are told of what may come about yet.
const (
	busy   = "another change is under way"
	silent = "no majority of the keepers has agreed in time; look again: it may come to stand yet"
)

// begin begins a change, if this process leads; otherwise it tells why not.
func (c *Core) begin(a *ask, turn uint64) string {
	a.want = slices.Sorted(slices.Values(a.want))
	switch {
	case !c.Leads():
		return "not the one that leads"
	case c.turn != c.set.Turn:
		return "behind what others know"
	case c.ask != nil && c.ask.ticket == a.ticket && c.ask.from == a.from && a.ticket != 0:
		return "" // it is on its way
	case Fit(a.want) != nil:
		return Fit(a.want).Error()
	case a.ticket != 0 && slices.Equal(a.want, c.set.New):
		was := c.ask
		c.ask = a
		c.end(true, fmt.Sprintf("these are the keepers, by turn %d", c.set.Turn))
		c.ask = was
		return ""
	case c.ask != nil || c.set.Joint():
		return busy
	case a.ticket != 0 && turn != c.set.Turn:
		return fmt.Sprintf("the keepers have changed meanwhile: turn %d, not %d", c.set.Turn, turn)
	}
	a.until, a.next = c.now+c.t.Answer*2/3, c.now
	c.ask = a
	return ""
}

// end answers the change that is being carried out.
func (c *Core) end(done bool, text string) {
	a := c.ask
	if c.ask = nil; a != nil && a.ticket != 0 {
		c.send(a.from, Message{Kind: Answered, Ticket: a.ticket, Done: done, Again: text == silent, Text: text})
		if b := c.asks[a.ticket]; b != nil && a.from == c.t.Name {
			delete(c.asks, a.ticket)
			c.do(Told{a.ticket, done, text == silent, text})
		}
	}
	if a != nil {
		c.do(Noted{"change of keepers: " + text, strings.Join(a.want, ", ")})
	}
}

// askOn has staff's changes go to who leads, wherever that is.
func (c *Core) askOn() {
	for _, ticket := range sorted(c.asks) {
		a := c.asks[ticket]
		switch {
		case c.now >= a.until:
			delete(c.asks, ticket)
			c.do(Told{ticket, false, true, silent})
		case c.now >= a.next:
			a.next = c.now + askAgain
			if c.Leads() {
				own := &ask{from: c.t.Name, ticket: ticket, want: a.Keepers, seats: map[string]uint64{}}
				if why := c.begin(own, a.Turn); why != "" {
					delete(c.asks, ticket)
					c.do(Told{ticket, false, why == busy, why})
				}
				continue
			}
			for _, k := range c.set.All() {
				c.send(k, Message{Kind: Asked, Ticket: ticket, Turn: a.Turn, Keepers: a.Keepers})
			}
		}
	}
}

func sorted[T any](all map[uint64]T) (keys []uint64) {
	for k := range all {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// carryOut has the change that is on its way come further, and ends one whose new keepers are ready.
func (c *Core) carryOut() {
	if !c.Leads() {
		if c.ask != nil {
			c.ask = nil // who leads now knows nothing of it; staff ask on
		}
		return
	}
	if c.set.Joint() && c.turn == c.set.Turn && c.ready == c.turn && c.now >= c.changed+askAgain {
		c.changed = c.now // asked for again after a while, if it is lost
		c.propose(raftpb.ConfChangeV2{})
	}
	a := c.ask
	switch {
	case a == nil:
	case c.now >= a.until && a.put:
		c.end(false, silent)
	case c.now >= a.until:
		var mute []string
		for _, k := range a.want {
			if c.seatOf(k, a) == 0 {
				mute = append(mute, k)
			}
		}
		c.end(false, "nothing is heard of "+strings.Join(mute, ", "))
	case !a.put && c.now >= a.next:
		a.next = c.now + askAgain
		c.put(a)
	}
}

// seatOf is the seat that a name has, or is to have.
func (c *Core) seatOf(name string, a *ask) uint64 {
	if id := a.seats[name]; id != 0 {
		return id
	}
	for _, id := range c.conf.Voters {
		if c.names[id] == name {
			return id
		}
	}
	return 0
}

// put puts a change into the log, once all that are new have told their seats: one that can't be heard is not let in.
func (c *Core) put(a *ask) {
	var change raftpb.ConfChangeV2
	var seats []Seat
	keep := map[uint64]bool{}
	for _, k := range a.want {
		id := c.seatOf(k, a)
		if id == 0 {
			if k == c.t.Name {
				a.seats[k] = c.state.Seat
			}
			c.send(k, Message{Kind: SeatAsked})
			continue
		}
		keep[id] = true
		if !slices.Contains(c.conf.Voters, id) {
			change.Changes = append(change.Changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode, NodeID: id})
			seats = append(seats, Seat{id, k})
		}
	}
	if len(keep) < len(a.want) {
		return
	}
	for _, id := range c.conf.Voters {
		if !keep[id] {
			change.Changes = append(change.Changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: id})
		}
	}
	change.Transition, change.Context = raftpb.ConfChangeTransitionJointExplicit, marshal(seats)
	a.put = true
	c.propose(change)
}

func (c *Core) propose(change raftpb.ConfChangeV2) {
	c.node.ProposeConfChange(change) // what is lost is asked for again
	c.carry()
}

// came answers staff once their change is agreed.
func (c *Core) came() {
	if a := c.ask; a != nil && c.set.Joint() && slices.Equal(a.want, c.set.New) {
		c.end(true, fmt.Sprintf("agreed in turn %d; the new keepers take over what the old ones know", c.set.Turn))
	}
}

// rule replaces a keeper that is gone, after so long that it is no passing trouble, one at a time; and never the next before the last
// change is as old. Failure detection alone decides nothing: a majority of the old and the new has to agree.
func (c *Core) rule() {
	if c.t.ReplaceAfter == 0 || c.ask != nil || c.set.Joint() || c.now-c.changed < c.t.ReplaceAfter {
		return
	}
	for _, k := range c.set.New {
		since := c.present[k]
		if since >= 0 || c.now+since < c.t.ReplaceAfter {
			continue
		}
		for _, s := range c.t.Spares {
			if here := c.present[s] > 0 || s == c.t.Name; here && !slices.Contains(c.set.New, s) {
				want := slices.Clone(c.set.New)
				want[slices.Index(want, k)] = s
				c.do(Noted{"a keeper is gone for long, and a spare takes its place", k + ", " + s})
				c.changed = c.now
				c.begin(&ask{want: want, seats: map[string]uint64{}}, c.set.Turn)
				return
			}
		}
	}
}
