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
	shareEvery = 100 * time.Millisecond // news go round, and those that have come are told all
	tenths     = 10                     // of a ms: by them schedulers tell one another when a worker started, in discovery's words
)

// sharing holds the own discovery's list against what neighbours were told.
type sharing struct {
	order  sync.Mutex // held from a look at what follows until the loop has been told of it; taken before mu
	mu     sync.Mutex
	core   *drainstate.Core
	of     DrainPeers
	tell   func(reducer.Input)
	listed map[string]reducer.Endpoint
	bound  map[string]bool // that serve by the own list, and take nothing new
}

// ShareDrains has a worker that drains by what a neighbour was told take nothing new from here. It is called before Serve.
func (f *Server) ShareDrains(of DrainPeers, chance uint64) {
	s := &sharing{core: drainstate.New(chance), of: of, tell: f.loop.Send, listed: map[string]reducer.Endpoint{}, bound: map[string]bool{}}
	s.take(f.known)
	f.shared = s
}

// PeerDrains takes what a neighbour was told.
func (f *Server) PeerDrains(words []drainstate.DrainRecord) {
	if s := f.shared; s != nil {
		s.mu.Lock()
		s.step(drainstate.RecordsReceived{Records: words})
		s.mu.Unlock()
	}
}

// listed takes what the own discovery tells.
func (f *Server) listed(in reducer.Input) {
	l, ok := in.(reducer.EndpointsChanged)
	if s := f.shared; ok && s != nil {
		s.hand(l)
		return
	}
	f.loop.Send(in)
}

// hand takes what the own discovery tells, and tells the loop of it as it binds here.
func (s *sharing) hand(l reducer.EndpointsChanged) {
	s.order.Lock()
	defer s.order.Unlock()
	s.tell(s.take(l))
}

// withhold tells the loop that a worker takes nothing new, if that holds still.
func (s *sharing) withhold(worker string) {
	s.order.Lock()
	defer s.order.Unlock()
	s.mu.Lock()
	entry, listed := s.listed[worker]
	withheld := s.core.Excluded(worker)
	s.mu.Unlock()
	if listed && withheld {
		entry.Ready = false
		s.tell(reducer.EndpointsChanged{Endpoints: []reducer.Endpoint{entry}})
	}
}

// letGo tells the loop of workers whose words are over.
func (s *sharing) letGo() {
	s.order.Lock()
	defer s.order.Unlock()
	if free := s.free(); len(free) > 0 {
		s.tell(reducer.EndpointsChanged{Endpoints: free})
	}
}

// free are the workers that were bound, and are no more.
func (s *sharing) free() (free []reducer.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(drainstate.PeersChanged{Names: s.of.Names()})
	for name := range s.bound {
		if s.core.Excluded(name) {
			continue
		}
		delete(s.bound, name)
		if e, ok := s.listed[name]; ok {
			free = append(free, e)
		}
	}
	return free
}

// take notes a list and returns it as it binds here.
func (s *sharing) take(l reducer.EndpointsChanged) reducer.EndpointsChanged {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := drainstate.EndpointsChanged{Revision: l.Revision, Snapshot: l.Snapshot}
	if l.Snapshot {
		s.listed = map[string]reducer.Endpoint{}
	}
	for _, e := range l.Endpoints {
		in.Endpoints = append(in.Endpoints, drainstate.Endpoint{Worker: e.Worker, BootID: tenths * e.BootID, Ready: e.Ready, Removed: e.Removed})
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
			s.bound[e.Worker] = true
		}
	}
	return out
}

// step feeds the core, with the lock held.
func (s *sharing) step(in drainstate.Input) {
	for _, e := range s.core.Step(s.of.Now(), in) {
		switch e := e.(type) {
		case drainstate.SendRecords:
			s.of.SendDrains(e.To, e.Records)
		case drainstate.WorkerExcluded:
			s.bound[e.Worker] = true
			go s.withhold(e.Worker) // the lock is held, and the loop may be busy
		}
	}
}

// run works until the context ends: it lets go of workers whose words are over.
func (s *sharing) run(ctx context.Context) {
	tick := time.NewTicker(shareEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s.letGo()
	}
}
