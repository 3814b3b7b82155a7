package shelf

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"woaddyke/internal/copies"
	"woaddyke/internal/keepers"
)

func record(key string) copies.Record {
	return copies.Record{Key: key, Print: 3, Age: 5, Fates: []copies.Fate{{Claim: copies.Claim{By: "n", Nonce: 9}, Stage: copies.Claimed, Voted: true}}}
}

// A keeper that comes back must know what it granted, as which life; and nobody else may use its file meanwhile.
func TestRecordsLast(t *testing.T) {
	path := filepath.Join(t.TempDir(), "copies.db")
	s, err := Open(path, true)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	if _, _, _, ok, err := s.Load(now); ok || err != nil {
		t.Errorf("a new file: %v, %v", ok, err)
	}
	life := copies.Life{N: 4, Nonce: 7}
	if err := s.Live(life, 11); err != nil {
		t.Fatal(err)
	}
	if err := s.Keep(now, []copies.Record{record("a\x00x"), record("b\x00y")}, nil); err != nil {
		t.Fatal(err)
	}
	aged := record("c\x00z")
	aged.Fates[0].Age = 5
	state := keepers.State{Seat: 3, Founding: 5, Set: keepers.Set{Founding: 5, Turn: 2, New: []string{"n"}}, Entries: [][]byte{{1}}}
	seen := []copies.Seen{{Keeper: "m", Of: life, Since: 6}}
	if err := errors.Join(s.Keep(now, []copies.Record{aged}, nil), s.Agree(state), s.See(seen)); err != nil {
		t.Fatal(err)
	}
	if got, _, _, _, _ := s.Load(now); got[2].Fates[0].Age != 0 {
		t.Error("how long ago an op ran is told by a clock that may have been set back")
	}
	if err := s.Keep(now, nil, []string{"c\x00z"}); err != nil {
		t.Fatal(err)
	}
	if got, ok, err := s.Agreement(); err != nil || !ok || !reflect.DeepEqual(got, state) {
		t.Errorf("the agreement: %+v, %v, %v", got, ok, err)
	}
	if got, err := s.Seen(); err != nil || !reflect.DeepEqual(got, seen) {
		t.Errorf("what was seen: %+v, %v", got, err)
	}
	if err := s.Keep(now, nil, []string{"b\x00y", "never there"}); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path, true); err == nil {
		t.Error("two hold one file")
	}
	s.Close()
	if s, err = Open(path, false); err != nil {
		t.Fatal(err)
	}
	want := record("a\x00x")
	want.Age = 25
	got, l, epoch, ok, err := s.Load(now.Add(20 * time.Second))
	if err != nil || !ok || l != life || epoch != 11 || len(got) != 1 || !reflect.DeepEqual(got[0], want) {
		t.Errorf("%+v, life %v, epoch %d, %v, %v", got, l, epoch, ok, err)
	}
	if got, _, _, _, _ = s.Load(now.Add(-time.Hour)); got[0].Age != 0 {
		t.Errorf("with a clock that was set back it is %d s old", got[0].Age)
	}
	s.Close()
}

// A file that is torn, or of another kind, must be an error and not a memory.
func TestATornFileIsAnError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "copies.db")
	s, err := Open(path, true)
	if err != nil {
		t.Fatal(err)
	}
	s.Live(copies.Life{N: 1}, 1)
	s.Close()
	text, _ := os.ReadFile(path)
	for i := range min(len(text), 8192) {
		text[i] = 0x5a
	}
	os.WriteFile(path, text, 0o600)
	if s, err := Open(path, true); err == nil {
		s.Close()
		t.Error("a torn file was opened")
	}
	if _, err := Open(filepath.Join(t.TempDir(), "no", "such", "folder"), true); err == nil {
		t.Error("a folder that is not there")
	}
}
