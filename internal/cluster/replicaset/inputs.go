package replicaset

// Input is one of MessageReceived, Tick, Membership, PeerStatus, ChangeRequest, SetLearned, ReplicasReady,
// PersistFailed and StateReloaded.
type Input interface{ input() }

// MessageReceived is a message of another member.
type MessageReceived struct {
	From string
	Message
}

// Tick says that the moment of NextTick has come.
type Tick struct{}

// Membership says whether this process is a member.
type Membership struct{ Serving bool }

// PeerStatus says whether another member is alive, as this process sees it.
type PeerStatus struct {
	Name  string
	Alive bool
}

// ChangeRequest is a change of the set that operators request, at any scheduler.
type ChangeRequest struct {
	RequestID uint64 // the caller's own, never used twice
	Epoch     uint64 // of the set that they saw
	Replicas  []string
}

// SetLearned is a set that other members announced.
type SetLearned struct{ Set }

// ReplicasReady says that a majority of the new replicas of an epoch know what the old ones knew.
type ReplicasReady struct{ Epoch uint64 }

// PersistFailed says that a state could not be persisted.
type PersistFailed struct{}

// StateReloaded says that states are durable again after PersistFailed, and brings the one that is persisted
// by now.
type StateReloaded struct{ State }

func (MessageReceived) input() {}
func (Tick) input()            {}
func (Membership) input()      {}
func (PeerStatus) input()      {}
func (ChangeRequest) input()   {}
func (SetLearned) input()      {}
func (ReplicasReady) input()   {}
func (PersistFailed) input()   {}
func (StateReloaded) input()   {}
