// Package operatorstate keeps what operators decided for each scheduler of a cluster, as the schedulers
// notify one another of it: the settings that a scheduler uses, and whether its clients are drained. It
// does no I/O and reads no clock.
package operatorstate

import (
	"maps"
	"slices"
)

const maxMembers = 4096 // other schedulers, as many as a view has by default

// State is what a scheduler reports of itself.
type State struct {
	Settings       uint64 `cbor:"1,keyasint,omitzero"` // hash of what should be the same everywhere
	ClientsDrained bool   `cbor:"2,keyasint,omitzero"` // its clients are sent to other schedulers
	Sequence       uint64 `cbor:"3,keyasint,omitzero"` // grows with each change of the state
}

// memberState is the newest state of a member, and the incarnation that reported it.
type memberState struct {
	state       State
	incarnation uint64
}

// newerThan tells whether a state replaces another one: of two incarnations the later one's does, and of
// one incarnation the state with the greater sequence number.
func (m memberState) newerThan(other memberState) bool {
	if m.incarnation != other.incarnation {
		return m.incarnation > other.incarnation
	}
	return m.state.Sequence > other.state.Sequence
}

// Board is what one scheduler knows of its own state and those of the others. It is not safe for concurrent
// use.
type Board struct {
	own    State
	ownSet bool
	byName map[string]memberState
}

// New returns a board that knows of no other scheduler. The sequence number of the own state begins at
// start, which must be greater for a successor than for its predecessor.
func New(start uint64) *Board {
	return &Board{own: State{Sequence: start}, byName: map[string]memberState{}}
}

// SetOwn sets the own state. It reports whether that has changed, so that all others are to be notified.
func (b *Board) SetOwn(settings uint64, clientsDrained bool) bool {
	if b.ownSet && b.own.Settings == settings && b.own.ClientsDrained == clientsDrained {
		return false
	}
	b.ownSet = true
	b.own = State{
		Settings:       settings,
		ClientsDrained: clientsDrained,
		Sequence:       b.own.Sequence + 1,
	}
	return true
}

// Own returns the own state.
func (b *Board) Own() State { return b.own }

// Receive takes the state that an incarnation of a member reports. One that is not newer than what is known
// changes nothing.
func (b *Board) Receive(name string, incarnation uint64, state State) {
	received := memberState{state: state, incarnation: incarnation}
	current, known := b.byName[name]
	if known && !received.newerThan(current) {
		return
	}
	if !known && len(b.byName) >= maxMembers {
		return
	}
	b.byName[name] = received
}

// Forget drops the state of a member that has ended.
func (b *Board) Forget(name string) { delete(b.byName, name) }

// DifferingMembers returns the names of those that use other settings than this scheduler, in order.
func (b *Board) DifferingMembers() []string {
	return b.namesWhere(func(s State) bool { return s.Settings != b.own.Settings })
}

// DrainedMembers returns the names of those whose clients are drained, in order.
func (b *Board) DrainedMembers() []string {
	return b.namesWhere(func(s State) bool { return s.ClientsDrained })
}

func (b *Board) namesWhere(holds func(State) bool) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(b.byName)) {
		if holds(b.byName[name].state) {
			names = append(names, name)
		}
	}
	return names
}
