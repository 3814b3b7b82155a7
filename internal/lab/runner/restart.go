package runner

import (
	"fmt"
	"net"
	"sync"
	"time"

	"woaddyke/internal/lab/clients"
	"woaddyke/internal/lab/schedulers"
)

const (
	// A terminating process is killed when the longest TTL and this margin are over: clientDrainKillMargin
	// with clients.go_on, killMargin without.
	clientDrainKillMargin = 700 * time.Millisecond
	killMargin            = time.Second

	hupCount    = 5
	hupInterval = 2 * time.Millisecond // between two SIGHUPs

	// reconnectDelay is the time before a closed connection is replaced. Without it the fault would be a
	// flood of new connections instead of many idle ones.
	reconnectDelay      = 500 * time.Millisecond
	idleConnDialTimeout = 200 * time.Millisecond
	partialRequest      = "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Corr"
)

// killDelay returns the time from SIGTERM to SIGKILL for a process that doesn't exit.
func (r *run) killDelay() time.Duration {
	if r.experiment.Clients.UseWhileTerminating {
		return r.experiment.LongestTTL() + clientDrainKillMargin
	}
	return r.experiment.LongestTTL() + killMargin
}

// relayCount is the number of relays to a terminating process. A relay is a client that sends requests on one
// connection until the process closes it.
const relayCount = 3

// startRelays starts relays to a process that is about to be terminated, if clients.go_on is set. They end
// with the process.
func (r *run) startRelays(n int) {
	if !r.experiment.Clients.UseWhileTerminating {
		return
	}
	name := fmt.Sprintf("r%x-%d-%d", r.experiment.Seed, n, r.ledger.Now())
	for k := range relayCount {
		r.inBackground(func() error {
			clients.Relay(r.schedulers[n].Listen, n+1, fmt.Sprint(name, "-", k), r.ledger)
			return nil
		})
	}
	time.Sleep(relayLead)
}

// relayLead is the time for relays to connect before the process is terminated.
const relayLead = 20 * time.Millisecond

// takeover replaces a scheduler's process by a second one while relays use the first.
func (r *run) takeover(n int, hups bool) error {
	r.startRelays(n)
	return r.schedulers[n].Takeover(r.killDelay(), hups)
}

// stopAndRestart stops a scheduler as the kind of fault says, and starts it again when the duration is over.
func (r *run) stopAndRestart(s *schedulers.Scheduler, kind string, n int, duration time.Duration) error {
	begin := time.Now()
	if kind != "scheduler-kill" && kind != "scheduler-stale" {
		r.startRelays(n)
	}
	var err error
	switch kind {
	case "scheduler-term":
		err = s.Terminate(r.killDelay())
	case "scheduler-terms":
		err = s.TerminateRepeatedly(r.killDelay())
	case "scheduler-hup-term":
		r.moveDiscovery(n)
		err = s.Terminate(r.killDelay())
	default:
		s.Kill()
	}
	if err != nil {
		return err
	}
	time.Sleep(max(duration-time.Since(begin), 0))
	return s.Start(kind == "scheduler-stale")
}

// sendHups sends a series of SIGHUPs. Before each of them the discovery emulator moves to another address.
func (r *run) sendHups(n int) {
	for range hupCount {
		r.moveDiscovery(n)
		time.Sleep(hupInterval)
	}
}

// exhaustDescriptors opens idle connections to a scheduler, and a quarter as many to its console, to use up
// its descriptors. Half of the connections send part of a request. A closed connection is replaced until the
// duration is over.
func (r *run) exhaustDescriptors(s *schedulers.Scheduler, duration time.Duration) error {
	until := time.Now().Add(duration)
	var all sync.WaitGroup
	for k := range r.experiment.Schedulers.Sockets * 5 / 4 {
		addr := s.Listen
		if console := s.Console(); k%5 == 4 && console != "" {
			addr = console
		}
		all.Go(func() { keepIdleConns(addr, k%2 == 0, until) })
	}
	all.Wait()
	return nil
}

// keepIdleConns keeps one idle connection open until a point in time. It replaces a closed connection.
func keepIdleConns(addr string, silent bool, until time.Time) {
	for time.Now().Before(until) {
		c, err := net.DialTimeout("tcp", addr, idleConnDialTimeout)
		if err == nil {
			if !silent {
				fmt.Fprint(c, partialRequest)
			}
			c.SetReadDeadline(until)
			c.Read(make([]byte, 1))
			c.Close()
		}
		time.Sleep(reconnectDelay)
	}
}
