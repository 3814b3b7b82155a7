package simulation

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"woaddyke/internal/cluster/membership"
)

const maxReported = 5 // disagreements that are printed for one run

// seedList returns the seeds 1 to count, or only the one in the environment variable SEED, to repeat a
// failed run.
func seedList(count int) (seeds []uint64) {
	if seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return []uint64{seed}
	}
	for i := range count {
		seeds = append(seeds, uint64(i+1))
	}
	return seeds
}

// runScenario runs a scenario with several seeds, and stops after the first seed that fails the test.
func runScenario(t *testing.T, hosts, seeds int, scenario func(c *Cluster)) {
	t.Helper()
	for _, seed := range seedList(seeds) {
		c := startedCluster(hosts, seed)
		if found := c.Disagreements(); len(found) > 0 {
			t.Fatalf("seed %d, after the start: %v", seed, found[:min(len(found), maxReported)])
		}
		scenario(c)
		for _, violation := range c.Violations {
			t.Errorf("seed %d, %s", seed, violation)
		}
		if found := c.Disagreements(); len(found) > 0 {
			t.Errorf("seed %d, at the end: %v", seed, found[:min(len(found), maxReported)])
		}
		if t.Failed() {
			return
		}
	}
}

// startedCluster returns a cluster whose processes have all had time to join.
func startedCluster(hosts int, seed uint64) *Cluster {
	c := New(hosts, seed)
	for i := range hosts {
		c.Start(i)
	}
	c.Run(3 * Second)
	if hosts > maxCheckedHosts {
		c.Run(8 * Second)
	}
	return c
}

func TestAKilledMemberIsDeadInAllViews(t *testing.T) {
	for _, n := range []int{2, 3, 5, 20} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runScenario(t, n, 20, func(c *Cluster) {
				c.Kill(n - 1)
				c.Run(c.Now() + 5*Second)
				for i := range n - 1 {
					if got := c.StateOf(i, name(n-1)); got != membership.Dead {
						t.Errorf("host %d reports the killed member %v after 5 s, want dead", i, got)
					}
				}
			})
		})
	}
}

func name(i int) string { return fmt.Sprintf("n%03d", i) }

// requireState fails the test unless a name has a state in the view of a host's process.
func requireState(t *testing.T, c *Cluster, i int, subject string, want membership.State) {
	t.Helper()
	if got := c.StateOf(i, subject); got != want {
		t.Errorf("at %.1f s host %d reports %s %v, want %v", float64(c.Now())/float64(Second), i, subject, got, want)
	}
}

// countDead returns a counter of the deaths that are declared from now on, in all views.
func countDead(c *Cluster) *int {
	deaths := 0
	c.OnChange = func(_ Time, _, _ string, state membership.State) {
		if state == membership.Dead {
			deaths++
		}
	}
	return &deaths
}

// A pause up to MaxPause must not be reported as a death; a longer pause must be. The process that resumes
// learns that it was declared dead before it sends anything else, so it must not suspect other members.
func TestOnlyAPauseLongerThanMaxPauseIsADeath(t *testing.T) {
	for _, x := range []struct {
		ms   Time
		dead bool
	}{{500, false}, {2000, false}, {5000, true}, {30_000, true}} {
		t.Run(fmt.Sprint(x.ms), func(t *testing.T) {
			runScenario(t, 3, 40, func(c *Cluster) {
				deaths := countDead(c)
				c.Pause(2)
				c.Run(c.Now() + x.ms*Millisecond)
				if (*deaths > 0) != x.dead {
					t.Errorf("%d deaths are declared, want some only after a pause longer than MaxPause", *deaths)
				}
				*deaths = 0
				suspicions := 0
				c.OnChange = func(_ Time, _, subject string, state membership.State) {
					if state == membership.Dead || state == membership.Suspect && subject != name(2) {
						suspicions++
					}
				}
				c.Resume(2)
				c.Run(c.Now() + 4*Second)
				if suspicions > 0 {
					t.Errorf("after it resumed, %d suspicions of other members or deaths are reported", suspicions)
				}
				if *deaths > 0 {
					t.Errorf("after it resumed, %d deaths are declared", *deaths)
				}
			})
		})
	}
}

