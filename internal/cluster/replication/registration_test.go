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
