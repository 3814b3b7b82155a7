package dispatch

// OpSpec is what a client asks for.
type OpSpec struct {
	Category      int           // its place, as SetCategories returned it
	TTL           Time          // the moment at which the client gives up
	Slots, Memory float64       // what the job takes at a worker
	Work          Time          // the expected service time; 0 where unknown
	AffinityKey   uint64        // of data that workers keep or must fetch, hashed; 0 without
	PriorAttempt  *PriorAttempt // nil where no other scheduler may have run the op
}

// PriorAttempt is an attempt of another scheduler that may have run.
type PriorAttempt struct {
	Zone, Group int // where it ran; -1 where that is not known here
	StartedAt   Time
}

// WorkerEntry is one worker in an endpoint list.
type WorkerEntry struct {
	Zone, Group  int // Group is the worker group; none spans two zones
	Ready        bool
	StartedAt    Time   // when its process started; 0 where that is long ago
	IdentityHash uint64 // of its name; schedulers must hash names alike
	MachineKind  int
}
