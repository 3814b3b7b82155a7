// Package operatorstate keeps what schedulers tell one another of what staff decided for each: which settings it runs by, and whether its clients
// are sent away. It does no input or output and reads no clock.
package operatorstate

import (
	"maps"
	"slices"
)

// State is what a scheduler says of itself. N grows with each that differs from the one before.
type State struct {
	Settings       uint64 `cbor:"1,keyasint,omitzero"` // a hash of what is the same for all where it should be
	ClientsDrained bool   `cbor:"2,keyasint,omitzero"` // its clients are sent away
	Sequence       uint64 `cbor:"3,keyasint,omitzero"`
}

// memberState is the newest word of a member, and which of its processes said so.
type memberState struct {
	state       State
	incarnation uint64
}

const maxMembers = 4096 // members, as many as a view has by default

// Board is what one scheduler knows.
type Board struct {
	own    State
	ownSet bool
	byName map[string]memberState
}

// New is a board with nothing on it. A process that takes over counts on from a later start than the one before.
func New(start uint64) *Board {
	return &Board{own: State{Sequence: start}, byName: map[string]memberState{}}
}

// SetOwn sets the own word; it tells whether that is news, which everybody should hear.
func (b *Board) SetOwn(settings uint64, away bool) bool {
	if b.ownSet && b.own.Settings == settings && b.own.ClientsDrained == away {
		return false
	}
	b.ownSet = true
	b.own = State{settings, away, b.own.Sequence + 1}
	return true
}

// Own is the own word.
func (b *Board) Own() State { return b.own }

// Receive takes another's word. One that is not newer than what is known changes nothing: of two processes of one name the later one's
// stands, and of one process the later word.
func (b *Board) Receive(name string, life uint64, w State) {
	was, known := b.byName[name]
	if !known && len(b.byName) >= maxMembers || known && (life < was.incarnation || life == was.incarnation && w.Sequence <= was.state.Sequence) {
		return
	}
	b.byName[name] = memberState{w, life}
}

// Forget forgets a member that is no more.
func (b *Board) Forget(name string) { delete(b.byName, name) }

// Others are the names of which something holds, in order.
func (b *Board) Others(holds func(State) bool) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(b.byName)) {
		if holds(b.byName[name].state) {
			names = append(names, name)
		}
	}
	return names
}

// DifferingMembers are those that run by other settings than this one.
func (b *Board) DifferingMembers() []string {
	return b.Others(func(w State) bool { return w.Settings != b.own.Settings })
}

// DrainedMembers are those whose clients are sent away.
func (b *Board) DrainedMembers() []string {
	return b.Others(func(w State) bool { return w.ClientsDrained })
}
