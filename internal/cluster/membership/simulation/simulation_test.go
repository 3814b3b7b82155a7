package simulation

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"woaddyke/internal/cluster/membership"
)

// seed is what plays are drawn from; SEED repeats one that failed.
func seedList(n int) (all []uint64) {
	if v, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return []uint64{v}
	}
	for i := range n {
		all = append(all, uint64(i+1))
	}
	return all
}

// runScenario runs one case over some seeds; the first breach ends it, with its seed.
func runScenario(t *testing.T, n, times int, story func(s *Cluster)) {
	t.Helper()
	for _, seed := range seedList(times) {
		s := New(n, seed)
		for i := range n {
			s.Start(i)
		}
		if s.Run(3 * Second); n > 64 {
			s.Run(8 * Second)
		}
		if wrong := s.Disagreements(); len(wrong) > 0 {
			t.Fatalf("seed %d: after the start: %v", seed, wrong[:min(len(wrong), 5)])
		}
		story(s)
		for _, b := range s.Violations {
			t.Errorf("seed %d: %s", seed, b)
		}
		if wrong := s.Disagreements(); len(wrong) > 0 {
			t.Errorf("seed %d, at the end: %v", seed, wrong[:min(len(wrong), 5)])
		}
		if t.Failed() {
			return
		}
	}
}

func TestAKilledMemberIsGoneInAllViews(t *testing.T) {
	for _, n := range []int{2, 3, 5, 20} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runScenario(t, n, 20, func(s *Cluster) {
				s.Kill(n - 1)
				s.Run(s.Now() + 5*Second)
				for i := range n - 1 {
					if got := s.StateOf(i, fmt.Sprintf("n%03d", n-1)); got != membership.Dead {
						t.Errorf("%d holds it %v after 5 s", i, got)
					}
				}
			})
		})
	}
}

func name(i int) string { return fmt.Sprintf("n%03d", i) }

// requireState checks what a place holds of a name.
func requireState(t *testing.T, s *Cluster, i int, of string, want membership.State) {
	t.Helper()
	if got := s.StateOf(i, of); got != want {
		t.Errorf("at %.1f s place %d holds %s %v, not %v", float64(s.Now())/float64(Second), i, of, got, want)
	}
}

// countDead counts how often anybody was called gone.
func countDead(s *Cluster) *int {
	n := 0
	s.OnChange = func(_ Time, _, _ string, state membership.State) {
		if state == membership.Dead {
			n++
		}
	}
	return &n
}

// A pause up to the bound is no end; a longer one is, and the one that wakes knows that it was called gone before it says anything.
func TestPauses(t *testing.T) {
	for _, x := range []struct {
		ms   Time
		gone bool
	}{{500, false}, {2000, false}, {5000, true}, {30_000, true}} {
		t.Run(fmt.Sprint(x.ms), func(t *testing.T) {
			runScenario(t, 3, 40, func(s *Cluster) {
				n := countDead(s)
				s.Pause(2)
				s.Run(s.Now() + x.ms*Millisecond)
				if (*n > 0) != x.gone {
					t.Errorf("called gone %d times", *n)
				}
				*n = 0
				accused := 0
				s.OnChange = func(_ Time, _, of string, state membership.State) {
					if state == membership.Dead || state == membership.Suspect && of != name(2) {
						accused++
					}
				}
				s.Resume(2)
				s.Run(s.Now() + 4*Second)
				if accused > 0 {
					t.Errorf("awake again it accused %d times", accused)
				}
				if *n > 0 {
					t.Errorf("after its return %d are called gone", *n)
				}
			})
		})
	}
}

// A machine that sleeps takes all of them; nobody may accuse anybody of it, and nobody may wait for another's word for good.
func TestAllPausedAtOnce(t *testing.T) {
	runScenario(t, 5, 40, func(s *Cluster) {
		n := countDead(s)
		for i := range 5 {
			s.Pause(i)
		}
		s.Run(s.Now() + 3600*Second)
		for i := range 5 {
			s.Resume(i)
		}
		s.Run(s.Now() + 5*Second)
		if *n > 0 {
			t.Errorf("%d are called gone", *n)
		}
	})
}

