// Package hollow starts hollow schedulers: members of the cluster that share one process and have no clients. The process is the program
// hollow beside the lab's own; what it runs is the scheduler's own code for members, and a test holds it against a real process.
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

// Member is what one of them is told of itself.
type Member struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Advertise string `json:"advertise"`
}

// Told is what all of them are told.
type Told struct {
	Cluster string   `json:"cluster"`
	Seeds   []string `json:"seeds"`
	Lines   string   `json:"lines"`
	Chance  uint64   `json:"chance"`
	Members []Member `json:"members"`
}

// State is what one of them holds.
type State struct {
	Name   string `json:"name"`
	Live   int    `json:"live"`   // others that are here
	Digest string `json:"digest"` // the same wherever the views are the same
}

// Process is one process of them.
type Process struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   *bufio.Reader
	many  int
	mu    sync.Mutex
	ended bool
}

const endTime = 5 * time.Second

// Start starts a process and waits until all its members have their sockets.
func Start(program string, t Told) (*Process, error) {
	p := &Process{cmd: exec.Command(program), many: len(t.Members)}
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
		p.End()
		return nil, fmt.Errorf("hollow schedulers: %w", err)
	}
	return p, nil
}

// PID is of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// States asks all of them what they hold.
func (p *Process) States() ([]State, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, err := io.WriteString(p.in, "\n"); err != nil {
		return nil, fmt.Errorf("hollow schedulers: %w", err)
	}
	var all []State
	for range p.many {
		line, err := p.out.ReadBytes('\n')
		var s State
		if err == nil {
			err = json.Unmarshal(line, &s)
		}
		if err != nil {
			return nil, fmt.Errorf("hollow schedulers: %w", err)
		}
		all = append(all, s)
	}
	return all, nil
}

// End has them leave and ends their process. One that has ended by itself before is an error.
func (p *Process) End() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return nil
	}
	p.ended = true
	p.in.Close()
	kill := time.AfterFunc(endTime, func() { p.cmd.Process.Kill() })
	defer kill.Stop()
	if err := p.cmd.Wait(); err != nil {
		return fmt.Errorf("hollow schedulers: %w", err)
	}
	return nil
}
