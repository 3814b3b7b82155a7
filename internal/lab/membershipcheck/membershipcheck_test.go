package membershipcheck

import (
	"fmt"
	"testing"

	"woaddyke/internal/lab/ledger"
)

var terms = Limits{Count: 3, Pause: 20_000, Detect: 60_000, Settle: 100_000, Grace: 80_000}

// scenario is a ledger of three members. After newScenario, each member sees the others as "here".
type scenario []ledger.Event

func newScenario() *scenario {
	s := &scenario{}
	for i := 1; i <= 3; i++ {
		s.add(1000, ledger.Event{Kind: ledger.Up, Scheduler: i})
		for j := 1; j <= 3; j++ {
			if i != j {
				s.view(2000, i, j, "here")
			}
		}
	}
	return s
}

func (s *scenario) add(at ledger.Time, ev ledger.Event) {
	ev.At = at
	*s = append(*s, ev)
}

func (s *scenario) view(at ledger.Time, by, of int, state string) {
	s.add(at, ledger.Event{Kind: ledger.MemberView, Scheduler: by, Name: fmt.Sprint("n", of), State: state, From: at})
}

func (s *scenario) cut(at ledger.Time, from, to int, state string) {
	s.add(at, ledger.Event{Kind: ledger.LinkChanged, Scheduler: from, To: to, State: state})
}

func (s *scenario) judge(t *testing.T, name string, falseGone, missed int, wrongViews bool) *Judgement {
	t.Helper()
	s.add(600_000, ledger.Event{Kind: ledger.LinkChanged, Scheduler: 1, State: "end"})
	j := Judge(*s, terms)
	if j.FalseGone != falseGone || j.MissedGone != missed || (j.WrongViews > 0) != wrongViews {
		t.Errorf("%s: %d false, %d missed, %d wrong views: %v", name, j.FalseGone, j.MissedGone, j.WrongViews, j.Breaches)
	}
	return j
}

// The check must report a member that considers a running member gone, and a member that does not notice the
// end of another. Views that match the actual states must not be reported.
func TestFalseAndMissedReportsOfEndsAreFound(t *testing.T) {
	newScenario().judge(t, "calm", 0, 0, false)

	s := newScenario()
	s.view(200_000, 1, 2, "gone")
	s.view(203_000, 1, 2, "here")
	s.judge(t, "a wrong view that is corrected", 1, 0, false)

	s = newScenario()
	s.view(200_000, 1, 2, "gone")
	s.judge(t, "a wrong view that stays", 1, 0, true)

	s = newScenario() // members 1 and 2 reach each other through member 3 all the time
	s.cut(100_000, 1, 2, "silent")
	s.view(300_000, 2, 1, "gone")
	s.judge(t, "gone despite a path through a third member", 1, 0, true)

	s = newScenario()
	s.cut(100_000, 1, 2, "silent")
	s.cut(100_000, 3, 2, "silent")
	s.view(130_000, 1, 2, "gone")
	s.view(130_000, 3, 2, "gone")
	s.cut(300_000, 1, 2, "open")
	s.cut(300_000, 3, 2, "open")
	s.view(310_000, 1, 2, "here")
	s.view(312_000, 3, 2, "here")
	if j := s.judge(t, "a member cut off from both others", 0, 0, false); len(j.ConvergeTimes) == 0 || j.ConvergeTimes[len(j.ConvergeTimes)-1] != 12_000 {
		t.Errorf("all views were right after %v", j.ConvergeTimes)
	}

	s = newScenario()
	s.add(200_000, ledger.Event{Kind: ledger.Killed, Scheduler: 2})
	s.view(225_000, 1, 2, "gone")
	s.view(230_000, 3, 2, "gone")
	if j := s.judge(t, "an end that both see", 0, 0, false); len(j.DetectTimes) != 2 || j.DetectTimes[1] != 30_000 {
		t.Errorf("detected after %v", j.DetectTimes)
	}

	s = newScenario()
	s.add(200_000, ledger.Event{Kind: ledger.Killed, Scheduler: 2})
	s.view(225_000, 1, 2, "gone")
	s.judge(t, "an end that a member misses", 0, 1, true)

	for _, duration := range []ledger.Time{15_000, 50_000} {
		s = newScenario()
		s.add(200_000, ledger.Event{Kind: ledger.Stopped, Scheduler: 2})
		s.view(200_000+duration-1000, 1, 2, "gone")
		s.add(200_000+duration, ledger.Event{Kind: ledger.Resumed, Scheduler: 2})
		s.view(200_000+duration+1000, 1, 2, "here")
		want := 1
		if duration > terms.Pause {
			want = 0
		}
		s.judge(t, fmt.Sprint("a suspension of ", duration), want, 0, false)
	}
}

// The ledger records a cut only at its begin and end. A view of gone late in a long cut must still be
// accepted. The same view is false if it comes later than the grace after the cut's end.
func TestAGoneReportLateInALongCutIsAccepted(t *testing.T) {
	for _, at := range []ledger.Time{195_000, 285_001} {
		s := newScenario()
		for j := 1; j <= 2; j++ {
			s.cut(100_000, j, 3, "silent")
			s.cut(200_000+4_000, j, 3, "open")
		}
		s.view(at, 1, 3, "gone")
		s.view(at+1_000, 1, 3, "here")
		want := 0
		if at > 204_000+terms.Grace {
			want = 1
		}
		s.judge(t, fmt.Sprintf("gone seen at %d, with a cut from 100000 to 204000", at), want, 0, false)
	}
}
