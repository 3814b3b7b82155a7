package frontend

import (
	"sync"
	"time"

	"woaddyke/internal/frontend/clientconn"
	"woaddyke/internal/lifecycle/clientdrain"
)

// drainer carries out a drain: it closes the connections whose wait is over.
type drainer struct {
	clients *clientconn.Pool
	mu      sync.Mutex
	d       clientdrain.State
	runs    bool
}

func (x *drainer) on() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.d.Draining()
}

func (x *drainer) takes(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.d.Admits(now)
}

// DrainClients sends clients away until Rejoin. Ops and all else go on.
func (f *Server) DrainClients() {
	x := f.drain
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.d.Start(time.Now()); !x.runs {
		x.runs = true
		go x.run()
	}
	f.log.Info().Msg("clients are sent away")
}

// ClientsDrained tells whether clients are sent away.
func (f *Server) ClientsDrained() bool { return f.drain.on() }

// ReadmitClients takes clients again.
func (f *Server) ReadmitClients() {
	f.drain.mu.Lock()
	defer f.drain.mu.Unlock()
	f.drain.d.Cancel()
	f.log.Info().Msg("clients are taken again")
}

// run works until the drain is over.
func (x *drainer) run() {
	for {
		x.mu.Lock()
		most, waited := x.d.ConnectionsToClose(time.Now(), x.clients.Waiting(), lookEvery)
		if !x.d.Draining() {
			x.runs = false
			x.mu.Unlock()
			return
		}
		x.mu.Unlock()
		x.clients.Part(most, waited)
		time.Sleep(lookEvery)
	}
}
