// Package replicaset agrees on which members keep copies, by a raft group of the keepers themselves whose log holds nothing but changes of its
// own voters. It takes an input with its time and returns messages and sets; it does no input or output, reads no clock, and draws from
// its seed alone. docs/copies.md says why it is so.
package replicaset

import (
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"woaddyke/internal/cluster/membership"
)

// Time is a moment in tenths of a millisecond on a clock that only goes forward.
type Time = membership.Time

const (
	ms     Time = 10
	second Time = 1000 * ms
)

// Config are what a scheduler is told at its start.
type Config struct {
	Name              string
	Replicas          []string // by the file
	Seed              uint64
	HeartbeatInterval Time // of who leads
	ElectionTimeout   Time // without a word of who leads, before another wants to; up to twice that, by chance
	ChangeTimeout     Time // to staff

	ReplaceAfter Time     // a keeper that is gone for so long is replaced by a spare; 0: by staff alone
	Spares       []string // in order
}

// Defaults are stated here alone.
func Defaults() Config {
	return Config{HeartbeatInterval: 100 * ms, ElectionTimeout: second, ChangeTimeout: 1500 * ms}
}

// Validate tells what is wrong with the terms.
func (t *Config) Validate() error {
	switch {
	case t.ReplaceAfter != 0 && t.ReplaceAfter < 10*second:
		return errors.New("replace_after: 10s at least, or 0")
	case t.ReplaceAfter != 0 && len(t.Spares) == 0:
		return errors.New("replace_after: there are no spares")
	case len(t.Spares) > mostSpares:
		return fmt.Errorf("spares: %d at most", mostSpares)
	}
	return ValidateNames(t.Replicas)
}

const (
	mostSpares = 64
	mostNames  = 4096 // members whose presence is known: as many as the view has by default
	longName   = 512
	logLength  = 64   // entries before what is settled is put into a snapshot
	roundSize  = 4096 // of entries in one message
	askAgain   = 200 * ms
	snapBeats  = 5  // for a snapshot to be taken
	beats      = 10 // without a majority, after which who leads stands back
)

// ValidateNames tells what is wrong with a list of keepers.
func ValidateNames(names []string) error {
	if len(names) == 0 || len(names) > MaxReplicas || len(names)%2 == 0 {
		return fmt.Errorf("keepers: %d; an odd number up to %d is wanted, such as 3 or 5", len(names), MaxReplicas)
	}
	for i, k := range names {
		if k == "" || len(k) > longName || slices.Contains(names[:i], k) {
			return fmt.Errorf("keepers: %q stands twice, or is no name", k)
		}
	}
	return nil
}

// Core is one process's part.
type Core struct {
	t    Config
	rand *rand.Rand
	now  Time
	out  []Effect

	serving bool
	broken  bool // its state does not last, or made no sense: it takes no part any more
	state   State
	set     Set // the latest that is known, agreed here or learned
	node    *raft.RawNode
	store   *raft.MemoryStorage
	conf    raftpb.ConfState
	applied uint64
	// compacts: what is settled goes into a snapshot after this round; replaced: the node ends after it
	compacts, replaced bool

	turn  uint64            // of the latest change that this node knows
	names map[uint64]string // of seats
	from  map[uint64]string // who sent a message under a seat, until its name is known

	snaps map[uint64]Time // when a snapshot was last sent to a seat

	beat  Time // next, while it leads
	due   Time // when it wants to lead
	heard Time // of who leads
	look  Time // next, at what else is due
	ready uint64

	present map[string]Time // since when members are here, or gone where it is negative
	changed Time            // the last change
	ask     *ask            // that this one carries out, as who leads
	asks    map[uint64]*asking
	founds  map[string]uint64 // seats for the founding
	joined  map[uint64]bool
}

// ask is a change that is being carried out.
type ask struct {
	from   string
	ticket uint64
	want   []string
	seats  map[string]uint64
	until  Time
	next   Time
	put    bool // into the log
}

// asking is a change that staff asked for here.
type asking struct {
	ChangeRequest
	until, next Time
}

// New makes a process's part. A state is what lasted, or one with a seat that was drawn just now; a seat of 0 takes no part.
func New(t Config, s State, now Time) *Core {
	c := &Core{t: t, rand: rand.New(rand.NewPCG(t.Seed, s.VoterID^0x6b656570)), now: now, state: s, set: s.Set, present: map[string]Time{},
		asks: map[uint64]*asking{}, founds: map[string]uint64{}, joined: map[uint64]bool{}, snaps: map[uint64]Time{}, from: map[uint64]string{}}
	if c.set.GroupID == 0 {
		c.set = Configured(t.Replicas)
	}
	c.t.Replicas = slices.Sorted(slices.Values(t.Replicas))
	c.changed = now
	return c
}

