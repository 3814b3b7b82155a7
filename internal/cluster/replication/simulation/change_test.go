package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// dynamicCluster is a cluster whose replicas change by agreement, once that is founded.
func dynamicCluster(t *testing.T, n, count int, seed uint64) *Cluster {
	t.Helper()
	p := New(n, count, seed)
	p.DynamicReplicas = true
	for i := range n {
		p.Start(i)
	}
	p.Run(8 * Second)
	for i := range n {
		if p.Core(i).Set().Epoch == 0 {
			t.Fatalf("seed %d: n%d goes by its file: %+v", seed, i, p.Core(i).Status())
		}
	}
	return p
}

// changeReplicas has operators ask for replicas, again and again until they stand, and reports whether
// they do in time.
func (p *Cluster) changeReplicas(i int, within Time, want ...int) bool {
	until := p.Now() + within
	for p.Now() < until {
		p.RequestChange(i, want...)
		p.Run(p.Now() + 2*Second)
		if p.replicasAre(i, want...) {
			return true
		}
	}
	return false
}

func (p *Cluster) replicasAre(i int, want ...int) bool {
	var names []string
	for _, k := range want {
		names = append(names, fmt.Sprint("n", k))
	}
	slices.Sort(names)
	set := p.Core(i).Set()
	return !set.Joint() && slices.Equal(set.New, names)
}

func (p *Cluster) partition(a, b []int, on bool) {
	for _, i := range a {
		for _, j := range b {
			p.CutLink(i, j, on)
			p.CutLink(j, i, on)
		}
	}
}

func (p *Cluster) requireNoViolations(t *testing.T) {
	t.Helper()
	for _, b := range p.Violations {
		t.Error(b)
	}
}

// checkConverged checks that so many places go by one set of replicas, all of which have their votes and
// the same copies.
func (p *Cluster) checkConverged(t *testing.T, seed uint64, places int) {
	t.Helper()
	set, digest := p.Core(0).Set(), ""
	for i := range places {
		if got := p.Core(i).Set(); got.ID() != set.ID() || got.Joint() {
			t.Errorf("seed %d: at rest n%d goes by %+v, n0 by %+v", seed, i, got, set)
		}
		if !slices.Contains(set.New, p.nodes[i].name) {
			continue
		}
		s := p.Core(i).Status()
		if digest == "" {
			digest = s.Digest
		}
		if s.Digest != digest || !s.Voting {
			const format = "seed %d: at rest n%d votes: %v, its copies %s, others' %s"
			t.Errorf(format, seed, i, s.Voting, s.Digest, digest)
		}
	}
}

// All replicas are replaced by others: whatever the old ones granted, the new ones know.
func TestAllKeepersAreReplaced(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		p := dynamicCluster(t, 7, 3, seed)
		for k := range 30 {
			p.Claim(6, fmt.Sprint("x", k))
		}
		p.Run(p.Now() + Second)
		if !p.changeReplicas(6, 10*Second, 3, 4, 5) {
			t.Fatalf("seed %d: the keepers are %v", seed, p.Core(6).Set())
		}
		for i := range 3 {
			p.Kill(i)
		}
		for k := range 30 {
			p.claimResult(6, fmt.Sprint("x", k))
		}
		if got := p.claimResult(6, "new"); got != replication.Granted {
			t.Errorf("seed %d: the new keepers give nothing: %v", seed, got)
		}
		p.requireNoViolations(t)
	}
}

