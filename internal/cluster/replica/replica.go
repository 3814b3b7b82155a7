package replica

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"woaddyke/internal/base/opkey"
	"woaddyke/internal/base/oserror"
	"woaddyke/internal/base/spillqueue"
	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/cluster/store"
	"woaddyke/internal/lifecycle/boottime"
)

const (
	mostWaiting = 4096 // inputs that wait for the loop; messages beyond them are lost, as datagrams are
	pageSize    = 500  // records that staff read at once
	lateTime    = time.Second
	mostStaff   = 8
	mostJoined  = 1024
	joinEvery   = 50 * time.Millisecond
	staffTime   = 1800 * time.Millisecond // a call of staff has 2 s
	mostRound   = 64                      // further inputs that share a wait for the disk
)

// input is one for either of the two cores.
type input struct {
	copies replication.Input
	agreed replicaset.Input
}

// Transport sends a message to a member.
type Transport interface {
	SendReplication(to string, x replication.Message)
	SendReplicaSet(to string, x replicaset.Message)
	Now() membership.Time
}

// Replica is one process's part.
type Replica struct {
	table   *Config
	log     zerolog.Logger
	core    *replication.Core
	agreed  *replicaset.Core // who keeps copies; nil where that does not change
	way     Transport
	in      chan input
	events  *spillqueue.Queue[input] // to in, of what may not be lost and is not waited for
	calls   chan func()
	quit    chan struct{}
	ended   chan struct{}
	once    sync.Once
	tickets atomic.Uint64
	lost    atomic.Uint64
	joined  atomic.Int64 // that wait for ops of others

	mu      sync.Mutex
	waiting map[uint64]chan replication.ClaimDecided
	staff   map[uint64]chan replicaset.ChangeResult
	heirs   uint64
	life    membership.Incarnation
	serving bool

	store *store.Store // nil: memory alone; of the loop once it runs
	given bool         // the store was let go of for the process that takes over; of the loop
}

// New makes a process's part at a moment of the clock that it will run by; it does nothing before Start. A process that took over says
// how many did before it.
func New(t *Config, name string, chance, heirs uint64, now membership.Time, log zerolog.Logger) (*Replica, error) {
	nonce, err := drawn()
	if err != nil {
		return nil, err
	}
	f := &Replica{table: t, log: log, in: make(chan input, mostWaiting), calls: make(chan func()), quit: make(chan struct{}),
		ended: make(chan struct{}), waiting: map[uint64]chan replication.ClaimDecided{}, staff: map[uint64]chan replicaset.ChangeResult{}, heirs: heirs}
	f.events = spillqueue.New(f.in, f.ended)
	f.core = replication.New(t.terms(name, chance, nonce), now)
	keeper := slices.Contains(t.Replicas, name)
	if t.DynamicReplicas && keeper && t.Path == "" {
		return nil, errors.New("copies: agreed: a keeper has to have a path for what must last")
	}
	if t.Path != "" && (keeper || t.DynamicReplicas) {
		return f, f.open(name, chance, now)
	}
	if t.DynamicReplicas {
		f.agreed = replicaset.New(t.rule(name, chance), replicaset.State{}, now)
	}
	return f, nil
}

// drawn is a number that no other process draws, and no seed; never 0, nor one of those that the agreement's library keeps for itself.
func drawn() (uint64, error) {
	var room [8]byte
	if _, err := crand.Read(room[:]); err != nil {
		return 0, fmt.Errorf("copies: %w", err)
	}
	return binary.BigEndian.Uint64(room[:])>>1 | 1, nil
}

// open opens the place where records last. A file that can't be read ends the start: a keeper that goes on without what it granted must
// be one that has been told to, by taking the file away.
// A disk that fails for a moment is waited for.
func (f *Replica) open(name string, chance uint64, now membership.Time) error {
	_, err := oserror.RetryTransient(func() (struct{}, error) { return struct{}{}, f.openOnce(name, chance, now) })
	return err
}

