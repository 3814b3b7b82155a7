package simulation

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"woaddyke/internal/cluster/membership"
)

const maxReported = 5 // disagreements of one run

// seedList returns the seeds 1 to count; SEED in the environment repeats one that failed.
func seedList(count int) (seeds []uint64) {
	if seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return []uint64{seed}
	}
	for i := range count {
		seeds = append(seeds, uint64(i+1))
	}
	return seeds
}

// runScenario runs a scenario with some seeds. The first seed that fails the test is the last.
func runScenario(t *testing.T, places, seeds int, scenario func(c *Cluster)) {
	t.Helper()
	for _, seed := range seedList(seeds) {
		c := startedCluster(places, seed)
		if found := c.Disagreements(); len(found) > 0 {
			t.Fatalf("seed %d: after the start: %v", seed, found[:min(len(found), maxReported)])
		}
		scenario(c)
		for _, violation := range c.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		if found := c.Disagreements(); len(found) > 0 {
			t.Errorf("seed %d, at the end: %v", seed, found[:min(len(found), maxReported)])
		}
		if t.Failed() {
			return
		}
	}
}

// startedCluster returns a cluster of which all processes have had the time to join.
func startedCluster(places int, seed uint64) *Cluster {
	c := New(places, seed)
	for i := range places {
		c.Start(i)
	}
	c.Run(3 * Second)
	if places > maxCheckedPlaces {
		c.Run(8 * Second)
	}
	return c
}

func TestKilledMemberIsDeadInAllViews(t *testing.T) {
	for _, n := range []int{2, 3, 5, 20} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runScenario(t, n, 20, func(c *Cluster) {
				c.Kill(n - 1)
				c.Run(c.Now() + 5*Second)
				for i := range n - 1 {
					if got := c.StateOf(i, name(n-1)); got != membership.Dead {
						t.Errorf("%d holds it %v after 5 s", i, got)
					}
				}
			})
		})
	}
}

func name(i int) string { return fmt.Sprintf("n%03d", i) }

// requireState fails the test unless a place holds a name to be in a state.
func requireState(t *testing.T, c *Cluster, i int, of string, want membership.State) {
	t.Helper()
	if got := c.StateOf(i, of); got != want {
		t.Errorf("at %.1f s place %d holds %s %v, not %v", float64(c.Now())/float64(Second), i, of, got, want)
	}
}

// countDead counts from now on how often anybody is declared dead.
func countDead(c *Cluster) *int {
	n := 0
	c.OnChange = func(_ Time, _, _ string, state membership.State) {
		if state == membership.Dead {
			n++
		}
	}
	return &n
}

// A pause up to MaxPause is no death; a longer one is, and the process that resumes learns that it was
// declared dead before it sends anything else.
func TestPauses(t *testing.T) {
	for _, x := range []struct {
		ms   Time
		gone bool
	}{{500, false}, {2000, false}, {5000, true}, {30_000, true}} {
		t.Run(fmt.Sprint(x.ms), func(t *testing.T) {
			runScenario(t, 3, 40, func(c *Cluster) {
				n := countDead(c)
				c.Pause(2)
				c.Run(c.Now() + x.ms*Millisecond)
				if (*n > 0) != x.gone {
					t.Errorf("declared dead %d times", *n)
				}
				*n = 0
				accused := 0
				c.OnChange = func(_ Time, _, of string, state membership.State) {
					if state == membership.Dead || state == membership.Suspect && of != name(2) {
						accused++
					}
				}
				c.Resume(2)
				c.Run(c.Now() + 4*Second)
				if accused > 0 {
					t.Errorf("after its return it suspected others %d times", accused)
				}
				if *n > 0 {
					t.Errorf("after its return %d are declared dead", *n)
				}
			})
		})
	}
}

// A machine that sleeps stops all processes at once: none may suspect another, and none may wait for
// another for ever.
func TestAllPausedAtOnce(t *testing.T) {
	runScenario(t, 5, 40, func(c *Cluster) {
		n := countDead(c)
		for i := range 5 {
			c.Pause(i)
		}
		c.Run(c.Now() + 3600*Second)
		for i := range 5 {
			c.Resume(i)
		}
		c.Run(c.Now() + 5*Second)
		if *n > 0 {
			t.Errorf("%d are declared dead", *n)
		}
	})
}

