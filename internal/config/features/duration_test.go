package features

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A duration that is a number without a unit must be rejected. The decoder would read the number as
// nanoseconds. With such a duration, for example, a dead replica would be replaced immediately.
func TestADurationWithoutAUnitIsRejected(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"a unit", "[members]\nprobe = \"100ms\"\n", ""},
		{"0", "[members]\nprobe = 0\n", ""},
		{"a whole number", "[members]\nname = \"a\"\nprobe = 100\n", `:3: members.probe: a duration needs a unit: got 100, write for example "100ms" or "100s"`},
		{"a capital letter", "[members]\nProbe = 100\n", `:2: members.Probe: a duration needs a unit: got 100`},
		{"a negative number", "[members]\nprobe = -5\n", ":2: members.probe: a duration needs a unit: got -5"},
		{"a fraction", "[members]\nprobe = 0.5\n", `:2: members.probe: a duration needs a unit: got 0.5, write for example "0.5ms" or "0.5s"`},
		{"a number in a text", "[members]\nprobe = \"100\"\n", `:2:9: "100" is not a duration such as "250ms"`},
		{"an inline table", "members = { probe = 100 }\n", ": members.probe: a duration needs a unit: got 100"},
		{"a dotted key", "members.probe = 100\n", ": members.probe: a duration needs a unit: got 100"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "operator.toml")
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			err := Read(path, &testTables{}, func() error { return nil })
			if c.want == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), path+c.want) && !strings.Contains(err.Error(), c.want) {
				t.Fatalf("%v, want %q", err, c.want)
			}
			if !strings.Contains(err.Error(), path) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want one line with the file", err)
			}
			var configErr *ConfigError
			var parseErr *ParseError
			if !errors.As(err, &parseErr) && (!errors.As(err, &configErr) || !errors.Is(err, ErrNoUnit) || configErr.Line == 0) {
				t.Errorf("error %#v, want a *ParseError, or a *ConfigError with ErrNoUnit and a line", err)
			}
		})
	}
}
