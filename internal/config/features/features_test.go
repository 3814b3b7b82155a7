package features

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

type tables struct {
	Members *struct {
		Probe Duration `toml:"probe"`
		Name  string   `toml:"name"`
	} `toml:"members"`
}

// A mistake in the file must be one line that names the place: staff read it at a start that failed.
func TestAMistakeIsOneLineWithItsPlace(t *testing.T) {
	for text, want := range map[string]string{
		"[members]\nprobe = \"1s\"\n":                      "",
		"[members]\nprob = \"1s\"\n":                       ":2:1: no such key: members.prob",
		"[member]\n":                                       ":1:2: no such key: member",
		"[members]\nprobe = \"soon\"\n":                    `"soon" is no span of time`,
		"[members]\nprobe = \n":                            ":2:",
		"# a\n[members]\n\n  name = \"bad\"\nprobe=\"1s\"": ":4: members.name: a bad name",
		"[members]\nprobe = \"3h\"":                        ":2: members.probe: too long",
	} {
		path := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var x tables
		err := Read(path, &x, func() error {
			switch {
			case x.Members.Name == "bad":
				return &ConfigError{"members", "name", errors.New("a bad name")}
			case time.Duration(x.Members.Probe) > time.Hour:
				return &ConfigError{"members", "probe", errors.New("too long")}
			}
			return nil
		})
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	if err := Read("/nowhere", &tables{}, nil); err == nil {
		t.Error("a file that is not there was read")
	}
}
