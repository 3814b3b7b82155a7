package replication

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"woaddyke/internal/cluster/replicaset"
)

func drawRecord(t *rapid.T, label string) Record {
	r := Record{Key: "k", Fingerprint: 1, Age: rapid.Uint64Range(0, 3).Draw(t, label)}
	for range rapid.IntRange(0, 4).Draw(t, label) {
		f := Outcome{Claim: Claim{fmt.Sprint("n", rapid.IntRange(0, 2).Draw(t, label)), rapid.Uint64Range(1, 2).Draw(t, label)},
			Stage: Stage(rapid.IntRange(int(Claimed), int(Ended)).Draw(t, label)), Voted: rapid.Bool().Draw(t, label)}
		if f.Stage == Ended {
			f.Verdict = []uint16{200, 502}[rapid.IntRange(0, 1).Draw(t, label)]
			if f.ResultRetained = rapid.Bool().Draw(t, label); f.ResultRetained {
				f.Result = []byte(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, label)))
			}
		}
		r.join(f)
	}
	return r
}

func joined(a, b Record) Record {
	c, _ := Join(a, b)
	if len(c.Outcomes) == 0 {
		c.Outcomes = nil
	}
	return c
}

// Copies that have heard the same must be the same, in whatever order they heard it.
func TestJoinIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		if !reflect.DeepEqual(joined(a, b), joined(b, a)) {
			t.Fatalf("not commutative: %+v, %+v", joined(a, b), joined(b, a))
		}
		if !reflect.DeepEqual(joined(a, joined(a, a)), joined(a, a)) {
			t.Fatal("not idempotent")
		}
		if !reflect.DeepEqual(joined(joined(a, b), c), joined(a, joined(b, c))) {
			t.Fatal("not associative")
		}
	})
}

// May have run stands over nothing, an end over both, a result over none; what can't both be true is counted.
func TestWhatStandsOverWhat(t *testing.T) {
	x := Claim{"n1", 1}
	for _, c := range []struct {
		a, b, want Outcome
		breach     bool
	}{
		{Outcome{Claim: x, Stage: Claimed}, Outcome{Claim: x, Stage: Ended, Verdict: 200}, Outcome{Claim: x, Stage: Ended, Verdict: 200}, false},
		{Outcome{Claim: x, Stage: Claimed}, Outcome{Claim: x, Stage: Released}, Outcome{Claim: x, Stage: Released}, false},
		{Outcome{Claim: x, Stage: Ended, Verdict: 200}, Outcome{Claim: x, Stage: Ended, Verdict: 200, ResultRetained: true, Result: []byte("r")},
			Outcome{Claim: x, Stage: Ended, Verdict: 200, ResultRetained: true, Result: []byte("r")}, false},
		{Outcome{Claim: x, Stage: Released}, Outcome{Claim: x, Stage: Ended, Verdict: 200}, Outcome{Claim: x, Stage: Ended, Verdict: 200}, true},
		{Outcome{Claim: x, Stage: Ended, Verdict: 502}, Outcome{Claim: x, Stage: Ended, Verdict: 200}, Outcome{Claim: x, Stage: Ended, Verdict: 502}, true},
	} {
		got, breach := joinOutcomes(c.a, c.b)
		if !reflect.DeepEqual(got, c.want) || breach != c.breach {
			t.Errorf("%+v and %+v: %+v, breach %v", c.a, c.b, got, breach)
		}
	}
}

// A keeper of another set of keepers has no vote in this one, and a set may not stand twice.
func TestKeepersOfAnotherSetDoNotCount(t *testing.T) {
	epoch := func(names ...string) uint64 { return replicaset.Configured(names).ID() }
	if epoch("a", "b", "c") != epoch("c", "a", "b") || epoch("a", "b", "c") == epoch("a", "b", "d") {
		t.Error("a set's name must be of its members, in any order")
	}
	terms := Defaults()
	terms.Name, terms.Replicas = "x", []string{"a", "b", "c"}
	c := New(terms, 0)
	c.Step(1, Membership{Serving: true, Generation: 1})
	c.Step(2, ClaimRequest{RequestID: 1, Key: "k", Timeout: second})
	w := c.claims.pending[1]
	for _, k := range []string{"a", "b", "c", "stranger"} {
		c.Step(3, MessageReceived{k, Message{Kind: ClaimGranted, SetID: c.active.id + 1, RequestID: 1}})
	}
	if c.Step(3, MessageReceived{"stranger", Message{Kind: ClaimGranted, SetID: c.active.id, RequestID: 1}}); len(w.answers) > 0 {
		t.Errorf("counted %v", w.answers)
	}
	for _, bad := range [][]string{nil, {"a", "b"}, {"a", "a", "b"}, {"a", "", "b"}} {
		terms.Replicas = bad
		if terms.Validate() == nil {
			t.Errorf("%q is taken for keepers", bad)
		}
	}
}