func (f *Replica) openOnce(name string, chance uint64, now membership.Time) (err error) {
	if f.store, err = store.Open(f.table.Path, f.table.Sync); err != nil {
		return err
	}
	if f.table.DynamicReplicas {
		if err := f.openAgreement(name, chance, now); err != nil {
			f.store.Close()
			return err
		}
	}
	kept, err := f.load(f.store)
	if err != nil {
		f.store.Close()
		return err
	}
	kept.of(f.core.SetID())
	f.core.Restore(kept.Records, kept.Incarnation, kept.Cursors)
	return nil
}

// loaded is what stands in a store, and of which set of keepers.
type loaded struct {
	replication.StateReloaded
	epoch uint64
}

// of has what is of another set of keepers be no life of this one.
func (l *loaded) of(epoch uint64) {
	if l.epoch != epoch {
		l.Incarnation = replication.Incarnation{}
	}
}

// load reads a store.
func (f *Replica) load(s *store.Store) (l loaded, err error) {
	var whole bool
	if l.Records, l.Incarnation, l.epoch, whole, err = s.Load(boottime.Now()); err != nil {
		return loaded{}, err
	}
	if !whole {
		l.Incarnation = replication.Incarnation{} // new, or not all of it was known
	}
	if l.Cursors, err = s.Cursors(); err != nil {
		return loaded{}, err
	}
	f.log.Info().Int("records", len(l.Records)).Bool("whole", whole).Str("path", f.table.Path).Msg("copies kept on a disk")
	return l, nil
}

// reopen goes on with the store that was let go of for a process that has ended.
func (f *Replica) reopen() error {
	given := false
	if f.call(func() { given = f.given }); !given {
		return nil
	}
	s, err := oserror.RetryTransient(func() (*store.Store, error) { return store.Open(f.table.Path, f.table.Sync) })
	if err != nil {
		return err
	}
	kept, err := f.load(s)
	var state replicaset.State
	if err == nil && f.agreed != nil {
		state, _, err = s.Agreement()
	}
	if err != nil {
		s.Close()
		return err
	}
	taken := false
	f.call(func() {
		f.store, f.given, taken = s, false, true
		if f.agreed != nil {
			f.agree(replicaset.StateReloaded{State: state})
			f.carry(f.core.Step(f.way.Now(), replication.AdoptSet{Set: f.agreed.Set()}))
		}
		kept.of(f.core.SetID())
		f.carry(f.core.Step(f.way.Now(), kept.StateReloaded))
	})
	if !taken {
		s.Close() // it ends
	}
	return nil
}

// openAgreement goes on with what lasts of the agreement, or draws a seat in it.
func (f *Replica) openAgreement(name string, chance uint64, now membership.Time) error {
	state, ok, err := f.store.Agreement()
	if err == nil && !ok {
		if state.VoterID, err = drawn(); err == nil {
			err = f.store.SaveAgreement(state)
		}
	}
	if err != nil {
		return err
	}
	f.agreed = replicaset.New(f.table.rule(name, chance), state, now)
	f.core.AdoptStored(f.agreed.Set())
	return nil
}

// HandOver lets go of the place where records last, for the process that takes over.
func (f *Replica) HandOver() {
	f.call(func() {
		if f.store != nil {
			f.store.Close()
			f.store, f.given = nil, true
			f.core.Step(f.way.Now(), replication.PersistFailed{})
			if f.agreed != nil {
				f.agreed.Step(f.way.Now(), replicaset.PersistFailed{})
			}
		}
	})
}

// Start runs it over the mesh.
func (f *Replica) Start(way Transport) {
	f.way = way
	go f.loop()
}

// Close ends it.
func (f *Replica) Close() {
	f.once.Do(func() { close(f.quit) })
	<-f.ended
}

