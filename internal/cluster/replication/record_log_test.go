package replication

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// endedRecord is a record of an op that has ended.
func endedRecord(key string) Record {
	return Record{Key: key, Fingerprint: 1, Outcomes: []Outcome{{Claim: Claim{"x", 1}, Stage: Ended}}}
}

// Whatever is merged and expires, the log's size, digest and order of changes are those of its records.
func TestTheLogFitsItsRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCore("a", "a", "b", "c")
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			c.now += rapid.SampledFrom([]Time{0, ms, second, 300 * second}).Draw(t, "passed")
			r := drawRecord(t, "record")
			r.Key = rapid.SampledFrom([]string{"k", "l", "m", "n"}).Draw(t, "key")
			if len(r.Outcomes) > 0 {
				c.mergeRecord(r, 0)
			}
			c.expireRecords()
			checkLog(t, &c.records)
		}
	})
}

func checkLog(t *rapid.T, l *recordLog) {
	t.Helper()
	bytes, digest := 0, uint64(0)
	for _, r := range l.byKey {
		bytes += r.size()
		digest ^= r.digest()
		if l.byDigest[r.digest()] == nil {
			t.Errorf("%s is not known by its digest", r.Key)
		}
	}
	if l.bytes != bytes || l.digest != digest || len(l.byDigest) > len(l.byKey) {
		t.Errorf("%d bytes and digest %x, want %d and %x", l.bytes, l.digest, bytes, digest)
	}
	digests, last, more := l.changedAfter(0, len(l.byKey)+1)
	known := slices.Collect(maps.Keys(l.byDigest))
	slices.Sort(digests)
	slices.Sort(known)
	if !slices.Equal(digests, known) || last != l.position || more {
		t.Errorf("changes %x up to %d, more %v; want %x up to %d", digests, last, more, known, l.position)
	}
}

// A replica that goes on from a position gets each change after it once, in pages.
func TestChangesComeInPages(t *testing.T) {
	c := newCore("a", "a")
	for n := range 10 {
		c.mergeRecord(endedRecord(fmt.Sprint(n)), 0)
	}
	pages := 0
	var all []uint64
	for position, more := uint64(3), true; more; pages++ {
		var page []uint64
		page, position, more = c.records.changedAfter(position, 3)
		all = append(all, page...)
	}
	slices.Sort(all)
	if len(slices.Compact(all)) != 7 || pages != 3 {
		t.Errorf("%d changes in %d pages", len(all), pages)
	}
}

// A record is kept for its retention from when it was first seen anywhere, and not a second less.
func TestRecordsExpireByTheirAge(t *testing.T) {
	c := newCore("a", "a")
	old := endedRecord("old")
	old.Age = uint64(c.config.Retention/second) - 10
	c.mergeRecord(old, 0)
	c.mergeRecord(endedRecord("new"), 0)
	for _, x := range []struct {
		at   Time
		keys []string
	}{
		{10 * second, []string{"new", "old"}},
		{11 * second, []string{"new"}},
		{c.config.Retention, []string{"new"}},
		{c.config.Retention + second, nil},
	} {
		c.now = x.at
		c.expireRecords()
		if got := slices.Sorted(maps.Keys(c.records.byKey)); !slices.Equal(got, x.keys) {
			t.Errorf("after %d s: %q, want %q", x.at/second, got, x.keys)
		}
	}
}

// Pages show each record once and in order, however many there are.
func TestPagesShowAll(t *testing.T) {
	c := newCore("a", "a")
	for n := range 100 {
		c.mergeRecord(endedRecord(fmt.Sprintf("%03d", n*37%100)), 0)
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
	c := newCore("a", "a")
	for n := range 100_000 {
		c.mergeRecord(endedRecord(fmt.Sprintf("%016x", uint64(n)*0x9e3779b97f4a7c15)), 0)
	}
	for b.Loop() {
		c.Page("8", 500)
	}
}
