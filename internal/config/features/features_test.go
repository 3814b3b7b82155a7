package features

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"woaddyke/internal/config/configerror"
)

type testTables struct {
	Members *struct {
		Probe Duration `toml:"probe"`
		Name  string   `toml:"name"`
	} `toml:"members"`
}

// An error in the file is reported in one line with its position. Operators read the line when a start has
// failed.
func TestAnErrorIsOneLineWithItsPosition(t *testing.T) {
	for text, want := range map[string]string{
		"[members]\nprobe = \"1s\"\n":                      "",
		"[members]\nprob = \"1s\"\n":                       ":2:1: no such key: members.prob",
		"[member]\n":                                       ":1:2: no such key: member",
		"[members]\nprobe = \"soon\"\n":                    `:2:9: "soon" is not a duration such as "250ms"`,
		"[members]\nprobe = \n":                            ":2:",
		"# a\n[members]\n\n  name = \"bad\"\nprobe=\"1s\"": ":4: members.name: a bad name",
		"[members]\nprobe = \"3h\"":                        ":2: members.probe: too long",
	} {
		path := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var x testTables
		err := Read(path, &x, func() error {
			switch {
			case x.Members.Name == "bad":
				return &ConfigError{Table: "members", Key: "name", Err: errors.New("a bad name")}
			case time.Duration(x.Members.Probe) > time.Hour:
				return &ConfigError{Table: "members", Key: "probe", Err: errors.New("too long")}
			}
			return nil
		})
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	if err := Read("/nowhere", &testTables{}, nil); err == nil {
		t.Error("a missing file was read")
	}
}

// A package that checks its parameters knows neither the table nor the line. The error must have both.
func TestACheckErrorGetsItsTableAndLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte("[members]\nname = \"a\"\nprobe = \"3h\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		check error
		text  string
		line  int
	}{
		"present": {&configerror.Error{Key: "probe", Problem: "must be at most 1h", Value: "3h"}, `:3: members.probe: must be at most 1h, got "3h"`, 3},
		"missing": {&configerror.Error{Key: "probe_time", Problem: "must be at most 1h"},
			":1: members.probe_time: must be at most 1h", 1},
	} {
		t.Run(name, func(t *testing.T) {
			err := Read(path, &testTables{}, func() error { return WrapCheckError("members", c.check) })
			var configErr *ConfigError
			if !errors.As(err, &configErr) || configErr.Line != c.line || !strings.HasSuffix(err.Error(), path+c.text) {
				t.Errorf("error %v, want line %d and text %q", err, c.line, c.text)
			}
		})
	}
}

// Callers can distinguish an unknown key from other errors, and get the position of an error without parsing
// its text.
func TestParseErrorsAreTyped(t *testing.T) {
	for text, unknown := range map[string]bool{"[members]\nprob = \"1s\"\n": true, "[members]\nprobe = \"soon\"\n": false} {
		path := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		err := Read(path, &testTables{}, nil)
		var parseErr *ParseError
		if !errors.As(err, &parseErr) || parseErr.Line != 2 || errors.Is(err, ErrUnknownKey) != unknown {
			t.Errorf("%q: error %v, position %+v, want an unknown key: %v", text, err, parseErr, unknown)
		}
	}
}

// An error of a check that has no key is wrapped, and its text has the file and the table.
func TestErrorWithoutKeyNamesItsTable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte("[members]\nprobe = \"3h\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cause := errors.New("probe: longer than 1h")
	err := Read(path, &testTables{}, func() error { return WrapCheckError("members", cause) })
	if !errors.Is(err, cause) || !strings.HasSuffix(err.Error(), path+": members: probe: longer than 1h") {
		t.Errorf("%v", err)
	}
}