func (f *Replica) loop() {
	defer close(f.ended)
	defer func() {
		if f.store != nil {
			f.store.Close()
		}
	}()
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-f.quit:
			return
		case call := <-f.calls:
			call()
			continue
		case in := <-f.in:
			f.take(in)
		case <-tick.C:
			f.carry(f.core.Step(f.way.Now(), replication.Tick{}))
			if f.agreed != nil && f.agreed.NextTick() <= f.way.Now() {
				f.agree(replicaset.Tick{})
			}
		}
		next := f.core.NextTick()
		if f.agreed != nil {
			next = min(next, f.agreed.NextTick())
		}
		tick.Reset(max(time.Duration(next-f.way.Now())*membership.Tenth, 0))
	}
}

// take takes an input, and what waits already beside it into the same round: many records, one wait for the disk.
func (f *Replica) take(in input) {
	var effects []replication.Effect
	for range mostRound {
		if in.agreed != nil {
			f.carry(effects)
			effects = nil
			f.agree(in.agreed)
		} else {
			effects = append(effects, f.core.Step(f.way.Now(), in.copies)...)
		}
		select {
		case in = <-f.in:
			continue
		default:
		}
		f.carry(effects)
		return
	}
	f.carry(effects)
}

// agree feeds the agreement and does what it asks for: first of all what has to last. False where that failed.
func (f *Replica) agree(in replicaset.Input) bool {
	if f.agreed == nil {
		return true
	}
	effects := f.agreed.Step(f.way.Now(), in)
	for i := len(effects) - 1; i >= 0; i-- { // the last state has all of those before
		k, ok := effects[i].(replicaset.Persist)
		if !ok {
			continue
		}
		if f.store == nil {
			break
		}
		if err := f.store.SaveAgreement(k.State); err != nil {
			f.log.Error().Err(err).Msg("the agreement could not be kept on the disk")
			f.agreed.Step(f.way.Now(), replicaset.PersistFailed{})
			f.core.Step(f.way.Now(), replication.PersistFailed{})
			return false
		}
		break
	}
	for _, e := range effects {
		switch e := e.(type) {
		case replicaset.Send:
			f.way.SendReplicaSet(e.To, e.Message)
		case replicaset.SetAgreed:
			f.carry(f.core.Step(f.way.Now(), replication.AdoptSet{Set: e.Set}))
		case replicaset.ChangeResult:
			f.mu.Lock()
			if c := f.staff[e.RequestID]; c != nil {
				c <- e
				delete(f.staff, e.RequestID)
			}
			f.mu.Unlock()
		case replicaset.Event:
			f.log.Info().Str("what", e.Description).Str("of", e.Subject).Msg("keepers")
		}
	}
	return true
}

// carry does what the core asks for: first of all what has to last. A set is in force here only once it does: who is told so goes by it
// that this keeper refuses what came under the one before.
// What follows from that for the core itself is fed to it at once: a queue may be full, and none of it may be lost.
func (f *Replica) carry(effects []replication.Effect) {
	kept := f.keep(effects)
	var owed []replication.Input
	if !kept {
		owed = append(owed, replication.PersistFailed{Keys: replication.PersistedKeys(effects)})
	}
	for _, e := range effects {
		if a, ok := e.(replication.SetAdopted); ok {
			kept = f.agree(replicaset.SetLearned{Set: a.Set}) && kept
		}
	}
	for _, e := range effects {
		switch e := e.(type) {
		case replication.Send:
			if kept || !e.RequiresDurability() {
				f.way.SendReplication(e.To, e.Message)
			}
		case replication.ReplicasReady:
			if kept {
				f.agree(replicaset.ReplicasReady{Epoch: e.Epoch})
			}
		case replication.ClaimDecided:
			f.mu.Lock()
			c := f.waiting[e.RequestID]
			delete(f.waiting, e.RequestID)
			f.mu.Unlock()
			if c != nil && !kept && e.Result == replication.Granted { // its own vote may be among those that granted it
				c <- replication.ClaimDecided{RequestID: e.RequestID, Result: replication.NoQuorum}
				owed = append(owed, replication.OpEnded{RequestID: e.RequestID, NeverRan: true})
			} else if c != nil {
				c <- e
			} else if e.Result == replication.Granted { // nobody waits for it any more, and nothing was pushed
				owed = append(owed, replication.OpEnded{RequestID: e.RequestID, NeverRan: true})
			}
		case replication.Event:
			f.log.Info().Str("what", e.Description).Str("of", e.Subject).Msg("copies")
		}
	}
	for _, in := range owed {
		f.carry(f.core.Step(f.way.Now(), in))
	}
}

