package dispatch

// OpSpec describes a new op.
type OpSpec struct {
	Category      int           // index returned by SetCategories
	TTL           Time          // time at which the client gives up
	Slots, Memory float64       // resources that the job takes at a worker
	Work          Time          // expected service time; 0 if unknown
	AffinityKey   uint64        // hash of the key of the data that workers keep or fetch for the job; 0 if none
	PriorAttempt  *PriorAttempt // nil if no other scheduler may have run the op
}

// PriorAttempt is another scheduler's attempt that may have run.
type PriorAttempt struct {
	Zone, Group int // of the attempt's worker; -1 if this scheduler does not know them
	StartedAt   Time
}

// WorkerEntry is one worker in an endpoint list.
type WorkerEntry struct {
	Zone, Group  int // Group is the worker group, which lies within one zone
	Ready        bool
	StartedAt    Time   // when its process started; 0 if long ago
	IdentityHash uint64 // hash of its name, which must be the same at every scheduler
	MachineKind  int
}

// LoadReport is a worker's report of its load. A value below 0 means that the worker did not report it.
type LoadReport struct{ RunningJobs, QueuedJobs, FreeSlots, FreeMemory float64 }

// Progress is a worker's report on an attempt in flight. The zero value means that the job is still
// running.
type Progress struct {
	Acknowledged bool // the worker has received the attempt; this says nothing about its job
	Started      bool // the job has started
}

// Outcome is how an attempt or a probe ended.
type Outcome int

// Rejected, Unreachable, NotSent and LocalExhaustion prove that the attempt never ran. After any other
// outcome it may have run.
const (
	Succeeded Outcome = iota
	Failed
	Rejected
	TimedOut
	Unreachable
	ConnectionLost
	Cancelled
	NotSent
	LocalExhaustion // not sent because this machine lacked a file descriptor, a port or memory
	InvalidRequest  // the worker reports that the op itself is invalid
)

// heardFromWorker reports whether an outcome counts as a message from the worker.
func (o Outcome) heardFromWorker() bool {
	return o != TimedOut && o != Cancelled && o != NotSent && o != LocalExhaustion
}

// neverRan reports whether an outcome proves that the worker did not run the attempt.
func (o Outcome) neverRan() bool {
	return o == Rejected || o == NotSent || o == Unreachable || o == LocalExhaustion
}

// workerAtFault reports whether an outcome counts against the worker.
func (o Outcome) workerAtFault() bool {
	return o == Failed || o == TimedOut || o == ConnectionLost || o == Unreachable
}
