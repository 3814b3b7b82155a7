package frontend

import (
	"sync"
	"time"

	"woaddyke/internal/frontend/clientconn"
	"woaddyke/internal/lifecycle/clientdrain"
)

// clientDrainer carries out a client drain: it closes idle connections as the drain's state requires.
type clientDrainer struct {
	clients *clientconn.Pool
	mu      sync.Mutex
	state   clientdrain.State
	running bool // a goroutine executes run
}

func (d *clientDrainer) draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Draining()
}

// admits tells whether an op that arrives now is admitted.
func (d *clientDrainer) admits(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Admits(now)
}

func (d *clientDrainer) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.Start(time.Now())
	if !d.running {
		d.running = true
		go d.run()
	}
}

func (d *clientDrainer) cancel() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.Cancel()
}

// run closes connections until the drain is cancelled.
func (d *clientDrainer) run() {
	for {
		count, minIdle, ended := d.next()
		if ended {
			return
		}
		d.clients.CloseIdle(count, minIdle)
		time.Sleep(connectionPollInterval)
	}
}

// next returns how many connections to close now, and for how long these must have been idle. If the drain
// was cancelled, ended is true.
func (d *clientDrainer) next() (count int, minIdle time.Duration, ended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	count, minIdle = d.state.ConnectionsToClose(time.Now(), d.clients.Waiting(), connectionPollInterval)
	if !d.state.Draining() {
		d.running = false
		return 0, 0, true
	}
	return count, minIdle, false
}

// DrainClients sends clients to other schedulers until ReadmitClients. Admitted ops continue.
func (s *Server) DrainClients() {
	s.drain.start()
	s.log.Info().Msg("client drain started")
}

// DrainingClients tells whether clients are being drained.
func (s *Server) DrainingClients() bool { return s.drain.draining() }

// ReadmitClients ends a client drain.
func (s *Server) ReadmitClients() {
	s.drain.cancel()
	s.log.Info().Msg("client drain ended")
}
