package discovery

import (
	"errors"

	"woaddyke/internal/scheduler/reducer"
)

// States of a worker in an endpoint list.
const (
	stateServing = "SERVING"
	stateDeleted = "DELETED" // the worker has left the endpoint list; in deltas only
)

// errIncompleteObject ends a watch, as the changes in such an object can't be determined.
var errIncompleteObject = errors.New(`object without "rev", or snapshot without "targets"`)

// EndpointList is an endpoint list in discovery's format: a snapshot, or the delta since the previous list.
type EndpointList struct {
	Rev     int64    `json:"rev"` // revision of the list
	All     bool     `json:"all"` // a snapshot
	Targets []target `json:"targets"`
}

// target is the entry of one worker.
type target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"` // host:port
	AZ       string `json:"az"`
	PodGroup int    `json:"pod_group"`
	Model    string `json:"model"` // machine kind
	State    string `json:"state"`
	BootMS   int64  `json:"boot_ms"` // start of the process in Unix milliseconds; 0 if unknown
}

// EndpointsChanged converts the list to the reducer's input.
func (m *EndpointList) EndpointsChanged(starts *StartTimes) reducer.EndpointsChanged {
	input := reducer.EndpointsChanged{Snapshot: m.All, Revision: m.Rev}
	for i := range m.Targets {
		t := &m.Targets[i]
		if t.UID == "" {
			continue // without a UID, no later delta could remove it
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

// watchEvent is one object of a watch. Its pointers distinguish a missing key from an empty value.
type watchEvent struct {
	Rev     *int64    `json:"rev"`
	All     bool      `json:"all"`
	Targets *[]target `json:"targets"`
}

// endpointList returns the list that the object contains. A snapshot without the key "targets" is an error,
// as it would remove all workers.
func (e *watchEvent) endpointList() (*EndpointList, error) {
	if e.Rev == nil || e.All && e.Targets == nil {
		return nil, errIncompleteObject
	}
	m := &EndpointList{Rev: *e.Rev, All: e.All}
	if e.Targets != nil {
		m.Targets = *e.Targets
	}
	return m, nil
}
