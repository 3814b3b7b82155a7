package replica

import (
	"reflect"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"woaddyke/internal/config/features"
	"woaddyke/internal/testsupport/filled"
	"woaddyke/internal/testsupport/golden"
)

// Guards the JSON keys that tools of the operators read at /api/copies.
func TestShownKeepsItsForm(t *testing.T) {
	filled.CompareJSON(t, "testdata/shown.json.golden", filled.Value[Status](t))
}

// Guards the JSON keys of one claim that tools of the operators read at /api/copies/records.
func TestRowKeepsItsForm(t *testing.T) {
	filled.CompareJSON(t, "testdata/row.json.golden", filled.Value[RecordRow](t))
}

// Guards the TOML keys of the table copies in the operator's file.
func TestTableKeepsItsKeys(t *testing.T) {
	const path = "testdata/table.toml.golden"
	type file struct {
		Copies *Config `toml:"copies"`
	}
	table := filled.Value[Config](t)
	table.Sync = false // by default it is true
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
	if !reflect.DeepEqual(*read.Copies, table) {
		t.Errorf("read %+v, want %+v", *read.Copies, table)
	}
}
