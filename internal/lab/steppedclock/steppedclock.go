// Package steppedclock builds a program whose wall clock another process can step while it runs. A step
// changes the wall reading of time.Now, and not its monotonic reading. The program's source is unchanged: for
// this build the Go command replaces a line of the standard library's package time through an overlay.
package steppedclock

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	clockVariable = "WOADDYKE_LAB_CLOCK" // the file that holds the step, in the program's environment
	fileSize      = 4096
)

const (
	readingBefore = "func Now() Time {\n\tsec, nsec, mono := runtimeNow()\n"
	readingAfter  = readingBefore + "\tsec += steppedSeconds()\n"
)

// overlaySource is the file that the build adds to package time.
const overlaySource = `package time

import (
	"sync/atomic"
	"syscall"
	"unsafe"
)

var stepped *int64

func init() {
	path, ok := syscall.Getenv("` + clockVariable + `")
	if !ok {
		return
	}
	fd, err := syscall.Open(path, syscall.O_RDONLY|syscall.O_CLOEXEC, 0)
	if err != nil {
		panic("time: the file that WOADDYKE_LAB_CLOCK names can't be opened")
	}
	memory, err := syscall.Mmap(fd, 0, 8, syscall.PROT_READ, syscall.MAP_SHARED)
	if err != nil {
		panic("time: the file that WOADDYKE_LAB_CLOCK names can't be mapped into memory")
	}
	syscall.Close(fd)
	stepped = (*int64)(unsafe.Pointer(&memory[0]))
}

func steppedSeconds() int64 {
	if stepped == nil {
		return 0
	}
	return atomic.LoadInt64(stepped)
}
`

// Build builds a package of the module that contains folder, and returns the program's path. It writes the
// program and the overlay to the folder into.
func Build(ctx context.Context, folder, pkg, into string) (string, error) {
	root, err := exec.CommandContext(ctx, "go", "env", "GOROOT").Output()
	if err != nil {
		return "", fmt.Errorf("stepped clock: %w", err)
	}
	source := filepath.Join(strings.TrimSpace(string(root)), "src", "time")
	timeSource, err := os.ReadFile(filepath.Join(source, "time.go"))
	if err != nil {
		return "", fmt.Errorf("stepped clock: %w", err)
	}
	changed := strings.Replace(string(timeSource), readingBefore, readingAfter, 1)
	if changed == string(timeSource) {
		return "", errors.New("stepped clock: time.Now of this Go version has no line that the overlay can replace")
	}
	files := map[string]string{"time.go": changed, "stepped.go": overlaySource}
	overlay := map[string]string{}
	for name, text := range files {
		path := filepath.Join(into, "stepped-"+name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return "", fmt.Errorf("stepped clock: %w", err)
		}
		overlay[filepath.Join(source, name)] = path
	}
	text, err := json.Marshal(map[string]any{"Replace": overlay})
	if err != nil {
		return "", fmt.Errorf("stepped clock: %w", err)
	}
	overlayPath := filepath.Join(into, "stepped-overlay.json")
	if err := os.WriteFile(overlayPath, text, 0o600); err != nil {
		return "", fmt.Errorf("stepped clock: %w", err)
	}
	program := filepath.Join(into, "stepped-"+filepath.Base(pkg))
	build := exec.CommandContext(ctx, "go", "build", "-overlay", overlayPath, "-o", program, pkg)
	build.Dir = folder
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("stepped clock: %w: %s", err, output)
	}
	return program, nil
}

// Clock is the wall clock of the processes that were started with the entry that Environment returns.
type Clock struct {
	file   *os.File
	memory []byte
}

// New returns a clock without a step, with its file in a folder.
func New(folder string) (*Clock, error) {
	f, err := os.CreateTemp(folder, "clock-")
	if err != nil {
		return nil, fmt.Errorf("stepped clock: %w", err)
	}
	if err := f.Truncate(fileSize); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	memory, err := unix.Mmap(int(f.Fd()), 0, 8, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return &Clock{file: f, memory: memory}, nil
}

// Environment returns the environment entry that makes a process use this clock.
func (c *Clock) Environment() string { return clockVariable + "=" + c.file.Name() }

// Set sets the clock ahead of the machine's clock by whole seconds, or behind it if ahead is negative.
func (c *Clock) Set(ahead time.Duration) {
	binary.NativeEndian.PutUint64(c.memory, uint64(int64(ahead/time.Second)))
}

// Close removes the clock's file. Processes that use it keep the last step.
func (c *Clock) Close() error {
	return errors.Join(unix.Munmap(c.memory), c.file.Close(), os.Remove(c.file.Name()))
}
