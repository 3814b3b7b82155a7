package dispatch

// DecisionKind is what the host has to do.
type DecisionKind int

const (
	// NoDecision says that nothing is to be done until the next input.
	NoDecision DecisionKind = iota
	// Push sends the op to a worker; Duration is the attempt's timeout.
	Push
	// Probe asks a worker for its load.
	Probe
	// CancelAttempt ends the attempt in flight. Its outcome is Cancelled, or what came just before.
	CancelAttempt
	// Nack answers that the op failed and that a retry is harmless; Duration is the Retry-After.
	Nack
	// DeadLetter answers that the op failed and that nothing is promised.
	DeadLetter
	// SetTimer asks for a further call after Duration, in place of what was asked for before.
	SetTimer
	// Forget frees the op's index.
	Forget
	// ReportToPeer notifies another scheduler of this one's attempts in flight at a worker.
	ReportToPeer
)

// Decision is one thing for the host to do. Fields that its kind does not name are zero.
type Decision struct {
	Kind     DecisionKind
	Op       int             // of every kind but SetTimer and ReportToPeer
	Worker   int             // of Push, Probe and ReportToPeer
	Peer     int             // the number of the scheduler that a ReportToPeer is for
	InFlight int             // attempts at the worker that a ReportToPeer says
	Duration Time            // of Push, Nack and SetTimer
	Reason   RejectionReason // of Nack and DeadLetter
}
