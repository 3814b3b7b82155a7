package replication

import (
	"slices"
	"testing"
)

// A record can change while it is being fetched, so that all positions up to the registration are passed
// without the record being known. The replica must not vote until it has fetched the changed record.
func TestARecordThatChangesDuringCatchUpDelaysTheVote(t *testing.T) {
	c := newTestCore("a", "a", "b", "c")
	c.Step(1, Membership{Serving: true, Generation: 1})
	receive := func(from string, m Message) {
		m.Voting = true
		c.Step(c.now+1, fromPeer(c, from, m))
	}
	for _, name := range []string{"b", "c"} {
		receive(name, Message{Kind: Registered, Next: 1})
	}
	claimed := Outcome{Claim: Claim{"x", 1}, Stage: Claimed}
	before := Record{Key: "k", Fingerprint: 1, Outcomes: []Outcome{claimed}}
	after := before
	after.Outcomes = []Outcome{{Claim: Claim{"x", 1}, Stage: Ended, HTTPStatus: 200}}
	receive("c", Message{Kind: DigestPage, Next: 1})
	receive("b", Message{Kind: DigestPage, Next: 1, Digests: []uint64{before.digest()}})
	// The record has changed meanwhile, to position 2.
	receive("b", Message{Kind: Fetched, Next: 2, Digests: []uint64{before.digest()}})
	if c.registration.voting {
		t.Fatal("the replica votes without the record")
	}
	receive("b", Message{Kind: DigestPage, After: 1, Next: 2, Digests: []uint64{after.digest()}})
	fetched := Message{Kind: Fetched, Next: 2, Digests: []uint64{after.digest()}, Records: []Record{after}}
	receive("b", fetched)
	if _, ok := c.Lookup("k"); !c.registration.voting || !ok {
		t.Errorf("after the fetch of the changed record: voting %v, known %v", c.registration.voting, ok)
	}
}

// A digest is requested from one replica at a time. It may be requested from another replica after an answer,
// or after its reservation has expired. Otherwise a record would be fetched twice or never.
func TestADigestIsFetchedFromOneReplicaAtATime(t *testing.T) {
	const now, expiresAt = 10, 50
	u := newCatchUp()
	missing := make([]uint64, 3*maxFetchSize/2)
	for i := range missing {
		missing[i] = uint64(i + 1)
	}
	first, second := &peerState{}, &peerState{}
	for _, peer := range []*peerState{first, second} {
		free := u.unreserved(digestPages{{1, missing}}, now)
		digests := free[:min(len(free), peer.nextFetchSize())]
		u.reserve(digests, expiresAt)
		peer.fetches = []fetch{{digests, expiresAt}}
	}
	fromFirst, fromSecond := first.fetches[0].digests, second.fetches[0].digests
	if len(fromFirst) != maxFetchSize || len(fromSecond) != maxFetchSize/2 {
		t.Fatalf("reserved %d and %d of %d", len(fromFirst), len(fromSecond), len(missing))
	}
	for _, digest := range fromSecond {
		if slices.Contains(fromFirst, digest) {
			t.Fatalf("digest %d is reserved for both peers", digest)
		}
	}
	if got := u.unreserved(digestPages{{1, missing}}, now); len(got) != 0 {
		t.Errorf("free before an answer: %v", got)
	}
	if !u.endFetch(first, fromFirst[:1]) || u.endFetch(first, fromFirst[:1]) {
		t.Error("the first answer must end the request, and a second one must not")
	}
	if got := u.unreserved(digestPages{{1, missing}}, now); !slices.Equal(got, fromFirst) {
		t.Errorf("free after the first answer: %v, want %v", got, fromFirst)
	}
	if got := u.unreserved(digestPages{{1, fromSecond}}, expiresAt+1); len(got) != len(fromSecond) {
		t.Errorf("%d digests are free after their reservation expired", len(got))
	}
}

// The size of a request follows the number of records that fit an answer. If it were larger, other records would
// be reserved for a request that does not bring them.
func TestTheFetchSizeFollowsTheAnswers(t *testing.T) {
	p := &peerState{}
	if got := p.nextFetchSize(); got != maxFetchSize {
		t.Errorf("first size %d", got)
	}
	p.adaptFetchSize(maxFetchSize, 3)
	if got := p.nextFetchSize(); got != 3 {
		t.Errorf("size %d after an answer with 3 records", got)
	}
	p.adaptFetchSize(3, 3)
	if got := p.nextFetchSize(); got != 4 {
		t.Errorf("size %d after a complete answer", got)
	}
	p.adaptFetchSize(maxFetchSize, maxFetchSize)
	if got := p.nextFetchSize(); got != maxFetchSize {
		t.Errorf("size %d, which is over the limit", got)
	}
}

// A replica has caught up with a peer only if it knows all changes of the peer up to the registration, and
// the peer votes. Otherwise the replica could vote without knowing a granted claim.
func TestAPeerIsCaughtUpOnlyWithoutGaps(t *testing.T) {
	for _, x := range []struct {
		name     string
		peer     peerState
		position uint64
		caughtUp bool
	}{
		{
			"all changes are known",
			peerState{pages: digestPages{{end: 7}}, registrationPosition: 7, voting: true}, 7, true,
		},
		{"a record is missing", peerState{pages: digestPages{{7, []uint64{1}}}, voting: true}, 0, false},
		{
			"a record of a later page is missing",
			peerState{pages: digestPages{{end: 7}, {9, []uint64{1}}}, voting: true}, 7, false,
		},
		{
			"a record of the first page is missing",
			peerState{pages: digestPages{{7, []uint64{1}}, {end: 9}}, voting: true}, 0, false,
		},
		{"there are more pages", peerState{pages: digestPages{{end: 7}}, voting: true, hasMore: true}, 7, false},
		{"the peer has no vote", peerState{pages: digestPages{{end: 7}}}, 7, false},
		{
			"the registration position is not reached",
			peerState{pages: digestPages{{end: 7}}, registrationPosition: 8, voting: true}, 7, false,
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			x.peer.advance()
			if x.peer.position != x.position || x.peer.caughtUp != x.caughtUp {
				t.Errorf("position %d, caught up %v", x.peer.position, x.peer.caughtUp)
			}
			x.peer.restart(Incarnation{2, 1})
			if x.peer.position != 0 || x.peer.pulledTo() != 0 || len(x.peer.pages) > 0 {
				t.Errorf("after a restart: %+v", x.peer)
			}
		})
	}
}
