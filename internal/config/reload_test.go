package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// notJSON tells whether a text is from the decoder, which knows no key.
func notJSON(text string) bool { return text == "unexpected end" || text == "invalid character" }

// A file that was cut short or slipped in editing must not be half in force: it is turned down whole,
// and says why.
func TestAFileThatCanNotFollowIsTurnedDown(t *testing.T) {
	const whole = `{"listen":"a:1","discovery":"a:2","seed":"ff","known":{"rev":1,"targets":[]},"settings":{"bounds":` +
		`{"maxPushes":6,"cancel":true},"zones":["a"],"categories":[{"name":"look","ttlNs":5,"effect":"dedup","windowNs":7},` +
		`{"name":"see","ttlNs":5,"effect":"retryable"}]}}`
	read := func(text string) (*Bootstrap, error) { return readText(t, text) }
	before, err := read(whole)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"", "", ""},
		{`"look"`, `"other"`, ""},
		{`"dedup"`, `"fragile"`, ""},
		{`"maxPushes":6`, `"maxPushes":1`, ""},
		{`{"rev":1,"targets":[]}`, `{"rev":9}`, ""},
		{`,"windowNs":7`, ``, ""}, // not all categories have one
		{whole, "", "unexpected end"},
		{whole[len(whole)/2:], "", "unexpected end"},
		{`"discovery":"a:2",`, "", "discovery: is missing"},
		{`"known"`, `"unknown"`, "known: is missing"},
		{`"cancel"`, `"cancels"`, "settings.bounds.cancel: is missing"},
		{`"maxPushes":6,`, "", "settings.bounds.maxPushes: is missing"},
		{`,"effect":"retryable"`, "", "settings.categories.1.effect: is missing"},
		{`"ttlNs":5,"effect":"dedup"`, `"effect":"dedup"`, "settings.categories.0.ttlNs: is missing"},
		{`"see","ttlNs":5`, `"see"`, "settings.categories.1.ttlNs: is missing"},
		{`"see","ttlNs":5`, `"see","ttlNs":0`, "settings.categories.1.ttlNs: must be a number above 0 and at most 86400000000000, got 0"},
		{`"see","ttlNs":5`, `"see","ttlNs":"5"`, `settings.categories.1.ttlNs: must be a number above 0 and at most 86400000000000, got "5"`},
		{`"maxPushes":6`, `"maxPushes":-1`, "settings.bounds.maxPushes: must be a number from 1 to 1000, got -1"},
		{`"maxPushes":6`, `"maxPushes":null`, "settings.bounds.maxPushes: must be a number from 1 to 1000, got null"},
		{`"maxPushes":6`, `"maxPushes":0.5`, "settings.bounds.maxPushes: must be a number from 1 to 1000, got 0.5"},
		{`"maxPushes":6`, `"maxPushes":1e9`, "settings.bounds.maxPushes: must be a number from 1 to 1000, got 1e+09"},
		{`"maxPushes":6`, `"maxPushes":NaN`, "invalid character"},
		{`"see","ttlNs":5`, `"see","ttlNs":1e300`, "settings.categories.1.ttlNs: must be a number above 0 and at most 86400000000000, got 1e+300"},
		{`"see","ttlNs":5`, `"see","ttlNs":[5]`, "settings.categories.1.ttlNs: must be a number above 0 and at most 86400000000000, got [5]"},
		{`"seed":"ff"`, `"seed":"xyz"`, "seed"},
		{`"listen":"a:1",`, "", "listen: is missing"},
		{`"seed":"ff",`, "", "seed"},
		{`"cancel":true`, `"cancel":1`, "settings.bounds.cancel: must be true or false, got 1"},
		{`["a"]`, `"a"`, "settings.zones: must be a list"},
	} {
		s, err := read(strings.Replace(whole, c.old, c.new, 1))
		if err == nil {
			err = s.CheckReload(before)
		}
		var key *ConfigError
		if errors.As(err, &key) != (c.want != "" && !notJSON(c.want)) {
			t.Errorf("%s for %s: error %v: the key must be found in it", c.new, c.old, err)
		}
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s for %s: error %v, want %q", c.new, c.old, err, c.want)
		}
	}
	for n := range len(whole) {
		if _, err := read(whole[:n]); err == nil {
			t.Errorf("cut to %d bytes it was read", n)
		}
	}
	other, err := read(strings.Replace(strings.Replace(whole, `"retryable"`, `"dedup"`, 1), `"a:2"`, `"a:3"`, 1))
	if err != nil {
		t.Fatal(err)
	}
	if retunes, rest := other.CompareSettings(before); !retunes || rest {
		t.Errorf("another effect and another discovery: retunes %v, a restart is needed %v", retunes, rest)
	}
	zones, err := read(strings.Replace(whole, `["a"]`, `["b"]`, 1))
	if err != nil {
		t.Fatal(err)
	}
	if retunes, rest := zones.CompareSettings(before); retunes || !rest {
		t.Errorf("another zone: retunes %v, a restart is needed %v", retunes, rest)
	}
}