// The vote of a process whose place another has taken must not count beside that of a keeper that knows it.
func TestAnEarlierProcessesVoteDoesNotCount(t *testing.T) {
	terms := Defaults()
	terms.Name, terms.Replicas = "x", []string{"a", "b", "c"}
	for _, later := range []bool{true, false} {
		c := New(terms, 0)
		c.Step(1, Membership{Serving: true, Generation: 1})
		c.Step(2, ClaimRequest{RequestID: 1, Key: "k", Timeout: second})
		c.Step(3, MessageReceived{"a", Message{Kind: ClaimGranted, SetID: c.active.id, RequestID: 1, Incarnation: Incarnation{1, 1}}})
		known := Incarnation{1, 1}
		if later {
			known = Incarnation{2, 7}
		}
		got := ClaimResult(0)
		for _, e := range c.Step(4, MessageReceived{"b", Message{Kind: ClaimGranted, SetID: c.active.id, RequestID: 1, Incarnation: Incarnation{1, 2}, Voters: []Voter{{"a", known}}}}) {
			if d, ok := e.(ClaimDecided); ok {
				got = d.Result
			}
		}
		if (got == Granted) == later {
			t.Errorf("later %v: %v", later, got)
		}
	}
}

// A keeper that asks for an op grants it to itself, and its disk fails in that: the vote would be forgotten, and does not count, however the
// others answer after it.
func TestAnOwnVoteThatDoesNotLastDoesNotCount(t *testing.T) {
	for _, lasts := range []bool{true, false} {
		terms := Defaults()
		terms.Name, terms.Replicas = "a", []string{"a", "b", "c"}
		c := New(terms, 0)
		c.Restore(nil, Incarnation{1, 1}, nil)
		c.Step(1, Membership{Serving: true, Generation: 2, Nonce: 1})
		for _, k := range []string{"b", "c"} {
			c.Step(2, MessageReceived{k, Message{Kind: Registered, SetID: c.active.id, Incarnation: Incarnation{1, 1}, LogIncarnation: c.registration.incarnation, Voting: true}})
		}
		if !c.registration.voting {
			t.Fatal("it has no vote: this test proves nothing")
		}
		c.Step(3, ClaimRequest{RequestID: 1, Key: "k", Timeout: second})
		if !lasts {
			c.Step(4, PersistFailed{Keys: []string{"k"}})
		}
		got := ClaimResult(0)
		for _, e := range c.Step(5, MessageReceived{"b", Message{Kind: ClaimGranted, SetID: c.active.id, RequestID: 1, Incarnation: Incarnation{1, 1}}}) {
			if d, ok := e.(ClaimDecided); ok {
				got = d.Result
			}
		}
		if (got == Granted) != lasts {
			t.Errorf("its own vote lasts %v: %v", lasts, got)
		}
	}
}

// Another request under an id that may have run must not be taken for its repeat, and gets neither its answer nor its place.
func TestAnotherRequestUnderAnID(t *testing.T) {
	terms := Defaults()
	terms.Name, terms.Replicas, terms.AmnesiaHoldOff = "a", []string{"a"}, 0
	c := New(terms, 0)
	c.Step(1, Membership{Serving: true, Generation: 1})
	ask := func(ticket, print uint64) (got ClaimResult) {
		for _, e := range c.Step(Time(10+ticket), ClaimRequest{RequestID: ticket, Key: "k", Fingerprint: print, Timeout: second}) {
			if d, ok := e.(ClaimDecided); ok {
				got = d.Result
			}
		}
		return got
	}
	if got := ask(1, 7); got != Granted {
		t.Fatalf("%v", got)
	}
	if got := ask(2, 8); got != FingerprintMismatch {
		t.Errorf("while the first one runs: %v", got)
	}
	c.Step(20, OpEnded{RequestID: 1, Verdict: 200, Result: []byte("r"), ResultRetained: true})
	if got := ask(3, 8); got != FingerprintMismatch {
		t.Errorf("after its end: %v", got)
	}
	if got := ask(4, 7); got != AlreadyAnswered {
		t.Errorf("its repeat: %v", got)
	}
}

