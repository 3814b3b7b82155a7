package mesh

import (
	"reflect"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/config/features"
	"woaddyke/internal/testsupport/filled"
	"woaddyke/internal/testsupport/golden"
)

// Guards the JSON keys that tools of the staff read at /api/members.
func TestShownKeepsItsForm(t *testing.T) {
	shown := filled.Value[Status](t)
	shown.Self.State = membership.Alive
	shown.Members[0].State, shown.Members[1].State = membership.Suspect, membership.Dead
	filled.CompareWritten(t, "testdata/shown.json.golden", shown)
}

// Guards the TOML keys of the table members in the operator's file.
func TestTableKeepsItsKeys(t *testing.T) {
	const path = "testdata/table.toml.golden"
	type file struct {
		Members *Config `toml:"members"`
	}
	table := filled.Value[Config](t)
	filled.RequireDiffers(t, table, *Defaults())
	text, err := toml.Marshal(file{&table})
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, path, text)
	read := file{Defaults()}
	if err := features.Read(path, &read, func() error { return nil }); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(*read.Members, table) {
		t.Errorf("read %+v, want %+v", *read.Members, table)
	}
}
