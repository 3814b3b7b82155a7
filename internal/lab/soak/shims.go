package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"woaddyke/internal/lab/schedulers"
	"woaddyke/internal/lab/steppedclock"
	"woaddyke/internal/lab/syscallfault"
)

// socketErrnos are the system calls on sockets that a fault makes fail, with errors that Linux documents for
// them.
var socketErrnos = map[int][]syscall.Errno{
	syscall.SYS_ACCEPT4: {syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.EPERM,
		syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EINTR},
	syscall.SYS_CONNECT: {syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENETUNREACH, syscall.ECONNABORTED, syscall.EAGAIN, syscall.ETIMEDOUT,
		syscall.EHOSTUNREACH, syscall.EPERM},
	syscall.SYS_SOCKET:   {syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS},
	syscall.SYS_RECVFROM: {syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR},
}

// fileErrnos are the system calls that write and sync files, with their errors.
var fileErrnos = map[int][]syscall.Errno{
	syscall.SYS_PWRITE64:  {syscall.EIO, syscall.ENOSPC},
	syscall.SYS_FDATASYNC: {syscall.EIO, syscall.ENOSPC},
	syscall.SYS_FSYNC:     {syscall.EIO, syscall.ENOSPC},
	syscall.SYS_FTRUNCATE: {syscall.EIO, syscall.ENOSPC},
}

// activeFaults are the active faults of a scheduler, which apply to all its processes.
type activeFaults struct {
	oneIn           float64 // one in oneIn calls on sockets fails; with 0 none fails
	maxConnectDelay time.Duration
	failFileCalls   bool
}

// Shims start schedulers whose clocks can be stepped and whose system calls can fail.
type Shims struct {
	program, launcher, folder, level string

	mu          sync.Mutex
	rng         *rand.Rand
	clocks      map[int]*steppedclock.Clock
	faults      map[int]*activeFaults
	failedCalls int // number of calls that failed
}

// NewShims returns shims for a program that was built by package steppedclock. The shims start the program
// through a launcher and put their files in a folder.
func NewShims(program, launcher, folder, level string, seed uint64) *Shims {
	return &Shims{program: program, launcher: launcher, folder: folder, level: level, rng: rand.New(rand.NewPCG(seed, 0x7368696d)),
		clocks: map[int]*steppedclock.Clock{}, faults: map[int]*activeFaults{}}
}

// Make starts the n-th scheduler, counted from 0. It is a schedulers.Launcher.
func (s *Shims) Make(n int, configPath, logPath string) (schedulers.Process, error) {
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	clock, faults, err := s.stateOf(n)
	if err != nil {
		return nil, err
	}
	cmd := schedulers.Command(s.program, configPath, logFile, "--log", s.level)
	cmd.Env = append(os.Environ(), clock.Environment(), "TMPDIR="+s.folder)
	var calls []int
	for _, errnos := range []map[int][]syscall.Errno{socketErrnos, fileErrnos} {
		for number := range errnos {
			calls = append(calls, number)
		}
	}
	supervisor, err := syscallfault.Start(cmd, s.launcher, func(c syscallfault.Call) syscall.Errno { return s.decide(faults, c) }, calls...)
	if err != nil {
		return nil, fmt.Errorf("scheduler: %w", err)
	}
	supervisor.SetDelay(func(c syscallfault.Call) time.Duration { return s.connectDelay(faults, c) })
	return schedulers.WrapProcess(cmd), nil
}

// stateOf returns the clock and the active faults of scheduler n.
func (s *Shims) stateOf(n int) (*steppedclock.Clock, *activeFaults, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clocks[n] == nil {
		clock, err := steppedclock.New(s.folder)
		if err != nil {
			return nil, nil, err
		}
		s.clocks[n], s.faults[n] = clock, &activeFaults{}
	}
	return s.clocks[n], s.faults[n], nil
}

// Turn begins or ends a fault at scheduler n.
func (s *Shims) Turn(kind string, n int, on bool, size float64) {
	clock, faults, err := s.stateOf(n)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch kind {
	case kindClock:
		clock.Set(time.Duration(size) * time.Second)
	case kindCalls:
		if faults.oneIn = size; !on {
			faults.oneIn = 0
		}
	case kindLate:
		if faults.maxConnectDelay = time.Duration(size * float64(time.Millisecond)); !on {
			faults.maxConnectDelay = 0
		}
	case kindDisk:
		faults.failFileCalls = on
	}
}

// decide returns the error with which a call fails, or 0.
func (s *Shims) decide(a *activeFaults, c syscallfault.Call) syscall.Errno {
	s.mu.Lock()
	defer s.mu.Unlock()
	errnos := socketErrnos[c.Number]
	if len(errnos) > 0 {
		if a.oneIn == 0 || s.rng.Float64()*a.oneIn >= 1 {
			return 0
		}
	} else if errnos = fileErrnos[c.Number]; !a.failFileCalls || !strings.HasPrefix(c.Target(), "/") {
		return 0
	}
	s.failedCalls++
	return errnos[s.rng.IntN(len(errnos))]
}

// connectDelay returns the delay of a call: a random delay for half of the connects under scheduler-late,
// otherwise 0.
func (s *Shims) connectDelay(a *activeFaults, c syscallfault.Call) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Number != syscall.SYS_CONNECT || a.maxConnectDelay == 0 || s.rng.IntN(2) == 0 {
		return 0
	}
	return time.Duration(s.rng.Float64() * float64(a.maxConnectDelay))
}

// Failed returns the number of calls that the shims have made fail.
func (s *Shims) Failed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failedCalls
}

// Close removes the clocks' files.
func (s *Shims) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.clocks {
		c.Close()
	}
}
