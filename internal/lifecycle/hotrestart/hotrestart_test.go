package hotrestart

import (
	"errors"
	"testing"
)

// A truncated state, or one of another version, must be rejected. The successor then starts without a
// handover.
func TestAnUnreadableStateIsRejected(t *testing.T) {
	complete, err := State{DescriptorLimit: 288, KnownWorkers: []byte(`{"rev":7}`)}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if s, err := DecodeState(complete); err != nil || s.DescriptorLimit != 288 || string(s.KnownWorkers) != `{"rev":7}` {
		t.Errorf("%+v, %v", s, err)
	}
	for _, text := range []string{"", string(complete[:len(complete)/2]), `{"version":4,"sockets":9}`, `{"version":2,"sockets":9}`, `{"version":3}`, `[]`} {
		if _, err := DecodeState([]byte(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

// Both processes together may use no more descriptors than one scheduler, and each gets as many as it needs.
func TestDescriptorsAreSplitWithinTheTotal(t *testing.T) {
	// Each case has the total, the descriptors in use, those that a process needs, and the predecessor's part.
	for _, c := range [][4]int{{384, 70 - 32, 32, 192}, {384, 250 - 32, 32, 250}, {384, 380 - 32, 32, 272}, {64, 0, 32, 32}, {128, 90, 36, 78},
		{128, 90, 73, 64}, {129, 0, 73, 64}} {
		predecessor, successor := SplitDescriptors(c[0], c[1], c[2])
		if predecessor != c[3] || predecessor+successor != c[0] ||
			successor < min(c[2], c[0]/2) || predecessor < min(c[2], c[0]/2) {
			t.Errorf("%d with %d in use, %d needed per process: split into %d and %d", c[0], c[1], c[2], predecessor, successor)
		}
	}
}

// Any message is decoded to a state that can be encoded again unchanged, or is rejected.
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
		if s2, err := DecodeState(again); err != nil || s2.DescriptorLimit != s.DescriptorLimit || s2.ClientsDrained != s.ClientsDrained {
			t.Errorf("%q was decoded again as %+v, %v", text, s2, err)
		}
	})
}

// A scheduler of one deployment must not take over the listening socket, workers, ids and learned state of
// another deployment's scheduler.
func TestARequestOfAnotherSchedulerIsRejected(t *testing.T) {
	predecessor := Request{Name: "n1", Listen: "127.0.0.1:9000", Discovery: "127.0.0.1:8500", Settings: 7}
	for name, c := range map[string]struct {
		change   func(*Request)
		accepted bool
	}{
		"the same":            {func(*Request) {}, true},
		"other settings":      {func(a *Request) { a.Settings++ }, true},
		"discovery has moved": {func(a *Request) { a.Discovery += "1" }, true},
		"both":                {func(a *Request) { a.Settings++; a.Discovery += "1" }, false},
		"another name":        {func(a *Request) { a.Name = "n2" }, false},
		"another address":     {func(a *Request) { a.Listen += "1" }, false},
	} {
		successor := predecessor
		c.change(&successor)
		text, err := successor.Encode()
		if err != nil {
			t.Fatal(err)
		}
		read, err := DecodeRequest(text)
		if err != nil {
			t.Fatal(err)
		}
		if err := read.CheckSuccessorOf(predecessor); (err == nil) != c.accepted {
			t.Errorf("%s: error %v", name, err)
		}
		for _, malformed := range []string{string(text[:len(text)/2]), `{"version":1,"name":"n1"}`, ""} {
			if _, err := DecodeRequest([]byte(malformed)); err == nil {
				t.Errorf("%q was accepted", malformed)
			}
		}
	}
}

// A refused request or state gets an error that distinguishes another version, another scheduler and another
// deployment. Operators read it in the log.
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
