package replication

import (
	"maps"
	"slices"
	"strings"

	"woaddyke/internal/cluster/replicaset"
)

// hear takes a message.
func (c *Core) hear(in MessageReceived) {
	x := in.Message
	if x.Kind == SetInForce {
		c.told(in)
		return
	}
	if x.SetID != c.epoch {
		c.otherSet(in)
		return
	}
	switch x.Kind {
	case ClaimRequested, OutcomeReported, Register, Pull, Fetch:
		if !c.keeper || !c.serving {
			c.count("asked as no keeper")
			return
		}
	case ClaimGranted, ClaimRefused, OutcomeKnown, Registered, DigestPage, Fetched:
		if !slices.Contains(c.all, in.From) {
			c.count("word of no keeper")
			return
		}
	}
	switch x.Kind {
	case ClaimRequested:
		c.grab(in)
	case ClaimGranted, ClaimRefused:
		c.answered(in)
	case OutcomeReported:
		if c.valid(x.Record) {
			// A moment of this process's own clock, at which it granted what only ran after that, comes back with the word that it may
			// have run: however long that was on its way, its age is known.
			asked := Time(0)
			if x.LogIncarnation == c.life && x.After > 0 && Time(x.After) <= c.now && len(x.Record.Outcomes) == 1 {
				asked, x.Record.Outcomes[0].Age = Time(x.After)+1, 1
			}
			c.learn(x.Record, asked)
			c.send(in.From, Message{Kind: OutcomeKnown, RequestID: x.RequestID, Incarnation: c.life})
		}
	case OutcomeKnown:
		if t := c.tells[x.RequestID]; t != nil {
			if t.known[in.From] = true; c.toldAll(t.known) {
				delete(c.tells, x.RequestID)
			}
		}
	case Register:
		c.register(in)
	case Registered:
		c.registered(in)
	case Pull:
		c.pulled(in)
	case DigestPage:
		c.piece(in)
	case Fetch:
		c.fetched(in)
	case Fetched:
		c.taken(in)
	}
}

const maxAge = 1 << 40 // tenths of a millisecond

func (c *Core) valid(r Record) bool {
	ok := r.Key != "" && len(r.Key) <= longKey && len(r.Outcomes) > 0 && len(r.Outcomes) <= 4*mostClaims
	for _, f := range r.Outcomes {
		ok = ok && len(f.Group) <= longKey && f.Stage >= Claimed && f.Stage <= Ended && f.Scheduler != "" && len(f.Scheduler) <= longKey
	}
	if !ok {
		c.count("garbled")
	}
	return ok
}

// grab grants a claim, or says why not.
func (c *Core) grab(in MessageReceived) {
	x := in.Message
	if !c.valid(x.Record) || len(x.Record.Outcomes) != 1 {
		return
	}
	claim := x.Record.Outcomes[0].Claim
	refuse := func(why RefusalReason, r *Record) {
		c.count("refused: " + why.String())
		answer := Message{Kind: ClaimRefused, RequestID: x.RequestID, Incarnation: c.life, Reason: why}
		if r != nil {
			answer.Record = c.aged(r)
		}
		c.send(in.From, answer)
	}
	r := c.records[x.Record.Key]
	switch {
	case !c.voting:
		refuse(NoVote, nil)
		return
	case r == nil && (len(c.records) >= c.t.MaxRecords || c.size+x.Record.size() > c.t.MaxBytes):
		refuse(CapacityReached, nil)
		return
	}
	if r != nil {
		if _, ended := r.ended(); ended {
			refuse(AlreadyClaimed, r)
			return
		}
		if _, other := r.stands(claim); other && !r.bound(claim, x.Record.Outcomes[0].Group) {
			refuse(AlreadyClaimed, r)
			return
		}
		if i, ok := r.find(claim); ok && r.Outcomes[i].Stage != Claimed {
			refuse(ClaimReleased, nil)
			return
		} else if !ok && len(r.Outcomes) >= mostClaims {
			refuse(CapacityReached, nil)
			return
		}
		if !r.protects() {
			r.Fingerprint = x.Record.Fingerprint // nothing of what came before ran
			c.stamp(r)
		}
	}
	x.Record.Outcomes = []Outcome{{Claim: claim, Stage: Claimed, Voted: true, Group: x.Record.Outcomes[0].Group}}
	c.learn(x.Record, 0)
	c.send(in.From, Message{Kind: ClaimGranted, RequestID: x.RequestID, Incarnation: c.life, Voters: c.votersNow(), After: uint64(max(c.now, 1))})
}

