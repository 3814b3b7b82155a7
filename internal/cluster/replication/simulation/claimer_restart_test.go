package simulation

import (
	"fmt"
	"testing"

	"woaddyke/internal/cluster/replication"
)

// claimWithoutEnd makes a scheduler claim an op that only the test ends. It fails the test if the claim is
// not granted.
func (c *Cluster) claimWithoutEnd(t *testing.T, i int, key string) (id uint64) {
	t.Helper()
	c.opsEndManually = true
	c.Claim(i, key)
	id = c.lastRequest
	c.Run(c.Now() + 200*Millisecond)
	if c.holders[key] != fmt.Sprint(id) {
		t.Fatalf("%s is not granted", key)
	}
	return id
}

// endOp makes the process of a claim end its op, if the process still runs.
func (c *Cluster) endOp(id uint64) {
	cl := c.claims[id]
	if cl.processRunning() {
		result := []byte(fmt.Sprint(id))
		ended := replication.OpEnded{RequestID: id, HTTPStatus: 200, Result: result, ResultRetained: true}
		c.step(cl.scheduler, cl.core, ended)
	}
}

// A repeat of an op is in progress, and answered with 503, only while the process of its claim can still end
// the op. Later processes under the same scheduler name must not change this result.
func TestARepeatIsInProgressOnlyWhileItsProcessRuns(t *testing.T) {
	const claimer, replica, other = 4, 0, 3
	unknown, running, answered :=
		replication.OutcomeUnknown, replication.InProgress, replication.AlreadyAnswered
	for _, x := range []struct {
		name    string
		claimer int
		after   func(c *Cluster, i int, id uint64) // called after the claim is granted
		want    replication.ClaimResult
	}{
		{"killed and restarted", claimer, func(c *Cluster, i int, _ uint64) {
			c.Kill(i)
			c.Start(i)
		}, unknown},
		{"a replica, killed and restarted", replica, func(c *Cluster, i int, _ uint64) {
			c.Kill(i)
			c.Start(i)
		}, unknown},
		{"killed and restarted twice", claimer, func(c *Cluster, i int, _ uint64) {
			c.Kill(i)
			c.Start(i)
			c.Kill(i)
			c.Start(i)
		}, unknown},
		{"paused and resumed", claimer, func(c *Cluster, i int, _ uint64) {
			c.Pause(i)
			c.Run(c.Now() + 3*Second)
			c.Resume(i)
		}, running},
		{"paused, resumed and ended", claimer, func(c *Cluster, i int, id uint64) {
			c.Pause(i)
			c.Run(c.Now() + 3*Second)
			c.Resume(i)
			c.endOp(id)
		}, answered},
		{"predecessor in a hot restart", claimer, func(c *Cluster, i int, _ uint64) {
			c.HotRestart(i, 600*Second)
		}, running},
		{"replica, predecessor in a hot restart", replica, func(c *Cluster, i int, _ uint64) {
			c.HotRestart(i, 600*Second)
		}, running},
		{"predecessor that ends its op", claimer, func(c *Cluster, i int, id uint64) {
			c.HotRestart(i, 2*Second)
			c.Run(c.Now() + Second)
			c.endOp(id)
		}, answered},
		{"predecessor that is killed", claimer, func(c *Cluster, i int, _ uint64) {
			c.HotRestart(i, Second)
		}, unknown},
		{"predecessor's op is ended at one replica alone", claimer, func(c *Cluster, i int, id uint64) {
			c.HotRestart(i, 2*Second)
			c.DropIf = func(to string, x replication.Message) bool {
				return x.Kind == replication.OutcomeReported && to != "n1"
			}
			c.endOp(id)
			c.Run(c.Now() + 3*Second)
		}, answered},
		{"both processes of a hot restart killed", claimer, func(c *Cluster, i int, _ uint64) {
			c.HotRestart(i, Second)
			c.Run(c.Now() + Second)
			c.Kill(i)
			c.Start(i)
		}, unknown},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := startCluster(5, 3, 1)
			id := c.claimWithoutEnd(t, x.claimer, "x")
			x.after(c, x.claimer, id)
			c.Run(c.Now() + 5*Second)
			for _, i := range []int{other, 1, x.claimer} {
				if got := c.claimResult(i, "x"); got != x.want {
					t.Errorf("at n%d: result %v, want %v", i, got, x.want)
				}
			}
			if len(c.Violations) > 0 {
				t.Error(c.Violations)
			}
		})
	}
}

