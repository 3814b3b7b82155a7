package simwire

import (
	"fmt"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
)

// outbox pulls a scheduler's decisions and appends them, separated by commas.
func (s *scheduler) outbox(box []byte) []byte {
	for {
		next := s.dispatcher.Next()
		switch next.Kind {
		case dispatch.NoDecision:
			return box
		case dispatch.Forget:
			s.forgetOp(next.Op)
			continue
		case dispatch.Push:
			s.attempts[next.Op]++
		}
		if len(box) > 0 {
			box = append(box, ',')
		}
		box = s.appendDecision(box, next)
	}
}

// appendDecision writes a decision in the wire's form.
func (s *scheduler) appendDecision(box []byte, next dispatch.Decision) []byte {
	ns := int64(next.Duration) * config.Tenth
	switch next.Kind {
	case dispatch.Push:
		return fmt.Appendf(box, `{"m":"Send","req":%s,"worker":%s,"withinNs":%d}`,
			quote(s.opNames[next.Op]), quote(s.workerNames[next.Worker]), ns)
	case dispatch.CancelAttempt:
		return fmt.Appendf(box, `{"m":"Retract","req":%s,"leg":%d}`,
			quote(s.opNames[next.Op]), s.attempts[next.Op]-1)
	case dispatch.Probe:
		return fmt.Appendf(box, `{"m":"Test","worker":%s}`, quote(s.workerNames[next.Worker]))
	case dispatch.ReportToPeer:
		return fmt.Appendf(box, `{"m":"WritePeer","to":%d,"contents":"%s"}`,
			next.Peer, config.EncodePeerReport(s.workerNames[next.Worker], next.InFlight))
	case dispatch.Nack:
		return fmt.Appendf(box, `{"m":"Decline","req":%s,"pauseNs":%d}`, quote(s.opNames[next.Op]), ns)
	case dispatch.DeadLetter:
		return fmt.Appendf(box, `{"m":"Surrender","req":%s}`, quote(s.opNames[next.Op]))
	case dispatch.SetTimer:
		return fmt.Appendf(box, `{"m":"WakeAt","fromNowNs":%d,"ctx":"due"}`, ns)
	}
	return box
}