func TestTwoOfThreePaused(t *testing.T) {
	runScenario(t, 3, 40, func(s *Cluster) {
		s.Pause(1)
		s.Pause(2)
		s.Run(s.Now() + 10*Second)
		requireState(t, s, 0, name(1), membership.Dead)
		s.Resume(1)
		s.Run(s.Now() + 3*Second)
		requireState(t, s, 0, name(1), membership.Alive)
		s.Resume(2)
		s.Run(s.Now() + 4*Second)
	})
}

// One that wakes, refutes and is stopped again before its word is out must not be taken for one that answers.
func TestPausedInTheMiddleOfRefuting(t *testing.T) {
	runScenario(t, 4, 40, func(s *Cluster) {
		s.Pause(3)
		s.Run(s.Now() + 1500*Millisecond)
		s.Resume(3)
		s.Pause(3)
		s.Run(s.Now() + 20*Second)
		requireState(t, s, 0, name(3), membership.Dead)
		s.Resume(3)
		s.Run(s.Now() + 4*Second)
	})
}

// At 30% loss each way nobody is called gone, and messages do not multiply.
func TestLossForMinutes(t *testing.T) {
	runScenario(t, 8, 3, func(s *Cluster) {
		before := s.Sent
		s.Run(s.Now() + 60*Second)
		calm := s.Sent - before
		n := countDead(s)
		s.Conditions = LinkConditions{Loss: 0.3, Dup: 0.02, Delay: 10 * Millisecond, Jitter: 50 * Millisecond}
		before = s.Sent
		s.Run(s.Now() + 180*Second)
		if lossy := (s.Sent - before) / 3; lossy > 5*calm {
			t.Errorf("%d messages a minute, %d without loss", lossy, calm)
			t.Log(s.Kinds)
		}
		if *n > 0 {
			t.Errorf("%d are called gone", *n)
		}
		s.Conditions = LinkConditions{Delay: 2}
		s.Run(s.Now() + 30*Second)
	})
}

// Two that can't talk in one direction reach each other through a third: both stay, in all views.
func TestOneSidedCutOfAPair(t *testing.T) {
	runScenario(t, 3, 40, func(s *Cluster) {
		n := countDead(s)
		s.Cut(0, 1, true)
		s.Run(s.Now() + 60*Second)
		if *n > 0 {
			t.Errorf("%d are called gone", *n)
		}
		for _, v := range s.Member(0).View() {
			if v.Name == name(1) && v.Reachable {
				t.Error("a member whose answers can't come is said to be reachable from here")
			}
		}
		s.Cut(0, 1, false)
		s.Run(s.Now() + 15*Second)
	})
}

func TestOneSidedCutFromAllButOne(t *testing.T) {
	for _, mute := range []bool{true, false} {
		t.Run(fmt.Sprint("mute ", mute), func(t *testing.T) {
			runScenario(t, 5, 20, func(s *Cluster) {
				n := countDead(s)
				for i := range 3 {
					s.Cut(4, i, mute)
					s.Cut(i, 4, !mute)
				}
				s.Run(s.Now() + 60*Second)
				if *n > 0 {
					t.Errorf("%d are called gone", *n)
				}
				for i := range 3 {
					s.Cut(4, i, false)
					s.Cut(i, 4, false)
				}
				s.Run(s.Now() + 15*Second)
			})
		})
	}
}

// One that is heard by none, and one that hears none, are gone for the others once and for all while it lasts, whatever they say.
func TestMuteAndDeaf(t *testing.T) {
	for _, mute := range []bool{true, false} {
		t.Run(fmt.Sprint("mute ", mute), func(t *testing.T) {
			runScenario(t, 5, 20, func(s *Cluster) {
				said := map[string]int{}
				s.OnChange = func(_ Time, by, of string, state membership.State) { said[fmt.Sprint(by, of, state)]++ }
				for i := range 4 {
					if s.Cut(4, i, mute); !mute {
						s.Cut(i, 4, true)
					}
				}
				s.Run(s.Now() + 20*Second)
				for i := range 4 {
					for j := range 4 {
						if k := said[fmt.Sprint(name(i), name(j), membership.Suspect)]; k > 0 {
							t.Errorf("place %d doubted %d %d times, which has no part in this", i, j, k)
						}
					}
				}
				clear(said) // by then it has found out that it hears nobody
				s.Run(s.Now() + 40*Second)
				for i := range 4 {
					requireState(t, s, i, name(4), membership.Dead)
					if len(said) > 0 {
						t.Errorf("there is talk after 20 s: %v", said)
					}
					s.Cut(4, i, false)
					s.Cut(i, 4, false)
				}
				s.Run(s.Now() + 10*Second)
			})
		})
	}
}

