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

// LoadReport is a worker's report of its load; a value below 0 was not reported.
type LoadReport struct{ RunningJobs, QueuedJobs, FreeSlots, FreeMemory float64 }

// Progress is what a worker reports of an attempt in flight. The zero value says that the job is running
// on.
type Progress struct {
	Acknowledged bool // the worker has the attempt, and nothing is said of its job
	Started      bool // the job has started
}

// Outcome is how an attempt ended.
type Outcome int

// Rejected, Unreachable, NotSent and LocalExhaustion prove that the attempt never ran; after the others
// it may have.
const (
	Succeeded Outcome = iota
	Failed
	Rejected
	TimedOut
	Unreachable
	ConnectionLost
	Cancelled
	NotSent
	LocalExhaustion // not sent, as this machine lacked a descriptor, a port or memory
	InvalidRequest  // the worker says that the op itself is at fault
)

// heardFromWorker reports whether an outcome shows that the worker said something.
func (o Outcome) heardFromWorker() bool {
	return o != TimedOut && o != Cancelled && o != NotSent && o != LocalExhaustion
}

// neverRan reports whether an outcome proves that the worker did not run the attempt. Succeeded is no
// question.
func (o Outcome) neverRan() bool {
	return o == Rejected || o == NotSent || o == Unreachable || o == LocalExhaustion
}

// workerAtFault reports whether an outcome counts against the worker.
func (o Outcome) workerAtFault() bool {
	return o == Failed || o == TimedOut || o == ConnectionLost || o == Unreachable
}
