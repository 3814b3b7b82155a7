package frontend

import (
	"context"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"woaddyke/internal/config"
	"woaddyke/internal/frontend/clientconn"
	"woaddyke/internal/scheduler/reducer"
)

const (
	headerTimeout    = 1500 * time.Millisecond // for a request's head, and for a connection's first byte
	idleTimeout      = 5 * time.Minute         // of a client's connection between two requests
	maxHeaderBytes   = 16 << 10
	firstListTimeout = 3 * time.Second // for discovery's first list; then the cached list is used

	// killGrace is the time from the longest TTL until a process that shuts down may be killed.
	killGrace = 600 * time.Millisecond

	// shutdownMargin is added to the shutdown time twice: for the last answers, and then for closing the
	// connections on which they are sent.
	shutdownMargin = killGrace / 3

	// bodyMargin is the time for answering a request whose body is incomplete at the end of the shutdown.
	bodyMargin = shutdownMargin / 2

	// lastAnswersMargin is the time for requests on connections that were accepted at the last moment. These
	// connections are checked every lastPollInterval.
	lastAnswersMargin = shutdownMargin / 2
	lastPollInterval  = 2 * time.Millisecond

	// keepAliveFraction is the fraction of the shutdown time for which idle connections stay open: their
	// clients may have no other scheduler.
	keepAliveFraction = 0.6

	// newConnectionGrace is how long a connection stays open after it was accepted or its last request was
	// answered: another request may be on its way.
	newConnectionGrace = 60 * time.Millisecond

	connectionPollInterval = 20 * time.Millisecond // between two checks while connections are closed
)

// Serve admits ops until the context ends, and then answers the admitted ones within the given time.
func (s *Server) Serve(ctx context.Context, l net.Listener, within time.Duration) error {
	discoveryCtx, stopDiscovery := context.WithCancel(context.Background())
	defer stopDiscovery()
	if err := s.peers.open(s.bootstrap.Peers); err != nil {
		return err
	}
	defer s.peers.close()
	go s.endpoints.client.Run(discoveryCtx)
	stopLoop := s.startLoop()
	defer stopLoop()
	server := s.newHTTPServer()
	failed := s.startAccepting(server, l)
	go s.announceReady()
	s.log.Info().Str("name", s.bootstrap.Name).Str("listen", s.bootstrap.Listen).
		Int("most_clients", s.clients.SoftLimit()).Msg("serving")
	err := s.awaitEnd(ctx, failed)
	s.stop(server, within)
	return err
}

// startLoop starts the scheduler's loop and the exchange of drain records. The function that it returns
// ends both, and waits until the loop has logged its last counts.
func (s *Server) startLoop() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go s.loop.Run(ctx)
	if drains := s.endpoints.peerDrains; drains != nil {
		go drains.run(ctx)
	}
	return func() {
		cancel()
		<-s.loop.Done()
	}
}

func (s *Server) newHTTPServer() *http.Server {
	return &http.Server{
		Handler:           s,
		ConnState:         s.clients.Track,
		ConnContext:       clientconn.NewContext,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(s.log.With().Str("level", "warn").Logger(), "", 0),
	}
}

// startAccepting starts to accept clients, until the server is shut down. The channel that it returns
// receives the error with which accepting ends.
func (s *Server) startAccepting(server *http.Server, l net.Listener) (failed <-chan error) {
	ended := make(chan error, 1)
	s.clients.Listener = l
	go func() { ended <- server.Serve(s.clients) }()
	return ended
}

// announceReady closes the ready channel once discovery has sent a list, or after firstListTimeout.
func (s *Server) announceReady() {
	select {
	case <-s.loop.EndpointsReady():
	case <-time.After(firstListTimeout):
	}
	close(s.lifecycle.ready)
}

// awaitEnd waits until the context ends, or until accepting clients fails. The caller must then answer
// the ops that were admitted before.
func (s *Server) awaitEnd(ctx context.Context, failed <-chan error) error {
	select {
	case err := <-failed:
		s.log.Error().Err(err).Msg("accepting has ended")
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
		return nil
	}
}

// Ready is closed when this process can serve: it accepts clients, and discovery has sent its first list.
// If discovery sends none within firstListTimeout, the cached list is used.
func (s *Server) Ready() <-chan struct{} { return s.lifecycle.ready }

