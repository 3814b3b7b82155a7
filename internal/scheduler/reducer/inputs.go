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
	Removed      bool          // no longer in the list
	BootID       int64         // discovery's ID of the worker's current process
	StartedAt    dispatch.Time // when that process started; 0 if long ago
}

// EndpointsChanged is an endpoint list: a snapshot or a delta. A cached list was received before this process
// started.
type EndpointsChanged struct {
	Snapshot, Cached bool
	Revision         int64 // discovery's revision; the reducer does not use it
	Endpoints        []Endpoint
}

// OpArrived is a new op. The host numbers ops and never uses a number twice.
type OpArrived struct {
	Op            uint64
	ID            string // chosen by the client
	Category      string
	TTL           dispatch.Time // when the client stops waiting
	Slots, Memory float64
	Work          dispatch.Time // the expected service time
	AffinityKey   uint64        // hash of the key of data that workers cache; 0 if none
	PriorAttempt  *PriorAttempt // nil if no other scheduler may have run the op
	Effect        string        // category's effect at the op's admission; empty if nothing used it
}

// PriorAttempt records where and since when an op may have run for another scheduler.
type PriorAttempt struct {
	Group
	StartedAt dispatch.Time
}

// Group is a group of workers that may drop duplicates of an op.
type Group struct {
	Zone        string
	WorkerGroup int
}

// ClientDisconnected reports that an op's client has disconnected.
type ClientDisconnected struct{ Op uint64 }

// AttemptProgressed reports the progress of a job. A FractionDone below 0 means that the worker has
// acknowledged the attempt.
type AttemptProgressed struct {
	Op           uint64
	Started      bool
	FractionDone float64
}

// AttemptEnded is the end of an op's attempt in flight.
type AttemptEnded struct {
	Op         uint64
	Ending     outcome.Ending
	Result     []byte
	LoadReport []byte // empty if none came with the result
}

// ProbeEnded is the end of a load probe.
type ProbeEnded struct {
	Probe      uint64
	Ending     outcome.Ending
	LoadReport []byte
}

// PeerMessage is a message from another scheduler.
type PeerMessage struct {
	Sender int
	Text   string
}

// PeerLost reports that another scheduler is dead. Its peer reports are discarded immediately.
type PeerLost struct{ Peer int }

// PeerJoined reports that another scheduler is new or has restarted as another process. The reducer sends it
// all current peer reports.
type PeerJoined struct{ Peer int }

// TimerFired reports that the delay of the last SetTimer has passed.
type TimerFired struct{}

// ShutdownStarted reports that all ops must have their answer by the deadline. The host sends it again at the
// deadline.
type ShutdownStarted struct{ Deadline dispatch.Time }

// SettingsChanged carries new settings, of which the categories and the number of attempts are applied.
// Admitted ops keep their rules. Ops that arrive until RetainUntil for a category that is no longer in the
// settings get the rules that it had.
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

// AnnouncedID is the key of an op that another process of this scheduler has admitted.
type AnnouncedID struct {
	Key string
	TTL dispatch.Time // time left until the op's TTL
}

// IDsAnnounced reserves the IDs of ops that another process of this scheduler has admitted.
type IDsAnnounced struct{ IDs []AnnouncedID }

func (IDsAnnounced) input() {}
