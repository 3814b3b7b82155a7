package replicaset

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxReplicas is the greatest number of replicas in one part of a set.
const MaxReplicas = 9

// Set names the members that are replicas. During a change the set is joint: it has an old and a new part,
// and a decision needs a majority of each.
type Set struct {
	GroupID uint64   `cbor:"1,keyasint,omitzero"` // raft group that agreed on the set; 0: a configured set
	Epoch   uint64   `cbor:"2,keyasint,omitzero"` // increases with each change
	Old     []string `cbor:"3,keyasint,omitzero"` // empty unless the set is joint
	New     []string `cbor:"4,keyasint,omitzero"`
}

// ConfiguredSet returns the set that the configuration names.
func ConfiguredSet(names []string) Set { return Set{New: names} }

// Joint reports whether a change is in progress.
func (s Set) Joint() bool { return len(s.Old) > 0 }

// Parts returns the parts of the set, the old part first. A decision needs a majority of each part.
func (s Set) Parts() [][]string {
	if s.Joint() {
		return [][]string{s.Old, s.New}
	}
	return [][]string{s.New}
}

// Members returns the replicas of both parts without duplicates.
func (s Set) Members() []string {
	members := slices.Clone(s.New)
	for _, name := range s.Old {
		if !slices.Contains(members, name) {
			members = append(members, name)
		}
	}
	return members
}

func (s Set) contains(name string) bool { return slices.Contains(s.Members(), name) }

// HasMajority reports whether the predicate holds for a majority of each part.
func (s Set) HasMajority(holds func(name string) bool) bool {
	for _, part := range s.Parts() {
		if Count(part, holds) < Majority(len(part)) {
			return false
		}
	}
	return true
}

// ID returns a hash that identifies the set. Configured sets with the same replicas have the same ID. Agreed
// sets have the same ID if their group, epoch and new part are the same.
func (s Set) ID() uint64 {
	names := strings.Join(slices.Sorted(slices.Values(s.New)), "\n")
	if s.GroupID == 0 {
		return xxhash.Sum64String(names)
	}
	buffer := binary.LittleEndian.AppendUint64(nil, s.GroupID)
	buffer = binary.LittleEndian.AppendUint64(buffer, s.Epoch)
	return xxhash.Sum64(append(buffer, names...))
}

// Supersedes reports whether this set replaces the other set. An agreed set replaces a configured set, and a
// later epoch replaces an earlier epoch of the same group. Sets of different groups never replace each other.
func (s Set) Supersedes(other Set) bool {
	if s.GroupID == 0 {
		return false
	}
	return other.GroupID == 0 || s.GroupID == other.GroupID && s.Epoch > other.Epoch
}

// Valid reports whether an agreed set that another member sent is within bounds.
func (s Set) Valid() bool {
	return s.GroupID != 0 && len(s.New) > 0 && len(s.New) <= MaxReplicas && len(s.Old) <= MaxReplicas
}

// Majority returns the size of the smallest majority of n members.
func Majority(n int) int { return n/2 + 1 }

// ReadQuorum returns the smallest number of members, out of n, that intersects every majority.
func ReadQuorum(n int) int { return n - Majority(n) + 1 }

// Count returns the number of names for which the predicate holds.
func Count(names []string, holds func(string) bool) (n int) {
	for _, name := range names {
		if holds(name) {
			n++
		}
	}
	return n
}
