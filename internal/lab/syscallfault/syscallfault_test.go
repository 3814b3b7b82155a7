package syscallfault

import (
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

func TestMain(m *testing.M) {
	Launch()
	os.Exit(m.Run())
}

// A supervised process must run unchanged except for the chosen calls, and those must fail with the chosen
// errors.
func TestChosenCallsFailAndNoOthers(t *testing.T) {
	program, err := exec.LookPath("sync")
	if err != nil {
		t.Fatal(err)
	}
	file := t.TempDir() + "/file"
	if err := os.WriteFile(file, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, errno := range []syscall.Errno{0, syscall.EIO, syscall.ENOSPC} {
		var stderr strings.Builder
		cmd := exec.Command(program, file)
		cmd.Stderr = &stderr
		cmd.Env = append(os.Environ(), "LC_ALL=C")
		s, err := Start(cmd, os.Args[0], func(c Call) syscall.Errno {
			if c.Target() != file {
				t.Errorf("a call on %q", c.Target())
			}
			return errno
		}, syscall.SYS_FSYNC)
		if err != nil {
			t.Fatal(err)
		}
		err = cmd.Wait()
		if errno == 0 && err != nil || errno != 0 && (err == nil || !strings.Contains(strings.ToLower(stderr.String()), errno.Error())) {
			t.Errorf("%v: %v, %s", errno, err, stderr.String())
		}
		<-s.Ended()
	}
}
