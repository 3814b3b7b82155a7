package membership

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Push-pull sends only the buckets that differ. Records that differ must not have equal checksums, and
// the order in which records are added must make no difference.
func TestDigestDistinguishesUnequalViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRecord(t, "a"), drawRecord(t, "b")
		other := MemberRecord{Name: "y", Incarnation: Incarnation{1, 1}, State: Alive}
		var first, second viewDigest
		first.add(a)
		first.add(other)
		second.add(other)
		second.add(b)
		differ := first.differingBuckets(second.buckets[:])
		if compareState(a, b) == 0 {
			if len(differ) > 0 || first.sum() != second.sum() {
				t.Fatalf("%+v and %+v differ", a, b)
			}
			return
		}
		if !slices.Equal(differ, []int{bucketOf("x")}) || first.sum() == second.sum() {
			t.Fatalf("%+v and %+v: buckets %v differ", a, b, differ)
		}
	})
}

// A replaced process must exclude its own record from its digest, because its name belongs to another
// process.
func TestDigestOfAReplacedProcessExcludesItsRecord(t *testing.T) {
	var d, empty viewDigest
	self := MemberRecord{Name: "a", Incarnation: Incarnation{1, 1}, State: Alive}
	d.setSelf(self)
	self.Refutations++
	d.setSelf(self)
	if len(d.differingBuckets(empty.buckets[:])) != 1 {
		t.Error("the own record is not in the digest")
	}
	self.State = Replaced
	d.setSelf(self)
	if d.buckets != empty.buckets {
		t.Error("the own record is in the digest of a replaced process")
	}
}
