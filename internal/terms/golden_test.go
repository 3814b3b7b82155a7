package terms

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"woaddyke/internal/testsupport/filled"
	"woaddyke/internal/testsupport/golden"
)

// Guards the JSON keys of the configuration, each of which is set in the file to a value that is not its default.
func TestSheetKeepsItsKeys(t *testing.T) {
	read, err := ReadSheet("testdata/sheet.json")
	if err != nil {
		t.Fatal(err)
	}
	want := Sheet{Name: "n2", Listen: "127.0.0.1:9001", Console: "127.0.0.1:9002", Discovery: "127.0.0.1:8501", Seed: "1f",
		Limits: Limits{Cores: 2.5, MemoryMB: 333, Sockets: 444}, Known: json.RawMessage(`{"rev":7}`), Kinds: false,
		Keys: &Keys{Fact: "dataset"},
		Peers: &Peers{Listen: "127.0.0.1:9003", Others: map[string]string{"1": "127.0.0.1:9004", "3": "127.0.0.1:9005"},
			At: netip.MustParseAddrPort("127.0.0.1:9003"), ByNumber: map[int]netip.AddrPort{
				1: netip.MustParseAddrPort("127.0.0.1:9004"), 3: netip.MustParseAddrPort("127.0.0.1:9005")}},
		Watch:  &Watch{Keys: &Keys{Fact: "dataset"}, Settings: map[string]any{"prices": map[string]any{"connection": 0.5}}},
		Chance: 0x1f, Fact: "dataset"}
	want.Settings, want.Site, want.Other, want.raw = read.Settings, read.Site, read.Other, read.raw // guarded below
	if !reflect.DeepEqual(*read, want) {
		t.Errorf("read %+v, want %+v", *read, want)
	}
	read.Kinds = true // false is not its default
	filled.RequireSet(t, *read)
}

// Guards the JSON keys that this build writes for a configuration: a key with another name is another configuration to it.
func TestSheetKeepsItsForm(t *testing.T) {
	filled.CompareJSON(t, "testdata/form.json.golden", filled.Value[Sheet](t))
}

// Guards the keys of the settings that are read by name, and their values as the module takes them.
func TestSettingsKeepTheirKeys(t *testing.T) {
	read, err := ReadSheet("testdata/sheet.json")
	if err != nil {
		t.Fatal(err)
	}
	for name, settings := range map[string]map[string]any{"site": read.Site, "other": read.Other} {
		t.Run(name, func(t *testing.T) {
			text, err := json.MarshalIndent(settings, "", "\t")
			if err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, "testdata/"+name+".json.golden", append(text, '\n'))
		})
	}
	rules := map[string]Rule{"preview": {Effect: "redeliverable"}, "charge": {Effect: "at-most-once"},
		"publish": {Effect: "deduplicated", Window: 7500 * time.Millisecond, Scope: "zone"}}
	if got := read.Rules(); !reflect.DeepEqual(got, rules) {
		t.Errorf("rules %+v, want %+v", got, rules)
	}
	if names := read.Categories(); !reflect.DeepEqual(names, []string{"preview", "publish", "charge"}) {
		t.Errorf("categories %q", names)
	}
	if read.Number() != 2 || read.Schedulers() != 4 || read.LongestTTL() != 6*time.Second {
		t.Errorf("number %d of %d, longest time to live %v", read.Number(), read.Schedulers(), read.LongestTTL())
	}
}

// Guards the hash of the settings, which schedulers of different builds compare with one another.
func TestHashKeepsItsValue(t *testing.T) {
	read, err := ReadSheet("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "testdata/hash.txt.golden", fmt.Appendf(nil, "%016x\n", read.Hash()))
}
