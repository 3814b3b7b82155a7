package membership

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Push-pull sends the buckets that differ alone: records that differ must never have equal sums, and the
// order in which they came must make no difference.
func TestDigestTellsViewsApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRecord(t, "a"), drawRecord(t, "b")
		other := MemberRecord{Name: "y", Incarnation: Incarnation{1, 1}, State: Alive}
		var one, two viewDigest
		one.add(a)
		one.add(other)
		two.add(other)
		two.add(b)
		differ := one.differingBuckets(two.buckets[:])
		if compareState(a, b) == 0 {
			if len(differ) > 0 || one.sum() != two.sum() {
				t.Fatalf("%+v and %+v differ", a, b)
			}
			return
		}
		if !slices.Equal(differ, []int{bucketOf("x")}) || one.sum() == two.sum() {
			t.Fatalf("%+v and %+v: buckets %v differ", a, b, differ)
		}
	})
}

// The digest of a process that was replaced has its name as another's.
func TestDigestOfAReplacedProcess(t *testing.T) {
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
