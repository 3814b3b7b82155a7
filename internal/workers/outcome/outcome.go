// Package outcome names every way in which an attempt or a load probe can end on a connection, and says
// in one place what each of them proves to the decisions.
package outcome

import "woaddyke/dispatch"

// Ending is how an attempt or a load probe ended on its connection.
type Ending int

// The endings. Unknown, the zero value, proves nothing.
const (
	Unknown         Ending = iota
	Done                   // the last line was "done", or a probe was answered
	Failed                 // the last line was "failed"
	JobKilled              // the last line was "lost": the job was killed
	Returned               // the last line was "returned": the job was not started
	Shed                   // a 503 or 504 that says the op was not processed, or a probe's 503
	Rejected               // a status that says the request is at fault
	ServerError            // any other status
	NoDescriptor           // no descriptor was left for a connection
	NoResource             // this machine lacked something else for one, such as a local port or memory
	ConnRefused            // the worker's machine refused the connection
	DialTimedOut           // the connection did not come up in time
	DialFailed             // it failed to come up in any other way
	PartiallySent          // the connection broke before the last byte was written
	Reset                  // it broke after that
	EndedEarly             // it ended before the last line
	Malformed              // the response is malformed, or is another op's
	TimedOut               // nothing more came within the timeout
	Cancelled              // this side closed the connection
	CancelledUnsent        // this side closed it before a byte was written
	numEndings
)

// endingNames are the names in log lines.
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

// NeverRan tells whether an ending proves that its attempt ran nowhere.
func (e Ending) NeverRan() bool {
	switch e.Outcome() {
	case dispatch.Rejected, dispatch.Unreachable, dispatch.NotSent, dispatch.LocalExhaustion:
		return true
	}
	return false
}

// Outcome returns what an ending proves. An attempt of which nothing is known may have run.
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