func TestTwoOfThreePaused(t *testing.T) {
	runScenario(t, 3, 40, func(c *Cluster) {
		c.Pause(1)
		c.Pause(2)
		c.Run(c.Now() + 10*Second)
		requireState(t, c, 0, name(1), membership.Dead)
		c.Resume(1)
		c.Run(c.Now() + 3*Second)
		requireState(t, c, 0, name(1), membership.Alive)
		c.Resume(2)
		c.Run(c.Now() + 4*Second)
	})
}

// A process that resumes, refutes and is paused again before its refutation is sent must not be held alive.
func TestPausedInTheMiddleOfRefuting(t *testing.T) {
	runScenario(t, 4, 40, func(c *Cluster) {
		c.Pause(3)
		c.Run(c.Now() + 1500*Millisecond)
		c.Resume(3)
		c.Pause(3)
		c.Run(c.Now() + 20*Second)
		requireState(t, c, 0, name(3), membership.Dead)
		c.Resume(3)
		c.Run(c.Now() + 4*Second)
	})
}

// At 30% loss each way nobody is declared dead, and the number of messages stays bounded.
func TestLossForMinutes(t *testing.T) {
	runScenario(t, 8, 3, func(c *Cluster) {
		before := c.Sent
		c.Run(c.Now() + 60*Second)
		calm := c.Sent - before
		n := countDead(c)
		c.Conditions = LinkConditions{Loss: 0.3, Dup: 0.02, Delay: 10 * Millisecond, Jitter: 50 * Millisecond}
		before = c.Sent
		c.Run(c.Now() + 180*Second)
		if lossy := (c.Sent - before) / 3; lossy > 5*calm {
			t.Errorf("%d messages a minute, %d without loss", lossy, calm)
			t.Log(c.Kinds)
		}
		if *n > 0 {
			t.Errorf("%d are declared dead", *n)
		}
		c.Conditions = LinkConditions{Delay: 2}
		c.Run(c.Now() + 30*Second)
	})
}

// Two members whose link is cut in one direction reach each other through a third: both stay alive in all
// views.
func TestOneSidedCutOfAPair(t *testing.T) {
	runScenario(t, 3, 40, func(c *Cluster) {
		n := countDead(c)
		c.Cut(0, 1, true)
		c.Run(c.Now() + 60*Second)
		if *n > 0 {
			t.Errorf("%d are declared dead", *n)
		}
		for _, v := range c.Member(0).View() {
			if v.Name == name(1) && v.Reachable {
				t.Error("a member whose answers can't come is said to be reachable from here")
			}
		}
		c.Cut(0, 1, false)
		c.Run(c.Now() + 15*Second)
	})
}

func TestOneSidedCutFromAllButOne(t *testing.T) {
	for _, mute := range []bool{true, false} {
		t.Run(fmt.Sprint("mute ", mute), func(t *testing.T) {
			runScenario(t, 5, 20, func(c *Cluster) {
				n := countDead(c)
				for i := range 3 {
					c.Cut(4, i, mute)
					c.Cut(i, 4, !mute)
				}
				c.Run(c.Now() + 60*Second)
				if *n > 0 {
					t.Errorf("%d are declared dead", *n)
				}
				for i := range 3 {
					c.Cut(4, i, false)
					c.Cut(i, 4, false)
				}
				c.Run(c.Now() + 15*Second)
			})
		})
	}
}

// A member that nobody hears, and one that hears nobody, are dead for the others while that lasts, and
// views do not flap.
func TestUnheardAndIsolatedMembers(t *testing.T) {
	for _, mute := range []bool{true, false} {
		t.Run(fmt.Sprint("mute ", mute), func(t *testing.T) {
			runScenario(t, 5, 20, func(c *Cluster) {
				said := map[string]int{}
				c.OnChange = func(_ Time, by, of string, state membership.State) { said[fmt.Sprint(by, of, state)]++ }
				for i := range 4 {
					if c.Cut(4, i, mute); !mute {
						c.Cut(i, 4, true)
					}
				}
				c.Run(c.Now() + 20*Second)
				for i := range 4 {
					for j := range 4 {
						if k := said[fmt.Sprint(name(i), name(j), membership.Suspect)]; k > 0 {
							t.Errorf("place %d suspected %d %d times, which has no part in this", i, j, k)
						}
					}
				}
				clear(said) // by then it has found out that it hears nobody
				c.Run(c.Now() + 40*Second)
				for i := range 4 {
					requireState(t, c, i, name(4), membership.Dead)
					if len(said) > 0 {
						t.Errorf("views still change after 20 s: %v", said)
					}
					c.Cut(4, i, false)
					c.Cut(i, 4, false)
				}
				c.Run(c.Now() + 10*Second)
			})
		})
	}
}

