package config

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

// Guards the JSON keys of the bootstrap configuration. The file sets each key to a value that is not its
// default.
func TestBootstrapFileKeepsItsKeys(t *testing.T) {
	read, err := ReadBootstrap("testdata/sheet.json")
	if err != nil {
		t.Fatal(err)
	}
	want := Bootstrap{Name: "n2", Listen: "127.0.0.1:9001", Console: "127.0.0.1:9002", Discovery: "127.0.0.1:8501", Seed: "1f",
		Limits: Limits{Cores: 2.5, MemoryMB: 333, Descriptors: 444}, KnownWorkers: json.RawMessage(`{"rev":7}`), LearnMachineKinds: false,
		Keys: &Keys{Fact: "dataset"},
		Peers: &Peers{Listen: "127.0.0.1:9003", Others: map[string]string{"1": "127.0.0.1:9004", "3": "127.0.0.1:9005"},
			ListenAddr: netip.MustParseAddrPort("127.0.0.1:9003"), ByNumber: map[int]netip.AddrPort{
				1: netip.MustParseAddrPort("127.0.0.1:9004"), 3: netip.MustParseAddrPort("127.0.0.1:9005")}},
		Shadow:    &Shadow{Keys: &Keys{Fact: "dataset"}, Settings: map[string]any{"prices": map[string]any{"connection": 0.5}}},
		SeedValue: 0x1f, AffinityFact: "dataset"}
	want.RawSettings, want.Settings, want.ShadowSettings, want.raw = read.RawSettings, read.Settings, read.ShadowSettings, read.raw // checked below
	if !reflect.DeepEqual(*read, want) {
		t.Errorf("read %+v, want %+v", *read, want)
	}
	read.LearnMachineKinds = true // RequireSet does not accept false
	filled.RequireSet(t, *read)
}

// Guards the JSON keys that this build writes for a bootstrap configuration. A renamed key would be read as a
// missing one.
func TestBootstrapKeepsItsJSONKeys(t *testing.T) {
	filled.CompareJSON(t, "testdata/form.json.golden", filled.Value[Bootstrap](t))
}

// Guards the keys of the settings, and their values after reading.
func TestSettingsKeepTheirKeys(t *testing.T) {
	read, err := ReadBootstrap("testdata/sheet.json")
	if err != nil {
		t.Fatal(err)
	}
	for name, settings := range map[string]map[string]any{"site": read.Settings, "other": read.ShadowSettings} {
		t.Run(name, func(t *testing.T) {
			text, err := json.MarshalIndent(settings, "", "\t")
			if err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, "testdata/"+name+".json.golden", append(text, '\n'))
		})
	}
	rules := map[string]CategoryRule{"preview": {Effect: "redeliverable"}, "charge": {Effect: "at-most-once"},
		"publish": {Effect: "deduplicated", Window: 7500 * time.Millisecond, Scope: "zone"}}
	if got := read.CategoryRules(); !reflect.DeepEqual(got, rules) {
		t.Errorf("rules %+v, want %+v", got, rules)
	}
	if names := read.Categories(); !reflect.DeepEqual(names, []string{"preview", "publish", "charge"}) {
		t.Errorf("categories %q", names)
	}
	if read.SchedulerNumber() != 2 || read.Schedulers() != 4 || read.LongestTTL() != 6*time.Second {
		t.Errorf("number %d of %d, longest TTL %v", read.SchedulerNumber(), read.Schedulers(), read.LongestTTL())
	}
}

// Guards the hash of the settings, which schedulers of different builds compare with one another.
func TestSettingsHashKeepsItsValue(t *testing.T) {
	read, err := ReadBootstrap("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "testdata/hash.txt.golden", fmt.Appendf(nil, "%016x\n", read.SettingsHash()))
}