// keep puts on the disk what a round of effects asks for; false where that failed.
func (f *Replica) keep(effects []replication.Effect) bool {
	if f.store == nil {
		return true
	}
	put, drop := map[string]replication.Record{}, []string{}
	var err error
	for _, e := range effects {
		switch e := e.(type) {
		case replication.Persist:
			put[e.Key] = e.Record
		case replication.Delete:
			delete(put, e.Key)
			drop = append(drop, e.Key)
		}
	}
	if len(put)+len(drop) > 0 {
		err = f.store.Write(boottime.Now(), slices.Collect(maps.Values(put)), drop)
	}
	var seen []replication.ReplicationCursor
	for _, e := range effects { // a life is noted after the records that make it whole, and so is what was seen
		if s, ok := e.(replication.ReplicationCursor); ok {
			seen = append(seen, s)
		}
		if l, ok := e.(replication.IncarnationPersisted); ok && err == nil {
			err = f.store.SetIncarnation(l.Incarnation, f.core.SetID())
		}
	}
	if err == nil && len(seen) > 0 {
		err = f.store.SaveCursors(seen)
	}
	if err != nil {
		f.log.Error().Err(err).Msg("copies could not be kept on the disk")
	}
	return err == nil
}

func (f *Replica) tell(in replication.Input) bool { return f.hand(input{copies: in}) }

func (f *Replica) hand(in input) bool {
	select {
	case f.in <- in:
		return true
	default:
		f.lost.Add(1)
		return false
	}
}

// Receive takes a message of another member. It waits for nothing.
func (f *Replica) Receive(from string, x replication.Message) {
	f.tell(replication.MessageReceived{From: from, Message: x})
}

// ReceiveReplicaSet takes a message of another member on who keeps copies. It waits for nothing.
func (f *Replica) ReceiveReplicaSet(from string, x replicaset.Message) {
	f.hand(input{agreed: replicaset.MessageReceived{From: from, Message: x}})
}

// Serving says whether this process is a member, and as which life of its name. An heir, and a process whose heir has ended, is another
// voter than the one before: what that one granted meanwhile it does not know. Two processes that took one incarnation, as each was the
// first that the other met, are told apart as members tell them: with a nonce of its own one of two had no vote for good.
func (f *Replica) Serving(on bool, l membership.Incarnation) {
	f.mu.Lock()
	f.serving = on
	if on {
		f.life = l
	}
	life := replication.Membership{Serving: on, Generation: f.life.Generation<<16 + f.heirs, Nonce: f.life.Nonce}
	f.mu.Unlock()
	f.events.Put(input{copies: life})
	f.events.Put(input{agreed: replicaset.Membership{Serving: on}})
}

// Resumed says that the process that was to take over has ended.
func (f *Replica) Resumed() {
	if err := f.reopen(); err != nil {
		f.log.Error().Err(err).Msg("goes on without the place where copies last")
	}
	f.mu.Lock()
	f.heirs += 2
	on, life := f.serving, f.life
	f.mu.Unlock()
	f.Serving(on, life)
}

// Successions is how many processes were heirs before the next one.
func (f *Replica) Successions() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heirs + 1
}