// C reaches A and B, which do not reach each other: nobody is gone.
func TestABridge(t *testing.T) {
	runScenario(t, 3, 40, func(s *Cluster) {
		n := countDead(s)
		s.Partition([]int{0}, []int{1}, true)
		s.Run(s.Now() + 60*Second)
		if *n > 0 {
			t.Errorf("%d are called gone", *n)
		}
		s.Partition([]int{0}, []int{1}, false)
		s.Run(s.Now() + 15*Second)
	})
}

func TestPartitionsThatOverlap(t *testing.T) {
	runScenario(t, 9, 20, func(s *Cluster) {
		a, b, c := []int{0, 1, 2}, []int{3, 4, 5}, []int{6, 7, 8}
		s.Partition(a, append(b, c...), true)
		s.Run(s.Now() + 12*Second)
		s.Partition(c, b, true)
		s.Run(s.Now() + 12*Second)
		requireState(t, s, 0, name(3), membership.Dead)
		requireState(t, s, 3, name(6), membership.Dead)
		requireState(t, s, 3, name(4), membership.Alive)
		s.Partition(a, b, false)
		s.Run(s.Now() + 12*Second)
		s.Partition(c, append(a, b...), false)
		s.Run(s.Now() + 8*Second)
	})
}

// After a cut of ten minutes all are one again by themselves, and who left meanwhile stays away.
func TestALongCutEndsByItself(t *testing.T) {
	runScenario(t, 8, 6, func(s *Cluster) {
		a, b := []int{0, 1, 2, 3}, []int{4, 5, 6, 7}
		s.Partition(a, b, true)
		s.Run(s.Now() + 300*Second)
		s.Leave(7)
		s.Run(s.Now() + 300*Second)
		s.Partition(a, b, false)
		s.Run(s.Now() + 5*Second)
		requireState(t, s, 0, name(7), membership.Left)
	})
}

// A cut that comes and goes faster than a doubt lasts calls nobody gone.
func TestACutThatFlaps(t *testing.T) {
	runScenario(t, 4, 20, func(s *Cluster) {
		n := countDead(s)
		for range 40 {
			s.Partition([]int{3}, []int{0, 1, 2}, true)
			s.Run(s.Now() + 700*Millisecond)
			s.Partition([]int{3}, []int{0, 1, 2}, false)
			s.Run(s.Now() + 700*Millisecond)
		}
		if *n > 0 {
			t.Errorf("%d are called gone", *n)
		}
		s.Run(s.Now() + 5*Second)
	})
}

// Killed and back before anyone noticed: it is another process, and all know it.
func TestKilledAndBackAtOnce(t *testing.T) {
	runScenario(t, 5, 20, func(s *Cluster) {
		n := countDead(s)
		s.Kill(2)
		s.Run(s.Now() + 200*Millisecond)
		s.Start(2)
		s.Run(s.Now() + 3*Second)
		if own := s.Member(2).Status(); own.Generation != 2 || *n > 0 {
			t.Errorf("incarnation %d, %d called gone", own.Generation, *n)
		}
	})
}

// A successor at another address, while the first stands still: that one wakes up and is superseded before it says anything.
func TestASuccessorWhileTheFirstIsStopped(t *testing.T) {
	for _, after := range []Time{300 * Millisecond, 10 * Second} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			runScenario(t, 4, 20, func(s *Cluster) {
				s.Pause(3)
				s.Run(s.Now() + after)
				heir := s.AddProcess(name(3))
				s.Start(heir)
				s.Run(s.Now() + 5*Second)
				s.Resume(3)
				s.Run(s.Now() + 5*Second)
				if own := s.Member(3).Status(); own.State != membership.Replaced {
					t.Errorf("the first is %v", own.State)
				}
				if own := s.Member(heir).Status(); own.State != membership.Alive || own.Generation != 2 {
					t.Errorf("the successor is %v, incarnation %d", own.State, own.Generation)
				}
			})
		})
	}
}

