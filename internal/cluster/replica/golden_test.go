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
func TestStatusKeepsItsJSONKeys(t *testing.T) {
	filled.CompareJSON(t, "testdata/shown.json.golden", filled.Value[Status](t))
}

// Guards the JSON keys of a claim that tools of the operators read at /api/copies/records.
func TestRecordRowKeepsItsJSONKeys(t *testing.T) {
	filled.CompareJSON(t, "testdata/row.json.golden", filled.Value[RecordRow](t))
}

// Guards the TOML keys of the table "copies" of the features file.
func TestConfigKeepsItsTOMLKeys(t *testing.T) {
	const path = "testdata/table.toml.golden"
	type file struct {
		Copies *Config `toml:"copies"`
	}
	config := filled.Value[Config](t)
	config.Sync = false // differs from the default, which is true
	filled.RequireDiffers(t, config, *Defaults())
	text, err := toml.Marshal(file{&config})
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, path, text)
	read := file{Defaults()}
	if err := features.Read(path, &read, func() error { return nil }); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(*read.Copies, config) {
		t.Errorf("read %+v, want %+v", *read.Copies, config)
	}
}