// SetPeerDead says that a member is no more, or is back.
func (f *Replica) SetPeerDead(name string, gone bool) {
	f.events.Put(input{copies: replication.PeerStatus{Name: name, Dead: gone}})
	f.events.Put(input{agreed: replicaset.PeerStatus{Name: name, Alive: !gone}})
}

// ChangeReplicas has staff's change of keepers agreed, from the set of a turn on; it tells whether it is.
func (f *Replica) ChangeReplicas(turn uint64, names []string) replicaset.ChangeResult {
	no := func(text string, again bool) replicaset.ChangeResult {
		return replicaset.ChangeResult{Message: text, Retryable: again}
	}
	if !f.table.DynamicReplicas {
		return no("keepers do not change by agreement here: copies.agreed is not set", false)
	}
	ticket, err := drawn()
	if err != nil {
		return no(err.Error(), false)
	}
	c := make(chan replicaset.ChangeResult, 1)
	f.mu.Lock()
	full := len(f.staff) >= mostStaff
	if !full {
		f.staff[ticket] = c
	}
	f.mu.Unlock()
	if full {
		return no("too many ask at once", true)
	}
	defer func() {
		f.mu.Lock()
		delete(f.staff, ticket)
		f.mu.Unlock()
	}()
	f.must(input{agreed: replicaset.ChangeRequest{RequestID: ticket, Epoch: turn, Replicas: names}})
	late := time.NewTimer(staffTime)
	defer late.Stop()
	select {
	case t := <-c:
		return t
	case <-f.ended:
		return no("it ends", false)
	case <-late.C:
		return no("no answer in time", true)
	}
}

// must hands on what may not be lost.
func (f *Replica) must(in input) {
	select {
	case f.in <- in:
	case <-f.ended:
	}
}

// Claim asks whether an op may be pushed, and waits for the outcome: at most as long as the table says.
// An op whose repeats its group drops for a window may be given though it ran for a scheduler that is gone: the outcome then says where.
// One that another scheduler has is asked for again until it has ended, for as long as the table says: its client gets that answer.
func (f *Replica) Claim(ctx context.Context, category, id string, request []byte, within, window time.Duration) replication.ClaimDecided {
	began := time.Now()
	d := f.ask(ctx, category, id, request, within, window)
	until := min(time.Duration(f.table.JoinTimeout), within-joinEvery)
	if d.Result != replication.InProgress || until <= 0 {
		return d
	}
	if f.joined.Add(1) > mostJoined {
		f.joined.Add(-1)
		return d
	}
	defer f.joined.Add(-1)
	tick := time.NewTicker(joinEvery)
	defer tick.Stop()
	for d.Result == replication.InProgress && time.Since(began) < until {
		select {
		case <-tick.C:
			d = f.ask(ctx, category, id, request, within-time.Since(began), window)
		case <-ctx.Done():
			return d
		case <-f.ended:
			return d
		}
	}
	return d
}

func (f *Replica) ask(ctx context.Context, category, id string, request []byte, within, window time.Duration) replication.ClaimDecided {
	ticket := f.tickets.Add(1)
	c := make(chan replication.ClaimDecided, 1)
	f.mu.Lock()
	f.waiting[ticket] = c
	f.mu.Unlock()
	unsure := replication.ClaimDecided{RequestID: ticket, Result: replication.NoQuorum}
	if !f.tell(replication.ClaimRequest{RequestID: ticket, Key: keyOf(category, id), Fingerprint: xxhash.Sum64(request), Timeout: membership.TimeOf(within),
		Window: membership.TimeOf(window)}) {
		f.mu.Lock()
		delete(f.waiting, ticket)
		f.mu.Unlock()
		return unsure
	}
	late := time.NewTimer(time.Duration(f.table.QuorumTimeout) + lateTime)
	defer late.Stop()
	select {
	case d := <-c:
		return d
	case <-ctx.Done():
	case <-late.C: // the loop stood still
	case <-f.ended:
	}
	f.mu.Lock()
	_, waits := f.waiting[ticket]
	delete(f.waiting, ticket) // a grant that comes yet is given back
	f.mu.Unlock()
	if waits {
		return unsure
	}
	if d := <-c; d.Result == replication.Granted { // the loop has it on its way here
		f.Finish(ticket, true, 0, nil)
	}
	return unsure
}

