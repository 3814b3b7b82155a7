package frontend

import (
	"sync"
	"time"

	"woaddyke/internal/frontend/clientconn"
	"woaddyke/internal/lifecycle/clientdrain"
)

// clientDrainer carries out a drain: it closes the connections whose wait is over.
type clientDrainer struct {
	clients *clientconn.Pool
	mu      sync.Mutex
	state   clientdrain.State
	running bool
}

func (x *clientDrainer) draining() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.Draining()
}

func (x *clientDrainer) admits(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.Admits(now)
}

// DrainClients sends clients away until Rejoin. Ops and all else go on.
func (f *Server) DrainClients() {
	x := f.drain
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.state.Start(time.Now()); !x.running {
		x.running = true
		go x.run()
	}
	f.log.Info().Msg("clients are sent away")
}

// ClientsDrained tells whether clients are sent away.
func (f *Server) ClientsDrained() bool { return f.drain.draining() }

// ReadmitClients takes clients again.
func (f *Server) ReadmitClients() {
	f.drain.mu.Lock()
	defer f.drain.mu.Unlock()
	f.drain.state.Cancel()
	f.log.Info().Msg("clients are taken again")
}

// run works until the drain is over.
func (x *clientDrainer) run() {
	for {
		x.mu.Lock()
		most, waited := x.state.ConnectionsToClose(time.Now(), x.clients.Waiting(), connectionPollInterval)
		if !x.state.Draining() {
			x.running = false
			x.mu.Unlock()
			return
		}
		x.mu.Unlock()
		x.clients.Part(most, waited)
		time.Sleep(connectionPollInterval)
	}
}