// votersNow are the processes that vote, as this keeper knows them.
func (c *Core) votersNow() (all []Voter) {
	for _, k := range c.all {
		if l, ok := c.voters[k]; ok {
			all = append(all, Voter{k, l})
		}
	}
	return all
}

// answered takes a keeper's answer to a want.
func (c *Core) answered(in MessageReceived) {
	w := c.wants[in.RequestID&^boundTicket]
	if w == nil || w.wire() != in.RequestID {
		return // or it is the answer to the claim before it was bound
	}
	x := in.Message
	w.answers[in.From] = answer{granted: x.Kind == ClaimGranted, life: x.Incarnation, voters: x.Voters, why: x.Reason, record: x.Record, at: x.After}
	c.judge(w, false)
}

// learn joins a record into what is known here. Its ages were true at some moment not before one; 0: they say nothing, as they have been
// on their way for nobody knows how long.
func (c *Core) learn(x Record, asked Time) {
	r := c.records[x.Key]
	if r == nil {
		if len(c.records) >= c.t.MaxRecords || c.size+x.size() > c.t.MaxBytes {
			c.count("no room for a record") // it stays where it is known; here nothing is granted that it would forbid
			c.voting, c.own, c.ready = false, false, false
			c.lives(Incarnation{})
			for _, l := range c.looks { // what finds no room now is asked for again
				l.anew(l.of)
				l.through = false
			}
			return
		}
		age := Time(min(x.Age, uint64(c.t.Retention/second))) * second
		r = &Record{Key: x.Key, Fingerprint: x.Fingerprint, since: c.now - age}
		c.records[x.Key] = r
		k := secondOf(r.since)
		c.ages[k], c.oldest = append(c.ages[k], r), min(c.oldest, k)
	} else {
		c.size -= r.size()
		if x.Fingerprint != r.Fingerprint {
			if r.protects() && (&x).protects() {
				c.count("breach: two requests under one id")
				c.do(Event{"two requests under one id", x.Key})
			}
			r.Fingerprint = max(r.Fingerprint, x.Fingerprint)
		}
	}
	changed := false
	for _, f := range x.Outcomes {
		if _, known := r.find(f.Claim); !known && len(r.Outcomes) >= 4*mostClaims {
			c.count("too many claims")
			continue
		}
		if f.notBefore = 0; f.Age > 0 && asked > 0 {
			f.notBefore = max(asked-Time(min(f.Age, maxAge)), 1)
		}
		f.Age = 0
		news, breach := r.join(f)
		if changed = changed || news; breach {
			c.count("breach: words that can't both be true")
			c.do(Event{"words that can't both be true", x.Key})
		}
	}
	c.size += r.size()
	c.stamp(r)
	if changed {
		if c.move(r); c.lasting {
			c.do(Persist{c.aged(r)})
		}
	}
}

// stamp keeps the digests after a record has changed.
func (c *Core) stamp(r *Record) {
	c.unstamp(r)
	r.sum = r.digest()
	c.digest ^= r.sum
	c.byDigest[r.sum] = r
}

// unstamp takes a record out of the digests.
func (c *Core) unstamp(r *Record) {
	c.digest ^= r.sum
	delete(c.byDigest, r.sum)
}

// move puts a record at the end of the order of changes.
func (c *Core) move(r *Record) {
	if r.pos > 0 {
		c.order[r.pos-c.first] = nil
	}
	c.pos++
	r.pos = c.pos
	c.order = append(c.order, r)
	holes := 0
	for holes < len(c.order) && c.order[holes] == nil {
		holes++
	}
	c.order, c.first = c.order[holes:], c.first+uint64(holes)
}

