package config

import "testing"

// Guards the bytes of peer reports, and the worker and the count that they are decoded to. A count above 63
// is sent as 63.
func TestPeerReportsKeepTheirBytes(t *testing.T) {
	names := []string{"", "w1", "worker-17.zone-a", "caf\u00e9"}
	wantTags := []string{"cy8", "Inr", "tkq", "S0F"}
	tags := map[string]int{}
	for i, tag := range wantTags {
		if got := WorkerTag(names[i]); got != tag {
			t.Errorf("worker %q has the tag %q, want %q", names[i], got, tag)
		}
		tags[tag] = i
	}
	for _, c := range []struct {
		worker  int
		count   int
		text    string
		decoded int
	}{
		{0, 0, "cy80", 0},
		{0, 9, "cy89", 9},
		{1, 1, "Inr1", 1},
		{1, 10, "Inra", 10},
		{1, 35, "Inrz", 35},
		{1, 36, "InrA", 36},
		{2, 61, "tkqZ", 61},
		{2, 62, "tkq-", 62},
		{2, 63, "tkq_", 63},
		{2, 64, "tkq_", 63},
		{3, 2, "S0F2", 2},
		{3, 900, "S0F_", 63},
	} {
		if got := EncodePeerReport(names[c.worker], c.count); got != c.text {
			t.Errorf("%d attempts at %q are encoded as %q, want %q", c.count, names[c.worker], got, c.text)
		}
		if worker, count, ok := DecodePeerReport(c.text, tags); !ok || worker != c.worker || count != c.decoded {
			t.Errorf("%q is decoded as worker %d, count %d, %v, want worker %d, count %d", c.text, worker, count, ok, c.worker, c.decoded)
		}
	}
}

// Guards the characters that encode the counts 0 to 63.
func TestPeerReportCountsKeepTheirDigits(t *testing.T) {
	const want = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_"
	for count := range len(want) {
		if got := EncodePeerReport("w1", count); got != "Inr"+want[count:count+1] {
			t.Errorf("count %d is encoded as %q", count, got)
		}
	}
}
