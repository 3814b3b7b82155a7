package drainstate

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestJoinIsAJoin(t *testing.T) {
	draw := func(t *rapid.T, label string) DrainRecord {
		return DrainRecord{
			Worker:   "w",
			BootID:   rapid.Int64Range(0, 2).Draw(t, label),
			Removed:  rapid.Bool().Draw(t, label),
			Revision: rapid.Int64Range(0, 3).Draw(t, label),
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := draw(t, "a"), draw(t, "b"), draw(t, "c")
		if Merge(a, b) != Merge(b, a) || Merge(a, a) != a || Merge(Merge(a, b), c) != Merge(a, Merge(b, c)) {
			t.Fatalf("%v, %v, %v", a, b, c)
		}
	})
}

func serving(names ...string) (entries []Endpoint) {
	for _, n := range names {
		entries = append(entries, Endpoint{Worker: n, BootID: 5, Ready: true})
	}
	return entries
}

// A scheduler that is cut off from discovery went on pushing to a worker whose drain its neighbours had
// been told of.
func TestANeighboursDrainBinds(t *testing.T) {
	a, b := New(1), New(2)
	a.Step(1, EndpointsChanged{Revision: 7, Snapshot: true, Endpoints: serving("w1", "w2")})
	b.Step(1, EndpointsChanged{Revision: 7, Snapshot: true, Endpoints: serving("w1", "w2")})
	a.Step(2, PeersChanged{[]string{"b"}})
	bound := 0
	pass := func(effects []Effect) {
		for _, e := range effects {
			if x, ok := e.(SendRecords); ok {
				for _, e := range b.Step(3000, RecordsReceived{x.Records}) {
					if _, ok := e.(WorkerExcluded); ok {
						bound++
					}
				}
			}
		}
	}
	pass(a.Step(2000, EndpointsChanged{Revision: 8, Endpoints: []Endpoint{{Worker: "w1", BootID: 5}}}))
	pass(a.Step(4000, Tick{}))
	if !b.Excluded("w1") || b.Excluded("w2") || bound != 1 {
		t.Errorf("w1 %v, w2 %v, bound %d times", b.Excluded("w1"), b.Excluded("w2"), bound)
	}
	b.Step(5000, EndpointsChanged{Revision: 8, Endpoints: serving("w1")})
	if b.Excluded("w1") {
		t.Error("its own discovery has come as far, and still it does not count")
	}
}

// A list of a lower revision, such as of a discovery that was restarted, must not bring a drained worker
// back while neighbours know better; nor may an old word hold back a worker that has started again.
func TestThreeAgesOfOneWorker(t *testing.T) {
	c := New(1)
	c.Step(1, RecordsReceived{[]DrainRecord{{"w", 5, false, 20}}})
	c.Step(2, EndpointsChanged{Revision: 3, Snapshot: true, Endpoints: serving("w")})
	if !c.Excluded("w") {
		t.Error("a lower revision stands over what a neighbour was told")
	}
	c.Step(3, EndpointsChanged{Revision: 4, Endpoints: []Endpoint{{Worker: "w", BootID: 9, Ready: true}}})
	if c.Excluded("w") {
		t.Error("it has started again, and the word is of the start before")
	}
	c.Step(4, RecordsReceived{[]DrainRecord{{"w", 9, true, 21}}})
	c.Step(5, RecordsReceived{[]DrainRecord{{"w", 5, false, 30}}})
	if !c.Excluded("w") {
		t.Error("an older start's word stands over a later one's")
	}
	if c.Step(4+retention, Tick{}); c.Excluded("w") {
		t.Error("a word is never forgotten")
	}
}

// Strangers' words must not take the memory, and one who is new is told all.
func TestWordsAreBounded(t *testing.T) {
	c := New(1)
	for i := range 3 * maxRecords {
		c.Step(1, RecordsReceived{[]DrainRecord{{fmt.Sprint("w", i), 1, false, 1}}})
	}
	if len(c.records) != maxRecords {
		t.Errorf("%d words", len(c.records))
	}
	n := 0
	for _, e := range c.Step(2, PeersChanged{[]string{"b"}}) {
		if x, ok := e.(SendRecords); ok {
			n += len(x.Records)
		}
	}
	if n < maxRecords {
		t.Errorf("a new one is told %d of %d", n, maxRecords)
	}
}