// Set is the one that is in force here.
func (c *Core) Set() Set { return c.set }

// IsLeader tells whether this process carries out changes now.
func (c *Core) IsLeader() bool {
	return c.node != nil && c.node.BasicStatus().RaftState == raft.StateLeader
}

// Status is what part this process takes, for staff.
func (c *Core) Status() string {
	switch {
	case c.broken:
		return "none any more"
	case c.state.VoterID == 0:
		return "none, for want of a path"
	case c.IsLeader():
		return "leads"
	case c.node != nil:
		return "follows"
	case c.set.GroupID == 0:
		return "not founded yet"
	}
	return "none"
}

func (c *Core) do(e Effect) { c.out = append(c.out, e) }

func (c *Core) send(to string, x Message) {
	if to == "" || to == c.t.Name {
		return
	}
	x.GroupID, x.VoterID = c.state.GroupID, c.state.VoterID
	c.do(Send{to, x})
}

// Step takes an input and returns what to do. Times never go back.
func (c *Core) Step(now Time, in Input) (out []Effect) {
	c.now, c.out = max(now, c.now), c.out[:0:0]
	defer func() {
		if x := recover(); x != nil { // a message, or a file, that the library can't make sense of must not end the process
			c.out = c.out[:0:0]
			c.breaks(fmt.Sprint(x))
			out = c.out
		}
	}()
	switch in := in.(type) {
	case MessageReceived:
		if c.serving && !c.broken {
			c.hear(in)
		}
	case Membership:
		c.serving = in.Serving
		c.resume()
	case PeerStatus:
		c.presence(in)
	case ChangeRequest:
		c.asks[in.RequestID] = &asking{ChangeRequest: in, until: c.now + c.t.ChangeTimeout, next: c.now}
	case SetLearned:
		c.learned(in.Set)
	case ReplicasReady:
		c.ready = in.Epoch
	case PersistFailed:
		c.breaks("its state does not last")
	case StateReloaded:
		c.broken, c.state = false, in.State
		if in.Set.Supersedes(c.set) {
			c.set, c.changed = in.Set, c.now
		}
		c.resume()
	}
	c.timers()
	return c.out
}

// resume starts the agreement's node where this process is to have one.
func (c *Core) resume() {
	if c.serving && !c.broken && c.node == nil && c.state.GroupID != 0 && c.set.seated(c.t.Name) {
		c.start()
	}
	c.wait()
}

func (c *Core) breaks(why string) {
	c.broken, c.node = true, nil
	c.do(Event{"takes no part in changes of keepers any more", why})
}

func (s Set) seated(name string) bool { return slices.Contains(s.Members(), name) }

// wait has it be patient for a while with who leads.
func (c *Core) wait() {
	c.due = c.now + c.t.ElectionTimeout + Time(c.rand.Int64N(int64(c.t.ElectionTimeout)))
}

// quiet is where the library writes to.
var quiet = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// start runs the agreement's node on what lasted.
func (c *Core) start() {
	c.store = raft.NewMemoryStorage()
	c.names, c.conf, c.applied = map[uint64]string{}, raftpb.ConfState{}, 0
	var snapshot raftpb.Snapshot
	var hard raftpb.HardState
	if err := errors.Join(snapshot.Unmarshal(c.state.Snapshot), hard.Unmarshal(c.state.HardState)); err != nil {
		panic(err)
	}
	if !raft.IsEmptySnap(snapshot) {
		c.store.ApplySnapshot(snapshot)
		c.taken(snapshot)
	}
	c.store.SetHardState(hard)
	for _, text := range c.state.Entries {
		var e raftpb.Entry
		if err := e.Unmarshal(text); err != nil {
			panic(err)
		}
		c.store.Append([]raftpb.Entry{e})
	}
	var err error
	c.node, err = raft.NewRawNode(&raft.Config{ID: c.state.VoterID, ElectionTick: beats, HeartbeatTick: 1, Storage: c.store, Applied: c.applied,
		MaxSizePerMsg: roundSize, MaxInflightMsgs: 16, CheckQuorum: true, PreVote: true, StepDownOnRemoval: true, Logger: quiet})
	if err != nil {
		panic(err)
	}
	c.wait()
	c.carry()
}

