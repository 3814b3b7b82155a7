package invariant

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// All breaches are counted by rule, and so few are logged that a fault can't fill a disk.
func TestBreachesAreCountedAndTheFirstLogged(t *testing.T) {
	var log strings.Builder
	g := New(zerolog.New(&log))
	for range 1000 {
		g.Violated(Closing, Unanswered, func(e *zerolog.Event) { e.Uint64("op", 7) })
	}
	g.Violated(Sending, PastTTL, nil)
	counts := g.Counts()
	if len(counts) != 4 || counts["closing"] != 1000 || counts["sending"] != 1 || counts["repeating"]+counts["starting"] != 0 {
		t.Errorf("%v", counts)
	}
	if n := strings.Count(log.String(), "\n"); n != maxLoggedPerRule+1 {
		t.Errorf("%d lines: %s", n, log.String())
	}
	if !strings.Contains(log.String(), `"rule":"closing","why":"a request that was read has no answer","op":7,"message":"invariant violated"`) {
		t.Error(log.String())
	}
}
