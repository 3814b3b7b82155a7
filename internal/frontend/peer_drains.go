package frontend

import (
	"context"
	"sync"
	"time"

	"woaddyke/internal/cluster/drainstate"
	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/scheduler/reducer"
)

// DrainPeers are the other schedulers, as far as lists of workers are shared with them.
type DrainPeers interface {
	Names() []string
	SendDrains(to string, words []drainstate.DrainRecord)
	Now() membership.Time
}

const (
	drainExchangeInterval = 100 * time.Millisecond // news go round, and those that have come are told all
	tenthsPerMS           = 10                     // of a ms: by them schedulers tell one another when a worker started, in discovery's words
)

// peerDrains holds the own discovery's list against what neighbours were told.
type peerDrains struct {
	order    sync.Mutex // held from a look at what follows until the loop has been told of it; taken before mu
	mu       sync.Mutex
	core     *drainstate.Core
	peers    DrainPeers
	send     func(reducer.Input)
	listed   map[string]reducer.Endpoint
	excluded map[string]bool // that serve by the own list, and take nothing new
}

// ShareDrains has a worker that drains by what a neighbour was told take nothing new from here. It is called before Serve.
func (f *Server) ShareDrains(of DrainPeers, chance uint64) {
	s := &peerDrains{core: drainstate.New(chance), peers: of, send: f.loop.Send, listed: map[string]reducer.Endpoint{}, excluded: map[string]bool{}}
	s.apply(f.cachedEndpoints)
	f.peerDrains = s
}

// PeerDrains takes what a neighbour was told.
func (f *Server) PeerDrains(words []drainstate.DrainRecord) {
	if s := f.peerDrains; s != nil {
		s.mu.Lock()
		s.step(drainstate.RecordsReceived{Records: words})
		s.mu.Unlock()
	}
}

// endpointsChanged takes what the own discovery tells.
func (f *Server) endpointsChanged(in reducer.Input) {
	l, ok := in.(reducer.EndpointsChanged)
	if s := f.peerDrains; ok && s != nil {
		s.forward(l)
		return
	}
	f.loop.Send(in)
}

// forward takes what the own discovery tells, and tells the loop of it as it binds here.
func (s *peerDrains) forward(l reducer.EndpointsChanged) {
	s.order.Lock()
	defer s.order.Unlock()
	s.send(s.apply(l))
}

// exclude tells the loop that a worker takes nothing new, if that holds still.
func (s *peerDrains) exclude(worker string) {
	s.order.Lock()
	defer s.order.Unlock()
	s.mu.Lock()
	entry, listed := s.listed[worker]
	withheld := s.core.Excluded(worker)
	s.mu.Unlock()
	if listed && withheld {
		entry.Ready = false
		s.send(reducer.EndpointsChanged{Endpoints: []reducer.Endpoint{entry}})
	}
}

// readmitExpired tells the loop of workers whose words are over.
func (s *peerDrains) readmitExpired() {
	s.order.Lock()
	defer s.order.Unlock()
	if free := s.expired(); len(free) > 0 {
		s.send(reducer.EndpointsChanged{Endpoints: free})
	}
}

// expired are the workers that were bound, and are no more.
func (s *peerDrains) expired() (free []reducer.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(drainstate.PeersChanged{Names: s.peers.Names()})
	for name := range s.excluded {
		if s.core.Excluded(name) {
			continue
		}
		delete(s.excluded, name)
		if e, ok := s.listed[name]; ok {
			free = append(free, e)
		}
	}
	return free
}

// apply notes a list and returns it as it binds here.
func (s *peerDrains) apply(l reducer.EndpointsChanged) reducer.EndpointsChanged {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := drainstate.EndpointsChanged{Revision: l.Revision, Snapshot: l.Snapshot}
	if l.Snapshot {
		s.listed = map[string]reducer.Endpoint{}
	}
	for _, e := range l.Endpoints {
		in.Endpoints = append(in.Endpoints, drainstate.Endpoint{Worker: e.Worker, BootID: tenthsPerMS * e.BootID, Ready: e.Ready, Removed: e.Removed})
		if s.listed[e.Worker] = e; e.Removed {
			delete(s.listed, e.Worker)
		}
	}
	s.step(in)
	out := l
	out.Endpoints = append([]reducer.Endpoint(nil), l.Endpoints...)
	for i := range out.Endpoints {
		if e := &out.Endpoints[i]; s.core.Excluded(e.Worker) {
			e.Ready = false
			s.excluded[e.Worker] = true
		}
	}
	return out
}

// step feeds the core, with the lock held.
func (s *peerDrains) step(in drainstate.Input) {
	for _, e := range s.core.Step(s.peers.Now(), in) {
		switch e := e.(type) {
		case drainstate.SendRecords:
			s.peers.SendDrains(e.To, e.Records)
		case drainstate.WorkerExcluded:
			s.excluded[e.Worker] = true
			go s.exclude(e.Worker) // the lock is held, and the loop may be busy
		}
	}
}

// run works until the context ends: it lets go of workers whose words are over.
func (s *peerDrains) run(ctx context.Context) {
	tick := time.NewTicker(drainExchangeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s.readmitExpired()
	}
}
