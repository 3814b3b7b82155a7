package outcome

import (
	"testing"

	"woaddyke/dispatch"
)

// Only these prove that a push never ran; an ending that is added later must not slip in among them.
func TestWhatProvesThatAPushNeverRan(t *testing.T) {
	never := map[Ending]bool{Returned: true, Shed: true, NoDescriptor: true, NoResource: true, ConnRefused: true,
		DialTimedOut: true, DialFailed: true, PartiallySent: true, CancelledUnsent: true}
	for e := Unknown - 1; e <= numEndings+1; e++ {
		switch e.Outcome() {
		case dispatch.Rejected, dispatch.Unreachable, dispatch.NotSent, dispatch.LocalExhaustion:
			if !never[e] {
				t.Errorf("%v is taken to prove that a push never ran", e)
			}
		case dispatch.Succeeded:
			if e != Done {
				t.Errorf("%v is taken for served", e)
			}
		default:
			if never[e] || e.String() == "" {
				t.Errorf("%v proves nothing", e)
			}
		}
	}
}
