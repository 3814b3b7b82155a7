package replicaset

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxReplicas is the greatest number of replicas in one part of a set.
const MaxReplicas = 9

// Set is which members are replicas. A joint set, during a change, has an old part beside the new one, and
// needs a majority of each.
type Set struct {
	GroupID uint64   `cbor:"1,keyasint,omitzero"` // of the group that agreed on it; 0: it is as configured
	Epoch   uint64   `cbor:"2,keyasint,omitzero"` // grows with each change
	Old     []string `cbor:"3,keyasint,omitzero"` // empty where the set is not joint
	New     []string `cbor:"4,keyasint,omitzero"`
}

// Configured is the set that the configuration names.
func Configured(names []string) Set { return Set{New: names} }

// Joint reports whether a change is under way.
func (s Set) Joint() bool { return len(s.Old) > 0 }

// Quorums are the parts of the set, each of which needs a majority; the old one first.
func (s Set) Quorums() [][]string {
	if s.Joint() {
		return [][]string{s.Old, s.New}
	}
	return [][]string{s.New}
}

// Members are the replicas of both parts, once each.
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

// HasMajority reports whether a predicate holds for a majority of each part.
func (s Set) HasMajority(holds func(name string) bool) bool {
	for _, part := range s.Quorums() {
		if Count(part, holds) < Majority(len(part)) {
			return false
		}
	}
	return true
}

// ID identifies the set. Two configured sets with the same replicas are one; so are two agreed ones of the
// same group and epoch with the same new part.
func (s Set) ID() uint64 {
	names := strings.Join(slices.Sorted(slices.Values(s.New)), "\n")
	if s.GroupID == 0 {
		return xxhash.Sum64String(names)
	}
	buffer := binary.LittleEndian.AppendUint64(nil, s.GroupID)
	buffer = binary.LittleEndian.AppendUint64(buffer, s.Epoch)
	return xxhash.Sum64(append(buffer, names...))
}

// Supersedes reports whether this set replaces another: an agreed one replaces a configured one, and a later
// epoch an earlier one of the same group. Of two groups neither replaces the other.
func (s Set) Supersedes(other Set) bool {
	if s.GroupID == 0 {
		return false
	}
	return other.GroupID == 0 || s.GroupID == other.GroupID && s.Epoch > other.Epoch
}

// Valid reports whether an agreed set from elsewhere is within bounds.
func (s Set) Valid() bool {
	return s.GroupID != 0 && len(s.New) > 0 && len(s.New) <= MaxReplicas && len(s.Old) <= MaxReplicas
}

// Majority is the smallest majority of n.
func Majority(n int) int { return n/2 + 1 }

// ReadQuorum is the smallest number of n that meets each majority of them.
func ReadQuorum(n int) int { return n - Majority(n) + 1 }

// Count counts the names for which a predicate holds.
func Count(names []string, holds func(string) bool) (n int) {
	for _, name := range names {
		if holds(name) {
			n++
		}
	}
	return n
}
