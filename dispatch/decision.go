package dispatch

// DecisionKind is the kind of action that the host has to take.
type DecisionKind int

const (
	// NoDecision means that there is nothing to do until the next input.
	NoDecision DecisionKind = iota
	// Push sends the op to a worker; Duration is the attempt's timeout.
	Push
	// Probe sends a load probe to a worker.
	Probe
	// CancelAttempt cancels the attempt in flight. The attempt then ends as Cancelled, or with an outcome
	// that arrived just before the cancellation.
	CancelAttempt
	// Nack answers that the op failed and that a retry is harmless; Duration is the Retry-After.
	Nack
	// DeadLetter answers that the op failed, without a promise that a retry is harmless.
	DeadLetter
	// SetTimer asks the host to call AdvanceClock and Next after Duration. It replaces the previous timer.
	SetTimer
	// Forget frees the op's index.
	Forget
	// ReportToPeer reports the number of attempts in flight at a worker to another scheduler.
	ReportToPeer
)

// Decision is one action for the host. Fields that its kind does not use are zero.
type Decision struct {
	Kind     DecisionKind
	Op       int             // used by every kind except SetTimer and ReportToPeer
	Worker   int             // used by Push, Probe and ReportToPeer
	Peer     int             // used by ReportToPeer: the number of the scheduler that receives the report
	InFlight int             // used by ReportToPeer: this scheduler's attempts in flight at the worker
	Duration Time            // used by Push, Nack and SetTimer
	Reason   RejectionReason // used by Nack and DeadLetter
}
