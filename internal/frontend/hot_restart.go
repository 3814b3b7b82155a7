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

var (
	errListenerNotShared = errors.New("handover: the listening socket can't be shared")
	errNothingLearned    = errors.New("its loop was busy")
)

// HandOver returns what a successor needs: a state, and the sockets that this process listens on. The
// functions in more add what other parts of the process hand over. From here on this process uses only
// its part of the descriptors.
func (s *Server) HandOver(more ...func(*hotrestart.State) []syscall.Conn) (
	text []byte, sockets []syscall.Conn, err error,
) {
	listener, ok := s.clients.Listener.(syscall.Conn)
	if !ok {
		return nil, nil, errListenerNotShared
	}
	sockets = append(sockets, listener)
	if conn := s.peers.conn(); conn != nil {
		sockets = append(sockets, conn)
	}
	known, err := s.endpoints.client.Snapshot()
	if err != nil {
		return nil, nil, err
	}
	workers, _ := s.workers.Counts()
	own, successors := s.splitWithSuccessor(workers)
	state := hotrestart.State{
		Sockets:        successors,
		ClockOffset:    s.clock.Offset(),
		KnownWorkers:   known,
		ClientsDrained: s.drain.draining(),
	}
	if err := s.addLearned(&state); err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	for _, add := range more {
		sockets = append(sockets, add(&state)...)
	}
	if text, err = state.Encode(); err != nil {
		return nil, nil, err
	}
	s.setLimits(own, workers)
	return text, sockets, nil
}

// splitWithSuccessor splits the descriptors between this process and its successor.
func (s *Server) splitWithSuccessor(workers int) (own, successors int) {
	inUse := s.clients.Sockets() + workers
	reserved := descriptorsReserved + s.reservedDescriptors
	return hotrestart.SplitDescriptors(s.bootstrap.Limits.Sockets, inUse, reserved)
}

// addLearned adds what this process has learned of workers. What the loop is too busy to return is left out.
func (s *Server) addLearned(state *hotrestart.State) (err error) {
	if state.WorkerStarts, err = json.Marshal(s.endpoints.workerStarts.Snapshot()); err != nil {
		return err
	}
	learned, err := s.loop.Learned()
	if err != nil {
		s.log.Warn().Err(err).Msg("learned state not handed over")
		return nil
	}
	state.Learned, err = json.Marshal(learned)
	return err
}

// clockShift is the span from a moment of the predecessor's clock to the same moment of this process's.
func clockShift(c clock.Clock, state hotrestart.State) dispatch.Time {
	return config.RoundUp(int64(c.Offset() - state.ClockOffset))
}

// inheritedStarts are the start times of workers as far as a predecessor knew them.
func inheritedStarts(predecessor *hotrestart.State, now clock.Clock) (*discovery.StartTimes, error) {
	if predecessor == nil {
		return discovery.NewStartTimes(now, nil), nil
	}
	known := map[string]discovery.WorkerStart{}
	if len(predecessor.WorkerStarts) > 0 {
		if err := json.Unmarshal(predecessor.WorkerStarts, &known); err != nil {
			return nil, fmt.Errorf("handover: starts of workers: %w", err)
		}
	}
	shift := clockShift(now, *predecessor)
	for worker, start := range known {
		known[worker] = discovery.WorkerStart{BootMS: start.BootMS, At: max(start.At+shift, 1)}
	}
	return discovery.NewStartTimes(now, known), nil
}

// RestoreState continues from a predecessor's state, with its socket for peers if it had one. It is
// called before Serve.
func (s *Server) RestoreState(state hotrestart.State, peers *net.UDPConn) {
	s.peers.inherited = peers
	s.SetDescriptorLimit(state.Sockets)
	if learned, err := inheritedLearned(state); err == nil {
		learned.Shift(clockShift(s.clock, state))
		s.loop.Send(reducer.StateRestored{LearnedState: learned})
	} else {
		s.log.Warn().Err(err).Msg("learned state not restored")
	}
	if state.ClientsDrained {
		s.DrainClients()
	}
}

// inheritedLearned is what a predecessor has learned.
func inheritedLearned(state hotrestart.State) (learned reducer.LearnedState, err error) {
	if len(state.Learned) == 0 || string(state.Learned) == "null" {
		return reducer.LearnedState{}, errNothingLearned
	}
	err = json.Unmarshal(state.Learned, &learned)
	return learned, err
}

// HasSuccessor tells whether another process is taking this one's place.
func (s *Server) HasSuccessor() bool { return s.lifecycle.successor.Load() }

// SetSuccessor says that another process is taking this one's place, or that it has ended and this one
// goes on alone.
func (s *Server) SetSuccessor(there bool) {
	s.lifecycle.successor.Store(there)
	if !there {
		s.SetDescriptorLimit(s.bootstrap.Limits.Sockets)
		s.clients.Resume()
	}
}
