package invariant

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// All violations are counted by rule. Only a few of each rule are logged, so that a fault can't fill a disk.
func TestViolationsAreCountedAndTheFirstLogged(t *testing.T) {
	var log strings.Builder
	c := New(zerolog.New(&log))
	for range 1000 {
		c.Violated(ClosingRule, Unanswered, func(e *zerolog.Event) { e.Uint64("op", 7) })
	}
	c.Violated(SendingRule, PastTTL, nil)
	counts := c.Counts()
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
