package replicaset

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Set is which members keep copies. While a change is under way there is an old part beside the new one, and whatever needs a majority
// needs one of each.
type Set struct {
	GroupID uint64   `cbor:"1,keyasint,omitzero"` // of the agreement that it comes from; 0: it is what the file says
	Epoch   uint64   `cbor:"2,keyasint,omitzero"` // grows with each change
	Old     []string `cbor:"3,keyasint,omitzero"` // empty where no change is under way
	New     []string `cbor:"4,keyasint,omitzero"`
}

// Configured is the set that a file names.
func Configured(names []string) Set { return Set{New: names} }

// Joint tells whether a change is under way.
func (s Set) Joint() bool { return len(s.Old) > 0 }

// Quorums are the groups that each have a majority of their own.
func (s Set) Quorums() [][]string {
	if s.Joint() {
		return [][]string{s.Old, s.New}
	}
	return [][]string{s.New}
}

// Members is everybody in it, once.
func (s Set) Members() []string {
	all := slices.Clone(s.New)
	for _, k := range s.Old {
		if !slices.Contains(all, k) {
			all = append(all, k)
		}
	}
	return all
}

// HasMajority tells whether something is so for a majority of each part.
func (s Set) HasMajority(is func(name string) bool) bool {
	for _, part := range s.Quorums() {
		if Count(part, is) < Majority(len(part)) {
			return false
		}
	}
	return true
}

// ID names the set: who goes by another has no vote in it.
func (s Set) ID() uint64 {
	text := strings.Join(slices.Sorted(slices.Values(s.New)), "\n")
	if s.GroupID == 0 {
		return xxhash.Sum64String(text)
	}
	room := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, s.GroupID), s.Epoch)
	return xxhash.Sum64(append(room, text...))
}

// Supersedes tells whether this set stands in place of another: an agreed one does in place of a file's, a later one of an earlier one of the
// same agreement. Of two foundings neither does.
func (s Set) Supersedes(o Set) bool {
	return s.GroupID != 0 && (o.GroupID == 0 || s.GroupID == o.GroupID && s.Epoch > o.Epoch)
}

// Valid tells whether a set that came from elsewhere can be one.
func (s Set) Valid() bool {
	return s.GroupID != 0 && len(s.New) > 0 && len(s.New) <= MaxReplicas && len(s.Old) <= MaxReplicas
}

// MaxReplicas is the most keepers that a set may have.
const MaxReplicas = 9

// Majority is how many of so many decide.
func Majority(n int) int { return n/2 + 1 }

// ReadQuorum is how many of so many have one in common with each majority of them.
func ReadQuorum(n int) int { return n - Majority(n) + 1 }

// Count counts for how many names something is so.
func Count(names []string, is func(string) bool) (n int) {
	for _, k := range names {
		if is(k) {
			n++
		}
	}
	return n
}
