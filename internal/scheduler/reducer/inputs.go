package reducer

import (
	"woaddyke/dispatch"
	"woaddyke/internal/workers/outcome"
)

// Input is an event for Step: EndpointsChanged, OpArrived, ClientDisconnected, AttemptProgressed,
// AttemptEnded, ProbeEnded, PeerMessage, PeerLost, PeerJoined, TimerFired, SettingsChanged, StateRestored
// or ShutdownStarted.
type Input interface{ input() }

// Endpoint is one worker in an endpoint list.
type Endpoint struct {
	Worker, Addr string
	Zone         string
	MachineKind  string
	WorkerGroup  int
	Ready        bool
	Removed      bool          // it is in the list no more
	BootID       int64         // names its present process, as discovery does
	StartedAt    dispatch.Time // when that process started; 0: long ago
}

// EndpointsChanged is an endpoint list: a snapshot, or a delta. A cached one is from before the start.
type EndpointsChanged struct {
	Snapshot, Cached bool
	Revision         int64 // discovery's own; nothing is decided by it here
	Endpoints        []Endpoint
}

// OpArrived is a new op; the host numbers ops and never uses a number twice.
type OpArrived struct {
	Op            uint64
	ID            string // the client's own
	Category      string
	TTL           dispatch.Time // the moment at which the client gives up
	Slots, Memory float64
	Work          dispatch.Time // the expected service time
	AffinityKey   uint64        // of data that workers keep, hashed; 0 without
	PriorAttempt  *PriorAttempt // nil for an op that ran nowhere before
	Effect        string        // under which the frontend admitted it; empty where nothing depended on it
}

// PriorAttempt is where an op may have run for another scheduler, and since when.
type PriorAttempt struct {
	Group
	StartedAt dispatch.Time
}

// Group is where repeats of an op may be dropped.
type Group struct {
	Zone        string
	WorkerGroup int
}

// ClientDisconnected says that an op's client has gone.
type ClientDisconnected struct{ Op uint64 }

// AttemptProgressed is a report of a running job; with Done below 0, the worker has acknowledged the
// attempt.
type AttemptProgressed struct {
	Op      uint64
	Started bool
	Done    float64
}

// AttemptEnded is the end of an op's attempt in flight.
type AttemptEnded struct {
	Op         uint64
	Ending     outcome.Ending
	Result     []byte
	LoadReport []byte // that came with it, if any
}

// ProbeEnded is the end of a load probe.
type ProbeEnded struct {
	Probe      uint64
	Ending     outcome.Ending
	LoadReport []byte
}

// PeerMessage is another scheduler's message.
type PeerMessage struct {
	Sender int
	Text   string
}

// PeerLost says that another scheduler is dead: what it reported is void at once.
type PeerLost struct{ Peer int }

// PeerJoined says that another scheduler is new, or back as another process: it is notified of everything.
type PeerJoined struct{ Peer int }

// TimerFired says that the delay of the last SetTimer has passed.
type TimerFired struct{}

// ShutdownStarted says that all ops must have their answer by the deadline; the host sends it again at
// that moment.
type ShutdownStarted struct{ Deadline dispatch.Time }

// SettingsChanged brings other settings, of which the categories and the number of attempts are taken up.
// Ops that were admitted keep their rules, and so do those that still come for a category that is no
// longer in the settings, until RetainUntil.
type SettingsChanged struct {
	Settings    map[string]any
	RetainUntil dispatch.Time
}

func (EndpointsChanged) input()   {}
func (OpArrived) input()          {}
func (ClientDisconnected) input() {}
func (AttemptProgressed) input()  {}
func (AttemptEnded) input()       {}
func (ProbeEnded) input()         {}
func (PeerMessage) input()        {}
func (PeerLost) input()           {}
func (PeerJoined) input()         {}
func (TimerFired) input()         {}
func (SettingsChanged) input()    {}
func (ShutdownStarted) input()    {}