// taken takes over what a snapshot says.
func (c *Core) taken(s raftpb.Snapshot) {
	var x settled
	if err := cbor.Unmarshal(s.Data, &x); err != nil {
		panic(err)
	}
	c.name(x.Seats)
	c.applied, c.conf = s.Metadata.Index, s.Metadata.ConfState
	c.settle(x.Turn)
}

// name notes whose seats these are.
func (c *Core) name(seats []Voter) {
	for _, x := range seats {
		c.names[x.ID] = x.Name
	}
}

// settled is what a snapshot holds beside the voters.
type settled struct {
	Turn  uint64  `cbor:"Turn"`
	Seats []Voter `cbor:"Seats"`
}

// settle takes what the agreement says as the set, from a turn on.
func (c *Core) settle(turn uint64) {
	named := func(ids []uint64) (names []string) {
		for _, id := range ids {
			names = append(names, c.names[id])
		}
		slices.Sort(names)
		return names
	}
	s := Set{GroupID: c.state.GroupID, Epoch: turn, Old: named(c.conf.VotersOutgoing), New: named(c.conf.Voters)}
	c.turn = turn
	if s.Supersedes(c.set) {
		c.set, c.changed = s, c.now
		c.do(SetAgreed{s})
	}
}

// carry does what the node asks for.
func (c *Core) carry() {
	for c.node != nil && c.node.HasReady() {
		r := c.node.Ready()
		if !raft.IsEmptySnap(r.Snapshot) {
			c.store.ApplySnapshot(r.Snapshot)
			c.taken(r.Snapshot)
		}
		if !raft.IsEmptyHardState(r.HardState) {
			c.store.SetHardState(r.HardState)
		}
		c.store.Append(r.Entries)
		if r.MustSync || !raft.IsEmptySnap(r.Snapshot) {
			c.keep()
		}
		for _, m := range r.Messages {
			text, err := m.Marshal()
			if err != nil {
				panic(err)
			}
			if m.Type == raftpb.MsgSnap {
				c.snaps[m.To] = c.now
			}
			c.send(c.nameOf(m.To), Message{Kind: RaftMessage, RaftMessage: text})
		}
		for _, e := range r.CommittedEntries {
			c.apply(e)
		}
		c.node.Advance(r)
		if first, err := c.store.FirstIndex(); c.compacts || err == nil && c.applied >= first+logLength {
			c.compact()
		}
	}
	if c.replaced {
		c.node, c.replaced = nil, false // what it voted stays where it lasts
	}
}

func (c *Core) nameOf(seat uint64) string {
	if name := c.names[seat]; name != "" {
		return name
	}
	return c.from[seat]
}

// apply takes an entry that is agreed.
func (c *Core) apply(e raftpb.Entry) {
	if e.Type == raftpb.EntryConfChangeV2 {
		var change raftpb.ConfChangeV2
		var seats []Voter
		if err := change.Unmarshal(e.Data); err != nil {
			panic(err)
		}
		if len(change.Context) > 0 {
			if err := cbor.Unmarshal(change.Context, &seats); err != nil {
				panic(err)
			}
		}
		c.name(seats)
		was := c.votes()
		c.conf = *c.node.ApplyConfChange(change)
		c.settle(e.Index)
		c.came()
		// Who is new takes no snapshot that it is not part of.
		c.compacts, c.replaced = true, was && !c.votes()
	}
	c.applied = e.Index
}

// votes tells whether this process's seat is a voter, as far as it knows.
func (c *Core) votes() bool {
	return slices.Contains(c.conf.Voters, c.state.VoterID) || slices.Contains(c.conf.VotersOutgoing, c.state.VoterID)
}

// compact puts what is settled into a snapshot, with the names of the seats that count.
func (c *Core) compact() {
	c.compacts = false
	seats := c.seats()
	if _, err := c.store.CreateSnapshot(c.applied, &c.conf, marshal(settled{c.turn, seats})); err != nil {
		panic(err)
	}
	if err := c.store.Compact(c.applied); err != nil && !errors.Is(err, raft.ErrCompacted) {
		panic(err)
	}
	clear(c.names)
	c.name(seats)
	c.keep()
}

