package replica

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"testing"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/cluster/store"
	"woaddyke/internal/lifecycle/boottime"
)

// The changes of a round reach the file in their order. If a key that expires and is claimed again in one round
// were deleted, the replica would forget the grant at its next start, and the op could run twice.
func TestARoundIsPersistedInItsOrder(t *testing.T) {
	round := 0
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		round++
		path := filepath.Join(dir, fmt.Sprint(round, ".db"))
		s, err := store.Open(path, false)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.SetIncarnation(replication.Incarnation{Generation: 1, Nonce: 1}, 1); err != nil {
			t.Fatal(err)
		}
		r := &Replica{config: Defaults(), log: zerolog.Nop(), storage: storage{store: s}}
		model := map[string]uint64{}
		for range rapid.IntRange(1, 3).Draw(t, "rounds") {
			if !r.persist(drawChanges(t, model)) {
				t.Fatal("the round was not persisted")
			}
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		if got := storedFingerprints(t, path); !maps.Equal(got, model) {
			t.Fatalf("stored %v, want %v", got, model)
		}
	})
}

// drawChanges draws the changes of a round to three keys, and applies them to the model.
func drawChanges(t *rapid.T, model map[string]uint64) (effects []replication.Effect) {
	for range rapid.IntRange(1, 6).Draw(t, "changes") {
		key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
		if rapid.Bool().Draw(t, "delete") {
			effects = append(effects, replication.Delete{Key: key})
			delete(model, key)
			continue
		}
		version := rapid.Uint64Range(1, 1<<60).Draw(t, "version")
		outcome := replication.Outcome{Claim: replication.Claim{Scheduler: "x", Nonce: 1}, Stage: replication.Claimed}
		record := replication.Record{Key: key, Fingerprint: version, Outcomes: []replication.Outcome{outcome}}
		effects = append(effects, replication.Persist{Record: record})
		model[key] = version
	}
	return effects
}

// storedFingerprints opens a file, as the next process does, and returns the fingerprints of its records.
func storedFingerprints(t *rapid.T, path string) map[string]uint64 {
	s, err := store.Open(path, false)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	contents, err := s.Load(boottime.Now())
	if err != nil {
		t.Fatal(err)
	}
	stored := map[string]uint64{}
	for record := range slices.Values(contents.Records) {
		stored[record.Key] = record.Fingerprint
	}
	return stored
}
