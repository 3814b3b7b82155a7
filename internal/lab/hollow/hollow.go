// Package hollow starts hollow schedulers: members of the cluster that share a process and have no clients.
// The process is the program hollow, which runs the scheduler's membership code. A test compares its traffic
// with that of a real scheduler process.
package hollow

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Member is the configuration of a hollow scheduler.
type Member struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Advertise string `json:"advertise"`
}

// Config is the configuration of the process.
type Config struct {
	Cluster string   `json:"cluster"`
	Seeds   []string `json:"seeds"`
	Lines   string   `json:"lines"`
	Chance  uint64   `json:"chance"`
	Members []Member `json:"members"`
}

// State is the state of a hollow scheduler.
type State struct {
	Name   string `json:"name"`
	Live   int    `json:"live"`   // number of other members seen in the state "here"
	Digest string `json:"digest"` // equal for equal views
	// WorstMS is the greatest delay of the member, caused by sharing the processor with the others.
	WorstMS float64 `json:"worst_late_ms"`
}

// Process is a process of hollow schedulers.
type Process struct {
	cmd         *exec.Cmd
	in          io.WriteCloser
	out         *bufio.Reader
	memberCount int
	mu          sync.Mutex
	ended       bool
}

const stopTimeout = 5 * time.Second

// Start starts a process and waits until all its members have opened their sockets.
func Start(program string, t Config) (*Process, error) {
	p := &Process{cmd: exec.Command(program), memberCount: len(t.Members)}
	p.cmd.Stderr = os.Stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	var err error
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.out = bufio.NewReader(out)
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("hollow schedulers: %w", err)
	}
	text, err := json.Marshal(t)
	if err == nil {
		_, err = p.in.Write(append(text, '\n'))
	}
	if err == nil {
		var line string
		if line, err = p.out.ReadString('\n'); err == nil && line != "up\n" {
			err = errors.New(line)
		}
	}
	if err != nil {
		p.Stop()
		return nil, fmt.Errorf("hollow schedulers: the process did not report that its members are up: %w", err)
	}
	return p, nil
}

// PID returns the ID of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// States asks the process for the states of all its members.
func (p *Process) States() ([]State, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, err := io.WriteString(p.in, "\n"); err != nil {
		return nil, fmt.Errorf("hollow schedulers: %w", err)
	}
	var all []State
	for range p.memberCount {
		line, err := p.out.ReadBytes('\n')
		var s State
		if err == nil {
			err = json.Unmarshal(line, &s)
		}
		if err != nil {
			return nil, fmt.Errorf("hollow schedulers: reading the state of a member: %w", err)
		}
		all = append(all, s)
	}
	return all, nil
}

// Stop has the members leave and ends the process. A second call does nothing. The error is that of the
// process: it exited with a failure status, or it was killed, for example after stopTimeout.
func (p *Process) Stop() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return nil
	}
	p.ended = true
	p.in.Close()
	kill := time.AfterFunc(stopTimeout, func() { p.cmd.Process.Kill() })
	defer kill.Stop()
	if err := p.cmd.Wait(); err != nil {
		return fmt.Errorf("hollow schedulers: %w", err)
	}
	return nil
}