// MayHaveRun says that an op that was granted may have run in a group that drops repeats.
func (f *Replica) MayHaveRun(ticket uint64, where string) {
	f.events.Put(input{copies: replication.MayHaveRun{RequestID: ticket, Group: where}})
}

// Abandon says that one that may have run is pushed no more, and that its client was told that trying again is harmless.
func (f *Replica) Abandon(ticket uint64) {
	f.must(input{copies: replication.OpEnded{RequestID: ticket, Abandoned: true}})
}

// Finish says what became of an op that was granted. A longer answer than the table says is not held.
func (f *Replica) Finish(ticket uint64, unsent bool, status int, answer []byte) {
	e := replication.OpEnded{RequestID: ticket, NeverRan: unsent, Verdict: uint16(status)}
	if !unsent && status != 0 && len(answer) <= f.table.MaxResultBytes {
		e.Result, e.ResultRetained = append([]byte{}, answer...), true
	}
	f.must(input{copies: e})
}

// Status is what staff see.
type Status struct {
	replication.Status
	Agreement string `json:"agreement"`   // what part this process takes in changes of keepers; empty where they do not change
	Lost      uint64 `json:"inputs_lost"` // for want of room
}

func (f *Replica) call(do func()) {
	done := make(chan struct{})
	select {
	case f.calls <- func() { do(); close(done) }:
		<-done
	case <-f.ended:
	}
}

// Status is the state as of now.
func (f *Replica) Status() (s Status) {
	f.call(func() {
		s = Status{Status: f.core.Status(), Lost: f.lost.Load()}
		if f.agreed != nil {
			s.Agreement = f.agreed.Status()
		}
	})
	return s
}

// RecordRow is one claim of an op, for staff.
type RecordRow struct {
	Category       string `json:"category"`
	ID             string `json:"id"`
	Scheduler      string `json:"by"`
	Claim          string `json:"claim"`
	Stage          string `json:"stage"`
	Status         int    `json:"status,omitempty"`
	ResultRetained bool   `json:"held,omitempty"`
	Group          string `json:"where,omitempty"` // the group that drops repeats, in which it may have run
}

// Page is some of the records in order, from after a key on, and the key to go on after; empty where there are no more.
func (f *Replica) Page(after string) (rows []RecordRow, next string) {
	f.call(func() {
		page := f.core.Page(after, pageSize)
		for _, r := range page {
			rows = append(rows, rowsOf(r)...)
		}
		if len(page) == pageSize {
			next = page[len(page)-1].Key
		}
	})
	return rows, next
}

// Lookup are the rows of one id.
func (f *Replica) Lookup(category, id string) (rows []RecordRow) {
	f.call(func() {
		if r, ok := f.core.Lookup(keyOf(category, id)); ok {
			rows = rowsOf(r)
		}
	})
	return rows
}

// keyOf is the key of an op's record: its category and the key of its id.
func keyOf(category, id string) string { return category + "\x00" + opkey.FromID(id) }

func rowsOf(r replication.Record) (rows []RecordRow) {
	category, id := r.Key, ""
	for i := range r.Key {
		if r.Key[i] == 0 {
			category, id = r.Key[:i], r.Key[i+1:]
			break
		}
	}
	for _, x := range r.Outcomes {
		rows = append(rows, RecordRow{category, id, x.Scheduler, fmt.Sprintf("%016x", x.Nonce), x.Stage.String(), int(x.Verdict), x.ResultRetained, x.Group})
	}
	return rows
}
