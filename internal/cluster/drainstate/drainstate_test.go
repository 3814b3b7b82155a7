package drainstate

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestMergeIsCommutativeAssociativeAndIdempotent(t *testing.T) {
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

func readyEndpoints(names ...string) (entries []Endpoint) {
	for _, n := range names {
		entries = append(entries, Endpoint{Worker: n, BootID: 5, Ready: true})
	}
	return entries
}

// A scheduler whose discovery lags must stop pushing to a worker that a peer reports as draining. The report
// applies until the scheduler's discovery reaches the same revision.
func TestADrainRecordAppliesUntilDiscoveryCatchesUp(t *testing.T) {
	a, b := New(1), New(2)
	a.Step(1, EndpointsChanged{Revision: 7, Snapshot: true, Endpoints: readyEndpoints("w1", "w2")})
	b.Step(1, EndpointsChanged{Revision: 7, Snapshot: true, Endpoints: readyEndpoints("w1", "w2")})
	a.Step(2, PeersChanged{[]string{"b"}})
	excluded := 0
	deliver := func(effects []Effect) {
		for _, e := range effects {
			if x, ok := e.(SendRecords); ok {
				for _, e := range b.Step(3000, RecordsReceived{x.Records}) {
					if _, ok := e.(WorkerExcluded); ok {
						excluded++
					}
				}
			}
		}
	}
	deliver(a.Step(2000, EndpointsChanged{Revision: 8, Endpoints: []Endpoint{{Worker: "w1", BootID: 5}}}))
	deliver(a.Step(4000, Tick{}))
	if !b.Excluded("w1") || b.Excluded("w2") || excluded != 1 {
		t.Errorf("excluded: w1 %v, w2 %v, reported %d times", b.Excluded("w1"), b.Excluded("w2"), excluded)
	}
	b.Step(5000, EndpointsChanged{Revision: 8, Endpoints: readyEndpoints("w1")})
	if b.Excluded("w1") {
		t.Error("a record excludes a worker after discovery reached its revision")
	}
}

// An endpoint list of a lower revision, such as one of a restarted discovery, must not clear the drain of a
// worker that a peer reported at a higher revision. A record of an earlier boot must not exclude a restarted
// worker.
func TestTheRecordOfTheLatestBootAndRevisionCounts(t *testing.T) {
	c := New(1)
	c.Step(1, RecordsReceived{[]DrainRecord{{"w", 5, false, 20}}})
	c.Step(2, EndpointsChanged{Revision: 3, Snapshot: true, Endpoints: readyEndpoints("w")})
	if !c.Excluded("w") {
		t.Error("a list of a lower revision clears a drain record")
	}
	c.Step(3, EndpointsChanged{Revision: 4, Endpoints: []Endpoint{{Worker: "w", BootID: 9, Ready: true}}})
	if c.Excluded("w") {
		t.Error("a record of an earlier boot excludes a restarted worker")
	}
	c.Step(4, RecordsReceived{[]DrainRecord{{"w", 9, true, 21}}})
	c.Step(5, RecordsReceived{[]DrainRecord{{"w", 5, false, 30}}})
	if !c.Excluded("w") {
		t.Error("a record of an earlier boot replaces a record of a later boot")
	}
	if c.Step(4+retention, Tick{}); c.Excluded("w") {
		t.Error("a record does not expire after the retention")
	}
}

// Records from peers must not use unbounded memory. A new peer must be sent all records.
func TestDrainRecordsAreBounded(t *testing.T) {
	c := New(1)
	for i := range 3 * maxRecords {
		c.Step(1, RecordsReceived{[]DrainRecord{{fmt.Sprint("w", i), 1, false, 1}}})
	}
	if len(c.records) != maxRecords {
		t.Errorf("%d records", len(c.records))
	}
	n := 0
	for _, e := range c.Step(2, PeersChanged{[]string{"b"}}) {
		if x, ok := e.(SendRecords); ok {
			n += len(x.Records)
		}
	}
	if n < maxRecords {
		t.Errorf("a new peer is sent %d of %d records", n, maxRecords)
	}
}
