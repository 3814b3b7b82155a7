// Package hotrestart has the messages between a process and its successor, which serves beside it for a
// while, and the rules by which the two share what only one may use. It does no input or output; package
// transfer carries the messages.
package hotrestart

import (
	"encoding/json"
	"time"
)

// State is what a predecessor hands over beside its sockets: what its successor can't read in the
// configuration.
type State struct {
	Version int `json:"version"`

	// Sockets is how many descriptors the successor may use until the predecessor has ended.
	Sockets int `json:"sockets"`
	// ClockOffset is that of the predecessor's clock, to which all moments refer; see clock.Clock.
	ClockOffset time.Duration `json:"offset"`

	KnownWorkers json.RawMessage `json:"known"`   // the endpoint list in discovery's form
	WorkerStarts json.RawMessage `json:"starts"`  // of discovery.StartTimes
	Learned      json.RawMessage `json:"learned"` // of the reducer; empty where it could not be asked

	// ClientsDrained tells whether operators have drained the clients.
	ClientsDrained bool `json:"drained"`
	// Successions counts the hot restarts in a row before this one, for replication.
	Successions uint64 `json:"heirs"`
	// Membership is the state of the mesh, whose two sockets come last; empty where there is none.
	Membership []byte `json:"members"`
	// EndedProcesses is of replication: which processes before the predecessor have ended. Older builds do not
	// send it.
	EndedProcesses json.RawMessage `json:"ended,omitempty"`
}

// Encode returns the message with the state.
func (s State) Encode() ([]byte, error) {
	s.Version = formatVersion
	return encode(s)
}

// DecodeState reads the message with a state.
func DecodeState(message []byte) (State, error) {
	var s State
	if err := decode(message, &s, &s.Version); err != nil {
		return State{}, err
	}
	if s.Sockets <= 0 {
		return State{}, ErrNoDescriptors
	}
	return s, nil
}
