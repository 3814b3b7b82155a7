package ops

import (
	"encoding/json"
	"testing"

	"woaddyke/internal/ending"
)

// An id that the process before holds still, or has answered with time left, is held by its heir too: a second push under it
// would be a copy. And a zone's verdicts belong to its name, not to its number.
func TestAnHeirKnowsTheIDsAndTheZones(t *testing.T) {
	was := started()
	arrive(was, 1, "look")
	arrive(was, 2, "pay")
	was.Take(3, Ended{Op: 2, How: ending.Done, Result: []byte("x")})
	for n := range uint64(40) {
		arrive(was, 10+n, "look")
		was.Take(4, Ended{Op: 10 + n, How: ending.NeverUp})
	}
	text, err := json.Marshal(was.Learned())
	if err != nil {
		t.Fatal(err)
	}
	var l Learned
	if err := json.Unmarshal(text, &l); err != nil {
		t.Fatal(err)
	}
	l.Zones[0], l.Zones[1] = "elsewhere", l.Zones[0]
	is := started()
	is.Take(5, Inherited{l})
	for _, id := range []uint64{1, 2} {
		if a, ok := first[Answer](arrive(is, id, "look")); !ok || a.Verdict != TakenID {
			t.Errorf("id %d is free: %v", id, a)
		}
	}
	if a, ok := first[Answer](arrive(is, 99, "look")); ok && a.Verdict == TakenID {
		t.Error("an id that nobody has is taken")
	}
	if a, ok := first[Answer](is.Take(3*second, Arrived{Op: 3, ID: "2", Category: "look", TTL: 9 * second})); ok && a.Verdict == TakenID {
		t.Error("an id is taken beyond its TTL")
	}
	// Nothing at all, or of another site, is no reason to fail.
	for _, text := range []string{"{}", `{"zones":["a","b"],"module":{"zones":[[]]},"ids":{"a":-1}}`} {
		var none Learned
		if err := json.Unmarshal([]byte(text), &none); err != nil {
			t.Fatal(err)
		}
		r := started()
		r.Take(5, Inherited{none})
		if _, pushed := first[Push](arrive(r, 1, "look")); !pushed {
			t.Errorf("after %s nothing is pushed", text)
		}
	}
}
