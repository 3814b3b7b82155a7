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
	"woaddyke/internal/scheduler"
	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/discovery"
)

var (
	errListenerNotShared = errors.New("handover: the listener does not expose its socket")
	errNoLearnedState    = errors.New("the predecessor's loop was too busy to hand over learned state")
)

// HandOver returns what a successor needs: an encoded state, and the sockets that this process listens on.
// From that state on, this process announces its ops to the sibling, the successor, unless it is nil. The functions
// in addParts add the state and sockets of other parts of the process. HandOver lowers the descriptor limit of
// this process to its part: the successor gets the rest.
func (s *Server) HandOver(sibling scheduler.Sibling, addParts ...func(*hotrestart.State) []syscall.Conn) (
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
	own, successor := s.splitWithSuccessor(workers)
	state := hotrestart.State{
		DescriptorLimit: successor,
		ClockOffset:     s.clock.Offset(),
		KnownWorkers:    known,
		ClientsDrained:  s.drain.draining(),
		AnnouncesOps:    sibling != nil,
	}
	if err := s.addLearned(&state, sibling); err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	for _, add := range addParts {
		sockets = append(sockets, add(&state)...)
	}
	if text, err = state.Encode(); err != nil {
		return nil, nil, err
	}
	s.setLimits(own, workers)
	return text, sockets, nil
}

// splitWithSuccessor splits the descriptors between this process and its successor.
func (s *Server) splitWithSuccessor(workers int) (own, successor int) {
	inUse := s.clients.Sockets() + workers
	reserved := baseDescriptors + s.extraDescriptors
	return hotrestart.SplitDescriptors(s.bootstrap.Limits.Descriptors, inUse, reserved)
}

// addLearned adds the start times of workers. It adds the learned state too, unless the loop is too busy to
// return it.
func (s *Server) addLearned(state *hotrestart.State, sibling scheduler.Sibling) (err error) {
	if state.WorkerStarts, err = json.Marshal(s.endpoints.workerStarts.Snapshot()); err != nil {
		return err
	}
	learned, err := s.loop.HandOver(sibling)
	if err != nil {
		s.log.Warn().Err(err).Msg("learned state not handed over")
		return nil
	}
	state.Learned, err = json.Marshal(learned)
	return err
}

// clockShift is added to a time of the predecessor's clock to convert it to this process's clock.
func clockShift(c clock.Clock, state hotrestart.State) dispatch.Time {
	return config.RoundUp(int64(c.Offset() - state.ClockOffset))
}

// inheritedStarts returns the start times of workers that the predecessor, if any, knew.
func inheritedStarts(predecessor *hotrestart.State, c clock.Clock) (*discovery.StartTimes, error) {
	if predecessor == nil {
		return discovery.NewStartTimes(c, nil), nil
	}
	known := map[string]discovery.WorkerStart{}
	if len(predecessor.WorkerStarts) > 0 {
		if err := json.Unmarshal(predecessor.WorkerStarts, &known); err != nil {
			return nil, fmt.Errorf("handover: start times of workers: %w", err)
		}
	}
	shift := clockShift(c, *predecessor)
	for worker, start := range known {
		known[worker] = discovery.WorkerStart{BootMS: start.BootMS, At: max(start.At+shift, 1)}
	}
	return discovery.NewStartTimes(c, known), nil
}

// RestoreState takes over a predecessor's state, and its socket for peer messages, which is nil if it had
// none. This process announces its ops to the predecessor, unless that is nil. Call it before Serve.
func (s *Server) RestoreState(state hotrestart.State, predecessor scheduler.Sibling, peers *net.UDPConn) {
	s.peers.inherited = peers
	if predecessor != nil {
		s.loop.AddSibling(predecessor)
	}
	s.SetDescriptorLimit(state.DescriptorLimit)
	if learned, err := inheritedLearnedState(state); err == nil {
		learned.Shift(clockShift(s.clock, state))
		s.loop.Send(reducer.StateRestored{LearnedState: learned})
	} else {
		s.log.Warn().Err(err).Msg("learned state not restored")
	}
	if state.ClientsDrained {
		s.DrainClients()
	}
}

// inheritedLearnedState decodes the learned state of a predecessor.
func inheritedLearnedState(state hotrestart.State) (learned reducer.LearnedState, err error) {
	if len(state.Learned) == 0 || string(state.Learned) == "null" {
		return reducer.LearnedState{}, errNoLearnedState
	}
	err = json.Unmarshal(state.Learned, &learned)
	return learned, err
}

// HasSuccessor tells whether another process is replacing this one.
func (s *Server) HasSuccessor() bool { return s.lifecycle.hasSuccessor.Load() }

// SuccessorServes records that the successor serves clients. If ops need claims, this process then leaves all
// new connections to the successor, and ends the open ones with their next response: the messages with which
// an op is claimed go to the successor.
func (s *Server) SuccessorServes() {
	if s.transport.claims.registry == nil || !s.HasSuccessor() {
		return
	}
	s.lifecycle.clientsMove.Store(true)
	s.clients.Pause()
}

// SetSuccessor records whether another process is replacing this one. If that process has ended, this one
// continues alone, and accepts clients again.
func (s *Server) SetSuccessor(running bool) {
	s.lifecycle.hasSuccessor.Store(running)
	if !running {
		s.lifecycle.clientsMove.Store(false)
		s.SetDescriptorLimit(s.bootstrap.Limits.Descriptors)
		s.clients.Resume()
	}
}