// A record that moves on while it is being fetched is not known yet, though all up to the mark has been gone through: the vote waits for it.
func TestWhatMovesOnDuringCatchUp(t *testing.T) {
	terms := Defaults()
	terms.Name, terms.Replicas = "a", []string{"a", "b", "c"}
	c := New(terms, 0)
	c.Step(1, Membership{Serving: true, Generation: 1})
	life := Incarnation{1, terms.Nonce}
	of := map[string]Incarnation{"b": {1, 2}, "c": {1, 3}}
	hear := func(k string, x Message) {
		x.SetID, x.Incarnation, x.LogIncarnation, x.Voting = c.active.id, of[k], of[k], true
		if x.Kind == Registered {
			x.LogIncarnation = life
		}
		c.Step(c.now+1, MessageReceived{k, x})
	}
	for _, k := range []string{"b", "c"} {
		hear(k, Message{Kind: Registered, Next: 1})
	}
	r := Record{Key: "k", Fingerprint: 1, Outcomes: []Outcome{{Claim: Claim{"x", 1}, Stage: Claimed}}}
	then := r
	then.Outcomes = []Outcome{{Claim: Claim{"x", 1}, Stage: Ended, Verdict: 200}}
	hear("c", Message{Kind: DigestPage, Next: 1})
	hear("b", Message{Kind: DigestPage, Next: 1, Digests: []uint64{r.digest()}})
	hear("b", Message{Kind: Fetched, Next: 2, Digests: []uint64{r.digest()}}) // it is another by now, and stands second
	if c.registration.voting {
		t.Fatal("it votes without the record")
	}
	hear("b", Message{Kind: DigestPage, After: 1, Next: 2, Digests: []uint64{then.digest()}})
	hear("b", Message{Kind: Fetched, Next: 2, Digests: []uint64{then.digest()}, Records: []Record{then}})
	if _, ok := c.Lookup("k"); !c.registration.voting || !ok {
		t.Errorf("with all that there is: voting %v, known %v", c.registration.voting, ok)
	}
}

// A claim that is bound to a group is granted beside others only where all of them ran in that one.
func TestAKeeperGrantsBesideOthersInTheirGroupAlone(t *testing.T) {
	terms := Defaults()
	terms.Name, terms.Replicas = "a", []string{"a"}
	c := New(terms, 0)
	c.Step(1, Membership{Serving: true, Generation: 1})
	c.Step(2, Tick{})
	grab := func(nonce uint64, where string) Kind {
		r := Record{Key: "k", Fingerprint: 1, Outcomes: []Outcome{{Claim: Claim{"x", nonce}, Stage: Claimed, Group: where}}}
		for _, e := range c.Step(c.now+1, MessageReceived{"x", Message{Kind: ClaimRequested, SetID: c.active.id, RequestID: nonce, Record: r}}) {
			if s, ok := e.(Send); ok {
				return s.Kind
			}
		}
		return 0
	}
	if grab(1, "") != ClaimGranted || grab(2, "zone east") != ClaimRefused {
		t.Error("beside one that ran nobody knows where")
	}
	c.Step(c.now+1, MessageReceived{"x", Message{Kind: OutcomeReported, SetID: c.active.id, Record: Record{Key: "k", Fingerprint: 1, Outcomes: []Outcome{{Claim: Claim{"x", 1},
		Stage: Claimed, Group: "zone east"}}}}})
	if grab(3, "") != ClaimRefused || grab(4, "zone west") != ClaimRefused || grab(5, "zone east") != ClaimGranted {
		t.Error("beside one that ran in the east")
	}
}

