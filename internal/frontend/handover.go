package frontend

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"syscall"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
	"woaddyke/internal/lifecycle/clock"
	"woaddyke/internal/lifecycle/hotrestart"
	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/discovery"
)

// HandOver is what the process that takes the place of this one needs. From here on this one uses only its part of the
// descriptors.
// More are called for what others hand over beside it.
func (f *Server) HandOver(more ...func(*hotrestart.State) []syscall.Conn) (text []byte, sockets []syscall.Conn, err error) {
	at, ok := f.clients.Listener.(syscall.Conn)
	if !ok {
		return nil, nil, errors.New("handover: the listening socket can't be shared")
	}
	if sockets = append(sockets, at); f.peers != nil {
		sockets = append(sockets, f.peers.conn)
	}
	known, err := f.discovery.Snapshot()
	if err != nil {
		return nil, nil, err
	}
	workers, _ := f.workers.Counts()
	giver, heir := hotrestart.SplitDescriptors(f.bootstrap.Limits.Sockets, f.clients.Sockets()+workers, descriptorsReserved+f.reservedDescriptors)
	state := hotrestart.State{Sockets: heir, ClockOffset: f.clock.Offset(), KnownWorkers: known, ClientsDrained: f.drain.draining()}
	if state.WorkerStarts, err = json.Marshal(f.workerStarts.Snapshot()); err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	if learned, err := f.loop.Learned(); err == nil {
		if state.Learned, err = json.Marshal(learned); err != nil {
			return nil, nil, fmt.Errorf("handover: %w", err)
		}
	} else {
		f.log.Warn().Msg("nothing learned is handed over: the loop is busy")
	}
	for _, add := range more {
		sockets = append(sockets, add(&state)...)
	}
	if text, err = state.Encode(); err != nil {
		return nil, nil, err
	}
	f.setLimits(giver, workers)
	return text, sockets, nil
}

// clockShift is the span from a moment of the giver's clock to the same moment by this one's.
func clockShift(c clock.Clock, s hotrestart.State) dispatch.Time {
	return config.RoundUp(int64(c.Offset() - s.ClockOffset))
}

// inheritedStarts are when workers started as far as a process before this one knew.
func inheritedStarts(before *hotrestart.State, now clock.Clock) (*discovery.StartTimes, error) {
	if before == nil {
		return discovery.NewStartTimes(now, nil), nil
	}
	known := map[string]discovery.ProcessStart{}
	if len(before.WorkerStarts) > 0 {
		if err := json.Unmarshal(before.WorkerStarts, &known); err != nil {
			return nil, fmt.Errorf("handover: starts of workers: %w", err)
		}
	}
	shift := clockShift(now, *before)
	for uid, s := range known {
		known[uid] = discovery.ProcessStart{BootMS: s.BootMS, At: max(s.At+shift, 1)}
	}
	return discovery.NewStartTimes(now, known), nil
}

// RestoreState has this process go on from what the one before it gave: before Serve, with its socket for peers, if it had one.
func (f *Server) RestoreState(s hotrestart.State, peers *net.UDPConn) {
	f.inheritedPeerConn = peers
	f.Limit(s.Sockets)
	if learned, err := inheritedLearned(s); err == nil {
		learned.Shift(clockShift(f.clock, s))
		f.loop.Send(reducer.StateRestored{Learned: learned})
	} else {
		f.log.Warn().Err(err).Msg("nothing learned is taken over")
	}
	if s.ClientsDrained {
		f.DrainClients()
	}
}

// inheritedLearned is what the process before has learned.
func inheritedLearned(s hotrestart.State) (learned reducer.Learned, err error) {
	if len(s.Learned) == 0 || string(s.Learned) == "null" {
		return reducer.Learned{}, errors.New("its loop was busy")
	}
	err = json.Unmarshal(s.Learned, &learned)
	return learned, err
}

// HasSuccessor tells whether a process is there that takes the place of this one.
func (f *Server) HasSuccessor() bool { return f.successor.Load() }

// SetSuccessor says that a process is there to take the place of this one, or that it has ended and this one goes on alone.
func (f *Server) SetSuccessor(there bool) {
	if f.successor.Store(there); !there {
		f.Limit(f.bootstrap.Limits.Sockets)
		f.clients.Resume()
	}
}

// Reserve keeps so many descriptors for what runs beside the scheduler in its process. It is called before Serve.
func (f *Server) Reserve(descriptors int) {
	f.reservedDescriptors += descriptors
	f.Limit(f.bootstrap.Limits.Sockets)
}

// Limit sets how many descriptors this process may use.
func (f *Server) Limit(sockets int) { f.setLimits(sockets, 0) }

// setLimits leaves room for so many connections to workers at the least, of clients' room: ops that can't be pushed only wait.
func (f *Server) setLimits(sockets, workers int) {
	some, most, workers := splitDescriptors(sockets-descriptorsReserved-f.reservedDescriptors, workers)
	f.clients.Limit(some, most)
	f.workers.Limit(workers)
}

// splitDescriptors parts so many descriptors between clients, of whom from the first bound on some give way, and connections to workers.
func splitDescriptors(all, keep int) (some, most, workers int) {
	share := func(part float64) int { return max(int(part*float64(all)), 1) }
	workers = max(share(workerFraction), min(keep, all-share(softClientFraction)))
	return max(min(share(softClientFraction), all-workers), 1), max(min(share(maxClientFraction), all-workers), 1), workers
}