// Two members that reach a third but not each other both stay alive.
func TestPairConnectedByAThird(t *testing.T) {
	runScenario(t, 3, 40, func(c *Cluster) {
		n := countDead(c)
		c.Partition([]int{0}, []int{1}, true)
		c.Run(c.Now() + 60*Second)
		if *n > 0 {
			t.Errorf("%d are declared dead", *n)
		}
		c.Partition([]int{0}, []int{1}, false)
		c.Run(c.Now() + 15*Second)
	})
}

func TestPartitionsThatOverlap(t *testing.T) {
	runScenario(t, 9, 20, func(c *Cluster) {
		left, middle, right := []int{0, 1, 2}, []int{3, 4, 5}, []int{6, 7, 8}
		c.Partition(left, append(middle, right...), true)
		c.Run(c.Now() + 12*Second)
		c.Partition(right, middle, true)
		c.Run(c.Now() + 12*Second)
		requireState(t, c, 0, name(3), membership.Dead)
		requireState(t, c, 3, name(6), membership.Dead)
		requireState(t, c, 3, name(4), membership.Alive)
		c.Partition(left, middle, false)
		c.Run(c.Now() + 12*Second)
		c.Partition(right, append(left, middle...), false)
		c.Run(c.Now() + 8*Second)
	})
}

// After a partition of ten minutes views become equal without help, and a member that left meanwhile does
// not come back.
func TestALongCutEndsByItself(t *testing.T) {
	runScenario(t, 8, 6, func(c *Cluster) {
		a, b := []int{0, 1, 2, 3}, []int{4, 5, 6, 7}
		c.Partition(a, b, true)
		c.Run(c.Now() + 300*Second)
		c.Leave(7)
		c.Run(c.Now() + 300*Second)
		c.Partition(a, b, false)
		c.Run(c.Now() + 5*Second)
		requireState(t, c, 0, name(7), membership.Left)
	})
}

// A partition that comes and goes faster than a suspicion lasts has nobody declared dead.
func TestFlappingPartition(t *testing.T) {
	runScenario(t, 4, 20, func(c *Cluster) {
		n := countDead(c)
		for range 40 {
			c.Partition([]int{3}, []int{0, 1, 2}, true)
			c.Run(c.Now() + 700*Millisecond)
			c.Partition([]int{3}, []int{0, 1, 2}, false)
			c.Run(c.Now() + 700*Millisecond)
		}
		if *n > 0 {
			t.Errorf("%d are declared dead", *n)
		}
		c.Run(c.Now() + 5*Second)
	})
}

// A process that is killed and started before anybody noticed is a new incarnation in all views.
func TestKilledAndBackAtOnce(t *testing.T) {
	runScenario(t, 5, 20, func(c *Cluster) {
		n := countDead(c)
		c.Kill(2)
		c.Run(c.Now() + 200*Millisecond)
		c.Start(2)
		c.Run(c.Now() + 3*Second)
		if own := c.Member(2).Status(); own.Generation != 2 || *n > 0 {
			t.Errorf("incarnation %d, %d declared dead", own.Generation, *n)
		}
	})
}

// A process of the same name starts at another address while the first one is paused: the first one is
// replaced when it resumes.
func TestASuccessorWhileTheFirstIsStopped(t *testing.T) {
	for _, after := range []Time{300 * Millisecond, 10 * Second} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			runScenario(t, 4, 20, func(c *Cluster) {
				c.Pause(3)
				c.Run(c.Now() + after)
				heir := c.AddProcess(name(3))
				c.Start(heir)
				c.Run(c.Now() + 5*Second)
				c.Resume(3)
				c.Run(c.Now() + 5*Second)
				if own := c.Member(3).Status(); own.State != membership.Replaced {
					t.Errorf("the first is %v", own.State)
				}
				if own := c.Member(heir).Status(); own.State != membership.Alive || own.Generation != 2 {
					t.Errorf("the successor is %v, incarnation %d", own.State, own.Generation)
				}
			})
		})
	}
}

