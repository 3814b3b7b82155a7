package hotrestart

import (
	"errors"
	"testing"
)

// Half a message, or one of another build, must leave the second process to start as if it were alone.
func TestWhatCanNotBeReadIsNoState(t *testing.T) {
	whole, err := State{Sockets: 288, KnownWorkers: []byte(`{"rev":7}`)}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if s, err := DecodeState(whole); err != nil || s.Sockets != 288 || string(s.KnownWorkers) != `{"rev":7}` {
		t.Errorf("%+v, %v", s, err)
	}
	for _, text := range []string{"", string(whole[:len(whole)/2]), `{"version":4,"sockets":9}`, `{"version":2,"sockets":9}`, `{"version":3}`, `[]`} {
		if _, err := DecodeState([]byte(text)); err == nil {
			t.Errorf("%q was read", text)
		}
	}
}

// Both processes together may hold no more than one scheduler.
func TestDescriptorsAreParted(t *testing.T) {
	for _, c := range [][4]int{{384, 70 - 32, 32, 192}, {384, 250 - 32, 32, 250}, {384, 380 - 32, 32, 272}, {64, 0, 32, 32}, {128, 90, 36, 78},
		{128, 90, 73, 64}, {129, 0, 73, 64}} {
		predecessor, successor := SplitDescriptors(c[0], c[1], c[2])
		if predecessor != c[3] || predecessor+successor != c[0] ||
			successor < min(c[2], c[0]/2) || predecessor < min(c[2], c[0]/2) {
			t.Errorf("%d with %d held, %d needed: %d and %d", c[0], c[1], c[2], predecessor, successor)
		}
	}
}

// Whatever comes over the line is a state that can be sent on as it is, or an error.
func FuzzState(f *testing.F) {
	f.Add([]byte(`{"version":3,"sockets":288,"known":{"rev":7},"drained":true}`))
	f.Add([]byte(`{"version":3,"sockets":1e99}`))
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := DecodeState(text)
		if err != nil {
			return
		}
		again, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if s2, err := DecodeState(again); err != nil || s2.Sockets != s.Sockets || s2.ClientsDrained != s.ClientsDrained {
			t.Errorf("%q came through as %+v, %v", text, s2, err)
		}
	})
}

// One customer's scheduler must not take up another's: its listening socket, workers, ids and what was
// learned of them.
func TestOnlyAReplacementMayTakeOver(t *testing.T) {
	was := Request{Name: "n1", Listen: "127.0.0.1:9000", Discovery: "127.0.0.1:8500", Settings: 7}
	for name, x := range map[string]struct {
		change func(*Request)
		may    bool
	}{
		"the same":            {func(*Request) {}, true},
		"other settings":      {func(a *Request) { a.Settings++ }, true},
		"discovery has moved": {func(a *Request) { a.Discovery += "1" }, true},
		"both":                {func(a *Request) { a.Settings++; a.Discovery += "1" }, false},
		"another name":        {func(a *Request) { a.Name = "n2" }, false},
		"another address":     {func(a *Request) { a.Listen += "1" }, false},
	} {
		now := was
		x.change(&now)
		text, err := now.Encode()
		if err != nil {
			t.Fatal(err)
		}
		read, err := DecodeRequest(text)
		if err != nil {
			t.Fatal(err)
		}
		if no := read.CheckSuccessorOf(was); (no == nil) != x.may {
			t.Errorf("%s: %v", name, no)
		}
		for _, torn := range []string{string(text[:len(text)/2]), `{"version":1,"name":"n1"}`, ""} {
			if _, err := DecodeRequest([]byte(torn)); err == nil {
				t.Errorf("%q was read", torn)
			}
		}
	}
}

// Who reads the log has to tell another build from another scheduler, and both from another deployment.
func TestRefusalsAreTyped(t *testing.T) {
	var version *VersionError
	if _, err := DecodeRequest([]byte(`{"version":2}`)); !errors.As(err, &version) || *version != (VersionError{Got: 2, Want: 3}) {
		t.Errorf("another version: %v", err)
	}
	if _, err := DecodeState([]byte(`{"version":3}`)); !errors.Is(err, ErrNoDescriptors) {
		t.Errorf("no descriptors: %v", err)
	}
	predecessor := Request{Name: "n1", Listen: "a:1", Discovery: "a:2", Settings: 7}
	var mismatch *MismatchError
	err := Request{Name: "n2", Listen: "a:1"}.CheckSuccessorOf(predecessor)
	if !errors.As(err, &mismatch) || *mismatch != (MismatchError{Field: "name", Successor: "n2", Predecessor: "n1"}) {
		t.Errorf("another name: %v", err)
	}
	if err := (Request{Name: "n1", Listen: "a:1"}).CheckSuccessorOf(predecessor); !errors.Is(err, ErrOtherDeployment) {
		t.Errorf("another deployment: %v", err)
	}
}
