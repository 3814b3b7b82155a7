package outcome

import (
	"testing"

	"woaddyke/dispatch"
)

// Only these endings prove that a push never ran. Guards against an ending that is added later and
// accidentally counts as one of them.
func TestOnlyListedEndingsProveThatAPushNeverRan(t *testing.T) {
	never := map[Ending]bool{Returned: true, Shed: true, NoDescriptor: true, NoResource: true, ConnRefused: true,
		DialTimedOut: true, DialFailed: true, PartiallySent: true, CancelledUnsent: true}
	for e := Unknown - 1; e <= numEndings+1; e++ {
		switch e.Outcome() {
		case dispatch.Rejected, dispatch.Unreachable, dispatch.NotSent, dispatch.LocalExhaustion:
			if !never[e] {
				t.Errorf("%v has outcome %v, which proves that a push never ran", e, e.Outcome())
			}
		case dispatch.Succeeded:
			if e != Done {
				t.Errorf("%v has the outcome of a served op", e)
			}
		default:
			if never[e] || e.String() == "" {
				t.Errorf("%v has outcome %v, which does not prove that a push never ran, or has no name", e, e.Outcome())
			}
		}
	}
}
