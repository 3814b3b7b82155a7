package replica

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// A replica whose store can't be opened is none: whoever goes by the value would run it without its records.
func TestNoReplicaComesWithAnError(t *testing.T) {
	table := Defaults()
	table.Replicas, table.Path = []string{"a"}, t.TempDir() // a folder is no store
	r, err := New(table, "a", 1, 0, alone{time.Now()}.Now(), zerolog.Nop())
	if err == nil || r != nil {
		t.Errorf("%v, %v", r, err)
	}
}