// aged is a record as it is sent.
func (c *Core) aged(r *Record) Record {
	x := *r
	x.Age = uint64(max(c.now-r.since, 0) / second)
	x.Outcomes = slices.Clone(r.Outcomes)
	for i := range x.Outcomes {
		if f := &x.Outcomes[i]; f.notBefore > 0 {
			f.Age = uint64(max(c.now-f.notBefore, 0)) + 1
		}
	}
	return x
}

// forget drops records in the order in which they were first heard of, by whole seconds, when their time is over: ages are told in whole
// seconds, and a million of one moment in their exact order cost a move of all for each.
func (c *Core) forget() {
	for ; (c.oldest+1)*second+c.t.Retention <= c.now; c.oldest++ {
		for _, r := range c.ages[c.oldest] {
			c.size -= r.size()
			c.unstamp(r)
			delete(c.records, r.Key)
			if c.lasting {
				c.do(Delete{r.Key})
			}
			c.order[r.pos-c.first] = nil
		}
		delete(c.ages, c.oldest)
	}
}

// secondOf is the second that a moment is in.
func secondOf(t Time) Time {
	if t < 0 {
		t -= second - 1
	}
	return t / second
}

// keep registers with the other keepers, looks at their changes, and begins to vote when that is safe.
func (c *Core) keep() {
	if !c.keeper || !c.serving {
		return
	}
	for _, k := range c.all {
		l := c.looks[k]
		if l == nil || c.now < l.next {
			continue
		}
		if l.registered != c.life {
			c.send(k, Message{Kind: Register, Incarnation: c.life})
			l.next = c.now + c.t.RetryInterval*2
			continue
		}
		c.pull(k, l)
	}
	c.begin()
}

// begin gives this keeper its vote. Whatever it may have granted in an earlier life stands at one of any so many others that vote as meet
// each majority, and these know it as the present life since before it looked; so nothing that counts can be missed, and no earlier life's
// vote counts beside this one's. Where too few others vote, it waits until all that may have been granted is over. While keepers change
// these others are of the old part, without whose majority nothing is granted.
func (c *Core) begin() {
	if !c.keeper || (c.voting || c.unkept) && !c.set.Joint() {
		return // nothing is left to begin: this stands in the way of every message
	}
	part := c.set.Quorums()[0]
	others := replicaset.Count(part, func(k string) bool { return k != c.t.Name })
	enough := min(replicaset.ReadQuorum(len(part)), others)
	registered := func(k string) bool { l := c.looks[k]; return l != nil && l.registered == c.life }
	caught := replicaset.Count(part, func(k string) bool { return registered(k) && c.looks[k].voting && c.looks[k].through })
	known := replicaset.Count(part, registered)
	if c.voting || c.unkept {
		c.becomeReady(part, caught)
		return
	}
	if known >= enough && c.since == 0 {
		c.since = max(c.now, 1)
	}
	if c.kept != (Incarnation{}) && known >= min(1, others) {
		// It knows all that it ever granted: no earlier process can be left, since one alone holds the place where records last.
		c.voting, c.own, c.kept = true, true, Incarnation{}
		c.lives(c.life)
		c.do(Event{"votes", "its own records"})
		return
	}
	full := len(c.records) >= c.t.MaxRecords || c.size >= c.t.MaxBytes
	if full || caught < enough && !(known >= enough && c.now-c.since >= c.t.AmnesiaHoldOff) {
		return
	}
	c.voting = true
	c.lives(c.life)
	c.do(Event{"votes", ""})
	c.becomeReady(part, caught)
}

