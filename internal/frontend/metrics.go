package frontend

import (
	"runtime"
	"time"

	"woaddyke/internal/observe/metrics"
)

const acceptErrorLogInterval = time.Second // between two log lines about accept errors

// externalCounts are functions that return metrics counted by other parts of the process. A function is nil
// if its part is not in use.
type externalCounts struct {
	members      func() *metrics.MemberCounts
	lostLogLines func() uint64
}

// Metrics returns the metrics that the console shows. It does not block.
func (s *Server) Metrics() metrics.Metrics {
	m := s.metrics.Snapshot()
	if s.external.members != nil {
		m.Members = s.external.members()
	}
	m.Violations = s.checker.Counts()
	m.Goroutines = runtime.NumGoroutine()
	if s.external.lostLogLines != nil {
		m.LogLinesLost = s.external.lostLogLines()
	}
	return m
}

// SetMemberCounts adds counts of the other schedulers to the metrics. Call it before Serve.
func (s *Server) SetMemberCounts(count func() *metrics.MemberCounts) { s.external.members = count }

// SetLostLogLines adds the number of lost log lines to the metrics. Call it before Serve.
func (s *Server) SetLostLogLines(count func() uint64) { s.external.lostLogLines = count }

// acceptFailed counts an accept error after which accepting continues. It logs the error, but no more than
// once per acceptErrorLogInterval.
func (s *Server) acceptFailed(err error) {
	failures := s.metrics.AcceptFailed()
	now := time.Now()
	if last := s.acceptErrorLoggedAt.Load(); last != nil && now.Sub(*last) < acceptErrorLogInterval {
		return
	}
	s.acceptErrorLoggedAt.Store(&now)
	s.log.Warn().Err(err).Int("failures", failures).Msg("accept fails")
}
