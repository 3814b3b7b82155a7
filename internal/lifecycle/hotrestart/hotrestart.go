// Package hotrestart has the messages of a hot restart between a process and its successor, and the rules by
// which the two share resources. Both processes serve for a while. The package does no input or output;
// package transfer carries the messages.
package hotrestart

import (
	"encoding/json"
	"time"
)

// State is the data that a predecessor hands over along with its sockets. The successor can't read it from
// the configuration.
type State struct {
	Version int `json:"version"`

	// DescriptorLimit is the number of descriptors that the successor may use until the predecessor has ended.
	DescriptorLimit int `json:"sockets"`
	// ClockOffset is the offset of the predecessor's clock, to which all times in the state refer; see
	// clock.Clock.
	ClockOffset time.Duration `json:"offset"`

	KnownWorkers json.RawMessage `json:"known"`   // the endpoint list, in discovery's format
	WorkerStarts json.RawMessage `json:"starts"`  // the state of discovery.StartTimes
	Learned      json.RawMessage `json:"learned"` // state of the reducer; empty if the reducer did not answer

	// ClientsDrained says whether an operator has started a client drain.
	ClientsDrained bool `json:"drained"`
	// Successions is the number of consecutive hot restarts up to this one, plus two for each successor that
	// ended early. Replication makes it part of the incarnation of the successor.
	Successions uint64 `json:"heirs"`
	// Membership is the state of the mesh, empty if there is no mesh. The two sockets of the mesh are the
	// last of the sockets that are handed over.
	Membership []byte `json:"members"`
	// EndedProcesses says, for replication, which processes before the predecessor have ended. Older builds
	// do not send it.
	EndedProcesses json.RawMessage `json:"ended,omitempty"`
	// AnnouncesOps says whether the predecessor announces the ops that it admits after this state. Older builds
	// do not.
	AnnouncesOps bool `json:"announces,omitempty"`
}

// Encode returns the state as a message.
func (s State) Encode() ([]byte, error) {
	s.Version = formatVersion
	return encode(s)
}

// DecodeState decodes a message with a state.
func DecodeState(message []byte) (State, error) {
	var s State
	if err := decode(message, &s, &s.Version); err != nil {
		return State{}, err
	}
	if s.DescriptorLimit <= 0 {
		return State{}, ErrNoDescriptors
	}
	return s, nil
}
