// Package outcome names every way in which a push or a probe can end on a connection, and says in one place
// what each of them proves to the module.
package outcome

import "woaddyke/dispatch"

// Ending is how a connection's exchange ended.
type Ending int

// The zero value is no ending at all, and proves nothing.
const (
	Unknown         Ending = iota
	Done                   // the last line was "done", or a probe was answered
	Failed                 // the last line was "failed"
	JobKilled              // the last line was "lost": the job was killed
	Returned               // the last line was "returned", unstarted
	Shed                   // 503 or 504 that says the op was not processed, or a probe's 503
	Rejected               // a status that says that the request is at fault
	ServerError            // any other status
	NoDescriptor           // no descriptor was left for a connection
	NoResource             // this machine lacked something else for one, such as a local port or memory
	ConnRefused            // the worker's machine refused the connection
	DialTimedOut           // the connection did not come up in time
	DialFailed             // it failed to come up in any other way
	PartiallySent          // it broke before the last byte was written
	Reset                  // it broke after that
	EndedEarly             // it ended before the last line
	Malformed              // what came back is no answer, or another op's
	TimedOut               // nothing more came until the time-out
	Cancelled              // this side closed it
	CancelledUnsent        // this side closed it before a byte was written
	known                  // one more than the last
)

var names = [known]string{"unknown", "done", "failed", "lost", "returned", "turned-away", "rejected",
	"server-error", "no-descriptor", "no-resource", "conn-refused", "never-up", "dial-failed", "part-written", "reset", "ended-early",
	"garbled", "silent", "withdrawn", "unwritten"}

func (e Ending) String() string {
	if e < 0 || e >= known {
		e = Unknown
	}
	return names[e]
}

// NeverRan tells whether an ending proves that its push ran nowhere.
func (e Ending) NeverRan() bool {
	switch e.Outcome() {
	case dispatch.Rejected, dispatch.Unreachable, dispatch.NotSent, dispatch.LocalExhaustion:
		return true
	}
	return false
}

// Outcome is what an ending proves. A push of which nothing is known may have run.
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
