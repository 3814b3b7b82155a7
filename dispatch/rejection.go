package dispatch

// RejectionReason is the reason for which an op was given up.
type RejectionReason int

// The reasons, a closed set: logs and figures name them.
const (
	NotRejected       RejectionReason = iota
	DeadlineExceeded                  // its TTL leaves time for the answer only
	AttemptsExhausted                 // no further attempt is allowed
	CapacityShort                     // ops like it find no place in the fleet now
	QueuesTooLong                     // at each worker that it may go to, the queue is known to be too long
	NoEligibleWorker                  // there is no worker to probe, and its objective has passed
	StartTooLate                      // at the workers that it probed it would start too late
	rejectionReasons
)

var rejectionNames = [rejectionReasons]string{
	NotRejected:       "not rejected",
	DeadlineExceeded:  "deadline exceeded",
	AttemptsExhausted: "attempts exhausted",
	CapacityShort:     "capacity short",
	QueuesTooLong:     "queues too long",
	NoEligibleWorker:  "no eligible worker",
	StartTooLate:      "start too late",
}

func (r RejectionReason) String() string {
	if r < 0 || r >= rejectionReasons {
		r = NotRejected
	}
	return rejectionNames[r]
}
