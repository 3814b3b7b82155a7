package membershipcheck

import (
	"fmt"
	"testing"

	"woaddyke/internal/lab/ledger"
)

var terms = Terms{Count: 3, Pause: 20_000, Detect: 60_000, Settle: 100_000, Grace: 80_000}

// story is a ledger in which all three hold one another here from the first second on.
type story []ledger.Event

func begin() *story {
	s := &story{}
	for i := 1; i <= 3; i++ {
		s.add(1000, ledger.Event{Kind: ledger.Up, Scheduler: i})
		for j := 1; j <= 3; j++ {
			if i != j {
				s.holds(2000, i, j, "here")
			}
		}
	}
	return s
}

func (s *story) add(at ledger.Time, ev ledger.Event) {
	ev.At = at
	*s = append(*s, ev)
}

func (s *story) holds(at ledger.Time, by, of int, state string) {
	s.add(at, ledger.Event{Kind: ledger.Held, Scheduler: by, Name: fmt.Sprint("n", of), State: state, From: at})
}

func (s *story) cut(at ledger.Time, from, to int, state string) {
	s.add(at, ledger.Event{Kind: ledger.Way, Scheduler: from, To: to, State: state})
}

func (s *story) judge(t *testing.T, what string, falseGone, missed int, apart bool) *Judgement {
	t.Helper()
	s.add(600_000, ledger.Event{Kind: ledger.Way, Scheduler: 1, State: "end"})
	j := Judge(*s, terms)
	if j.FalseGone != falseGone || j.MissedGone != missed || (j.Apart > 0) != apart {
		t.Errorf("%s: %d false, %d missed, %d apart: %v", what, j.FalseGone, j.MissedGone, j.Apart, j.Breaches)
	}
	return j
}

// A judge that finds nothing wrong with lies proves nothing; one that finds lies in the truth is of no use either.
func TestJudge(t *testing.T) {
	begin().judge(t, "calm", 0, 0, false)

	s := begin()
	s.holds(200_000, 1, 2, "gone")
	s.holds(203_000, 1, 2, "here")
	s.judge(t, "a false word", 1, 0, false)

	s = begin()
	s.holds(200_000, 1, 2, "gone")
	s.judge(t, "a false word that stays", 1, 0, true)

	s = begin() // through the third they reach each other all the time
	s.cut(100_000, 1, 2, "silent")
	s.holds(300_000, 2, 1, "gone")
	s.judge(t, "a word about one that a third reaches", 1, 0, true)

	s = begin()
	s.cut(100_000, 1, 2, "silent")
	s.cut(100_000, 3, 2, "silent")
	s.holds(130_000, 1, 2, "gone")
	s.holds(130_000, 3, 2, "gone")
	s.cut(300_000, 1, 2, "open")
	s.cut(300_000, 3, 2, "open")
	s.holds(310_000, 1, 2, "here")
	s.holds(312_000, 3, 2, "here")
	if j := s.judge(t, "one that nobody heard", 0, 0, false); len(j.Converge) == 0 || j.Converge[len(j.Converge)-1] != 12_000 {
		t.Errorf("all views were right after %v", j.Converge)
	}

	s = begin()
	s.add(200_000, ledger.Event{Kind: ledger.Killed, Scheduler: 2})
	s.holds(225_000, 1, 2, "gone")
	s.holds(230_000, 3, 2, "gone")
	if j := s.judge(t, "an end", 0, 0, false); len(j.Detect) != 2 || j.Detect[1] != 30_000 {
		t.Errorf("found after %v", j.Detect)
	}

	s = begin()
	s.add(200_000, ledger.Event{Kind: ledger.Killed, Scheduler: 2})
	s.holds(225_000, 1, 2, "gone")
	s.judge(t, "an end that one misses", 0, 1, true)

	for _, long := range []ledger.Time{15_000, 50_000} {
		s = begin()
		s.add(200_000, ledger.Event{Kind: ledger.Stopped, Scheduler: 2})
		s.holds(200_000+long-1000, 1, 2, "gone")
		s.add(200_000+long, ledger.Event{Kind: ledger.Resumed, Scheduler: 2})
		s.holds(200_000+long+1000, 1, 2, "here")
		want := 1
		if long > terms.Pause {
			want = 0
		}
		s.judge(t, fmt.Sprint("a pause of ", long), want, 0, false)
	}
}

// Nothing happens in the middle of a long cut. A word that comes late in it is true; the same word as long after its end is not.
func TestAWordLateInALongCutIsTrue(t *testing.T) {
	for _, at := range []ledger.Time{195_000, 285_001} {
		s := begin()
		for j := 1; j <= 2; j++ {
			s.cut(100_000, j, 3, "silent")
			s.cut(200_000+4_000, j, 3, "open")
		}
		s.holds(at, 1, 3, "gone")
		s.holds(at+1_000, 1, 3, "here")
		want := 0
		if at > 204_000+terms.Grace {
			want = 1
		}
		s.judge(t, fmt.Sprintf("a word at %d of a cut from 100000 to 204000", at), want, 0, false)
	}
}