// The claim of an ended process may reach a replica after the next process of that scheduler is known there,
// by a late message or by catch-up. The claim must still count as one of the ended process.
func TestALateClaimOfAnEndedProcessHasAnUnknownOutcome(t *testing.T) {
	c := startCluster(5, 3, 1)
	c.CutLink(4, 2, true)
	c.claimWithoutEnd(t, 4, "x")
	c.Kill(4)
	c.Start(4)
	c.CutLink(4, 2, false)
	c.Run(c.Now() + 5*Second) // n2 catches up
	c.Kill(0)
	checkResult(t, c.claimResult(3, "x"), replication.OutcomeUnknown)
}

// A claim that does not state its process, as in older builds, is in progress, since its process may still
// run.
func TestAClaimOfAnOlderBuildIsInProgress(t *testing.T) {
	c := startCluster(5, 3, 1)
	c.removesProcesses = true
	c.claimWithoutEnd(t, 4, "x")
	c.Kill(4)
	c.Start(4)
	c.Run(c.Now() + 5*Second)
	checkResult(t, c.claimResult(3, "x"), replication.InProgress)
}

// A member that missed the report that a process has ended gets the report again. Otherwise the ops of that
// process would stay in progress for this member.
func TestAMissedProcessEndIsReportedAgain(t *testing.T) {
	c := startCluster(5, 3, 1)
	c.claimWithoutEnd(t, 4, "x")
	c.HotRestart(4, Second)
	c.CutLink(4, 3, true)
	c.Run(c.Now() + 3*Second)
	checkResult(t, c.claimResult(3, "x"), replication.InProgress)
	c.CutLink(4, 3, false)
	c.Run(c.Now() + 20*Second)
	checkResult(t, c.claimResult(3, "x"), replication.OutcomeUnknown)
}

// After random kills, pauses and hot restarts of claimers, a repeat of an op that has not ended is
// answered InProgress if the process that claimed the op still runs, and OutcomeUnknown otherwise. No op is
// granted twice.
func TestRepeatsAreAnsweredCorrectlyAfterRandomRestarts(t *testing.T) {
	first, last := seedRange(40)
	unknown, running := 0, 0
	for seed := first; seed <= last; seed++ {
		c := New(6, 3, seed)
		c.drawNetwork(0, 0.05, 0.2)
		for i := range 6 {
			c.At(Time(c.Rand.IntN(5000)), func() { c.Start(i) })
		}
		end := 25 * Second
		c.drawClaims(6*Second, end)
		c.drawRestarts(7*Second, end, 3)
		c.Run(end + 5*Second)
		c.LossProbability, c.DuplicationProbability = 0, 0
		c.Run(end + 60*Second)
		c.reportViolations(t, seed)
		for key, holder := range c.holders {
			want := c.unendedOpResult(key, holder)
			if want == 0 {
				continue
			}
			for _, i := range []int{c.Rand.IntN(6), 5} {
				if got := c.claimResult(i, key); got != want {
					t.Errorf("seed %d: %s at n%d: result %v, want %v (SEED=%d repeats it)",
						seed, key, i, got, want, seed)
				}
			}
			if want == replication.OutcomeUnknown {
				unknown++
			} else {
				running++
			}
		}
		if t.Failed() {
			return
		}
	}
	if runs := int(last - first + 1); unknown < runs/2 || running < runs/2 {
		t.Errorf("%d ops of unknown outcome and %d in progress: too few for this test", unknown, running)
	}
}

// unendedOpResult returns the result that a repeat must get if the op was granted and has not ended. It
// returns 0 for other ops.
func (c *Cluster) unendedOpResult(key, holder string) replication.ClaimResult {
	var id uint64
	if _, err := fmt.Sscan(holder, &id); err != nil {
		return 0
	}
	for _, entry := range c.History {
		if entry.Claim == int(id) && (entry.Step == stepEnded || entry.Step == stepReleased) {
			return 0
		}
	}
	if c.claims[id].processRunning() {
		return replication.InProgress
	}
	return replication.OutcomeUnknown
}

// drawRestarts schedules kills with a quick restart, pauses and hot restarts. A node has one fault at a time.
// All replicas together also have one fault at a time: without disks, two killed replicas of three would
// forget grants.
func (c *Cluster) drawRestarts(begin, end Time, replicas int) {
	r, n := c.Rand, len(c.nodes)
	busyUntil := make([]Time, n)
	for at := begin; at < end; at += Time(r.IntN(15_000)) {
		i, duration := r.IntN(n), Time(r.IntN(30_000))
		busy, recovery := &busyUntil[i], Second
		if i < replicas {
			busy, recovery = &busyUntil[0], 5*Second
		}
		if *busy > at {
			continue
		}
		*busy = at + duration + recovery
		switch r.IntN(3) {
		case 0:
			c.killAndRestartAt(at, i, duration/100)
		case 1:
			c.pauseAt(at, i, duration)
		case 2:
			c.At(at, func() { c.HotRestart(i, duration) })
		}
	}
}
