package metrics

import (
	"encoding/json"
	"fmt"
	"testing"
)

// Each request is counted once, by how it ended, so that operators can compare the metrics with those of
// clients.
func TestEachRequestIsCountedOnceAndInFlightUntilItsEnd(t *testing.T) {
	r := New([]string{"look", "pay"})
	for range 5 {
		r.RequestStarted()
	}
	r.AttemptSent("look")
	r.AttemptSent("look")
	r.RequestEnded("look", Succeeded)
	r.RequestEnded("look", Rejected)
	r.RequestEnded("pay", Failed)
	r.RequestStarted()
	r.RequestEnded("pay", Rejected)
	r.RequestStarted()
	r.RequestEnded("look", Disconnected)
	r.RequestStarted()
	r.RequestEnded("stranger", Failed)
	r.SetWorkers(9, 2)
	r.ConfigReloaded(true)
	r.ConfigReloaded(false)
	got, err := json.Marshal(r.Snapshot())
	want := `{"requests":{"look":{"served":1,"refused":1,"failed":0,"gone":1,"attempts":2},` +
		`"pay":{"served":0,"refused":1,"failed":1,"gone":0,"attempts":0}},"requests_taken":8,` +
		`"other":{"served":0,"refused":0,"failed":1,"gone":0,"attempts":0},"attempts":2,"goroutines":0,"in_flight":2,` +
		`"workers_known":9,"workers_excluded":2,"reloads_ok":1,"reloads_failed":1,"accept_failures":0,"violations":null,"log_lines_lost":0}`
	if err != nil || string(got) != want {
		t.Errorf("%s, %v\nwant %s", got, err, want)
	}
}

// Clients choose the names of categories. Unknown names must not get counts, which could fill the memory.
func TestUnknownCategoriesGetNoCounts(t *testing.T) {
	r := New([]string{"look"})
	r.RequestStarted()
	r.RequestEnded("stranger", Failed)
	var categories []string
	for i := range 2 * maxCategories {
		categories = append(categories, fmt.Sprint(i))
	}
	r.SetCategories(categories)
	snapshot := r.Snapshot()
	if _, exists := snapshot.Requests["stranger"]; exists || len(snapshot.Requests) != maxCategories ||
		snapshot.OpsInFlight != 0 {
		t.Errorf("%d categories, stranger %v, %d in flight", len(snapshot.Requests), exists,
			snapshot.OpsInFlight)
	}
	snapshot.Requests["look"] = OpCounts{Succeeded: 7}
	if r.Snapshot().Requests["look"].Succeeded != 0 {
		t.Error("a change of a snapshot changed the metrics")
	}
}

// Served categories always have counts. The counts of the categories that were dropped first are merged into
// Metrics.Other, and the totals stay the same. Otherwise the dropped categories of a day of changes would use
// up the limit, and new categories would have no counts.
func TestCountsOfDroppedCategoriesAreMergedIntoOther(t *testing.T) {
	const entries, changes = 560, 5000
	name := func(i int) string { return fmt.Sprint("c", i) }
	served := make([]string, entries)
	for i := range served {
		served[i] = name(i)
	}
	r := New(served)
	n := 0
	count := func(category string) {
		n++
		r.RequestStarted()
		r.AttemptSent(category)
		r.RequestEnded(category, RequestEnd(n%4))
	}
	for i := entries; i < changes; i++ {
		served[i%entries] = name(i)
		r.SetCategories(served)
		count(name(i))
		if i%5 == 0 {
			count(name(i - entries)) // a client still uses a dropped category
		}
	}
	snapshot := r.Snapshot()
	for _, c := range served {
		if counts, exists := snapshot.Requests[c]; !exists || counts.Attempts == 0 {
			t.Errorf("served category %s has counts %+v, %v", c, counts, exists)
		}
	}
	for _, category := range []string{name(changes - entries - 1), name(changes - maxCategories)} {
		if _, exists := snapshot.Requests[category]; !exists {
			t.Errorf("%s, one of the categories dropped last, has no counts", category)
		}
	}
	if _, exists := snapshot.Requests[name(changes-maxCategories-1)]; exists ||
		len(snapshot.Requests) != maxCategories || len(r.droppedCategories) != maxCategories-entries {
		t.Errorf("%d categories have counts, %d of them dropped", len(snapshot.Requests),
			len(r.droppedCategories))
	}
	sum, attempts := snapshot.Other.Succeeded+snapshot.Other.Rejected+snapshot.Other.Failed+
		snapshot.Other.Disconnected, snapshot.Other.Attempts
	for _, o := range snapshot.Requests {
		sum, attempts = sum+o.Succeeded+o.Rejected+o.Failed+o.Disconnected, attempts+o.Attempts
	}
	if sum != snapshot.RequestsRead || attempts != snapshot.Attempts ||
		snapshot.Attempts != snapshot.RequestsRead || snapshot.OpsInFlight != 0 {
		t.Errorf("sum of counts %d, requests read %d; sum of attempts %d, attempts %d", sum,
			snapshot.RequestsRead, attempts, snapshot.Attempts)
	}
	restored := name(changes - entries - 1)
	want := snapshot.Requests[restored]
	served[0] = restored
	r.SetCategories(served)
	if r.Snapshot().Requests[restored] != want || len(r.droppedCategories) != maxCategories-entries {
		t.Errorf("the restored category has counts %+v, want %+v; %d dropped",
			r.Snapshot().Requests[restored], want, len(r.droppedCategories))
	}
}