// Whatever a file holds, reading it gives a sheet or an error, and a sheet always may follow itself.
func FuzzSheet(f *testing.F) {
	for _, text := range []string{"", "{", "[]", `{"listen":"a:1","discovery":"a:2","seed":"ff","settings":{"bounds":{"maxPushes":6},` +
		`"categories":[{"name":"look","ttlNs":5},{"name":"see","ttlNs":7,"windowNs":1}]}}`,
		`{"listen":"a:1","discovery":"a:2","seed":"0","settings":{"categories":[{"ttlNs":5},7,null]},"keys":{"fact":"k"}}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		path := filepath.Join(t.TempDir(), "sheet")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := ReadBootstrap(path)
		if err != nil {
			return
		}
		if err := s.CheckReload(s); err != nil {
			t.Errorf("%q can't follow itself: %v", text, err)
		}
		if retunes, rest := s.CompareSettings(s); retunes || rest {
			t.Errorf("%q differs from itself", text)
		}
	})
}

// A site of two years' size has 560 categories, and twice as many must be taken; a file without end
// must not.
func TestAsManyCategoriesAsALargeSiteHasAreRead(t *testing.T) {
	for n, fits := range map[int]bool{1120: true, maxCategories: true, maxCategories + 1: false} {
		path := filepath.Join(t.TempDir(), "sheet")
		text := `{"listen":"a:1","discovery":"a:2","seed":"ff","settings":{"categories":[` +
			strings.TrimSuffix(strings.Repeat(`{"name":"c","ttlNs":5},`, n), ",") + `]}}`
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := ReadBootstrap(path)
		if fits && (err != nil || len(s.Categories()) != n) || !fits && (err == nil || !strings.HasSuffix(err.Error(), "settings.categories: must have at most 2048 entries, got 2049")) {
			t.Errorf("%d categories: %v", n, err)
		}
	}
}

// Which of the terms change at once and which wait for a restart is told apart for each, whatever else
// stays.
func TestWhatChangesAtOnceIsToldFromWhatWaits(t *testing.T) {
	sheet := func(site map[string]any) *Bootstrap { return &Bootstrap{Settings: site} }
	of := func(more ...any) map[string]any {
		site := map[string]any{"categories.0.name": "a", "extra.classStretch.0": 2.0, "bounds.maxPushes": 3.0, "step": 5.0}
		for i := 0; i < len(more); i += 2 {
			if site[more[i].(string)] = more[i+1]; more[i+1] == nil {
				delete(site, more[i].(string))
			}
		}
		return site
	}
	for _, c := range []struct {
		site          map[string]any
		retunes, rest bool
	}{{of(), false, false}, {of("categories.0.name", "b"), true, false}, {of("categories.1.name", "b"), true, false},
		{of("categories.0.name", nil), true, false}, {of("extra.classStretch.0", 3.0), true, false}, {of("bounds.maxPushes", 4.0), true, false},
		{of("step", 6.0), false, true}, {of("step", nil), false, true}, {of("more", 1.0), false, true}, {of("step", 6.0, "bounds.maxPushes", nil), true, true}} {
		if retunes, rest := sheet(c.site).CompareSettings(sheet(of())); retunes != c.retunes || rest != c.rest {
			t.Errorf("%v: %v, %v", c.site, retunes, rest)
		}
	}
}
