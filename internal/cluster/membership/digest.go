package membership

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// viewDigest sums the records of a view, this process's own among them, by buckets of names. Two views with
// equal digests hold the same incarnation, refutations and state of each name.
type viewDigest struct {
	buckets [digestBuckets]uint64
	self    MemberRecord // this process's own record as the sums have it
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % digestBuckets) }

// recordHash covers what two views must agree on, which excludes reporter and age.
func recordHash(r MemberRecord) uint64 {
	text := make([]byte, 0, 96)
	text = append(text, r.Name...)
	for _, number := range []uint64{r.Generation, r.Nonce, r.Refutations, uint64(r.State)} {
		text = binary.LittleEndian.AppendUint64(text, number)
	}
	return xxhash.Sum64(text)
}

// add puts a record into the sums. They are exclusive ors, so that adding a record twice removes it.
func (d *viewDigest) add(r MemberRecord) { d.buckets[bucketOf(r.Name)] ^= recordHash(r) }

// remove takes a record out of the sums.
func (d *viewDigest) remove(r MemberRecord) { d.add(r) }

// setSelf puts this process's own record into the sums in place of the one before. A replaced process has
// none: its name is another's.
func (d *viewDigest) setSelf(self MemberRecord) {
	if d.self.Generation > 0 {
		d.remove(d.self)
	}
	if self.State == Replaced {
		d.self = MemberRecord{}
		return
	}
	d.self = self
	d.add(self)
}

// sum returns one number for all buckets.
func (d *viewDigest) sum() (sum uint64) {
	for i, bucket := range d.buckets {
		sum ^= bits.RotateLeft64(bucket, i)
	}
	return sum
}

// differingBuckets returns the buckets in which the sums of another view differ. The lists have the same
// length.
func (d *viewDigest) differingBuckets(other []uint64) (differing []int) {
	for i, bucket := range other {
		if bucket != d.buckets[i] {
			differing = append(differing, i)
		}
	}
	return differing
}

func (n *Node) updateSelfDigest() { n.gossip.digest.setSelf(n.self) }

// Digest returns a number that is the same for two views that hold the same of all members, this process
// included.
func (n *Node) Digest() uint64 { return n.gossip.digest.sum() }
