// Package hotrestart is what a process tells the one that takes its place while both run, and how they share what only one
// may use. It does no input or output.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

const formatVersion = 3 // of State and Asker: a process hands nothing to one that reads it otherwise

// State is what the giver knows and its heir can't read in the configuration.
type State struct {
	Version        int             `json:"version"`
	Sockets        int             `json:"sockets"` // descriptors that the heir may use until the giver has ended
	ClockOffset    time.Duration   `json:"offset"`  // of the giver's clock, by which the moments in here are: see clock.Clock
	KnownWorkers   json.RawMessage `json:"known"`   // the workers as of now, in discovery's form
	WorkerStarts   json.RawMessage `json:"starts"`  // when they started, as roster.Starts knows
	Learned        json.RawMessage `json:"learned"` // what ops.Learned says, empty where nothing could be asked
	ClientsDrained bool            `json:"drained"` // its staff have sent its clients away
	Successions    uint64          `json:"heirs"`   // processes that were heirs before this one, of copies
	Membership     []byte          `json:"members"` // what it is to other schedulers; its two sockets come last. Empty: nothing
}

func encode(of any) ([]byte, error) {
	b, err := json.Marshal(of)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return b, nil
}

// decode reads what came, of this form alone.
func decode(text []byte, into any, form *int) error {
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if *form != formatVersion {
		return fmt.Errorf("handover: version %d, this process reads %d", *form, formatVersion)
	}
	return nil
}

// Request is who asks for a handover, and who gives one.
type Request struct {
	Version   int    `json:"version"`
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Settings  uint64 `json:"settings"` // hashed, but for what is each scheduler's own
}

// Encode are an asker as it is sent.
func (a Request) Encode() ([]byte, error) {
	a.Version = formatVersion
	return encode(a)
}

// DecodeRequest is an asker as it came.
func DecodeRequest(text []byte) (Request, error) {
	var a Request
	if err := decode(text, &a, &a.Version); err != nil {
		return Request{}, err
	}
	return a, nil
}

// CheckSuccessorOf tells whether one may take the place of another: it is the same scheduler, at the same address, with the same discovery or
// the same settings. A replacement may bring other settings, or come after discovery has moved; with both it is another
// customer's, whose clients, workers and ids are none of ours.
func (a Request) CheckSuccessorOf(b Request) error {
	switch {
	case a.Name != b.Name:
		return fmt.Errorf("handover: %q is not %q", a.Name, b.Name)
	case a.Listen != b.Listen:
		return fmt.Errorf("handover: %s is not at %s", a.Listen, b.Listen)
	case a.Discovery != b.Discovery && a.Settings != b.Settings:
		return errors.New("handover: both discovery and the settings are others: another deployment")
	}
	return nil
}

// Encode are the state as it is sent.
func (s State) Encode() ([]byte, error) {
	s.Version = formatVersion
	return encode(s)
}

// DecodeState is the state as it came.
func DecodeState(text []byte) (State, error) {
	var s State
	if err := decode(text, &s, &s.Version); err != nil {
		return State{}, err
	}
	if s.Sockets <= 0 {
		return State{}, errors.New("handover: no descriptors left")
	}
	return s, nil
}

// SplitDescriptors parts a scheduler's descriptors between a giver whose connections are so many and its heir. Each first gets what a process
// needs beside its connections; of the rest half each, as both serve for a while, but the giver keeps what it holds, as closing that
// would lose ops, up to three quarters.
func SplitDescriptors(all, held, needs int) (giver, heir int) {
	needs = min(needs, all/2)
	rest := all - 2*needs
	giver = needs + min(max(held, rest/2), rest*3/4)
	return giver, all - giver
}
