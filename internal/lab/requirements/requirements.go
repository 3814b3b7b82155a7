// Package requirements estimates how many descriptors and how much memory an experiment needs, so that the
// lab can reject an experiment before any process starts if its machine can't run it. The figures are lower
// estimates for an ordinary run: a scheduler that dials without end needs more.
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

// Needs are the resources that an experiment needs.
type Needs struct {
	Listeners   int // listeners of the workers; included in Descriptors
	Descriptors int // descriptors of the lab's own process
	MemoryMB    int // memory of the lab and of all schedulers
}

// Limits are the resources of a machine.
type Limits struct {
	Descriptors int // the limit of a process
	MemoryMB    int
}

// Costs per unit. docs/lab.md lists the runs that measured them.
const (
	spareDescriptors = 200 // descriptors of the ledger, the logs and the Go runtime
	labKB            = 60 << 10
	workerKB         = 16
	workerLinkKB     = 0.6 // per pair of a worker and a scheduler: discovery's state and the link
	opKB             = 7   // the op's ledger lines
	connKB           = 24  // buffers of both ends in the lab
	processKB        = 24 << 10
	memberKB         = 2 // per pair of members: the view and both links
	listEntryKB      = 4 // per worker in a scheduler's endpoint list
	lingerSeconds    = 1 // longest time until a closed connection ends in the lab
	exchangesPerOp   = 3 // two load probes and a push
)

// Of estimates the resources that an experiment needs.
func Of(e *experiment.Experiment) Needs {
	workers, listeners, minSpeed := 0, 0, math.Inf(1)
	for _, w := range e.Workers {
		workers += w.Count
		minSpeed = min(minSpeed, w.Speed)
		if w.Hollow {
			listeners += w.Count
		} else {
			listeners += w.Count * e.Schedulers.Count
		}
	}
	work, shareSum := 0.0, 0.0
	for _, c := range e.Categories {
		work, shareSum = work+c.Share*c.WorkMS/1000, shareSum+c.Share
	}
	rate, n := e.Arrivals.Rate, float64(e.Schedulers.Count)
	if e.Arrivals.Kind == "trace" {
		rate = 0 // the trace file has not been read yet
	}
	running := rate * work / shareSum / minSpeed
	// An exchange's connection stays open for the keepalive time, and in the lab for lingerSeconds after the
	// other end closes. In addition to the connections that carry pushes, there is at most one connection for
	// each pair of a scheduler and a worker. The lab can therefore have more connections than the schedulers'
	// socket limits allow.
	pairs, alive := n*float64(workers), e.Schedulers.KeepaliveMS/1000
	dials := min(pairs/alive, exchangesPerOp*rate)
	conns := min(2*running+dials*(alive+lingerSeconds), 2*n*float64(e.Schedulers.Sockets))
	mesh, hollow := 0.0, float64(e.Members.Hollow)
	if e.Members.On {
		mesh = 5 * (n + hollow)
	}
	process := min(processKB+listEntryKB*float64(workers), float64(e.Schedulers.MemoryMB)*1024)
	kb := labKB + workerKB*float64(workers) + workerLinkKB*n*float64(workers) + opKB*rate*e.Seconds + connKB*conns + process*n +
		memberKB*hollow*(hollow+n)
	return Needs{Listeners: listeners, Descriptors: int(float64(listeners) + conns + 3*n + mesh + spareDescriptors), MemoryMB: int(kb / 1024)}
}

// CheckFits returns nil if the machine has enough of each resource. Otherwise it returns a one-line error that
// names the resource.
func (n Needs) CheckFits(l Limits) error {
	switch {
	case n.Descriptors > l.Descriptors:
		return fmt.Errorf("it needs about %d descriptors in the lab's process (%d of them workers' listeners) and %d is the limit here; "+
			"hollow workers have one listener each, a lower schedulers.keepalive_ms has fewer connections", n.Descriptors, n.Listeners, l.Descriptors)
	case n.MemoryMB > l.MemoryMB/2:
		return fmt.Errorf("it needs about %d MB of memory, more than half of this machine's %d MB", n.MemoryMB, l.MemoryMB)
	}
	return nil
}

// Machine reads the limits of this machine.
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
