package simwire

import (
	"fmt"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
)

// outbox reads the decisions of a scheduler and appends them to out, separated by commas.
func (s *scheduler) outbox(out []byte) []byte {
	for {
		decision := s.dispatcher.Next()
		switch decision.Kind {
		case dispatch.NoDecision:
			return out
		case dispatch.Forget:
			s.forgetOp(decision.Op)
			continue
		case dispatch.Push:
			s.attempts[decision.Op]++
		}
		if len(out) > 0 {
			out = append(out, ',')
		}
		out = s.appendDecision(out, decision)
	}
}

// appendDecision appends a decision in the form of the protocol.
func (s *scheduler) appendDecision(out []byte, decision dispatch.Decision) []byte {
	ns := int64(decision.Duration) * config.Tenth
	switch decision.Kind {
	case dispatch.Push:
		return fmt.Appendf(out, `{"m":"Send","req":%s,"worker":%s,"withinNs":%d}`,
			quote(s.opNames[decision.Op]), quote(s.workerNames[decision.Worker]), ns)
	case dispatch.CancelAttempt:
		return fmt.Appendf(out, `{"m":"Retract","req":%s,"leg":%d}`,
			quote(s.opNames[decision.Op]), s.attempts[decision.Op]-1)
	case dispatch.Probe:
		return fmt.Appendf(out, `{"m":"Test","worker":%s}`, quote(s.workerNames[decision.Worker]))
	case dispatch.ReportToPeer:
		return fmt.Appendf(out, `{"m":"WritePeer","to":%d,"contents":"%s"}`,
			decision.Peer, config.EncodePeerReport(s.workerNames[decision.Worker], decision.InFlight))
	case dispatch.Nack:
		return fmt.Appendf(out, `{"m":"Decline","req":%s,"pauseNs":%d}`, quote(s.opNames[decision.Op]), ns)
	case dispatch.DeadLetter:
		return fmt.Appendf(out, `{"m":"Surrender","req":%s}`, quote(s.opNames[decision.Op]))
	case dispatch.SetTimer:
		return fmt.Appendf(out, `{"m":"WakeAt","fromNowNs":%d,"ctx":"due"}`, ns)
	}
	return out
}
