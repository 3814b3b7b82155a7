package replication

import "woaddyke/internal/cluster/replicaset"

// Input is one of MessageReceived, Tick, ClaimRequest, MayHaveRun, OpEnded, Membership, PeerStatus, PeerProcess,
// ProcessEnded, AdoptSet, PersistFailed and StateReloaded.
type Input interface{ input() }

// MessageReceived is a message of another member, or of this process itself.
type MessageReceived struct {
	From string
	Message
}

// Tick says that the moment of NextTick has come.
type Tick struct{}

// ClaimRequest asks whether an op may be pushed.
type ClaimRequest struct {
	RequestID   uint64 // the caller's own, never used twice, below boundClaimFlag
	Key         string
	Fingerprint uint64 // of the request
	Timeout     Time   // for the decision
	Window      Time   // for which a worker group drops repeats of the op after its first push; 0: for none
}

// MayHaveRun says that a granted op may have run in a worker group that drops repeats. It is said of the
// first push that is not proved to have run nowhere, once that cannot be proved any more.
type MayHaveRun struct {
	RequestID uint64
	Group     string
}

// OpEnded says how a granted op ended.
type OpEnded struct {
	RequestID      uint64
	NeverRan       bool // it is proved that nothing ran: the id may be claimed again
	Abandoned      bool // it is pushed no more and may have run, without an answer: its group may repeat it
	Verdict        uint16
	Result         []byte
	ResultRetained bool
}

// Membership says whether this process is a member, and as which incarnation.
type Membership struct {
	Serving    bool
	Generation uint64
	Nonce      uint64 // tells incarnations of one generation apart, in the members' order; 0: Config.Nonce
}

// PeerStatus says whether another scheduler is dead. It changes what a client is answered, and nothing else.
type PeerStatus struct {
	Name string
	Dead bool
}

// PeerProcess says as which process the members know another scheduler.
type PeerProcess struct {
	Name    string
	Process Incarnation
}

// ProcessEnded says that another process of this scheduler has ended: the predecessor in a hot restart, or a
// successor that failed.
type ProcessEnded struct{ Process Incarnation }

// AdoptSet says that a replica set has been agreed.
type AdoptSet struct{ replicaset.Set }

// PersistFailed says that records are not durable any more: this replica has no vote from now on.
type PersistFailed struct {
	Keys []string // of records that were to be persisted and were not
}

// StateReloaded says that records are durable again after PersistFailed, and brings those that are persisted
// by now, as Restore does.
type StateReloaded struct {
	Records     []Record
	Incarnation Incarnation
	Cursors     []ReplicationCursor
}

func (MessageReceived) input() {}
func (Tick) input()            {}
func (ClaimRequest) input()    {}
func (MayHaveRun) input()      {}
func (OpEnded) input()         {}
func (Membership) input()      {}
func (PeerStatus) input()      {}
func (PeerProcess) input()     {}
func (ProcessEnded) input()    {}
func (AdoptSet) input()        {}
func (PersistFailed) input()   {}
func (StateReloaded) input()   {}
