package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// isDecoderText reports whether an error text is from the JSON decoder, whose errors have no key.
func isDecoderText(text string) bool { return text == "unexpected end" || text == "invalid character" }

// A file that was truncated or damaged in editing must not come into force in part. It is rejected
// completely, with the reason.
func TestADamagedFileIsRejectedAtReload(t *testing.T) {
	const complete = `{"listen":"a:1","discovery":"a:2","seed":"ff","known":{"rev":1,"targets":[]},"settings":{"bounds":` +
		`{"maxPushes":6,"cancel":true},"zones":["a"],"categories":[{"name":"look","ttlNs":5,"effect":"dedup","windowNs":7},` +
		`{"name":"see","ttlNs":5,"effect":"retryable"}]}}`
	read := func(text string) (*Bootstrap, error) { return readText(t, text) }
	before, err := read(complete)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"", "", ""},
		{`"look"`, `"other"`, ""},
		{`"dedup"`, `"fragile"`, ""},
		{`"maxPushes":6`, `"maxPushes":1`, ""},
		{`{"rev":1,"targets":[]}`, `{"rev":9}`, ""},
		{`,"windowNs":7`, ``, ""}, // not all categories have this key
		{complete, "", "unexpected end"},
		{complete[len(complete)/2:], "", "unexpected end"},
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
		s, err := read(strings.Replace(complete, c.old, c.new, 1))
		if err == nil {
			err = s.CheckReload(before)
		}
		var key *ConfigError
		if errors.As(err, &key) != (c.want != "" && !isDecoderText(c.want)) {
			t.Errorf("%s for %s: error %v, want a *ConfigError unless from the decoder", c.new, c.old, err)
		}
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s for %s: error %v, want %q", c.new, c.old, err, c.want)
		}
	}
	for n := range len(complete) {
		if _, err := read(complete[:n]); err == nil {
			t.Errorf("truncated to %d bytes the file was accepted", n)
		}
	}
	other, err := read(strings.Replace(strings.Replace(complete, `"retryable"`, `"dedup"`, 1), `"a:2"`, `"a:3"`, 1))
	if err != nil {
		t.Fatal(err)
	}
	if reload, restart := other.CompareSettings(before); !reload || restart {
		t.Errorf("another effect and another discovery: reload %v, restart %v", reload, restart)
	}
	zones, err := read(strings.Replace(complete, `["a"]`, `["b"]`, 1))
	if err != nil {
		t.Fatal(err)
	}
	if reload, restart := zones.CompareSettings(before); reload || !restart {
		t.Errorf("another zone: reload %v, restart %v", reload, restart)
	}
}

// Reading any file returns a configuration or an error. A configuration passes the reload check against
// itself.
func FuzzReadBootstrap(f *testing.F) {
	for _, text := range []string{"", "{", "[]", `{"listen":"a:1","discovery":"a:2","seed":"ff","settings":{"bounds":{"maxPushes":6},` +
		`"categories":[{"name":"look","ttlNs":5},{"name":"see","ttlNs":7,"windowNs":1}]}}`,
		`{"listen":"a:1","discovery":"a:2","seed":"0","settings":{"categories":[{"ttlNs":5},7,null]},"keys":{"fact":"k"}}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := ReadBootstrap(path)
		if err != nil {
			return
		}
		if err := s.CheckReload(s); err != nil {
			t.Errorf("%q fails the reload check against itself: %v", text, err)
		}
		if reload, restart := s.CompareSettings(s); reload || restart {
			t.Errorf("%q differs from itself", text)
		}
	})
}

// The planned size of a deployment in two years is 560 categories. Twice as many must be accepted, and more
// than the limit must be rejected, so that the size of a file is bounded.
func TestOnlyFilesWithinTheCategoryLimitAreRead(t *testing.T) {
	for n, fits := range map[int]bool{1120: true, maxCategories: true, maxCategories + 1: false} {
		path := filepath.Join(t.TempDir(), "config.json")
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

// CompareSettings reports for each difference whether a reload applies it or whether it needs a restart.
// Other differences do not change that.
func TestReloadIsDistinguishedFromRestart(t *testing.T) {
	bootstrapOf := func(settings map[string]any) *Bootstrap { return &Bootstrap{Settings: settings} }
	settingsWith := func(changes ...any) map[string]any {
		settings := map[string]any{
			"categories.0.name": "a", "extra.classStretch.0": 2.0, "bounds.maxPushes": 3.0, "step": 5.0,
		}
		for i := 0; i < len(changes); i += 2 {
			if settings[changes[i].(string)] = changes[i+1]; changes[i+1] == nil {
				delete(settings, changes[i].(string))
			}
		}
		return settings
	}
	for _, c := range []struct {
		settings        map[string]any
		reload, restart bool
	}{
		{settingsWith(), false, false},
		{settingsWith("categories.0.name", "b"), true, false},
		{settingsWith("categories.1.name", "b"), true, false},
		{settingsWith("categories.0.name", nil), true, false},
		{settingsWith("extra.classStretch.0", 3.0), true, false},
		{settingsWith("bounds.maxPushes", 4.0), true, false},
		{settingsWith("step", 6.0), false, true},
		{settingsWith("step", nil), false, true},
		{settingsWith("more", 1.0), false, true},
		{settingsWith("step", 6.0, "bounds.maxPushes", nil), true, true},
	} {
		if reload, restart := bootstrapOf(c.settings).CompareSettings(bootstrapOf(settingsWith())); reload !=
			c.reload || restart != c.restart {
			t.Errorf("%v: reload %v, restart %v", c.settings, reload, restart)
		}
	}
}
