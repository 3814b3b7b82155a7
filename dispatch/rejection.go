package dispatch

// RejectionReason is the reason for which an op was given up.
type RejectionReason int

// The reasons, a closed set: logs and figures name them.
const (
	NotRejected       RejectionReason = iota
	DeadlineExceeded                  // its time is over, but for the answer
	AttemptsExhausted                 // no further push is allowed
	CapacityShort                     // ops like it find no place in the fleet now
	QueuesTooLong                     // wherever it may go a queue was seen that is too long
	NoEligibleWorker                  // no worker may be asked, beyond its target
	StartTooLate                      // the places that were found come too late
	rejectionReasons
)

var rejectionNames = [rejectionReasons]string{"not given up", "time is up", "no push left", "fleet scarce", "queues hopeless", "nobody takes it", "no place in time"}

func (w RejectionReason) String() string {
	if w < 0 || w >= rejectionReasons {
		w = NotRejected
	}
	return rejectionNames[w]
}

// exhaustionReason is why an op is given up that may not be pushed again, or whose time is over.
func (d *Dispatcher) exhaustionReason(o *op) RejectionReason {
	if d.now >= o.ttl-d.margin() {
		return DeadlineExceeded
	}
	return AttemptsExhausted
}