// What the new replicas are told of the past is lost on its way: the old ones are not let go before it has
// come, though two of the three are new ones that were old ones, and had their votes all along. What the
// other three granted these do not know.
func TestOldKeepersStayUntilTheNewOnesKnow(t *testing.T) {
	led := false
	for seed := uint64(1); seed <= 8; seed++ {
		p := dynamicCluster(t, 8, 5, seed)
		for i := 2; i < 5; i++ { // one that hears who is ready
			led = led || p.nodes[i].replicaSet.IsLeader()
		}
		p.DropIf = func(to string, x replication.Message) bool {
			return to == "n0" || to == "n1" || to == "n5" // all of them at first, so that three others grant
		}
		p.Claim(7, "x")
		p.Run(p.Now() + Second)
		if p.Granted != 1 {
			t.Fatalf("seed %d: not given", seed)
		}
		// At first none of the three knows, and then one: that is not enough.
		for _, mute := range []string{"n0 n1 n5", "n0 n1"} {
			p.DropIf = func(to string, x replication.Message) bool {
				return strings.Contains(mute, to) && x.Kind == replication.DigestPage
			}
			for range 4 {
				p.RequestChange(6, 0, 1, 5)
				p.Run(p.Now() + Second)
				p.Claim(6, "x")
			}
			if set := p.Core(6).Set(); !set.Joint() {
				t.Errorf("seed %d: the old ones are let go while %s know nothing: %v", seed, mute, set)
			}
		}
		p.DropIf = nil
		p.Run(p.Now() + 3*Second)
		if !p.replicasAre(6, 0, 1, 5) {
			t.Errorf("seed %d: the change has no end: %v", seed, p.Core(6).Set())
		}
		p.claimResult(6, "x")
		p.requireNoViolations(t)
	}
	if !led {
		t.Error("none led that would have heard: this proves little")
	}
}

// One of three is dead and another takes its place; ops go on all the while.
func TestADeadKeeperIsReplacedUnderLoad(t *testing.T) {
	p := dynamicCluster(t, 6, 3, 1)
	p.Kill(2)
	begin, n := p.Now(), 0
	for at := begin; at < begin+6*Second; at += 50 * Millisecond {
		n++
		p.At(at, func() { p.Claim(5, fmt.Sprint("y", at)) })
	}
	p.RequestChange(4, 0, 1, 3)
	p.Run(begin + 8*Second)
	refused := 0
	for _, op := range p.History {
		if op.Step == stepDecided && op.At >= begin && op.Result == replication.NoQuorum {
			refused++
		}
	}
	if !p.replicasAre(5, 0, 1, 3) || refused > 0 {
		t.Errorf("keepers %v; %d of %d ops refused meanwhile", p.Core(5).Set(), refused, n)
	}
	p.Kill(1) // two of the new three are enough
	if got := p.claimResult(5, "z"); got != replication.Granted {
		t.Errorf("with two of the new three: %v", got)
	}
	p.requireNoViolations(t)
}

// Parted, and operators ask on both sides: one side alone can agree, and the other takes that over
// afterwards.
func TestStaffAskOnBothSidesOfACut(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		p := dynamicCluster(t, 8, 3, seed)
		a, b := []int{0, 1, 3, 6}, []int{2, 4, 5, 7}
		p.partition(a, b, true)
		p.Run(p.Now() + 3*Second)
		for range 3 {
			p.RequestChange(6, 0, 1, 3)
			p.RequestChange(7, 2, 4, 5)
			p.Run(p.Now() + 2*Second)
			p.Claim(6, "x")
			p.Claim(7, "x")
		}
		if !p.replicasAre(6, 0, 1, 3) || p.replicasAre(7, 2, 4, 5) {
			t.Fatalf("seed %d: keepers %v and %v", seed, p.Core(6).Set(), p.Core(7).Set())
		}
		p.partition(a, b, false)
		p.Run(p.Now() + 5*Second)
		if !p.replicasAre(7, 0, 1, 3) || !p.replicasAre(2, 0, 1, 3) {
			t.Errorf("seed %d: after the cut %v and %v", seed, p.Core(7).Set(), p.Core(2).Set())
		}
		p.requireNoViolations(t)
	}
}

