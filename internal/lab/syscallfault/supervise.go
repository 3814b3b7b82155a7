package syscallfault

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	notifyReceive  = 0xc0502100 // SECCOMP_IOCTL_NOTIF_RECV
	notifySend     = 0xc0182101 // SECCOMP_IOCTL_NOTIF_SEND
	notifyContinue = 1          // SECCOMP_USER_NOTIF_FLAG_CONTINUE
	pollIntervalMS = 200        // timeout of each poll
	startTimeout   = 10 * time.Second
)

// notification is struct seccomp_notif.
type notification struct {
	id     uint64
	pid    uint32
	flags  uint32
	number int32
	arch   uint32
	ip     uint64
	args   [6]uint64
}

// response is struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	errno int32
	flags uint32
}

// Call is a system call that is about to be made.
type Call struct {
	Number int
	Args   [6]uint64
	pid    int
}

// Target returns the target of the descriptor in the first argument: a path, or a kind such as "socket:[7]".
// It is empty if the target is unknown.
func (c Call) Target() string {
	target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", c.pid, int32(c.Args[0])))
	if err != nil {
		return ""
	}
	return target
}

// Decide returns the error with which a call fails, or 0 to let it continue. It is never called
// concurrently.
type Decide func(Call) syscall.Errno

// Delay returns the time to wait before the decision on a call, or 0. Other calls continue meanwhile.
type Delay func(Call) time.Duration

// Supervisor decides on the chosen calls of one process.
type Supervisor struct {
	mu       sync.Mutex
	decide   Decide
	delay    Delay
	failed   map[int]int // by system call number
	listener int
	delayed  sync.WaitGroup // calls that wait for their decision
	ended    chan struct{}
}

// Start starts a command through a launcher, a program that calls Launch first. The supervisor then decides
// on the system calls with the given numbers. If d is nil, all of them continue.
func Start(cmd *exec.Cmd, launcher string, d Decide, numbers ...int) (*Supervisor, error) {
	instructions := launch{Path: cmd.Path, Args: cmd.Args}
	for _, n := range numbers {
		instructions.Calls = append(instructions.Calls, uint32(n))
	}
	text, err := json.Marshal(instructions)
	if err != nil {
		return nil, err
	}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, launchVariable+"="+string(text))
	cmd.Path, cmd.Args = launcher, []string{launcher}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	supervisorEnd, launcherEnd := os.NewFile(uintptr(pair[0]), "supervisor"), os.NewFile(uintptr(pair[1]), "launcher")
	defer supervisorEnd.Close()
	cmd.ExtraFiles = []*os.File{launcherEnd} // becomes descriptor 3 of the launcher
	err = cmd.Start()
	launcherEnd.Close()
	if err != nil {
		return nil, err
	}
	s := &Supervisor{decide: d, failed: map[int]int{}, ended: make(chan struct{})}
	if s.listener, err = receiveListener(supervisorEnd); err != nil {
		cmd.Process.Kill()
		return nil, errors.Join(err, cmd.Wait())
	}
	go s.handleCalls()
	return s, nil
}

// receiveListener receives the listener from the launcher.
func receiveListener(from *os.File) (listener int, err error) {
	c, err := net.FileConn(from)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(startTimeout))
	rights := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := c.(*net.UnixConn).ReadMsgUnix(make([]byte, 1), rights)
	if err != nil {
		return 0, fmt.Errorf("no listener received from the launcher: %w", err)
	}
	messages, err := unix.ParseSocketControlMessage(rights[:n])
	if err != nil || len(messages) != 1 {
		return 0, errors.Join(errors.New("no listener received from the launcher"), err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return 0, err
	}
	unix.CloseOnExec(fds[0])
	return fds[0], nil
}

// SetDecide replaces the function that decides on calls. If it is nil, all calls continue.
func (s *Supervisor) SetDecide(d Decide) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decide = d
}

// SetDelay sets the function that delays calls. If it is nil, no call is delayed.
func (s *Supervisor) SetDelay(d Delay) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Failed returns how many calls with a number have failed so far.
func (s *Supervisor) Failed(number int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed[number]
}

// Ended returns a channel that is closed when the process has ended and all decisions are made.
func (s *Supervisor) Ended() <-chan struct{} { return s.ended }

// handleCalls decides on calls until the process has ended.
func (s *Supervisor) handleCalls() {
	defer close(s.ended)
	defer unix.Close(s.listener)
	defer s.delayed.Wait()
	for {
		ready := []unix.PollFd{{Fd: int32(s.listener), Events: unix.POLLIN}}
		if _, err := unix.Poll(ready, pollIntervalMS); err != nil && err != unix.EINTR {
			return
		}
		if ready[0].Revents&unix.POLLIN != 0 {
			s.handleCall()
		} else if ready[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0 {
			return
		}
	}
}

// handleCall receives a call and decides on it. If the call's thread has ended or continued since, it does
// nothing.
func (s *Supervisor) handleCall() {
	var n notification
	if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(s.listener), notifyReceive, uintptr(unsafe.Pointer(&n))); errno != 0 {
		return
	}
	c := Call{Number: int(n.number), Args: n.args, pid: int(n.pid)}
	if delay := s.delayOf(c); delay > 0 {
		s.delayed.Go(func() {
			time.Sleep(delay)
			s.respond(n.id, c)
		})
		return
	}
	s.respond(n.id, c)
}

// respond decides on a call, and lets it continue or fail.
func (s *Supervisor) respond(id uint64, c Call) {
	r := response{id: id, flags: notifyContinue}
	if errno := s.decideErrno(c); errno != 0 {
		r.flags, r.errno = 0, -int32(errno)
	}
	unix.Syscall(unix.SYS_IOCTL, uintptr(s.listener), notifySend, uintptr(unsafe.Pointer(&r)))
}

func (s *Supervisor) delayOf(c Call) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delay == nil {
		return 0
	}
	return s.delay(c)
}

func (s *Supervisor) decideErrno(c Call) syscall.Errno {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.decide == nil {
		return 0
	}
	errno := s.decide(c)
	if errno != 0 {
		s.failed[c.Number]++
	}
	return errno
}