// Of two processes that use one name the later one stays, and the first comes back when that one has left.
func TestANameUsedTwice(t *testing.T) {
	runScenario(t, 4, 20, func(c *Cluster) {
		heir := c.AddProcess(name(3))
		c.Start(heir)
		c.Run(c.Now() + 3*Second)
		if own := c.Member(3).Status(); own.State != membership.Replaced {
			t.Errorf("the first is %v", own.State)
		}
		c.Leave(heir)
		c.Run(c.Now() + 8*Second)
		if own := c.Member(3).Status(); own.State != membership.Alive || own.Generation != 3 {
			t.Errorf("the first is %v, incarnation %d", own.State, own.Generation)
		}
	})
}

// After a restart of all nobody knows the earlier incarnations; a paused process of before is replaced when
// it resumes.
func TestRestartOfAll(t *testing.T) {
	runScenario(t, 4, 20, func(c *Cluster) {
		for range 3 { // so that the one that sleeps has the greater incarnation
			c.Kill(3)
			c.Run(c.Now() + Second)
			c.Start(3)
			c.Run(c.Now() + 2*Second)
		}
		c.Pause(3)
		c.Pause(2)
		for i := range 2 {
			c.Kill(i)
		}
		c.Run(c.Now() + 5*Second)
		heir := c.AddProcess(name(3))
		for _, i := range []int{0, 1, heir} {
			c.Start(i)
		}
		c.Run(c.Now() + 5*Second)
		c.Resume(2) // it remembers the old incarnation
		c.Run(c.Now() + 3*Second)
		c.Resume(3)
		c.Run(c.Now() + 8*Second)
		if own := c.Member(3).Status(); own.State != membership.Replaced {
			t.Errorf("the one from before is %v", own.State)
		}
		if own := c.Member(heir).Status(); own.State != membership.Alive {
			t.Errorf("the new one is %v", own.State)
		}
	})
}

func TestHalfKilledAtOneMoment(t *testing.T) {
	runScenario(t, 20, 10, func(c *Cluster) {
		for i := 10; i < 20; i++ {
			c.Kill(i)
		}
		c.Run(c.Now() + 8*Second)
	})
}

// A leave whose messages are lost ends in a death, and one that is received is known to all within a
// second.
func TestLeave(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("lost ", lost), func(t *testing.T) {
			runScenario(t, 12, 10, func(c *Cluster) {
				if lost {
					c.Conditions.Loss = 1
				}
				c.Leave(5)
				c.Run(c.Now() + 300*Millisecond)
				c.Conditions.Loss = 0
				want := membership.Left
				if c.Run(c.Now() + 700*Millisecond); lost {
					want = membership.Dead
					c.Run(c.Now() + 6*Second)
				}
				requireState(t, c, 0, name(5), want)
			})
		})
	}
}

// Dead seeds harm nobody who has joined, and seeds that start last are found.
func TestSeedsGoneAndSeedsLast(t *testing.T) {
	runScenario(t, 6, 10, func(c *Cluster) {
		c.Kill(0)
		c.Kill(1)
		c.Run(c.Now() + 6*Second)
		late := c.AddProcess("late")
		c.Start(late)
		c.Run(c.Now() + 5*Second) // it finds nobody
		c.Start(1)
		c.Run(c.Now() + 6*Second)
		requireState(t, c, late, name(4), membership.Alive)
		c.Start(0)
		c.Run(c.Now() + 6*Second)
	})
}

// Without a live seed, the groups of a partition find each other by pinging dead members.
func TestACutWithoutSeeds(t *testing.T) {
	runScenario(t, 6, 10, func(c *Cluster) {
		c.Kill(0)
		c.Kill(1)
		c.Run(c.Now() + 6*Second)
		c.Partition([]int{2, 3}, []int{4, 5}, true)
		c.Run(c.Now() + 20*Second)
		requireState(t, c, 2, name(4), membership.Dead)
		c.Partition([]int{2, 3}, []int{4, 5}, false)
		c.Run(c.Now() + 8*Second)
	})
}

