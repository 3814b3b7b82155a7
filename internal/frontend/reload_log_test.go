package frontend

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Whoever reads that a configuration was kept looks for its file: a process may have been given any.
func TestAKeptConfigurationIsNamedByItsFile(t *testing.T) {
	missing, torn := filepath.Join(t.TempDir(), "missing.json"), filepath.Join(t.TempDir(), "torn.json")
	if err := os.WriteFile(torn, []byte(`{"name":`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{missing, torn} {
		var log bytes.Buffer
		f, err := New(testBootstrap(t, `{"rev":1,"all":true,"targets":[]}`), zerolog.New(&log))
		if err != nil {
			t.Fatal(err)
		}
		f.ReloadConfig(path)
		if !strings.Contains(log.String(), `"path":"`+path+`"`) {
			t.Errorf("%s", log.String())
		}
	}
}
