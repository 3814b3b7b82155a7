package replication

import "woaddyke/internal/cluster/replicaset"

// Input is one of MessageReceived, Tick, ClaimRequest, MayHaveRun, OpEnded, Membership, PeerStatus,
// PeerProcess, ProcessEnded, AdoptSet, PersistFailed and StateReloaded.
type Input interface{ input() }

// MessageReceived is a message from another member, or from this process itself.
type MessageReceived struct {
	From string
	Message
}

// Tick states that the time returned by NextTick has been reached.
type Tick struct{}

// ClaimRequest asks whether an op may be pushed.
type ClaimRequest struct {
	RequestID   uint64 // chosen by the caller, never used twice, less than boundClaimFlag
	Key         string
	Fingerprint uint64 // request fingerprint
	Timeout     Time   // maximum wait for the decision
	DedupWindow Time   // time after the first push for which a worker group drops repeats of the op; 0: none
}

// MayHaveRun states that a granted op may have run in a worker group that drops repeats. The group is that of
// the first push that can no longer be proved not to have run the op.
type MayHaveRun struct {
	RequestID uint64
	Group     string
}

// OpEnded states how a granted op ended.
type OpEnded struct {
	RequestID      uint64
	NeverRan       bool // it is proved that the op did not run: its key may be claimed again
	Abandoned      bool // the op may have run, has no answer and is not pushed again; its group may get a repeat
	HTTPStatus     uint16
	Result         []byte
	ResultRetained bool
}

// Membership states whether this process is a member, and as which incarnation.
type Membership struct {
	Serving    bool
	Generation uint64
	Nonce      uint64 // orders the incarnations of one generation as the members do; 0: Config.Nonce
}

// PeerStatus states whether another scheduler is dead. Replicas grant claims regardless of the status. It
// affects only the answers to clients, the binding of claims to worker groups, and the members to which
// reports and replica sets are sent.
type PeerStatus struct {
	Name string
	Dead bool // it gets no messages any more
	// Leaving says that a member with Dead set has left by itself. It may still push and answer ops for
	// Config.LeaveTime.
	Leaving bool
}

// PeerProcess states which process of another scheduler the members know.
type PeerProcess struct {
	Name    string
	Process Incarnation
}

// ProcessEnded states that another process of this scheduler has ended: the predecessor in a hot restart, or
// a successor that failed.
type ProcessEnded struct{ Process Incarnation }

// AdoptSet states that a replica set has been agreed on.
type AdoptSet struct{ replicaset.Set }

// PersistFailed states that records are no longer durable: this replica has no vote from now on.
type PersistFailed struct {
	Keys []string // keys of the records that were not persisted
}

// StateReloaded states that records are durable again after PersistFailed. It contains the persisted records,
// as the arguments of Restore do.
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
