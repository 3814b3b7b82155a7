// Package operatorstate tracks the operator state of each scheduler of a cluster: the settings that a
// scheduler uses, and whether its clients are drained. The schedulers send each other their states. The
// package does no I/O and reads no clock.
package operatorstate

import (
	"maps"
	"slices"
)

const maxMembers = 4096 // other schedulers; also the default limit of a membership view

// State is the operator state that a scheduler reports about itself.
type State struct {
	SettingsHash   uint64 `cbor:"1,keyasint,omitzero"` // hash of the settings that all schedulers should use
	ClientsDrained bool   `cbor:"2,keyasint,omitzero"` // the scheduler sends its clients to other schedulers
	Sequence       uint64 `cbor:"3,keyasint,omitzero"` // increases with each change of the state
}

// memberState is the newest state of a member, and the incarnation that reported it.
type memberState struct {
	state       State
	incarnation uint64
}

// newerThan reports whether a state replaces another state. The state of a later incarnation replaces the
// state of an earlier incarnation. Within one incarnation, the state with the greater sequence number
// replaces the other.
func (m memberState) newerThan(other memberState) bool {
	if m.incarnation != other.incarnation {
		return m.incarnation > other.incarnation
	}
	return m.state.Sequence > other.state.Sequence
}

// Registry contains the state of this scheduler and the known states of other schedulers. It is not safe for
// concurrent use.
type Registry struct {
	own    State
	ownSet bool
	byName map[string]memberState
}

// New returns a Registry without states of other schedulers. The sequence number of this scheduler's state
// begins at start, which must be greater for a successor than for its predecessor.
func New(start uint64) *Registry {
	return &Registry{own: State{Sequence: start}, byName: map[string]memberState{}}
}

// SetOwn sets the state of this scheduler. It reports whether the state has changed, in which case all other
// schedulers must be notified.
func (b *Registry) SetOwn(settings uint64, clientsDrained bool) bool {
	if b.ownSet && b.own.SettingsHash == settings && b.own.ClientsDrained == clientsDrained {
		return false
	}
	b.ownSet = true
	b.own = State{
		SettingsHash:   settings,
		ClientsDrained: clientsDrained,
		Sequence:       b.own.Sequence + 1,
	}
	return true
}

// Own returns the state of this scheduler.
func (b *Registry) Own() State { return b.own }

// Receive stores the state that an incarnation of a member reports, if it is newer than the known state.
func (b *Registry) Receive(name string, incarnation uint64, state State) {
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

// Forget deletes the state of a member whose process has ended.
func (b *Registry) Forget(name string) { delete(b.byName, name) }

// DifferingMembers returns the sorted names of the members whose settings differ from those of this
// scheduler.
func (b *Registry) DifferingMembers() []string {
	return b.namesWhere(func(s State) bool { return s.SettingsHash != b.own.SettingsHash })
}

// DrainedMembers returns the sorted names of the members whose clients are drained.
func (b *Registry) DrainedMembers() []string {
	return b.namesWhere(func(s State) bool { return s.ClientsDrained })
}

func (b *Registry) namesWhere(holds func(State) bool) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(b.byName)) {
		if holds(b.byName[name].state) {
			names = append(names, name)
		}
	}
	return names
}
