package frontend

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// The log line about a rejected configuration must contain its path, since the file may lie anywhere.
func TestARejectedReloadLogsItsPath(t *testing.T) {
	missing, truncated := filepath.Join(t.TempDir(), "missing.json"), filepath.Join(t.TempDir(), "truncated.json")
	if err := os.WriteFile(truncated, []byte(`{"name":`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{missing, truncated} {
		var log bytes.Buffer
		server, err := New(testBootstrap(t, `{"rev":1,"all":true,"targets":[]}`), zerolog.New(&log))
		if err != nil {
			t.Fatal(err)
		}
		server.ReloadConfig(path)
		if !strings.Contains(log.String(), `"path":"`+path+`"`) {
			t.Errorf("the log does not name %s: %s", path, log.String())
		}
	}
}
