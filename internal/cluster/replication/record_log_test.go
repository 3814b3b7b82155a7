package replication

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// endedRecord returns the record of an op that has ended.
func endedRecord(key string) Record {
	return Record{Key: key, Fingerprint: 1, Outcomes: []Outcome{{Claim: Claim{"x", 1}, Stage: Ended}}}
}

// The size, the digests and the changes of the log must match its records after any sequence of merges and
// expirations. Otherwise replicas with equal records would appear to differ, or the size limit would be
// wrong.
func TestTheLogTotalsMatchItsRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCore("a", "a", "b", "c")
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
			t.Errorf("record %s is not found by its digest", r.Key)
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

// A replica that continues from a position gets the latest change of each record after that position once, in
// pages.
func TestChangesComeInPages(t *testing.T) {
	c := newTestCore("a", "a")
	for i := range 10 {
		c.mergeRecord(endedRecord(fmt.Sprint(i)), 0)
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
		t.Errorf("%d changes in %d pages, want 7 in 3", len(all), pages)
	}
}

// A record is retained for the whole retention after it was first seen by any replica. If it expired earlier,
// the op could run twice.
func TestRecordsExpireByTheirAge(t *testing.T) {
	c := newTestCore("a", "a")
	oldRecord := endedRecord("old")
	oldRecord.Age = uint64(c.config.Retention/second) - 10
	c.mergeRecord(oldRecord, 0)
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
			t.Errorf("after %d s the log contains %q, want %q", x.at/second, got, x.keys)
		}
	}
}

// Consecutive pages contain each record once, sorted by key.
func TestPagesReturnEachRecordOnceInOrder(t *testing.T) {
	c := newTestCore("a", "a")
	for i := range 100 {
		c.mergeRecord(endedRecord(fmt.Sprintf("%03d", i*37%100)), 0)
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
	c := newTestCore("a", "a")
	for i := range 100_000 {
		c.mergeRecord(endedRecord(fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)), 0)
	}
	for b.Loop() {
		c.Page("8", 500)
	}
}