// A scheduler that stood still through two changes asks the replicas of before: these refuse, and tell who
// keeps now; and an answer that was given before the changes, and comes after them, does not count.
func TestAMessageOfBeforeTwoChanges(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		p := dynamicCluster(t, 8, 3, seed)
		p.Pause(7)
		p.Claim(7, "x") // waits in it
		if !p.changeReplicas(6, 10*Second, 2, 3, 4) || !p.changeReplicas(6, 10*Second, 4, 5, 6) {
			t.Fatalf("seed %d: the keepers are %v", seed, p.Core(6).Set())
		}
		p.claimResult(6, "x")
		p.Resume(7)
		p.Run(p.Now() + 2*Second)
		if got := p.claimResult(7, "y"); got != replication.Granted {
			t.Errorf("seed %d: it has not learned who keeps: %v, %v", seed, got, p.Core(7).Set())
		}
		p.requireNoViolations(t)
	}
}

// A replica loses its disk: it is seated anew by the others, and votes for copies once it has caught up.
func TestAKeeperThatLostItsDisk(t *testing.T) {
	for _, k := range []int{0, 2} { // the one that founds, and another
		p := dynamicCluster(t, 5, 3, 3)
		p.Claim(4, "x")
		p.Run(p.Now() + Second)
		turn := p.Core(4).Set().Epoch
		p.Kill(k)
		p.LoseDisk(k)
		p.Start(k)
		p.Run(p.Now() + 6*Second)
		if set := p.Core(4).Set(); set.Joint() || set.Epoch == turn || !p.Core(k).Status().Voting {
			t.Fatalf("n%d: %+v, voting %v", k, set, p.Core(k).Status().Voting)
		}
		p.Kill((k + 1) % 3) // now its vote is needed, in both
		if !p.changeReplicas(4, 20*Second, k, (k+2)%3, 3) {
			t.Errorf("n%d: the keepers are %v", k, p.Core(4).Set())
		}
		p.requireNoViolations(t)
	}
}

// The rule replaces a replica that is gone for long, and none that is back in time; a spare that can't be
// heard is not let in.
func TestTheRuleReplaces(t *testing.T) {
	p := New(6, 3, 1)
	p.DynamicReplicas = true
	p.ReplicaSetConfig.ReplaceAfter, p.ReplicaSetConfig.Spares = 20*Second, []string{"n3", "n4"}
	for i := range 6 {
		p.Start(i)
	}
	p.Run(30 * Second)
	for i := range 6 {
		p.SetAlive(i, true)
	}
	p.Kill(1)
	p.SetAlive(1, false)
	p.Run(p.Now() + 15*Second)
	p.Start(1)
	p.SetAlive(1, true)
	p.Run(p.Now() + 20*Second)
	if !p.replicasAre(5, 0, 1, 2) {
		t.Errorf("replaced before its time: %v", p.Core(5).Set())
	}
	p.Kill(3)
	p.SetAlive(3, false)
	p.Kill(1)
	p.SetAlive(1, false)
	p.Run(p.Now() + 30*Second)
	if !p.replicasAre(5, 0, 2, 4) {
		t.Errorf("not replaced by the spare that is here: %v", p.Core(5).Set())
	}
	p.requireNoViolations(t)
}

// The agreement is founded by all replicas of the file together: two of three that found one while the
// third is away could be joined by a third that founds another.
func TestTheFoundingTakesAllKeepers(t *testing.T) {
	p := New(4, 3, 1)
	p.DynamicReplicas = true
	for _, i := range []int{0, 1, 3} {
		p.Start(i)
	}
	p.Run(20 * Second)
	if p.Core(0).Set().Epoch != 0 {
		t.Errorf("with two of three: %v", p.Core(0).Set())
	}
	p.Start(2)
	p.Run(p.Now() + 5*Second)
	for i := range 4 {
		if p.Core(i).Set().Epoch != 1 {
			t.Errorf("n%d: %v", i, p.Core(i).Set())
		}
	}
	p.claimResult(3, "x")
	p.requireNoViolations(t)
}

