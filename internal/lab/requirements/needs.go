// Package requirements says how many descriptors and how much memory an experiment takes, so that one beyond its machine is turned down before
// anything starts. The figures are estimates of an ordinary run, from below: a scheduler that dials without end needs more.
package requirements

import (
	"bufio"
	"fmt"
	"math"
	"os"
	"strings"
	"syscall"

	"woaddyke/internal/lab/experiment"
)

// Needs are what an experiment takes.
type Needs struct {
	Listeners   int // of the workers; part of Descriptors
	Descriptors int // of the lab's own process
	MemoryMB    int // of the lab and of all schedulers
}

// Limits are what a machine has.
type Limits struct {
	Descriptors int // of one process
	MemoryMB    int
}

// Costs of one of each, as docs/lab.md states them with their runs.
const (
	spare      = 200 // files of the ledger, the logs, and what the runtime holds
	labKB      = 60 << 10
	workerKB   = 16
	pairKB     = 0.6 // a worker as one scheduler's discovery has it, and the link between them
	opKB       = 7   // its lines of the ledger
	connKB     = 24  // both its ends' buffers in the lab
	processKB  = 24 << 10
	memberKB   = 2 // a member as another holds it, both links between them included
	listedKB   = 4 // a worker in a scheduler's list
	linger     = 1 // seconds that a connection may take to end in the lab
	triesPerOp = 3 // exchanges with workers: two probes and a push
)

// Of works out what an experiment takes.
func Of(e *experiment.Experiment) Needs {
	workers, listeners, slowest := 0, 0, math.Inf(1)
	for _, w := range e.Workers {
		workers += w.Count
		slowest = min(slowest, w.Speed)
		if w.Hollow {
			listeners += w.Count
		} else {
			listeners += w.Count * e.Schedulers.Count
		}
	}
	work, shares := 0.0, 0.0
	for _, c := range e.Categories {
		work, shares = work+c.Share*c.WorkMS/1000, shares+c.Share
	}
	rate, n := e.Arrivals.Rate, float64(e.Schedulers.Count)
	if e.Arrivals.Kind == "trace" {
		rate = 0 // it is not read yet
	}
	open := rate * work / shares / slowest
	// An exchange's connection stays for the keepalive, and for linger after its other end is closed; there are no more of them than pairs,
	// beside those that carry pushes. So a scheduler's bound of sockets is none for the lab.
	pairs, alive := n*float64(workers), e.Schedulers.KeepaliveMS/1000
	dials := min(pairs/alive, triesPerOp*rate)
	conns := min(2*open+dials*(alive+linger), 2*n*float64(e.Schedulers.Sockets))
	mesh, hollow := 0.0, float64(e.Members.Hollow)
	if e.Members.On {
		mesh = 5 * (n + hollow)
	}
	process := min(processKB+listedKB*float64(workers), float64(e.Schedulers.MemoryMB)*1024)
	kb := labKB + workerKB*float64(workers) + pairKB*n*float64(workers) + opKB*rate*e.Seconds + connKB*conns + process*n +
		memberKB*hollow*(hollow+n)
	return Needs{Listeners: listeners, Descriptors: int(float64(listeners) + conns + 3*n + mesh + spare), MemoryMB: int(kb / 1024)}
}

// Fit says in one line what a machine has too little of.
func (n Needs) Fit(l Limits) error {
	switch {
	case n.Descriptors > l.Descriptors:
		return fmt.Errorf("it needs about %d descriptors in the lab's process (%d of them workers' listeners) and %d is the limit here; "+
			"hollow workers have one listener each, a lower schedulers.keepalive_ms has fewer connections", n.Descriptors, n.Listeners, l.Descriptors)
	case n.MemoryMB > l.MemoryMB/2:
		return fmt.Errorf("it needs about %d MB of memory, more than half of this machine's %d MB", n.MemoryMB, l.MemoryMB)
	}
	return nil
}

// Machine reads what this machine has.
func Machine() (Limits, error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return Limits{}, err
	}
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return Limits{}, err
	}
	defer f.Close()
	l := Limits{Descriptors: int(min(files.Cur, math.MaxInt32))}
	for in := bufio.NewScanner(f); in.Scan(); {
		kb := 0
		if n, _ := fmt.Sscanf(strings.Join(strings.Fields(in.Text()), " "), "MemTotal: %d", &kb); n == 1 {
			l.MemoryMB = kb / 1024
		}
	}
	if l.MemoryMB == 0 {
		return l, fmt.Errorf("/proc/meminfo: no MemTotal")
	}
	return l, nil
}