// becomeReady notes that this keeper knows, of a majority of the old part or more, what these knew after they had begun to refuse the old
// part alone. It counts itself where it was one of them and kept its vote.
func (c *Core) becomeReady(old []string, caught int) {
	if !c.set.Joint() || !c.voting {
		return
	}
	if c.own && slices.Contains(old, c.t.Name) {
		caught++
	}
	if !c.ready && caught >= replicaset.ReadQuorum(len(old)) {
		c.ready = true
		c.do(Event{"knows what the keepers before knew", ""})
	}
	ready := func(k string) bool {
		l := c.looks[k]
		return k == c.t.Name && c.ready || l != nil && l.registered == c.life && l.ready
	}
	if replicaset.Count(c.set.New, ready) >= replicaset.Majority(len(c.set.New)) {
		c.do(ReplicasReady{c.set.Epoch})
	}
}

// otherSet has the one that goes by another set learn which is in force, from whichever of the two knows.
func (c *Core) otherSet(in MessageReceived) {
	c.count("other keepers")
	switch in.Kind {
	case ClaimRequested:
		c.do(Send{in.From, Message{Kind: ClaimRefused, SetID: in.SetID, RequestID: in.RequestID, Reason: WrongSet}})
		c.inForce(in.From)
	case OutcomeReported, Register, Pull, Fetch:
		c.inForce(in.From)
	}
}

func (c *Core) inForce(to string) {
	if c.t.DynamicReplicas && c.serving && to != c.t.Name {
		c.send(to, Message{Kind: SetInForce, Set: c.set})
	}
}

// told takes a set that another goes by, or tells it of a later one.
func (c *Core) told(in MessageReceived) {
	switch {
	case !c.t.DynamicReplicas:
		c.count("keepers do not change here")
	case in.Set.Supersedes(c.set) && in.Set.Valid():
		c.adopt(in.Set)
	case c.set.Supersedes(in.Set):
		c.inForce(in.From)
	case in.Set.GroupID != 0 && c.set.GroupID != 0 && in.Set.GroupID != c.set.GroupID:
		c.count("another founding")
	}
}

// adopt goes by another set from now on. A keeper that stays one keeps its vote: what it granted, it knows. Claims that are being asked
// for begin anew: what was granted under another set does not count.
func (c *Core) adopt(s replicaset.Set) {
	if !s.Supersedes(c.set) {
		return
	}
	was := c.keeper
	c.goBy(s)
	c.ready, c.own = false, was && c.voting
	if !c.keeper {
		c.voting, c.own, c.kept = false, false, Incarnation{}
		c.lives(Incarnation{})
	} else if !was {
		c.since, c.kept = 0, Incarnation{}
	} else if c.voting {
		c.lives(c.life) // of this set
	}
	for _, k := range slices.Sorted(maps.Keys(c.looks)) {
		if !slices.Contains(c.all, k) {
			delete(c.looks, k)
		}
	}
	if c.keeper && c.serving {
		c.voters[c.t.Name] = c.life
		for _, k := range c.all {
			if k == c.t.Name {
				continue
			}
			if c.looks[k] == nil {
				c.looks[k] = &look{}
			}
			l := c.looks[k]
			l.registered, l.through, l.voting, l.ready, l.next = Incarnation{}, false, false, false, c.now
		}
	}
	c.do(SetAdopted{s})
	c.do(Event{"keepers: " + strings.Join(s.New, ", "), strings.Join(s.Old, ", ")})
	for _, ticket := range due(c.wants, func(*want) bool { return true }) {
		if w := c.wants[ticket]; w != nil {
			clear(w.answers)
			c.ask(w)
		}
	}
	if c.serving {
		c.begin()
	}
	if c.keeper {
		for _, name := range c.here {
			c.inForce(name)
		}
	}
}

// lives notes where records last as which life they are whole; as none while they are not.
func (c *Core) lives(as Incarnation) {
	if c.lasting {
		c.do(IncarnationPersisted{as})
	}
}

