package replicaset

import (
	"fmt"
	"slices"
	"strings"

	"go.etcd.io/raft/v3/raftpb"
)

// hear takes a message.
func (c *Core) hear(in MessageReceived) {
	switch in.Kind {
	case VoterQuery:
		c.send(in.From, Message{Kind: VoterReply})
	case VoterReply:
		c.seatSaid(in)
	case GroupFounded:
		c.founded(in)
	case VoterAccepted:
		if in.GroupID == c.state.GroupID {
			c.joined[in.VoterID] = true
		}
	case RaftMessage:
		c.round(in)
	case ReplaceVoter:
		c.reseat(in)
	case ChangeRequested:
		if why := c.begin(&ask{from: in.From, ticket: in.RequestID, want: in.Replicas, seats: map[string]uint64{}}, in.Epoch); why != "" && c.IsLeader() {
			c.send(in.From, Message{Kind: ChangeAnswered, RequestID: in.RequestID, Retryable: why == busy, Text: why})
		}
	case ChangeAnswered:
		if a := c.asks[in.RequestID]; a != nil && slices.Contains(c.set.Members(), in.From) {
			delete(c.asks, in.RequestID)
			c.do(ChangeResult{in.RequestID, in.OK, in.Retryable, in.Text})
		}
	}
}

// presence notes since when a member is here, or is not.
func (c *Core) presence(in PeerStatus) {
	since, known := c.present[in.Name]
	if known && (since > 0) == in.Alive || !known && len(c.present) >= mostNames {
		return
	}
	c.present[in.Name] = max(c.now, 1)
	if !in.Alive {
		c.present[in.Name] = -max(c.now, 1)
	}
}

// learned takes a set that others told of: whoever is not in it any more may never hear of that through the agreement.
func (c *Core) learned(s Set) {
	if !s.Supersedes(c.set) || c.state.GroupID != 0 && s.GroupID != c.state.GroupID {
		return
	}
	c.set, c.changed = s, c.now
	if s.Epoch > c.turn && !s.seated(c.t.Name) {
		c.node = nil
	}
	if c.state.VoterID != 0 {
		c.keep()
	}
}

// lookRound does what is due each second: the founding, a seat that was lost, the end of a change, and the rule that replaces.
func (c *Core) lookRound() {
	if !c.serving || c.broken || c.state.VoterID == 0 {
		return
	}
	switch {
	case c.set.GroupID == 0 && c.state.GroupID == 0:
		c.found()
	case c.node == nil && slices.Contains(c.set.New, c.t.Name):
		for _, k := range c.set.Members() {
			c.send(k, Message{Kind: ReplaceVoter})
		}
	case c.state.GroupID != 0 && len(c.t.Replicas) > 0 && c.t.Replicas[0] == c.t.Name:
		c.tellFounding()
	}
	if c.IsLeader() {
		c.rule()
	}
}

// found begins the agreement, once every keeper of the file has told its seat and none knows of one that was founded before. One process
// alone may do that, so that there are no two.
func (c *Core) found() {
	if len(c.t.Replicas) == 0 || c.t.Replicas[0] != c.t.Name {
		return
	}
	c.founds[c.t.Name] = c.state.VoterID
	var seats []Voter
	for _, k := range c.t.Replicas {
		if id := c.founds[k]; id != 0 {
			seats = append(seats, Voter{id, k})
		}
		c.send(k, Message{Kind: VoterQuery})
	}
	if len(seats) < len(c.t.Replicas) {
		return
	}
	founding := c.rand.Uint64() | 1
	c.do(Event{"changes of keepers are founded", strings.Join(c.t.Replicas, ", ")})
	c.take(founding, seats)
	c.tellFounding()
}

func (c *Core) tellFounding() {
	if c.turn > 1 || len(c.joined) >= len(c.t.Replicas)-1 || c.node == nil {
		return
	}
	for _, s := range c.seats() {
		if !c.joined[s.ID] {
			c.send(s.Name, Message{Kind: GroupFounded, Voters: c.seats()})
		}
	}
}

// take has a founding last, and begins.
func (c *Core) take(founding uint64, seats []Voter) {
	conf := raftpb.ConfState{}
	for _, s := range seats {
		conf.Voters = append(conf.Voters, s.ID)
	}
	slices.Sort(conf.Voters)
	slices.SortFunc(seats, func(a, b Voter) int { return strings.Compare(a.Name, b.Name) })
	first := raftpb.Snapshot{Data: marshal(settled{1, seats}), Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1, ConfState: conf}}
	text, err1 := first.Marshal()
	hard := raftpb.HardState{Term: 1, Commit: 1}
	hardText, err2 := hard.Marshal()
	if err1 != nil || err2 != nil {
		panic(fmt.Sprint(err1, err2))
	}
	c.state.GroupID, c.state.Snapshot, c.state.HardState, c.state.Entries = founding, text, hardText, nil
	c.start()
	c.keep()
}

func (c *Core) founded(in MessageReceived) {
	mine := slices.Contains(in.Voters, Voter{c.state.VoterID, c.t.Name})
	if c.state.GroupID == 0 && mine && c.state.VoterID != 0 && in.GroupID != 0 && len(in.Voters) <= MaxReplicas {
		c.take(in.GroupID, in.Voters)
	}
	if c.state.GroupID == in.GroupID {
		c.send(in.From, Message{Kind: VoterAccepted})
	}
}

