package steppedclock

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"testing"
	"time"
)

// A step must move the wall clock by the given time. It must not change the time that the process has run by
// the monotonic clock.
func TestSteppingMovesTheWallClockAndLeavesTheMonotonicClock(t *testing.T) {
	dir := t.TempDir()
	program, err := Build(t.Context(), ".", "./showclock", dir)
	if err != nil {
		t.Fatal(err)
	}
	clock, err := New(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer clock.Close()
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), clock.Environment())
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer in.Close()
	answers := bufio.NewReader(out)
	for _, ahead := range []time.Duration{0, time.Hour, -time.Hour, 0} {
		clock.Set(ahead)
		fmt.Fprintln(in)
		var wall, ran int64
		if _, err := fmt.Fscanln(answers, &wall, &ran); err != nil {
			t.Fatal(err)
		}
		off := wall - time.Now().Unix() - int64(ahead/time.Second)
		if off < -60 || off > 1 || ran < 0 || ran > 60_000 {
			t.Errorf("%v ahead: off by %d s, ran for %d ms", ahead, off, ran)
		}
	}
}