// A name that two processes use at once is the later one's, and the first comes back when that one has left.
func TestANameUsedTwice(t *testing.T) {
	runScenario(t, 4, 20, func(s *Cluster) {
		heir := s.AddProcess(name(3))
		s.Start(heir)
		s.Run(s.Now() + 3*Second)
		if own := s.Member(3).Status(); own.State != membership.Replaced {
			t.Errorf("the first is %v", own.State)
		}
		s.Leave(heir)
		s.Run(s.Now() + 8*Second)
		if own := s.Member(3).Status(); own.State != membership.Alive || own.Generation != 3 {
			t.Errorf("the first is %v, incarnation %d", own.State, own.Generation)
		}
	})
}

// After a restart of all nobody remembers; a process from before that wakes up gives way.
func TestARestartOfAll(t *testing.T) {
	runScenario(t, 4, 20, func(s *Cluster) {
		for range 3 { // so that the one that sleeps has the greater incarnation
			s.Kill(3)
			s.Run(s.Now() + Second)
			s.Start(3)
			s.Run(s.Now() + 2*Second)
		}
		s.Pause(3)
		s.Pause(2)
		for i := range 2 {
			s.Kill(i)
		}
		s.Run(s.Now() + 5*Second)
		heir := s.AddProcess(name(3))
		for _, i := range []int{0, 1, heir} {
			s.Start(i)
		}
		s.Run(s.Now() + 5*Second)
		s.Resume(2) // it remembers the old incarnation
		s.Run(s.Now() + 3*Second)
		s.Resume(3)
		s.Run(s.Now() + 8*Second)
		if own := s.Member(3).Status(); own.State != membership.Replaced {
			t.Errorf("the one from before is %v", own.State)
		}
		if own := s.Member(heir).Status(); own.State != membership.Alive {
			t.Errorf("the new one is %v", own.State)
		}
	})
}

func TestHalfKilledAtOneMoment(t *testing.T) {
	runScenario(t, 20, 10, func(s *Cluster) {
		for i := 10; i < 20; i++ {
			s.Kill(i)
		}
		s.Run(s.Now() + 8*Second)
	})
}

// A leave whose messages are lost becomes "gone", and one that is heard is known to all within a second.
func TestALeave(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("lost ", lost), func(t *testing.T) {
			runScenario(t, 12, 10, func(s *Cluster) {
				if lost {
					s.Conditions.Loss = 1
				}
				s.Leave(5)
				s.Run(s.Now() + 300*Millisecond)
				s.Conditions.Loss = 0
				want := membership.Left
				if s.Run(s.Now() + 700*Millisecond); lost {
					want = membership.Dead
					s.Run(s.Now() + 6*Second)
				}
				requireState(t, s, 0, name(5), want)
			})
		})
	}
}

// Seeds that are gone harm nobody who has joined; those that come last are found.
func TestSeedsGoneAndSeedsLast(t *testing.T) {
	runScenario(t, 6, 10, func(s *Cluster) {
		s.Kill(0)
		s.Kill(1)
		s.Run(s.Now() + 6*Second)
		late := s.AddProcess("late")
		s.Start(late)
		s.Run(s.Now() + 5*Second) // it finds nobody
		s.Start(1)
		s.Run(s.Now() + 6*Second)
		requireState(t, s, late, name(4), membership.Alive)
		s.Start(0)
		s.Run(s.Now() + 6*Second)
	})
}

// Without a seed that lives, parted groups find each other by trying those that are gone.
func TestACutWithoutSeeds(t *testing.T) {
	runScenario(t, 6, 10, func(s *Cluster) {
		s.Kill(0)
		s.Kill(1)
		s.Run(s.Now() + 6*Second)
		s.Partition([]int{2, 3}, []int{4, 5}, true)
		s.Run(s.Now() + 20*Second)
		requireState(t, s, 2, name(4), membership.Dead)
		s.Partition([]int{2, 3}, []int{4, 5}, false)
		s.Run(s.Now() + 8*Second)
	})
}

