package membership

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// viewDigest divides the names of a view into buckets, and holds a checksum of the records in each bucket.
// This process's own record is included. Two views with equal digests have the same incarnation,
// refutations and state of each name.
type viewDigest struct {
	buckets [digestBuckets]uint64
	self    MemberRecord // this process's own record as included in the checksums
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % digestBuckets) }

// recordHash hashes the fields that must be equal in two views. Reporter, address, number and age may
// differ.
func recordHash(r MemberRecord) uint64 {
	encoded := make([]byte, 0, 96)
	encoded = append(encoded, r.Name...)
	for _, field := range []uint64{r.Generation, r.Nonce, r.Refutations, uint64(r.State)} {
		encoded = binary.LittleEndian.AppendUint64(encoded, field)
	}
	return xxhash.Sum64(encoded)
}

// add includes a record in the checksums. They are XORs, so adding a record twice removes it.
func (d *viewDigest) add(r MemberRecord) { d.buckets[bucketOf(r.Name)] ^= recordHash(r) }

// remove removes a record from the checksums.
func (d *viewDigest) remove(r MemberRecord) { d.add(r) }

// setSelf replaces this process's own record in the checksums. The record of a replaced process is left
// out, because another process has its name.
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

// differingBuckets returns the buckets whose checksums differ from those of another view. The other view's
// list must have digestBuckets entries.
func (d *viewDigest) differingBuckets(other []uint64) (differing []int) {
	for i, bucket := range other {
		if bucket != d.buckets[i] {
			differing = append(differing, i)
		}
	}
	return differing
}

func (n *Node) updateSelfDigest() { n.gossip.digest.setSelf(n.self) }

// Digest returns a number that is equal for two views with the same records of all members, this process
// included.
func (n *Node) Digest() uint64 { return n.gossip.digest.sum() }
