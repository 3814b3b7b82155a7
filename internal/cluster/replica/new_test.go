package replica

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// If the store can't be opened, New returns a nil replica with the error. Guards against a caller that checks
// only the replica and runs it without its records.
func TestAStoreThatCannotBeOpenedGivesNoReplica(t *testing.T) {
	config := Defaults()
	config.Replicas, config.Path = []string{"a"}, t.TempDir() // a directory can't be opened as a store
	r, err := New(config, "a", 1, 0, isolatedTransport{time.Now()}.Now(), zerolog.Nop())
	if err == nil || r != nil {
		t.Errorf("got replica %v and error %v, want no replica and an error", r, err)
	}
}