// register takes note of the process that votes under a keeper's name.
func (c *Core) register(in MessageReceived) {
	if !slices.Contains(c.all, in.From) {
		return
	}
	if in.Incarnation.compare(c.voters[in.From]) < 0 {
		c.count("registration of an earlier process")
		return
	}
	if was, ok := c.voters[in.From]; ok && was != in.Incarnation {
		c.former[in.From] = was
	}
	c.voters[in.From] = in.Incarnation
	c.send(in.From, Message{Kind: Registered, Incarnation: c.life, LogIncarnation: in.Incarnation, Voting: c.voting, Ready: c.ready, FormerIncarnation: c.former[in.From], Voters: c.votersNow(),
		Next: c.pos})
}

func (c *Core) registered(in MessageReceived) {
	l := c.looks[in.From]
	if l == nil || in.LogIncarnation != c.life {
		return
	}
	for _, v := range in.Voters {
		if v.Name != c.t.Name && v.Incarnation.compare(c.voters[v.Name]) > 0 {
			c.voters[v.Name] = v.Incarnation
		}
	}
	if in.FormerIncarnation.compare(c.kept) > 0 && c.kept != (Incarnation{}) {
		// A process of this keeper voted after these records were kept: they are older than they say.
		c.kept = Incarnation{}
		for _, l := range c.looks {
			l.anew(l.of)
		}
		c.do(Event{"its records are older than they say: it catches up as one without memory", ""})
		c.lives(Incarnation{})
	}
	if l.registered != c.life {
		l.registered, l.mark, l.through = c.life, in.Next, false
		l.voting, l.ready = in.Voting, in.Ready
		if l.of != in.Incarnation {
			l.anew(in.Incarnation)
		}
	}
	l.next = c.now
}

// anew looks at all that a process has changed, from the first.
func (l *look) anew(of Incarnation) { l.of, l.since, l.to, l.lacks = of, 0, 0, nil }

// pulled answers with the digests of what has changed since a position, some of them.
func (c *Core) pulled(in MessageReceived) {
	x := Message{Kind: DigestPage, Incarnation: c.life, LogIncarnation: c.life, After: in.After, Voting: c.voting, Ready: c.ready}
	if in.LogIncarnation != c.life {
		in.After = 0 // another process's order
		x.After = 0
	}
	at := max(in.After+1, c.first)
	for ; at-c.first < uint64(len(c.order)) && len(x.Digests) < pieceDigests; at++ {
		if r := c.order[at-c.first]; r != nil {
			x.Digests = append(x.Digests, r.sum)
		}
	}
	x.Next, x.More = at-1, at-c.first < uint64(len(c.order))
	c.send(in.From, x)
}

// piece looks which of another keeper's changes are news, and asks for those.
func (c *Core) piece(in MessageReceived) {
	l := c.looks[in.From]
	if l == nil || l.registered != c.life {
		return
	}
	if l.of != in.LogIncarnation {
		l.anew(in.LogIncarnation) // it is another process: what it may have lost is asked for again
		l.registered = Incarnation{}
		l.next = c.now
		return
	}
	if in.After != l.since {
		return // of an earlier look
	}
	l.to, l.more, l.voting, l.ready = in.Next, in.More, in.Voting, in.Ready
	l.lacks = c.unknown(slices.Clone(in.Digests))
	c.lookOn(in.From, l, 8*len(in.Digests))
}

// lookOn asks for what another keeper has and this one lacks, and goes on once it has come. It costs so many bytes a second at the most:
// ops in service must not feel it.
func (c *Core) lookOn(name string, l *look, size int) {
	l.free = max(l.free, c.now) + Time(size)*second/Time(c.t.CatchUpRate)
	if len(l.lacks) == 0 {
		if l.since < l.to {
			l.since, l.seen = l.to, true
		}
		if !l.more && l.voting && l.since >= l.mark {
			l.through = true // all that it knew while it had its vote
		}
	}
	switch {
	case len(l.lacks) == 0 && !l.more:
		l.next = c.nextLook()
		if l.seen && c.lasting && c.voting {
			l.seen = false
			c.do(ReplicationCursor{name, l.of, l.since})
		}
	case l.free > c.now+burst:
		l.next = l.free - burst
	default:
		c.pull(name, l)
	}
	c.begin()
}