// seats are the voters as they are now.
func (c *Core) seats() (seats []Voter) {
	for _, id := range slices.Sorted(slices.Values(append(slices.Clone(c.conf.Voters), c.conf.VotersOutgoing...))) {
		seats = append(seats, Voter{id, c.names[id]})
	}
	return slices.Compact(seats)
}

func marshal(v any) []byte {
	text, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // plain structs
	}
	return text
}

// keep has all that must last put where it does.
func (c *Core) keep() {
	s := c.state
	s.Set = c.set
	if c.store != nil {
		s.Entries = nil
		hard, _, _ := c.store.InitialState()
		snapshot, _ := c.store.Snapshot()
		var err1, err2 error
		s.HardState, err1 = hard.Marshal()
		s.Snapshot, err2 = snapshot.Marshal()
		first, _ := c.store.FirstIndex()
		last, _ := c.store.LastIndex()
		var entries []raftpb.Entry
		var err3 error
		if last >= first {
			entries, err3 = c.store.Entries(first, last+1, 1<<30)
		}
		for _, e := range entries {
			text, err := e.Marshal()
			err3 = errors.Join(err3, err)
			s.Entries = append(s.Entries, text)
		}
		if err := errors.Join(err1, err2, err3); err != nil {
			panic(err)
		}
	}
	c.state = s
	c.do(Persist{s})
}

// NextTick is when a Tick is due.
func (c *Core) NextTick() Time {
	at := c.look
	switch {
	case c.node == nil || !c.serving:
	case c.IsLeader():
		at = min(at, c.beat)
	default:
		at = min(at, c.due)
	}
	for _, a := range c.asks {
		at = min(at, a.next, a.until)
	}
	if c.ask != nil {
		at = min(at, c.ask.next, c.ask.until)
	}
	return max(at, c.now+1)
}

// timers does what is due. The library counts its own time for who leads alone: whoever wants to lead does so by this core's chance.
func (c *Core) timers() {
	if c.serving && c.node != nil {
		if c.IsLeader() {
			if c.now >= c.beat {
				c.beat = c.now + c.t.HeartbeatInterval
				c.lostSnapshots()
				c.node.Tick()
				c.carry()
			}
		} else if c.now >= c.due {
			c.wait()
			c.node.Campaign() // refused where it may not: that is well
			c.carry()
		}
	}
	if c.now >= c.look {
		c.look = c.now + second
		c.lookRound()
	}
	c.askOn()
	c.carryOut()
}

// lostSnapshots has snapshots that may have been lost sent again: the library waits for a word of them for ever.
func (c *Core) lostSnapshots() {
	for _, seat := range sorted(c.snaps) {
		if c.now-c.snaps[seat] >= snapBeats*c.t.HeartbeatInterval {
			delete(c.snaps, seat)
			c.node.ReportSnapshot(seat, raft.SnapshotFailure)
		}
	}
}

// round takes a message of the agreement.
func (c *Core) round(in MessageReceived) {
	var m raftpb.Message
	if in.GroupID == 0 || m.Unmarshal(in.RaftMessage) != nil || m.To != c.state.VoterID || m.From != in.VoterID {
		return
	}
	if c.state.GroupID == 0 {
		c.state.GroupID = in.GroupID // it was founded without a word of that having come here
	}
	if in.GroupID != c.state.GroupID {
		return
	}
	c.from[m.From] = in.From
	if len(c.from) > 4*MaxReplicas {
		clear(c.from)
		c.from[m.From] = in.From
	}
	if c.node == nil {
		if c.start(); c.node == nil {
			return
		}
	}
	switch m.Type {
	case raftpb.MsgPreVote, raftpb.MsgVote:
		if !c.IsLeader() {
			if c.heard != 0 && c.now-c.heard < c.t.ElectionTimeout {
				return // who leads was heard just now
			}
			m.Context = []byte("CampaignTransfer") // the library's own lease would count by ticks that only who leads gets
		}
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.Term >= c.node.BasicStatus().Term {
			c.heard = c.now
			c.wait()
		}
	case raftpb.MsgProp, raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgUnreachable, raftpb.MsgSnapStatus, raftpb.MsgCheckQuorum,
		raftpb.MsgTransferLeader, raftpb.MsgTimeoutNow, raftpb.MsgReadIndex, raftpb.MsgReadIndexResp, raftpb.MsgForgetLeader:
		return // nobody sends these
	}
	led := c.IsLeader()
	c.node.Step(m) // what it does not take is void
	if c.carry(); c.IsLeader() && !led {
		c.beat = c.now
	}
}
