package reducer

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"woaddyke/internal/workers/outcome"
)

// An ID stays reserved until the TTL of its op, which may be a day: the IDs of answered ops filled the
// memory. Beyond a bound those that were answered longest ago are free again; one of an open op never is.
func TestTheIDsOfAnsweredOpsAreBounded(t *testing.T) {
	const most, ops = 150_000, 400_000
	r := started()
	now := second
	ask := func(number uint64, id string) Verdict {
		if a, ok := first[Respond](r.Step(now, OpArrived{Op: number, ID: id, Category: "look", TTL: now + 24*3600*second})); ok {
			return a.Verdict
		}
		return -1
	}
	if got := ask(1, "held"); got != -1 {
		t.Fatal(got)
	}
	for n := range uint64(ops) {
		now++
		if got := ask(2+n, fmt.Sprint("id", n)); got != -1 {
			t.Fatalf("op %d: %v", n, got)
		}
		r.Step(now, AttemptEnded{Op: 2 + n, Ending: outcome.Done})
		if len(r.ids.byID) > most {
			t.Fatalf("%d ids are kept after %d ops", len(r.ids.byID), n+1)
		}
	}
	for _, id := range []string{"held", fmt.Sprint("id", ops-1), fmt.Sprint("id", ops-20_000)} {
		if got := ask(ops+9, id); got != DuplicateID {
			t.Errorf("%s: %v, not taken", id, got)
		}
	}
}

// All ids that are kept, however long their clients wrote them, go over to the next process in a part of what one message may hold.
func TestAllIDsThatAreKeptFitIntoAHandover(t *testing.T) {
	const part = 12 << 20
	r := started()
	now := second
	for n := range uint64(maxIDs) {
		id := fmt.Sprint(n, strings.Repeat("<long>", 20))
		r.Step(now, OpArrived{Op: n, ID: id, Category: "look", TTL: now + 24*3600*second})
		r.Step(now, AttemptEnded{Op: n, Ending: outcome.Done})
	}
	learned := r.Learned()
	text, err := json.Marshal(learned)
	if err != nil || len(learned.IDs) < maxRetainedIDs || len(text) > part {
		t.Errorf("%d ids take %d bytes, %v", len(learned.IDs), len(text), err)
	}
}
