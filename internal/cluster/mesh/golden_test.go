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

// Guards the JSON keys that tools of the operators read at /api/members.
func TestStatusKeepsItsJSONKeys(t *testing.T) {
	status := filled.Value[Status](t)
	status.Self.State = membership.Alive
	status.Members[0].State, status.Members[1].State = membership.Suspect, membership.Dead
	filled.CompareWritten(t, "testdata/shown.json.golden", status)
}

// Guards the TOML keys of the table "members" of the features file.
func TestConfigKeepsItsTOMLKeys(t *testing.T) {
	const path = "testdata/table.toml.golden"
	type file struct {
		Members *Config `toml:"members"`
	}
	config := filled.Value[Config](t)
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
	if !reflect.DeepEqual(*read.Members, config) {
		t.Errorf("read %+v, want %+v", *read.Members, config)
	}
}