// 300 members of which 60 restart at once are one cluster again, with messages per member as before.
func TestManyRestartAtOnce(t *testing.T) {
	runScenario(t, 300, 1, func(s *Cluster) {
		for i := range 60 {
			s.Kill(5 * i)
		}
		s.Run(s.Now() + 500*Millisecond)
		for i := range 60 {
			s.Start(5 * i)
		}
		s.Run(s.Now() + 8*Second)
	})
}

// Troubles drawn from a seed, one after another and on top of one another. What must hold is in the swarm itself.
func TestDrawnTroubles(t *testing.T) {
	times := 60
	if v, err := strconv.Atoi(os.Getenv("PLAYS")); err == nil {
		times = v
	}
	for _, seed := range seedList(times) {
		if RandomFaults(t.Errorf, seed); t.Failed() {
			t.Fatalf("seed %d: SEED=%d repeats it", seed, seed)
		}
	}
}

var Debug = func(*Cluster) {}

// RandomFaults plays one seed's troubles and tells what was wrong.
func RandomFaults(wrong func(string, ...any), seed uint64) {
	r := New(1, seed).Rand()
	n := 3 + r.IntN(9)
	s := New(n, seed)
	s.Conditions = LinkConditions{Loss: []float64{0, 0.05, 0.2}[r.IntN(3)], Dup: 0.01, Delay: Time(r.IntN(100)), Jitter: Time(r.IntN(300))}
	for i := range n {
		s.At(Time(r.IntN(20_000)), func() { s.Start(i) })
	}
	end := 60 * Second
	busy := make([]Time, n) // one trouble of a process at a time
	for at := 4 * Second; at < end; at += Time(r.IntN(40_000)) {
		i, j := r.IntN(n), r.IntN(n)
		last := Time(1000 + r.IntN(80_000))
		switch kind := r.IntN(6); {
		case i == j || kind < 4 && busy[i] > at:
		case kind == 0:
			busy[i] = at + last
			s.At(at, func() {
				s.Kill(i)
				if os.Getenv("D") != "" {
					fmt.Println(float64(s.Now())/1e4, "Kill", i)
				}
			})
			s.At(at+last, func() { s.Start(i) })
		case kind == 1:
			busy[i] = at + last
			s.At(at, func() {
				s.Pause(i)
				if os.Getenv("D") != "" {
					fmt.Println(float64(s.Now())/1e4, "Pause", i)
				}
			})
			s.At(at+last, func() {
				s.Resume(i)
				if os.Getenv("D") != "" {
					fmt.Println(float64(s.Now())/1e4, "Resume", i)
				}
			})
		case kind == 2:
			busy[i] = at + 3*Second + last
			s.At(at, func() {
				s.Leave(i)
				if os.Getenv("D") != "" {
					fmt.Println(float64(s.Now())/1e4, "Leave", i)
				}
			})
			s.At(at+3*Second+last, func() { s.Start(i) })
		case kind == 3:
			s.At(at, func() { s.Cut(i, j, true) })
			s.At(at+last, func() { s.Cut(i, j, false) })
		default:
			var a, b []int
			for k := range n {
				if r.IntN(2) == 0 {
					a = append(a, k)
				} else {
					b = append(b, k)
				}
			}
			s.At(at, func() {
				s.Partition(a, b, true)
				if os.Getenv("D") != "" {
					fmt.Println(float64(s.Now())/1e4, "part", a, b)
				}
			})
			s.At(at+last, func() {
				s.Partition(a, b, false)
				if os.Getenv("D") != "" {
					fmt.Println(float64(s.Now())/1e4, "unpart", a, b)
				}
			})
		}
	}
	s.Run(end + 10*Second)
	for i := range n {
		for j := range n {
			if i != j {
				s.Cut(i, j, false)
			}
		}
	}
	s.Run(end + 30*Second)
	s.Conditions = LinkConditions{Delay: 2} // at any moment of a lossy link somebody is doubted
	s.Run(end + 45*Second)
	for _, b := range s.Violations {
		wrong("%s", b)
	}
	for k, w := range s.Disagreements() {
		if k < 5 {
			wrong("at the end: %s", w)
		}
	}
}