// What can't be is refused in plain words, and changes nothing.
func TestWhatStaffAreRefused(t *testing.T) {
	p := dynamicCluster(t, 6, 3, 1)
	p.Kill(5)
	for _, x := range []struct {
		want []int
		text string
	}{
		{[]int{0, 1}, "odd number"},
		{[]int{0, 1, 1}, "stands twice"},
		{[]int{0, 1, 5}, "nothing is heard of n5"},
	} {
		ticket := p.RequestChange(4, x.want...)
		p.Run(p.Now() + 3*Second)
		if a := p.Answers[ticket]; a.OK || !strings.Contains(a.Text, x.text) {
			t.Errorf("%v: %+v", x.want, a)
		}
	}
	if !p.changeReplicas(4, 10*Second, 1, 2, 3) {
		t.Fatal(p.Core(4).Set())
	}
	p.lastRequest++ // by one who saw the set before
	p.stepReplicaSet(p.nodes[4], p.Core(4), replicaset.ChangeRequest{
		RequestID: p.lastRequest,
		Epoch:     1,
		Replicas:  []string{"n0", "n2", "n3"},
	})
	p.Run(p.Now() + 3*Second)
	if a := p.Answers[p.lastRequest]; a.OK || !strings.Contains(a.Text, "have changed meanwhile") {
		t.Errorf("from a set that is no more: %+v", a)
	}
	if !p.changeReplicas(4, 10*Second, 0, 1, 2) {
		t.Fatal(p.Core(4).Set())
	}
	one, two := p.RequestChange(3, 0, 1, 3), p.RequestChange(4, 0, 1, 4)
	p.Run(p.Now() + 3*Second)
	if a, b := p.Answers[one], p.Answers[two]; a.OK == b.OK {
		t.Errorf("two at once: %+v and %+v", a, b)
	}
	if !p.replicasAre(4, 0, 1, 3) && !p.replicasAre(4, 0, 1, 4) {
		t.Errorf("the keepers are %v", p.Core(4).Set())
	}
	p.requireNoViolations(t)
}

// Whatever fails while replicas change, and whenever, no op is given to two schedulers; and at rest all go
// by one set.
func TestDrawnChangesOfKeepers(t *testing.T) {
	first, last := seeds(24)
	granted, epochs := 0, 0
	for seed := first; seed <= last; seed++ {
		p := New(7, 3, seed)
		p.DynamicReplicas = true
		p.drawNetwork(0, 0.05, 0.2)
		for i := range 7 {
			p.Start(i)
		}
		p.Run(8 * Second)
		p.CrashProbability = []float64{0, 0.0002, 0.001}[p.Rand.IntN(3)]
		begin, end := p.Now(), p.Now()+30*Second
		p.drawClaimsInPairs(begin, end)
		p.drawChanges(begin, end)
		p.drawOutages(begin, end)
		p.Run(end + 5*Second)
		p.CrashProbability, p.Loss, p.Duplication = 0, 0, 0
		p.Run(end + 60*Second)
		granted, epochs = granted+p.Granted, epochs+len(p.Epochs)
		p.reportViolations(t, seed)
		p.checkConverged(t, seed, 7)
		if t.Failed() {
			return
		}
	}
	if runs := int(last - first + 1); granted < 20*runs || epochs < 3*runs {
		t.Errorf("only %d ops were granted and %d epochs came into force: this proves little", granted, epochs)
	}
}

// drawClaimsInPairs plans claims of ids that come again within two seconds, each at two schedulers nearly at
// the same moment.
func (p *Cluster) drawClaimsInPairs(begin, end Time) {
	r := p.Rand
	for at := begin; at < end; at += Time(r.IntN(1500)) {
		i, j, key := r.IntN(7), r.IntN(7), fmt.Sprint("op", at/(2*Second), "-", r.IntN(3))
		p.At(at, func() { p.Claim(i, key) })
		p.At(at+Time(r.IntN(30)), func() { p.Claim(j, key) })
	}
}

// drawChanges plans changes to one, three or five replicas that operators request.
func (p *Cluster) drawChanges(begin, end Time) {
	r := p.Rand
	for at := begin; at < end; at += Time(r.IntN(40_000)) {
		scheduler, replicas := r.IntN(7), r.Perm(7)[:[]int{1, 3, 3, 5}[r.IntN(4)]]
		p.At(at, func() { p.RequestChange(scheduler, replicas...) })
	}
}
