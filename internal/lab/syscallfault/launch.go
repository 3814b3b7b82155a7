// Package syscallfault makes chosen system calls of another process fail. A launcher installs a seccomp
// filter on itself and then executes the program, so the program needs no change and no privilege. For each
// of the chosen calls, the supervisor decides whether it continues or fails, and with which error.
package syscallfault

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	launchVariable = "WOADDYKE_LAB_SYSCALLS" // environment variable with the launcher's instructions, as JSON
	listenerFD     = 3                       // the launcher's end of the socket to the supervisor, which carries the listener

	filterNewListener  = 1 << 3 // SECCOMP_FILTER_FLAG_NEW_LISTENER
	filterWaitKillable = 1 << 5 // SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV: preemption signals don't interrupt a call
	setModeFilter      = 1      // SECCOMP_SET_MODE_FILTER
	returnAllow        = 0x7fff0000
	returnUserNotify   = 0x7fc00000
)

// launch holds the instructions for a launcher.
type launch struct {
	Calls []uint32 // numbers of the system calls that the supervisor decides on
	Path  string
	Args  []string
}

// Launch executes the program that a supervisor started this process for. A launcher's main or TestMain must
// call Launch first. If no supervisor started the process, Launch returns and does nothing.
func Launch() {
	text := os.Getenv(launchVariable)
	if text == "" {
		return
	}
	if err := execProgram(text); err != nil {
		fmt.Fprintln(os.Stderr, "syscallfault:", err)
		os.Exit(1)
	}
}

// execProgram installs the filter and executes the program. It returns only with an error.
func execProgram(text string) error {
	var instructions launch
	if err := json.Unmarshal([]byte(text), &instructions); err != nil {
		return err
	}
	os.Unsetenv(launchVariable)
	environment := os.Environ()
	runtime.LockOSThread() // the filter applies to this thread alone, and this thread executes the program
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no new privileges: %w", err)
	}
	listener, err := installFilter(instructions.Calls)
	if err != nil {
		return err
	}
	if err := unix.Sendmsg(listenerFD, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("sending the listener: %w", err)
	}
	unix.Close(listener)
	unix.Close(listenerFD)
	return syscall.Exec(instructions.Path, instructions.Args, environment)
}

// installFilter installs a filter on this thread that passes the chosen calls to the holder of the listener.
func installFilter(calls []uint32) (listener int, err error) {
	if len(calls) == 0 || len(calls) > 64 {
		return 0, fmt.Errorf("%d system calls to filter, from 1 to 64 are allowed", len(calls))
	}
	statements := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: 0}} // the call's number
	for k, call := range calls {
		statements = append(statements, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: call, Jt: uint8(len(calls) - k)})
	}
	statements = append(statements, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: returnAllow},
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: returnUserNotify})
	program := unix.SockFprog{Len: uint16(len(statements)), Filter: &statements[0]}
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, setModeFilter, filterNewListener|filterWaitKillable, uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return 0, fmt.Errorf("seccomp: %w", errno)
	}
	return int(fd), nil
}