// 300 members of which 60 restart at once are one cluster again.
func TestManyRestartAtOnce(t *testing.T) {
	runScenario(t, 300, 1, func(c *Cluster) {
		for i := range 60 {
			c.Kill(5 * i)
		}
		c.Run(c.Now() + 500*Millisecond)
		for i := range 60 {
			c.Start(5 * i)
		}
		c.Run(c.Now() + 8*Second)
	})
}

// Random faults, one after another and at once. The cluster itself checks what must hold. PLAYS sets how
// many seeds are run.
func TestRandomFaults(t *testing.T) {
	times := 60
	if v, err := strconv.Atoi(os.Getenv("PLAYS")); err == nil {
		times = v
	}
	for _, seed := range seedList(times) {
		if randomFaults(t.Errorf, seed); t.Failed() {
			t.Fatalf("seed %d: SEED=%d repeats it", seed, seed)
		}
	}
}

const faultsEnd = 60 * Second // in a run of random faults

// randomFaults runs one seed's faults and reports what was wrong.
func randomFaults(wrong func(string, ...any), seed uint64) {
	random := New(1, seed).Rand()
	places := 3 + random.IntN(9)
	c := New(places, seed)
	c.Conditions = LinkConditions{
		Loss:   []float64{0, 0.05, 0.2}[random.IntN(3)],
		Dup:    0.01,
		Delay:  Time(random.IntN(100)),
		Jitter: Time(random.IntN(300)),
	}
	for i := range places {
		c.At(Time(random.IntN(20_000)), func() { c.Start(i) })
	}
	busyUntil := make([]Time, places)
	for at := 4 * Second; at < faultsEnd; at += Time(random.IntN(40_000)) {
		planRandomFault(c, random, at, busyUntil)
	}
	c.Run(faultsEnd + 10*Second)
	openAllLinks(c)
	c.Run(faultsEnd + 30*Second)
	c.Conditions = LinkConditions{Delay: 2} // at any moment of a lossy link somebody is suspect
	c.Run(faultsEnd + 45*Second)
	for _, violation := range c.Violations {
		wrong("%s", violation)
	}
	found := c.Disagreements()
	for _, disagreement := range found[:min(len(found), maxReported)] {
		wrong("at the end: %s", disagreement)
	}
}

// planRandomFault plans a fault of a process, of a link or of the network, and its end. A process has one
// fault of its own at a time.
func planRandomFault(c *Cluster, random *rand.Rand, at Time, busyUntil []Time) {
	i, j := random.IntN(c.Size()), random.IntN(c.Size())
	end := at + Time(1000+random.IntN(80_000))
	kind := random.IntN(6)
	if i == j || kind < 4 && busyUntil[i] > at {
		return
	}
	switch kind {
	case 0:
		busyUntil[i] = end
		c.At(at, func() { c.Kill(i) })
		c.At(end, func() { c.Start(i) })
	case 1:
		busyUntil[i] = end
		c.At(at, func() { c.Pause(i) })
		c.At(end, func() { c.Resume(i) })
	case 2:
		busyUntil[i] = end + 3*Second
		c.At(at, func() { c.Leave(i) })
		c.At(end+3*Second, func() { c.Start(i) })
	case 3:
		c.At(at, func() { c.Cut(i, j, true) })
		c.At(end, func() { c.Cut(i, j, false) })
	default:
		a, b := randomGroups(random, c.Size())
		c.At(at, func() { c.Partition(a, b, true) })
		c.At(end, func() { c.Partition(a, b, false) })
	}
}

func randomGroups(random *rand.Rand, places int) (a, b []int) {
	for i := range places {
		if random.IntN(2) == 0 {
			a = append(a, i)
		} else {
			b = append(b, i)
		}
	}
	return a, b
}

func openAllLinks(c *Cluster) {
	for i := range c.Size() {
		for j := range c.Size() {
			if i != j {
				c.Cut(i, j, false)
			}
		}
	}
}