// An op that ran for one that is gone is asked for again only where its age is known; and what was granted to the claim before the bound
// one is not granted to that.
func TestAnAskerBindsItself(t *testing.T) {
	for _, age := range []uint64{0, 10} {
		terms := Defaults()
		terms.Name, terms.Replicas = "x", []string{"a", "b", "c"}
		c := New(terms, 0)
		c.Step(1, Membership{Serving: true, Generation: 1})
		c.Step(2, PeerStatus{Name: "y", Dead: true})
		c.Step(3, ClaimRequest{RequestID: 1, Key: "k", Fingerprint: 1, Timeout: second, Window: second})
		r := Record{Key: "k", Fingerprint: 1, Outcomes: []Outcome{{Claim: Claim{"y", 1}, Stage: Claimed, Group: "all", Age: age}}}
		var out []Effect
		for _, k := range []string{"a", "b"} {
			out = c.Step(c.now+1, MessageReceived{k, Message{Kind: ClaimRefused, SetID: c.active.id, RequestID: 1, Reason: AlreadyClaimed, Record: r}})
		}
		bound := false
		for _, e := range out {
			s, ok := e.(Send)
			bound = bound || ok && s.Kind == ClaimRequested && s.Record.Outcomes[0].Group == "all"
		}
		if bound != (age > 0) {
			t.Errorf("age %d: bound %v", age, bound)
		}
		for _, k := range []string{"a", "b", "c"} {
			for _, e := range c.Step(c.now+1, MessageReceived{k, Message{Kind: ClaimGranted, SetID: c.active.id, RequestID: 1}}) {
				if d, ok := e.(ClaimDecided); ok && d.Result == Granted {
					t.Error("by grants to the claim before")
				}
			}
		}
	}
}

// Pages show each record once and in order, however many there are.
func TestPagesShowAll(t *testing.T) {
	terms := Defaults()
	terms.Name, terms.Replicas = "a", []string{"a"}
	c := New(terms, 0)
	for n := range 100 {
		c.mergeRecord(Record{Key: fmt.Sprintf("%03d", n*37%100), Fingerprint: 1, Outcomes: []Outcome{{Claim: Claim{"x", 1}, Stage: Ended}}}, 0)
	}
	var all []string
	for after := ""; ; after = all[len(all)-1] {
		page := c.Page(after, 7)
		if len(page) == 0 {
			break
		}
		for _, r := range page {
			all = append(all, r.Key)
		}
	}
	if len(all) != 100 || !slices.IsSorted(all) {
		t.Errorf("%d keys: %v", len(all), all)
	}
}

func BenchmarkPage(b *testing.B) {
	terms := Defaults()
	terms.Name, terms.Replicas = "a", []string{"a"}
	c := New(terms, 0)
	for n := range 100_000 {
		c.mergeRecord(Record{Key: fmt.Sprintf("%016x", uint64(n)*0x9e3779b97f4a7c15), Fingerprint: 1, Outcomes: []Outcome{{Claim: Claim{"x", 1}, Stage: Ended}}}, 0)
	}
	for b.Loop() {
		c.Page("8", 500)
	}
}

// What its scheduler has given up is repeated in its group while that scheduler is here, and waited for where another one has it.
func TestWhatIsGivenUpIsRepeated(t *testing.T) {
	for _, x := range []struct {
		stages []Stage
		bound  bool
	}{{[]Stage{Abandoned}, true}, {[]Stage{Claimed}, false}, {[]Stage{Abandoned, Claimed}, false}, {[]Stage{Abandoned, Abandoned}, true}} {
		terms := Defaults()
		terms.Name, terms.Replicas = "x", []string{"a", "b", "c"}
		c := New(terms, 0)
		c.Step(1, Membership{Serving: true, Generation: 1})
		c.Step(2, ClaimRequest{RequestID: 1, Key: "k", Fingerprint: 1, Timeout: second, Window: second})
		r := Record{Key: "k", Fingerprint: 1}
		for n, stage := range x.stages {
			r.Outcomes = append(r.Outcomes, Outcome{Claim: Claim{"y", uint64(n)}, Stage: stage, Group: "all", Age: 10})
		}
		bound := false
		for _, k := range []string{"a", "b"} {
			for _, e := range c.Step(c.now+1, MessageReceived{k, Message{Kind: ClaimRefused, SetID: c.active.id, RequestID: 1, Reason: AlreadyClaimed, Record: r}}) {
				s, ok := e.(Send)
				bound = bound || ok && s.Kind == ClaimRequested && s.Record.Outcomes[0].Group == "all"
			}
		}
		if bound != x.bound {
			t.Errorf("%v: bound %v", x.stages, bound)
		}
	}
}