func (c *Core) seatSaid(in MessageReceived) {
	if c.state.GroupID == 0 && c.set.GroupID == 0 {
		if in.GroupID != 0 {
			clear(c.founds) // one was founded before: this process has lost its file, and hears of the set
		} else if in.VoterID != 0 {
			c.founds[in.From] = in.VoterID
		}
		return
	}
	if a := c.ask; a != nil && !a.put && slices.Contains(a.want, in.From) {
		switch {
		case in.VoterID == 0:
			c.end(false, in.From+" has no file for what must last")
		case in.GroupID != 0 && in.GroupID != c.state.GroupID:
			c.end(false, in.From+" belongs to another agreement")
		default:
			a.seats[in.From] = in.VoterID
		}
	}
}

// reseat has a keeper that lost its file seated anew.
func (c *Core) reseat(in MessageReceived) {
	if !c.IsLeader() || c.ask != nil || c.set.Joint() || in.VoterID == 0 || !slices.Contains(c.set.New, in.From) ||
		in.GroupID != 0 && in.GroupID != c.state.GroupID || slices.Contains(c.conf.Voters, in.VoterID) {
		return
	}
	c.begin(&ask{want: c.set.New, seats: map[string]uint64{in.From: in.VoterID}}, c.set.Epoch)
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
	case !c.IsLeader():
		return "not the one that leads"
	case c.turn != c.set.Epoch:
		return "behind what others know"
	case c.ask != nil && c.ask.ticket == a.ticket && c.ask.from == a.from && a.ticket != 0:
		return "" // it is on its way
	case ValidateNames(a.want) != nil:
		return ValidateNames(a.want).Error()
	case a.ticket != 0 && slices.Equal(a.want, c.set.New):
		was := c.ask
		c.ask = a
		c.end(true, fmt.Sprintf("these are the keepers, by turn %d", c.set.Epoch))
		c.ask = was
		return ""
	case c.ask != nil || c.set.Joint():
		return busy
	case a.ticket != 0 && turn != c.set.Epoch:
		return fmt.Sprintf("the keepers have changed meanwhile: turn %d, not %d", c.set.Epoch, turn)
	}
	a.until, a.next = c.now+c.t.ChangeTimeout*2/3, c.now
	c.ask = a
	return ""
}

// end answers the change that is being carried out.
func (c *Core) end(done bool, text string) {
	a := c.ask
	if c.ask = nil; a != nil && a.ticket != 0 {
		c.send(a.from, Message{Kind: ChangeAnswered, RequestID: a.ticket, OK: done, Retryable: text == silent, Text: text})
		if b := c.asks[a.ticket]; b != nil && a.from == c.t.Name {
			delete(c.asks, a.ticket)
			c.do(ChangeResult{a.ticket, done, text == silent, text})
		}
	}
	if a != nil {
		c.do(Event{"change of keepers: " + text, strings.Join(a.want, ", ")})
	}
}

// askOn has staff's changes go to who leads, wherever that is.
func (c *Core) askOn() {
	for _, ticket := range sorted(c.asks) {
		a := c.asks[ticket]
		switch {
		case c.now >= a.until:
			delete(c.asks, ticket)
			c.do(ChangeResult{ticket, false, true, silent})
		case c.now >= a.next:
			a.next = c.now + askAgain
			if c.IsLeader() {
				own := &ask{from: c.t.Name, ticket: ticket, want: a.Replicas, seats: map[string]uint64{}}
				if why := c.begin(own, a.Epoch); why != "" {
					delete(c.asks, ticket)
					c.do(ChangeResult{ticket, false, why == busy, why})
				}
				continue
			}
			for _, k := range c.set.Members() {
				c.send(k, Message{Kind: ChangeRequested, RequestID: ticket, Epoch: a.Epoch, Replicas: a.Replicas})
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
	if !c.IsLeader() {
		if c.ask != nil {
			c.ask = nil // who leads now knows nothing of it; staff ask on
		}
		return
	}
	if c.set.Joint() && c.turn == c.set.Epoch && c.ready == c.turn && c.now >= c.changed+askAgain {
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
	var seats []Voter
	keep := map[uint64]bool{}
	for _, k := range a.want {
		id := c.seatOf(k, a)
		if id == 0 {
			if k == c.t.Name {
				a.seats[k] = c.state.VoterID
			}
			c.send(k, Message{Kind: VoterQuery})
			continue
		}
		keep[id] = true
		if !slices.Contains(c.conf.Voters, id) {
			change.Changes = append(change.Changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode, NodeID: id})
			seats = append(seats, Voter{id, k})
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
		c.end(true, fmt.Sprintf("agreed in turn %d; the new keepers take over what the old ones know", c.set.Epoch))
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
				c.do(Event{"a keeper is gone for long, and a spare takes its place", k + ", " + s})
				c.changed = c.now
				c.begin(&ask{want: want, seats: map[string]uint64{}}, c.set.Epoch)
				return
			}
		}
	}
}