// A machine that is suspended pauses all its processes together. When they resume, no process may declare
// another one dead or wait for another one for ever.
func TestPausingAllMembersDeclaresNobodyDead(t *testing.T) {
	runScenario(t, 5, 40, func(c *Cluster) {
		deaths := countDead(c)
		for i := range 5 {
			c.Pause(i)
		}
		c.Run(c.Now() + 3600*Second)
		for i := range 5 {
			c.Resume(i)
		}
		c.Run(c.Now() + 5*Second)
		if *deaths > 0 {
			t.Errorf("%d deaths are declared", *deaths)
		}
	})
}

func TestTwoOfThreeMembersReturnAfterAPause(t *testing.T) {
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

// A process that resumes and is paused again before its refutation is sent must be declared dead.
func TestAMemberPausedWhileItRefutesIsDead(t *testing.T) {
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

// At 30% loss each way no member may be declared dead, and the number of messages must stay bounded.
func TestMessageLossDeclaresNobodyDead(t *testing.T) {
	runScenario(t, 8, 3, func(c *Cluster) {
		before := c.Sent
		c.Run(c.Now() + 60*Second)
		withoutLoss := c.Sent - before
		deaths := countDead(c)
		c.Conditions = LinkConditions{Loss: 0.3, Dup: 0.02, Delay: 10 * Millisecond, Jitter: 50 * Millisecond}
		before = c.Sent
		c.Run(c.Now() + 180*Second)
		if withLoss := (c.Sent - before) / 3; withLoss > 5*withoutLoss {
			t.Errorf("%d messages a minute with loss, %d without", withLoss, withoutLoss)
			t.Log(c.Kinds)
		}
		if *deaths > 0 {
			t.Errorf("%d deaths are declared", *deaths)
		}
		c.Conditions = LinkConditions{Delay: 2}
		c.Run(c.Now() + 30*Second)
	})
}

// Two members whose link is cut in one direction reach each other through a third, so both must stay
// alive in all views.
func TestAOneWayCutBetweenTwoMembersDeclaresNobodyDead(t *testing.T) {
	runScenario(t, 3, 40, func(c *Cluster) {
		deaths := countDead(c)
		c.Cut(0, 1, true)
		c.Run(c.Now() + 60*Second)
		if *deaths > 0 {
			t.Errorf("%d deaths are declared", *deaths)
		}
		for _, v := range c.Member(0).View() {
			if v.Name == name(1) && v.Reachable {
				t.Error("a member whose acks can't arrive is reported as directly reachable")
			}
		}
		c.Cut(0, 1, false)
		c.Run(c.Now() + 15*Second)
	})
}

func TestAMemberReachedThroughOneOtherStaysAlive(t *testing.T) {
	for _, outbound := range []bool{true, false} {
		t.Run(fmt.Sprint("outbound cut ", outbound), func(t *testing.T) {
			runScenario(t, 5, 20, func(c *Cluster) {
				deaths := countDead(c)
				for i := range 3 {
					c.Cut(4, i, outbound)
					c.Cut(i, 4, !outbound)
				}
				c.Run(c.Now() + 60*Second)
				if *deaths > 0 {
					t.Errorf("%d deaths are declared", *deaths)
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

// A member whose messages are lost in one direction or the other must be dead in all other views while
// the cut lasts, and the views must not flap.
func TestUnheardAndIsolatedMembersStayDead(t *testing.T) {
	for _, outbound := range []bool{true, false} {
		t.Run(fmt.Sprint("outbound cut ", outbound), func(t *testing.T) {
			runScenario(t, 5, 20, func(c *Cluster) {
				changes := map[string]int{}
				c.OnChange = func(_ Time, observer, subject string, state membership.State) {
					changes[fmt.Sprint(observer, subject, state)]++
				}
				for i := range 4 {
					if c.Cut(4, i, outbound); !outbound {
						c.Cut(i, 4, true)
					}
				}
				c.Run(c.Now() + 20*Second)
				for i := range 4 {
					for j := range 4 {
						if k := changes[fmt.Sprint(name(i), name(j), membership.Suspect)]; k > 0 {
							t.Errorf("host %d suspected host %d, which is not cut off, %d times", i, j, k)
						}
					}
				}
				clear(changes) // the cut-off member is isolated by now, and no view may change any more
				c.Run(c.Now() + 40*Second)
				for i := range 4 {
					requireState(t, c, i, name(4), membership.Dead)
					if len(changes) > 0 {
						t.Errorf("views change 20 s after the cut: %v", changes)
					}
					c.Cut(4, i, false)
					c.Cut(i, 4, false)
				}
				c.Run(c.Now() + 10*Second)
			})
		})
	}
}

// Two members that reach a third but not each other must both stay alive.
func TestAPairConnectedByAThirdStaysAlive(t *testing.T) {
	runScenario(t, 3, 40, func(c *Cluster) {
		deaths := countDead(c)
		c.Partition([]int{0}, []int{1}, true)
		c.Run(c.Now() + 60*Second)
		if *deaths > 0 {
			t.Errorf("%d deaths are declared", *deaths)
		}
		c.Partition([]int{0}, []int{1}, false)
		c.Run(c.Now() + 15*Second)
	})
}

func TestViewsConvergeAfterOverlappingPartitions(t *testing.T) {
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

// After a partition of ten minutes the views must become equal without intervention, and a member that
// left meanwhile must not return.
func TestViewsConvergeAfterALongPartition(t *testing.T) {
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

// A partition that comes and goes faster than a suspicion lasts must not cause a death.
func TestAFlappingPartitionDeclaresNobodyDead(t *testing.T) {
	runScenario(t, 4, 20, func(c *Cluster) {
		deaths := countDead(c)
		for range 40 {
			c.Partition([]int{3}, []int{0, 1, 2}, true)
			c.Run(c.Now() + 700*Millisecond)
			c.Partition([]int{3}, []int{0, 1, 2}, false)
			c.Run(c.Now() + 700*Millisecond)
		}
		if *deaths > 0 {
			t.Errorf("%d deaths are declared", *deaths)
		}
		c.Run(c.Now() + 5*Second)
	})
}

// A process that is killed and restarted before any member noticed must be a new incarnation in all
// views.
func TestAQuickRestartIsANewIncarnation(t *testing.T) {
	runScenario(t, 5, 20, func(c *Cluster) {
		deaths := countDead(c)
		c.Kill(2)
		c.Run(c.Now() + 200*Millisecond)
		c.Start(2)
		c.Run(c.Now() + 3*Second)
		if status := c.Member(2).Status(); status.Generation != 2 || *deaths > 0 {
			t.Errorf("incarnation %d, want 2; %d declared dead, want none", status.Generation, *deaths)
		}
	})
}

// If a process of the same name starts at another address while the first one is paused, the first one
// must be replaced when it resumes.
func TestAPausedProcessIsReplacedByALaterOne(t *testing.T) {
	for _, after := range []Time{300 * Millisecond, 10 * Second} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			runScenario(t, 4, 20, func(c *Cluster) {
				c.Pause(3)
				c.Run(c.Now() + after)
				replacement := c.AddHost(name(3))
				c.Start(replacement)
				c.Run(c.Now() + 5*Second)
				c.Resume(3)
				c.Run(c.Now() + 5*Second)
				if status := c.Member(3).Status(); status.State != membership.Replaced {
					t.Errorf("the first process is %v", status.State)
				}
				if status := c.Member(replacement).Status(); status.State != membership.Alive || status.Generation != 2 {
					t.Errorf("the later process is %v, incarnation %d", status.State, status.Generation)
				}
			})
		})
	}
}

// If two processes use one name, the later process must keep the name. The first must return when the
// later one has left.
func TestTheLaterOfTwoProcessesKeepsTheName(t *testing.T) {
	runScenario(t, 4, 20, func(c *Cluster) {
		later := c.AddHost(name(3))
		c.Start(later)
		c.Run(c.Now() + 3*Second)
		if status := c.Member(3).Status(); status.State != membership.Replaced {
			t.Errorf("the first process is %v", status.State)
		}
		c.Leave(later)
		c.Run(c.Now() + 8*Second)
		if status := c.Member(3).Status(); status.State != membership.Alive || status.Generation != 3 {
			t.Errorf("the first process is %v, incarnation %d", status.State, status.Generation)
		}
	})
}

// After a restart of the complete cluster the new processes do not know the earlier incarnations. A process
// that was paused during the restart must be replaced by the new process of its name when it resumes,
// although its incarnation is greater than that of the new process.
func TestAPausedProcessIsReplacedAfterAClusterRestart(t *testing.T) {
	runScenario(t, 4, 20, func(c *Cluster) {
		for range 3 { // so that the paused process has a greater incarnation than the new one
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
		replacement := c.AddHost(name(3))
		for _, i := range []int{0, 1, replacement} {
			c.Start(i)
		}
		c.Run(c.Now() + 5*Second)
		c.Resume(2) // process 2 still knows the earlier incarnation of process 3
		c.Run(c.Now() + 3*Second)
		c.Resume(3)
		c.Run(c.Now() + 8*Second)
		if status := c.Member(3).Status(); status.State != membership.Replaced {
			t.Errorf("the process from before the restart is %v", status.State)
		}
		if status := c.Member(replacement).Status(); status.State != membership.Alive {
			t.Errorf("the new process is %v", status.State)
		}
	})
}

func TestViewsConvergeAfterHalfTheMembersAreKilled(t *testing.T) {
	runScenario(t, 20, 10, func(c *Cluster) {
		for i := 10; i < 20; i++ {
			c.Kill(i)
		}
		c.Run(c.Now() + 8*Second)
	})
}

// If leave notices arrive, all members must know of the leave within a second. If they are lost, the member
// must be declared dead.
func TestALeaveReachesAllOrEndsInADeath(t *testing.T) {
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

// Dead seeds must not harm members that have joined. A process that starts while all seeds are dead must
// find the cluster once they start.
func TestMembersFindSeedsThatStartLast(t *testing.T) {
	runScenario(t, 6, 10, func(c *Cluster) {
		c.Kill(0)
		c.Kill(1)
		c.Run(c.Now() + 6*Second)
		joiner := c.AddHost("late")
		c.Start(joiner)
		c.Run(c.Now() + 5*Second) // the joiner finds no live seed
		c.Start(1)
		c.Run(c.Now() + 6*Second)
		requireState(t, c, joiner, name(4), membership.Alive)
		c.Start(0)
		c.Run(c.Now() + 6*Second)
	})
}

// Without a live seed, the sides of a partition must find each other by pinging dead members.
func TestAPartitionWithoutSeedsHeals(t *testing.T) {
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

// 300 members of which 60 restart together must become one cluster again.
func TestViewsConvergeAfterManyRestarts(t *testing.T) {
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

// The guarantees of membership must hold under random faults, which happen in sequence and at the same
// time. PLAYS sets the number of seeds.
func TestRandomFaults(t *testing.T) {
	runs := 60
	if v, err := strconv.Atoi(os.Getenv("PLAYS")); err == nil {
		runs = v
	}
	for _, seed := range seedList(runs) {
		if randomFaults(t.Errorf, seed); t.Failed() {
			t.Fatalf("seed %d: SEED=%d repeats it", seed, seed)
		}
	}
}

const faultsEnd = 60 * Second // end of the faults in a run of random faults

// randomFaults runs the faults of one seed and reports each violation and disagreement.
func randomFaults(report func(string, ...any), seed uint64) {
	random := New(1, seed).Rand()
	hosts := 3 + random.IntN(9)
	c := New(hosts, seed)
	c.Conditions = LinkConditions{
		Loss:   []float64{0, 0.05, 0.2}[random.IntN(3)],
		Dup:    0.01,
		Delay:  Time(random.IntN(100)),
		Jitter: Time(random.IntN(300)),
	}
	for i := range hosts {
		c.At(Time(random.IntN(20_000)), func() { c.Start(i) })
	}
	busyUntil := make([]Time, hosts)
	for at := 4 * Second; at < faultsEnd; at += Time(random.IntN(40_000)) {
		scheduleRandomFault(c, random, at, busyUntil)
	}
	c.Run(faultsEnd + 10*Second)
	openAllLinks(c)
	c.Run(faultsEnd + 30*Second)
	c.Conditions = LinkConditions{Delay: 2} // with loss, some member is suspect at any time
	c.Run(faultsEnd + 45*Second)
	for _, violation := range c.Violations {
		report("%s", violation)
	}
	found := c.Disagreements()
	for _, disagreement := range found[:min(len(found), maxReported)] {
		report("at the end: %s", disagreement)
	}
}

// scheduleRandomFault schedules a fault of a process, of a link or of the network, and its end. A
// process has at most one fault of its own at a time.
func scheduleRandomFault(c *Cluster, random *rand.Rand, at Time, busyUntil []Time) {
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

func randomGroups(random *rand.Rand, hosts int) (a, b []int) {
	for i := range hosts {
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
