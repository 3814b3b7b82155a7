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
	// leastKillAfter is how long after the longest deadline a process that was told to end may be killed.
	leastKillAfter = 700 * time.Millisecond
	usualKillAfter = time.Second

	hupsInSeries = 5
	hupPause     = 2 * time.Millisecond // between two of a series

	crowdPause    = 500 * time.Millisecond // before another comes in place of one that was closed: it is a crowd, no flood
	crowdDialTime = 200 * time.Millisecond
	halfARequest  = "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Corr"
)

// killAfter is how long a process has from SIGTERM on before it is killed.
func (r *run) killAfter() time.Duration {
	if r.plan.Clients.GoOn {
		return r.plan.Longest() + leastKillAfter
	}
	return r.plan.Longest() + usualKillAfter
}

// relaysAtAnEnd is how many relays go on with their connections to a process that is told to end.
const relaysAtAnEnd = 3

// relayed begins some relays before a process is told to end, where clients go on. They end with it.
func (r *run) relayed(n int) {
	if !r.plan.Clients.GoOn {
		return
	}
	name := fmt.Sprintf("r%x-%d-%d", r.plan.Seed, n, r.book.Now())
	for k := range relaysAtAnEnd {
		r.beside(func() error {
			clients.Relay(r.schedulers[n].Listen, n+1, fmt.Sprint(name, "-", k), r.book)
			return nil
		})
	}
	time.Sleep(relayLead)
}

// relayLead is for relays to be under way.
const relayLead = 20 * time.Millisecond

// takeover has a second process take a scheduler's place, with relays at the first one.
func (r *run) takeover(n int, hups bool) error {
	r.relayed(n)
	return r.schedulers[n].Takeover(r.killAfter(), hups)
}

// endAndStart ends a scheduler in one of several ways, and starts it again.
func (r *run) endAndStart(s *schedulers.Scheduler, kind string, n int, span time.Duration) error {
	from := time.Now()
	if kind != "scheduler-kill" && kind != "scheduler-stale" {
		r.relayed(n)
	}
	var err error
	switch kind {
	case "scheduler-term":
		err = s.End(r.killAfter())
	case "scheduler-terms":
		err = s.EndBySeries(r.killAfter())
	case "scheduler-hup-term":
		r.move(n)
		err = s.End(r.killAfter())
	default:
		s.Kill()
	}
	if err != nil {
		return err
	}
	time.Sleep(max(span-time.Since(from), 0))
	return s.Start(kind == "scheduler-stale")
}

// hups sends a series of SIGHUPs; each comes with discovery at another place.
func (r *run) hups(n int) {
	for range hupsInSeries {
		r.move(n)
		time.Sleep(hupPause)
	}
}

// fill opens idle connections to a scheduler, and a quarter as many to its console, until its descriptors are used up: silent ones and ones
// with half a request. Where one is closed another one comes, for a while.
func (r *run) fill(s *schedulers.Scheduler, span time.Duration) error {
	until := time.Now().Add(span)
	var all sync.WaitGroup
	for k := range r.plan.Schedulers.Sockets * 5 / 4 {
		addr := s.Listen
		if console := s.Console(); k%5 == 4 && console != "" {
			addr = console
		}
		all.Go(func() { rest(addr, k%2 == 0, until) })
	}
	all.Wait()
	return nil
}

// rest keeps an idle connection open, one after another, until a moment.
func rest(addr string, silent bool, until time.Time) {
	for time.Now().Before(until) {
		c, err := net.DialTimeout("tcp", addr, crowdDialTime)
		if err == nil {
			if !silent {
				fmt.Fprint(c, halfARequest)
			}
			c.SetReadDeadline(until)
			c.Read(make([]byte, 1))
			c.Close()
		}
		time.Sleep(crowdPause)
	}
}
