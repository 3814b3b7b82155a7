package frontend

import (
	"runtime"
	"time"

	"woaddyke/internal/observe/metrics"
)

const acceptErrorLogInterval = time.Second // between two log lines about failures of accept

// externalCounts are metrics that other parts of the process count; nil where nobody does.
type externalCounts struct {
	members      func() *metrics.MemberCounts
	lostLogLines func() uint64
}

// Metrics returns what the console shows. It waits for nothing.
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

// SetMemberCounts adds counts of the other schedulers to the metrics. It is called before Serve.
func (s *Server) SetMemberCounts(count func() *metrics.MemberCounts) { s.external.members = count }

// SetLostLogLines adds the number of lost log lines to the metrics. It is called before Serve.
func (s *Server) SetLostLogLines(count func() uint64) { s.external.lostLogLines = count }

// acceptFailed counts a failure of accept after which accepting goes on, and logs it at a bounded rate.
func (s *Server) acceptFailed(err error) {
	failures := s.metrics.AcceptFailed()
	now := time.Now()
	if last := s.acceptErrorLoggedAt.Load(); last != nil && now.Sub(*last) < acceptErrorLogInterval {
		return
	}
	s.acceptErrorLoggedAt.Store(&now)
	s.log.Warn().Err(err).Int("failures", failures).Msg("accept fails")
}
