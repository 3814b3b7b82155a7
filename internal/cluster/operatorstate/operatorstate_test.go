package operatorstate

import (
	"fmt"
	"slices"
	"testing"
)

// SetOwn must report every change and nothing else. After a change the scheduler sends its state to all
// others.
func TestSetOwnReportsChanges(t *testing.T) {
	b := New(0)
	for i, c := range []struct {
		settings uint64
		drained  bool
		changed  bool
	}{{7, false, true}, {7, false, false}, {7, true, true}} {
		if got := b.SetOwn(c.settings, c.drained); got != c.changed {
			t.Errorf("change %d: %v, want %v", i, got, c.changed)
		}
	}
	if want := (State{SettingsHash: 7, ClientsDrained: true, Sequence: 2}); b.Own() != want {
		t.Errorf("own state %+v, want %+v", b.Own(), want)
	}
}

// States can arrive late, twice, or from incarnations that have ended. Only the state with the latest
// incarnation and sequence number counts.
func TestNewestStateIsKept(t *testing.T) {
	b := New(0)
	b.SetOwn(7, true)
	for _, c := range []struct {
		incarnation uint64
		state       State
	}{{2, State{8, true, 3}}, {2, State{7, false, 2}}, {1, State{9, false, 9}}, {2, State{9, false, 3}}} {
		b.Receive("n", c.incarnation, c.state)
	}
	if !slices.Equal(b.DifferingMembers(), []string{"n"}) || !slices.Equal(b.DrainedMembers(), []string{"n"}) {
		t.Errorf("an older state is kept: %v, %v", b.DifferingMembers(), b.DrainedMembers())
	}
	b.Receive("n", 3, State{7, false, 1})
	if len(b.DifferingMembers())+len(b.DrainedMembers()) > 0 {
		t.Errorf("a later incarnation is ignored: %v, %v", b.DifferingMembers(), b.DrainedMembers())
	}
	b.Receive("m", 1, State{6, false, 1})
	b.Forget("m")
	if len(b.DifferingMembers()) > 0 {
		t.Error("a forgotten member still differs")
	}
}

// States under arbitrary names must not use unbounded memory, or displace the state of a known member.
func TestOtherMembersAreBounded(t *testing.T) {
	b := New(0)
	for i := range 2 * maxMembers {
		b.Receive(fmt.Sprintf("n%05d", i), 1, State{SettingsHash: 1, Sequence: 1})
	}
	b.Receive("n00000", 1, State{SettingsHash: 1, ClientsDrained: true, Sequence: 2})
	if got := len(b.DifferingMembers()); got != maxMembers {
		t.Errorf("%d members are known, want %d", got, maxMembers)
	}
	if !slices.Equal(b.DrainedMembers(), []string{"n00000"}) {
		t.Errorf("the state of a known member was not updated: drained %v", b.DrainedMembers())
	}
}
