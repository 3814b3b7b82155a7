package frontend

import (
	"context"
	"slices"
	"sync"
	"time"

	"woaddyke/internal/cluster/drainstate"
	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/scheduler/reducer"
)

// DrainPeers gives access to the other schedulers with which drain records are exchanged.
type DrainPeers interface {
	Names() []string
	SendDrains(to string, records []drainstate.DrainRecord)
	Now() membership.Time
}

const (
	// drainExchangeInterval is the time between two exchanges of drain records.
	drainExchangeInterval = 100 * time.Millisecond

	// tenthsPerMS converts boot IDs from ms, as in discovery, to tenths of a ms, as in drain records.
	tenthsPerMS = 10
)

// peerDrains excludes workers that are draining according to another scheduler's discovery, before this
// scheduler's discovery reports it.
type peerDrains struct {
	sendMu sync.Mutex // locked while a list is made and sent, so that lists arrive in order; locked before mu

	mu        sync.Mutex
	core      *drainstate.Core
	peers     DrainPeers
	send      func(reducer.Input) // to the loop
	endpoints map[string]reducer.Endpoint
	excluded  map[string]bool // workers that the loop was sent as not ready because of a drain record
}

// ShareDrains exchanges drain records with the other schedulers, and excludes workers that one of them
// knows to be draining. Call it before Serve.
func (s *Server) ShareDrains(peers DrainPeers, seed uint64) {
	drains := &peerDrains{
		core:      drainstate.New(seed),
		peers:     peers,
		send:      s.loop.Send,
		endpoints: map[string]reducer.Endpoint{},
		excluded:  map[string]bool{},
	}
	drains.apply(s.endpoints.cached)
	s.endpoints.peerDrains = drains
}

// ReceiveDrainRecords handles drain records that another scheduler sent.
func (s *Server) ReceiveDrainRecords(records []drainstate.DrainRecord) {
	if drains := s.endpoints.peerDrains; drains != nil {
		drains.mu.Lock()
		defer drains.mu.Unlock()
		drains.step(drainstate.RecordsReceived{Records: records})
	}
}

// forward sends the loop a list from discovery, with the excluded workers as not ready.
func (d *peerDrains) forward(list reducer.EndpointsChanged) {
	d.sendMu.Lock()
	defer d.sendMu.Unlock()
	d.send(d.apply(list))
}

// exclude sends the loop a worker as not ready, if it is still excluded.
func (d *peerDrains) exclude(worker string) {
	d.sendMu.Lock()
	defer d.sendMu.Unlock()
	if entry, excluded := d.excludedEntry(worker); excluded {
		d.send(reducer.EndpointsChanged{Endpoints: []reducer.Endpoint{entry}})
	}
}

func (d *peerDrains) excludedEntry(worker string) (entry reducer.Endpoint, excluded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, listed := d.endpoints[worker]
	entry.Ready = false
	return entry, listed && d.core.Excluded(worker)
}

// readmitExpired sends the loop the workers whose drain records have expired.
func (d *peerDrains) readmitExpired() {
	d.sendMu.Lock()
	defer d.sendMu.Unlock()
	if expired := d.removeExpired(); len(expired) > 0 {
		d.send(reducer.EndpointsChanged{Endpoints: expired})
	}
}

// removeExpired deletes from d.excluded the workers that are no longer excluded. It returns those of them
// that are on the endpoint list.
func (d *peerDrains) removeExpired() (expired []reducer.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(drainstate.PeersChanged{Names: d.peers.Names()})
	for name := range d.excluded {
		if d.core.Excluded(name) {
			continue
		}
		delete(d.excluded, name)
		if e, listed := d.endpoints[name]; listed {
			expired = append(expired, e)
		}
	}
	return expired
}

// apply records a list from discovery, and returns it with the excluded workers as not ready.
func (d *peerDrains) apply(list reducer.EndpointsChanged) reducer.EndpointsChanged {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(d.record(list))
	list.Endpoints = slices.Clone(list.Endpoints)
	for i := range list.Endpoints {
		e := &list.Endpoints[i]
		if d.core.Excluded(e.Worker) {
			e.Ready = false
			d.excluded[e.Worker] = true
		}
	}
	return list
}

// record stores a list and returns it as drainstate's type. The caller holds mu.
func (d *peerDrains) record(list reducer.EndpointsChanged) drainstate.EndpointsChanged {
	if list.Snapshot {
		d.endpoints = map[string]reducer.Endpoint{}
	}
	changed := drainstate.EndpointsChanged{Revision: list.Revision, Snapshot: list.Snapshot}
	for _, e := range list.Endpoints {
		changed.Endpoints = append(changed.Endpoints, drainstate.Endpoint{
			Worker:  e.Worker,
			BootID:  tenthsPerMS * e.BootID,
			Ready:   e.Ready,
			Removed: e.Removed,
		})
		if e.Removed {
			delete(d.endpoints, e.Worker)
		} else {
			d.endpoints[e.Worker] = e
		}
	}
	return changed
}

// step passes an input to the core and carries out its effects. The caller holds mu.
func (d *peerDrains) step(in drainstate.Input) {
	for _, e := range d.core.Step(d.peers.Now(), in) {
		switch e := e.(type) {
		case drainstate.SendRecords:
			d.peers.SendDrains(e.To, e.Records)
		case drainstate.WorkerExcluded:
			d.excluded[e.Worker] = true
			go d.exclude(e.Worker) // not called here: it locks mu, and waits for the loop if that is busy
		}
	}
}

// run exchanges drain records and readmits workers until the context ends.
func (d *peerDrains) run(ctx context.Context) {
	tick := time.NewTicker(drainExchangeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.readmitExpired()
		}
	}
}
