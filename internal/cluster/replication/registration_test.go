package replication

import (
	"slices"
	"testing"
)

// Of two processes under one name, the later one is the voter, in whatever order they register. The
// incarnation before it is recorded as the former voter, so that a process can detect that its stored records
// are outdated.
func TestTheLaterIncarnationIsTheVoter(t *testing.T) {
	r := newRegistration()
	earlier, later := Incarnation{1, 9}, Incarnation{2, 1}
	for range 2 { // a process may register again
		if !r.setVoter("b", earlier) {
			t.Error("the first process is rejected")
		}
	}
	if !r.setVoter("b", later) || r.formerVoters["b"] != earlier {
		t.Errorf("the former voter is %v", r.formerVoters["b"])
	}
	if r.setVoter("b", earlier) || r.voters["b"] != later {
		t.Errorf("the voter is %v", r.voters["b"])
	}
	r.learnVoters([]Voter{{"b", earlier}, {"c", later}, {"a", later}}, "a")
	want := []Voter{{"b", later}, {"c", later}}
	if got := r.knownVoters([]string{"a", "b", "c"}); !slices.Equal(got, want) {
		t.Errorf("the voters are %v, want %v", got, want)
	}
}

// A new incarnation does not inherit the vote or the readiness of the former one. Otherwise it would vote
// without its former grants.
func TestARestartLosesTheVote(t *testing.T) {
	r := newRegistration()
	r.incarnation, r.registeredSince = Incarnation{1, 1}, 7
	r.voting, r.votingSinceAdoption, r.ready = true, true, true
	r.restart(Incarnation{2, 1})
	if r.voting || r.votingSinceAdoption || r.ready || r.registeredSince != 0 {
		t.Errorf("registration after the restart: %+v", r)
	}
}

// A replica that has given up its vote, since it could not store a record, must not vote as soon as there is
// space. It lacks the record, and the time for which others have known it does not replace the record.
func TestAFullReplicaVotesAgainOnlyWithTheRecordsOfTheOthers(t *testing.T) {
	config := Defaults()
	config.Name, config.Replicas, config.MaxRecords = "a", []string{"a", "b", "c"}, 1
	c := New(config, 0)
	c.Step(1, Membership{Serving: true, Generation: 1})
	receive := func(at Time, from string, m Message) { c.Step(at, fromPeer(c, from, m)) }
	for _, name := range []string{"b", "c"} {
		receive(2, name, Message{Kind: Registered})
		receive(3, name, Message{Kind: DigestPage})
	}
	c.Step(c.now+config.AmnesiaHoldOff, Tick{})
	if !c.registration.voting {
		t.Fatal("the replica does not vote after the hold-off although no other one votes")
	}
	stored := c.now
	for n, key := range []string{"stored", "not stored"} {
		outcome := Outcome{Claim: Claim{"x", uint64(n + 1)}, Stage: Claimed}
		report := Record{Key: key, Fingerprint: 1, Outcomes: []Outcome{outcome}}
		receive(stored, "b", Message{Kind: OutcomeReported, Record: report})
	}
	if c.registration.voting {
		t.Fatal("the replica votes although it could not store a record")
	}
	c.Step(stored+config.Retention+2*second, Tick{}) // the stored record expires
	c.Step(c.now+1, Tick{})
	if c.records.full() || c.registration.voting {
		t.Errorf("full %v, voting %v, without an answer of another replica", c.records.full(), c.registration.voting)
	}
}
