// Package outcome defines every way in which an attempt or a load probe can end on its connection, and maps
// each ending to an outcome.
package outcome

import "woaddyke/dispatch"

// Ending is how an attempt or a load probe ended on its connection.
type Ending int

// Endings of attempts and load probes. Unknown, the zero value, proves nothing.
const (
	Unknown         Ending = iota
	Done                   // the last line was "done", or the probe was answered
	Failed                 // the last line was "failed"
	JobKilled              // the last line was "lost": the job was killed
	Returned               // the last line was "returned": the job was not started
	Shed                   // a 503 or 504 that marks the op as unprocessed, or a probe's 503
	Rejected               // a status that reports an invalid request
	ServerError            // any other status
	NoDescriptor           // no file descriptor was left for a connection
	NoResource             // this machine lacked another resource, such as a local port or memory
	ConnRefused            // the worker's machine refused the connection
	DialTimedOut           // the connection was not established in time
	DialFailed             // the dial failed for any other reason
	PartiallySent          // the connection broke before the last byte was written
	Reset                  // the connection broke after the last byte was written
	EndedEarly             // the response ended before the last line
	Malformed              // the response is malformed or belongs to another op
	TimedOut               // no further data arrived within the timeout
	Cancelled              // this side closed the connection
	CancelledUnsent        // this side closed the connection before the request was completely written
	numEndings
)

// endingNames are the names in log messages.
var endingNames = [numEndings]string{
	Unknown:         "unknown",
	Done:            "done",
	Failed:          "failed",
	JobKilled:       "lost",
	Returned:        "returned",
	Shed:            "turned-away",
	Rejected:        "rejected",
	ServerError:     "server-error",
	NoDescriptor:    "no-descriptor",
	NoResource:      "no-resource",
	ConnRefused:     "conn-refused",
	DialTimedOut:    "never-up",
	DialFailed:      "dial-failed",
	PartiallySent:   "part-written",
	Reset:           "reset",
	EndedEarly:      "ended-early",
	Malformed:       "garbled",
	TimedOut:        "silent",
	Cancelled:       "withdrawn",
	CancelledUnsent: "unwritten",
}

func (e Ending) String() string {
	if e < 0 || e >= numEndings {
		e = Unknown
	}
	return endingNames[e]
}

// NeverRan reports whether the ending proves that the attempt did not run.
func (e Ending) NeverRan() bool {
	switch e.Outcome() {
	case dispatch.Rejected, dispatch.Unreachable, dispatch.NotSent, dispatch.LocalExhaustion:
		return true
	}
	return false
}

// Outcome returns the outcome for the ending. It is dispatch.Failed for the ending Failed, and for Unknown
// and ServerError, after which the attempt may have run.
func (e Ending) Outcome() dispatch.Outcome {
	switch e {
	case Done:
		return dispatch.Succeeded
	case Returned, Shed:
		return dispatch.Rejected
	case ConnRefused, DialTimedOut, DialFailed, PartiallySent:
		return dispatch.Unreachable
	case NoDescriptor, NoResource:
		return dispatch.LocalExhaustion
	case CancelledUnsent:
		return dispatch.NotSent
	case JobKilled, Reset, EndedEarly, Malformed:
		return dispatch.ConnectionLost
	case TimedOut:
		return dispatch.TimedOut
	case Cancelled:
		return dispatch.Cancelled
	case Rejected:
		return dispatch.InvalidRequest
	}
	return dispatch.Failed
}
