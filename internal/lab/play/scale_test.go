package play

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"woaddyke/internal/lab/plan"
)

// What can't fit is not begun: no folder, no process.
func TestAnExperimentBeyondTheMachineStartsNothing(t *testing.T) {
	e, err := plan.Parse([]byte("[schedulers]\ncount = 400\n[[workers]]\ncount = 16000\n[[categories]]\nname = \"a\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(t.TempDir(), "out")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := Run(ctx, e, Stage{Out: dir}); err == nil || !strings.Contains(err.Error(), "6400000 of them workers' listeners") {
		t.Errorf("%v", err)
	}
	if _, err := os.Stat(dir); !os.IsNotExist(err) {
		t.Errorf("its folder: %v", err)
	}
}
