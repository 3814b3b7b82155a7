package dispatch

// RejectionReason is the reason why an op was rejected.
type RejectionReason int

// The reasons are a closed set: logs and metrics name them.
const (
	NotRejected       RejectionReason = iota
	DeadlineExceeded                  // the op's TTL leaves time for the answer only
	AttemptsExhausted                 // no further attempt is allowed
	CapacityShort                     // shed while the fleet's capacity is short
	QueuesTooLong                     // the queue of every eligible worker is known to be too long
	NoEligibleWorker                  // there is no worker to probe, and the op's latency objective has passed
	StartTooLate                      // the op would start too late at the probed workers
	rejectionReasonCount
)

var rejectionNames = [rejectionReasonCount]string{
	NotRejected:       "not rejected",
	DeadlineExceeded:  "deadline exceeded",
	AttemptsExhausted: "attempts exhausted",
	CapacityShort:     "capacity short",
	QueuesTooLong:     "queues too long",
	NoEligibleWorker:  "no eligible worker",
	StartTooLate:      "start too late",
}

func (r RejectionReason) String() string {
	if r < 0 || r >= rejectionReasonCount {
		r = NotRejected
	}
	return rejectionNames[r]
}
