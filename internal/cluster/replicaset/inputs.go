package replicaset

// Input is an input of Core.Step. The inputs are the types in this file.
type Input interface{ input() }

// MessageReceived is a message from another member.
type MessageReceived struct {
	From string
	Message
}

// Tick reports that the time returned by NextTick has come.
type Tick struct{}

// Membership reports whether this process takes part in the cluster as a member.
type Membership struct{ Serving bool }

// PeerStatus reports whether another member is alive, as this process sees it.
type PeerStatus struct {
	Name  string
	Alive bool
}

// ChangeRequest is a request of operators to change the set. Any scheduler accepts the request.
type ChangeRequest struct {
	RequestID uint64 // unique, chosen by the caller
	Epoch     uint64 // epoch of the set that the operators saw
	Replicas  []string
}

// ReplicaSetLearned is a set that another member announced.
type ReplicaSetLearned struct{ Set }

// ReplicasReady reports that a majority of the new replicas of an epoch has caught up with the old replicas.
type ReplicasReady struct{ Epoch uint64 }

// PersistFailed reports that a state could not be persisted.
type PersistFailed struct{}

// StateReloaded reports that states can be persisted again after PersistFailed. It contains the persisted
// state.
type StateReloaded struct{ State }

func (MessageReceived) input()   {}
func (Tick) input()              {}
func (Membership) input()        {}
func (PeerStatus) input()        {}
func (ChangeRequest) input()     {}
func (ReplicaSetLearned) input() {}
func (ReplicasReady) input()     {}
func (PersistFailed) input()     {}
func (StateReloaded) input()     {}