// stop answers all admitted ops, and closes all connections. Connections are still accepted and used for a
// while: requests on connections that the kernel had accepted must be answered too, and the scheduler that
// a client would use instead may still be down. If there is a successor, it accepts from the same socket.
// This process then accepts nothing more, and no client needs another address.
func (s *Server) stop(server *http.Server, within time.Duration) {
	within = min(within, s.settings.Load().LongestTTL()) + shutdownMargin
	deadline := time.Now().Add(within)
	successor := s.beginStop(deadline)
	defer s.announceShutdown(deadline).Stop()
	closeFrom := time.Now().Add(time.Duration(keepAliveFraction * float64(within)))
	if successor {
		s.clients.Pause()
		s.peers.stopReceiving()
	}
	end := deadline.Add(shutdownMargin)
	s.drainConnections(closeFrom, deadline, end)
	s.loop.Send(reducer.ShutdownStarted{Deadline: config.RoundDown(s.clock.FromTime(deadline))})
	s.endLastConnections(end.Add(lastAnswersMargin))
	// This must come last: http.Server.Shutdown drops requests that it has just read, and closes connections
	// on which a request has begun.
	s.shutDownHTTP(server, end.Add(lastAnswersMargin))
	s.logStopped()
}

// beginStop sets the state that health checks and responses use from now on. It returns whether there is a
// successor.
func (s *Server) beginStop(deadline time.Time) (successor bool) {
	successor = s.lifecycle.hasSuccessor.Load()
	s.lifecycle.stoppingWithoutSuccessor.Store(!successor)
	s.lifecycle.closeAfterResponse.Store(successor)
	s.log.Info().Time("by", deadline).Bool("successor", successor).Msg("stopping")
	return successor
}

// announceShutdown sends the reducer the deadline by which all ops must be answered, and sends it again at
// the deadline. Stopping the returned timer prevents the second message.
func (s *Server) announceShutdown(deadline time.Time) *time.Timer {
	shutdown := reducer.ShutdownStarted{Deadline: config.RoundDown(s.clock.FromTime(deadline))}
	s.loop.Send(shutdown)
	return time.AfterFunc(time.Until(deadline), func() { s.loop.Send(shutdown) })
}

// drainConnections returns when no connection is open, or at the deadline. From closeFrom on, each response
// closes its connection, and idle connections are closed. Each op has its answer by answersBy. From then on
// no further request is read: a client that always pipelines another request would keep its connection open.
// Without a successor, also after a successor has died, this process accepts clients until the deadline.
func (s *Server) drainConnections(closeFrom, answersBy, deadline time.Time) {
	emptyPolls := 0 // consecutive polls without a connection; the second sees one accepted after the first
	for emptyPolls < 2 && time.Now().Before(deadline) {
		if time.Now().After(closeFrom) {
			s.lifecycle.closeAfterResponse.Store(true)
			s.clients.CloseIdle(s.clients.Count(), newConnectionGrace)
		}
		if time.Now().After(answersBy) {
			s.clients.StopReading(deadline.Add(-bodyMargin))
		}
		if (s.lifecycle.hasSuccessor.Load() || time.Now().After(closeFrom)) && s.clients.Sockets() == 0 {
			emptyPolls++
		} else {
			emptyPolls = 0
		}
		time.Sleep(connectionPollInterval)
	}
}

// endLastConnections stops accepting, and returns when the connections accepted so far are closed, or at the
// deadline. If the process stood still, it gets the time for its last answers after that: all ops are answered by
// now, but the answers may not be written.
func (s *Server) endLastConnections(deadline time.Time) {
	s.lifecycle.closeAfterResponse.Store(true)
	s.clients.StopReading(deadline.Add(-bodyMargin))
	s.clients.Close()
	ran := runningTime{limit: lastAnswersMargin}
	for s.clients.Sockets() > 0 && (time.Now().Before(deadline) || !ran.reached(time.Now())) {
		s.clients.CloseIdle(s.clients.Count(), 0)
		time.Sleep(lastPollInterval)
	}
}

// shutDownHTTP ends the HTTP server. It closes connections that are still open at the deadline, so that the
// last counts of this process include them.
func (s *Server) shutDownHTTP(server *http.Server, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		s.log.Warn().Err(err).Msg("connections were left open")
		server.Close()
	}
}

func (s *Server) logStopped() {
	open, dialed := s.workers.Counts()
	s.log.Info().Int("open", open).Int("dialed", dialed).Uint64("peer_messages_lost", s.peers.lost.Load()).
		Interface("violations", s.checker.Counts()).Msg("stopped")
}
