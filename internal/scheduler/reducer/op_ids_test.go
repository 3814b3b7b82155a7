package reducer

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"woaddyke/dispatch"
	"woaddyke/internal/workers/outcome"
)

// Guards against unbounded memory for the IDs of answered ops: an ID stays reserved until the TTL of its op,
// which may be a day away. Beyond a bound, the IDs of the ops answered longest ago are freed. The ID of an
// open op is never freed.
func TestTheIDsOfAnsweredOpsAreBounded(t *testing.T) {
	const maxTracked, ops = 150_000, 400_000
	r := newTestReducer()
	now := second
	submit := func(number uint64, id string) Verdict {
		if a, ok := firstEffect[Respond](r.Step(now, OpArrived{
			Op: number, ID: id, Category: "look", TTL: now + 24*3600*second,
		})); ok {
			return a.Verdict
		}
		return -1
	}
	if got := submit(1, "held"); got != -1 {
		t.Fatal(got)
	}
	for n := range uint64(ops) {
		now++
		if got := submit(2+n, fmt.Sprint("id", n)); got != -1 {
			t.Fatalf("op %d: %v", n, got)
		}
		r.Step(now, AttemptEnded{Op: 2 + n, Ending: outcome.Done})
		if len(r.ids.byID) > maxTracked {
			t.Fatalf("%d IDs are reserved after %d ops", len(r.ids.byID), n+1)
		}
	}
	for _, id := range []string{"held", fmt.Sprint("id", ops-1), fmt.Sprint("id", ops-20_000)} {
		if got := submit(ops+9, id); got != DuplicateID {
			t.Errorf("ID %s: %v, want a duplicate", id, got)
		}
	}
}

// All retained IDs together take only a part of the handover message to the successor, even if the clients'
// IDs are long.
func TestAllRetainedIDsFitIntoAHandover(t *testing.T) {
	const maxBytes = 12 << 20
	r := newTestReducer()
	now := second
	for n := range uint64(maxIDs) {
		id := fmt.Sprint(n, strings.Repeat("<long>", 20))
		r.Step(now, OpArrived{Op: n, ID: id, Category: "look", TTL: now + 24*3600*second})
		r.Step(now, AttemptEnded{Op: n, Ending: outcome.Done})
	}
	learned := r.Learned()
	text, err := json.Marshal(learned)
	if err != nil || len(learned.IDs) < maxRetainedIDs || len(text) > maxBytes {
		t.Errorf("%d IDs take %d bytes, %v", len(learned.IDs), len(text), err)
	}
}

// An announced ID is reserved until the TTL of its op. It must not free, or shorten, an own reservation: the ID of
// an open op would then be usable while the op runs.
func TestAnAnnouncedIDDoesNotShortenAReservation(t *testing.T) {
	x := newIDRegistry()
	x.reserve("open")
	x.release(10, "longer", 100)
	x.release(10, "shorter", 20)
	for _, id := range []string{"open", "longer", "shorter", "new"} {
		x.reserveUntil(10, id, 50)
	}
	for id, wantUntil := range map[string]dispatch.Time{"open": 1000, "longer": 100, "shorter": 50, "new": 50} {
		if !x.isReserved(wantUntil, id) {
			t.Errorf("%s is not reserved until %d", id, wantUntil)
		}
		if id != "open" && x.isReserved(wantUntil+1, id) {
			t.Errorf("%s is reserved after %d", id, wantUntil)
		}
	}
}