// nextLook is when another keeper is looked at again.
func (c *Core) nextLook() Time {
	return c.now + c.t.PullInterval/2 + Time(c.rand.Int64N(int64(c.t.PullInterval)))
}

// unknown are those of some digests of which no record stands here, in their place.
func (c *Core) unknown(digests []uint64) []uint64 {
	return slices.DeleteFunc(digests, func(d uint64) bool { return c.byDigest[d] != nil })
}

// pull asks for what is lacking, or for what comes next; again after a while, where no answer comes.
func (c *Core) pull(name string, l *look) {
	l.next = c.nextLook()
	l.lacks = c.unknown(l.lacks)
	if len(l.lacks) > 0 {
		ask := slices.Collect(func(yield func(uint64) bool) {
			for _, d := range l.lacks {
				if c.fetching[d] <= c.now && !yield(d) {
					return
				}
			}
		})
		if len(ask) == 0 { // another keeper is asked for all of them
			l.next, l.waits = c.now+c.t.RetryInterval, true
			return
		}
		ask = ask[:min(len(ask), fetchDigests)]
		if len(c.fetching) > mostKeepers*pieceDigests { // of answers that never came
			clear(c.fetching)
		}
		l.asked = ask
		for _, d := range ask {
			c.fetching[d] = c.now + c.t.RetryInterval
		}
		c.send(name, Message{Kind: Fetch, RequestID: uint64(max(c.now, 1)), Incarnation: c.life, LogIncarnation: l.of, Digests: ask})
		return
	}
	if l.to > l.since { // all of them have come from another
		c.lookOn(name, l, 0)
		return
	}
	c.send(name, Message{Kind: Pull, Incarnation: c.life, LogIncarnation: l.of, After: l.since})
}

// fetched answers with some of the records that another keeper lacks, and names the digests it has gone through: one that has changed
// meanwhile stands later in the order.
func (c *Core) fetched(in MessageReceived) {
	if in.LogIncarnation != c.life {
		c.pulled(in) // which tells that this is another process
		return
	}
	x := Message{Kind: Fetched, RequestID: in.RequestID, Incarnation: c.life, LogIncarnation: c.life, Next: c.pos}
	room := pieceRoom
	for _, d := range in.Digests {
		if r := c.byDigest[d]; r != nil {
			if room -= r.size(); room < 0 && len(x.Records) > 0 {
				break
			}
			x.Records = append(x.Records, c.aged(r))
		}
		x.Digests = append(x.Digests, d)
	}
	c.send(in.From, x)
}

// taken takes records that were lacking.
func (c *Core) taken(in MessageReceived) {
	l := c.looks[in.From]
	if l == nil || l.registered != c.life || l.of != in.LogIncarnation {
		return
	}
	size := 0
	for _, r := range in.Records {
		if size += r.size(); c.valid(r) {
			for i := range r.Outcomes {
				r.Outcomes[i].Voted = false
			}
			c.learn(r, min(Time(in.RequestID), c.now))
		}
	}
	c.counts["pulled"] += uint64(len(in.Records))
	gone := map[uint64]bool{}
	for _, d := range in.Digests {
		gone[d] = true
	}
	for _, d := range l.asked { // what did not fit may be had from any
		delete(c.fetching, d)
	}
	l.asked = nil
	if len(in.Digests) > len(in.Records) {
		// What it knew up to the mark has moved on in its order meanwhile: it is not all known before that is. (A keeper that took it for
		// known got its vote without a claim that it had granted in an earlier life.)
		l.mark = max(l.mark, in.Next)
	}
	before := len(l.lacks)
	l.lacks = c.unknown(slices.DeleteFunc(l.lacks, func(d uint64) bool { return gone[d] }))
	if len(l.lacks) < before { // else it is the answer to an earlier one
		c.lookOn(in.From, l, size)
	}
	for _, k := range c.all {
		if o := c.looks[k]; o != nil && o.waits {
			o.waits, o.next = false, max(c.now, o.free-burst)
		}
	}
}
