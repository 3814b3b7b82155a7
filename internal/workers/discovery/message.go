package discovery

import (
	"errors"

	"woaddyke/internal/scheduler/reducer"
)

// States of a worker in a message of discovery.
const (
	stateServing = "SERVING"
	stateDeleted = "DELETED" // the worker has left the endpoint list; among changes only
)

// errIncompleteObject ends a watch: what such an object changes can't be known.
var errIncompleteObject = errors.New("an object lacks its version, or a complete list its workers")

// EndpointList is an endpoint list in discovery's form: a snapshot, or the changes since the one before.
type EndpointList struct {
	Rev     int64    `json:"rev"` // the version of the list
	All     bool     `json:"all"` // a snapshot
	Targets []target `json:"targets"`
}

// target is one worker's entry.
type target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"` // host:port
	AZ       string `json:"az"`
	PodGroup int    `json:"pod_group"`
	Model    string `json:"model"` // the kind of machine
	State    string `json:"state"`
	BootMS   int64  `json:"boot_ms"` // Unix milliseconds at which the process started; 0 for unknown
}

// EndpointsChanged converts the message to the reducer's input.
func (m *EndpointList) EndpointsChanged(starts *StartTimes) reducer.EndpointsChanged {
	input := reducer.EndpointsChanged{Snapshot: m.All, Revision: m.Rev}
	for i := range m.Targets {
		t := &m.Targets[i]
		if t.UID == "" {
			continue // no later message could say that it has left
		}
		input.Endpoints = append(input.Endpoints, reducer.Endpoint{
			Worker:      t.UID,
			Addr:        t.Endpoint,
			Zone:        t.AZ,
			MachineKind: t.Model,
			WorkerGroup: t.PodGroup,
			Ready:       t.State == stateServing,
			Removed:     t.State == stateDeleted,
			BootID:      t.BootMS,
			StartedAt:   starts.startedAt(t),
		})
	}
	return input
}

// watchEvent is one object of a watch, in which a missing key differs from an empty value.
type watchEvent struct {
	Rev     *int64    `json:"rev"`
	All     bool      `json:"all"`
	Targets *[]target `json:"targets"`
}

// message returns the event as a list. A snapshot without entries is an error: it would remove all
// workers.
func (e *watchEvent) message() (*EndpointList, error) {
	if e.Rev == nil || e.All && e.Targets == nil {
		return nil, errIncompleteObject
	}
	m := &EndpointList{Rev: *e.Rev, All: e.All}
	if e.Targets != nil {
		m.Targets = *e.Targets
	}
	return m, nil
}
