// Package handover is what a process tells the one that takes its place while both run, and how they share what only one
// may use. It does no input or output.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
)

const version = 1 // of State: a process hands nothing to one that reads it otherwise

// State is what the giver knows and its heir can't read in the configuration.
type State struct {
	Version int             `json:"version"`
	Sockets int             `json:"sockets"` // descriptors that the heir may use until the giver has ended
	Known   json.RawMessage `json:"known"`   // the workers as of now, in discovery's form
	Learned json.RawMessage `json:"learned"` // what ops.Learned says, empty where nothing could be asked
	Drained bool            `json:"drained"` // its staff have sent its clients away
	Heirs   uint64          `json:"heirs"`   // processes that were heirs before this one, of copies
	Members []byte          `json:"members"` // what it is to other schedulers; its two sockets come last. Empty: nothing
}

// Bytes are the state as it is sent.
func (s State) Bytes() ([]byte, error) {
	s.Version = version
	text, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return text, nil
}

// Read is the state as it came.
func Read(text []byte) (State, error) {
	var s State
	if err := json.Unmarshal(text, &s); err != nil {
		return State{}, fmt.Errorf("handover: %w", err)
	}
	if s.Version != version {
		return State{}, fmt.Errorf("handover: version %d, this process reads %d", s.Version, version)
	}
	if s.Sockets <= 0 {
		return State{}, errors.New("handover: no descriptors left")
	}
	return s, nil
}

// Split parts a scheduler's descriptors between a giver that holds so many and its heir: half each, as both serve for a while;
// the giver keeps what it holds, as closing that would lose ops, up to three quarters.
func Split(all, held int) (giver, heir int) {
	giver = min(max(held, all/2), all*3/4)
	return giver, all - giver
}
