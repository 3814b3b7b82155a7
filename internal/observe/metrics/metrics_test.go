package metrics

import (
	"encoding/json"
	"fmt"
	"testing"
)

// Staff compare the figures with what clients saw: each op is counted once, under its own end.
func TestEachOpIsCountedOnceAndHeldUntilItsEnd(t *testing.T) {
	y := New([]string{"look", "pay"})
	for range 5 {
		y.RequestStarted()
	}
	y.AttemptSent("look")
	y.AttemptSent("look")
	y.RequestEnded("look", Succeeded)
	y.RequestEnded("look", Rejected)
	y.RequestEnded("pay", Failed)
	y.RequestStarted()
	y.RequestEnded("pay", Rejected)
	y.RequestStarted()
	y.RequestEnded("look", Disconnected)
	y.RequestStarted()
	y.RequestEnded("stranger", Failed)
	y.SetWorkers(9, 2)
	y.ConfigReloaded(true)
	y.ConfigReloaded(false)
	got, err := json.Marshal(y.Snapshot())
	want := `{"requests":{"look":{"served":1,"refused":1,"failed":0,"gone":1,"attempts":2},` +
		`"pay":{"served":0,"refused":1,"failed":1,"gone":0,"attempts":0}},"requests_taken":8,` +
		`"other":{"served":0,"refused":0,"failed":1,"gone":0,"attempts":0},"attempts":2,"goroutines":0,"in_flight":2,` +
		`"workers_known":9,"workers_excluded":2,"reloads_ok":1,"reloads_failed":1,"accept_failures":0,"violations":null,"log_lines_lost":0}`
	if err != nil || string(got) != want {
		t.Errorf("%s, %v\nwant %s", got, err, want)
	}
}

// Names come from clients: counted one by one, strangers' names would fill the memory.
func TestStrangersNamesAreNotKept(t *testing.T) {
	y := New([]string{"look"})
	y.RequestStarted()
	y.RequestEnded("stranger", Failed)
	var many []string
	for i := range 2 * maxCategories {
		many = append(many, fmt.Sprint(i))
	}
	y.SetCategories(many)
	f := y.Snapshot()
	if _, kept := f.Requests["stranger"]; kept || len(f.Requests) != maxCategories || f.OpsInFlight != 0 {
		t.Errorf("%d categories, stranger %v, %d held", len(f.Requests), kept, f.OpsInFlight)
	}
	f.Requests["look"] = OpCounts{Succeeded: 7}
	if y.Snapshot().Requests["look"].Succeeded != 0 {
		t.Error("a reader has changed the figures")
	}
}

// Over a day of changes names came and went until there was no room, and new categories had no figures.
// Those that are served always have, the ones that were dropped first make room, and no op is lost from
// the sums.
func TestDroppedCategoriesMakeRoomAndNoOpIsLost(t *testing.T) {
	const entries, changes = 560, 5000
	name := func(i int) string { return fmt.Sprint("c", i) }
	served := make([]string, entries)
	for i := range served {
		served[i] = name(i)
	}
	y := New(served)
	n := 0
	count := func(c string) {
		n++
		y.RequestStarted()
		y.AttemptSent(c)
		y.RequestEnded(c, RequestEnd(n%4))
	}
	for i := entries; i < changes; i++ {
		served[i%entries] = name(i)
		y.SetCategories(served)
		count(name(i))
		if i%5 == 0 {
			count(name(i - entries)) // a client that does not know yet
		}
	}
	f := y.Snapshot()
	for _, c := range served {
		if o, has := f.Requests[c]; !has || o.Attempts == 0 {
			t.Errorf("%s is served and has %+v, %v", c, o, has)
		}
	}
	for _, want := range []string{name(changes - entries - 1), name(changes - maxCategories)} {
		if _, has := f.Requests[want]; !has {
			t.Errorf("%s, one of the last that were dropped, has no figures", want)
		}
	}
	if _, has := f.Requests[name(changes-maxCategories-1)]; has || len(f.Requests) != maxCategories || len(y.droppedCategories) != maxCategories-entries {
		t.Errorf("%d categories have figures, of them %d dropped", len(f.Requests), len(y.droppedCategories))
	}
	sum, attempts := f.Other.Succeeded+f.Other.Rejected+f.Other.Failed+f.Other.Disconnected, f.Other.Attempts
	for _, o := range f.Requests {
		sum, attempts = sum+o.Succeeded+o.Rejected+o.Failed+o.Disconnected, attempts+o.Attempts
	}
	if sum != f.RequestsRead || attempts != f.Attempts || f.Attempts != f.RequestsRead || f.OpsInFlight != 0 {
		t.Errorf("%d in all places, %d taken; %d and %d attempts", sum, f.RequestsRead, attempts, f.Attempts)
	}
	back := name(changes - entries - 1)
	was := f.Requests[back]
	served[0] = back
	y.SetCategories(served)
	if y.Snapshot().Requests[back] != was || len(y.droppedCategories) != maxCategories-entries {
		t.Errorf("back again, it has %+v, not %+v; %d dropped", y.Snapshot().Requests[back], was, len(y.droppedCategories))
	}
}
