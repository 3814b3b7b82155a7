package simulation

import (
	"fmt"
	"testing"
)

// drawNetwork draws how much the network loses and how long it takes.
func (p *Cluster) drawNetwork(losses ...float64) {
	p.Loss, p.Duplication = losses[p.Rand.IntN(len(losses))], 0.05
	p.Delay = Time(2 + p.Rand.IntN(200))
}

func (p *Cluster) killAt(at Time, i int, downtime Time) {
	p.At(at, func() { p.Kill(i) })
	p.At(at+downtime, func() { p.Start(i) })
}

func (p *Cluster) pauseAt(at Time, i int, span Time) {
	p.At(at, func() { p.Pause(i) })
	p.At(at+span, func() { p.Resume(i) })
}

func (p *Cluster) cutLinkAt(at Time, from, to int, span Time) {
	p.At(at, func() { p.CutLink(from, to, true) })
	p.At(at+span, func() { p.CutLink(from, to, false) })
}

// drawClaims plans claims of ids that come again within two seconds, which is less than replicas without
// memory hold off; some of them at two schedulers at the same moment, or nearly so.
func (p *Cluster) drawClaims(begin, end Time) {
	r, n := p.Rand, len(p.nodes)
	for at := begin; at < end; at += Time(r.IntN(1500)) {
		i, key := r.IntN(n), fmt.Sprint("op", at/(2*Second), "-", r.IntN(3))
		p.At(at, func() { p.Claim(i, key) })
		if r.IntN(2) == 0 {
			j := r.IntN(n)
			p.At(at+Time(r.IntN(30)), func() { p.Claim(j, key) })
		}
	}
}

// drawTroubles plans crashes, pauses, replaced processes and cut links. A node has one of the first three at
// a time.
func (p *Cluster) drawTroubles(begin, end Time) {
	r, n := p.Rand, len(p.nodes)
	busyUntil := make([]Time, n)
	for at := begin; at < end; at += Time(r.IntN(20_000)) {
		i, j, span := r.IntN(n), r.IntN(n), Time(r.IntN(40_000))
		switch kind := r.IntN(5); {
		case kind < 3 && busyUntil[i] > at || i == j:
		case kind == 0:
			busyUntil[i] = at + span + Second
			p.killAt(at, i, span)
		case kind == 1:
			busyUntil[i] = at + span + Second
			p.pauseAt(at, i, span)
		case kind == 2:
			busyUntil[i] = at + 6*Second
			p.At(at, func() {
				p.Pause(i)
				p.Replace(i, Time(r.IntN(30_000)))
			})
		default:
			p.cutLinkAt(at, i, j, span)
			if kind == 4 {
				p.cutLinkAt(at, j, i, span)
			}
		}
	}
}

// drawOutages plans crashes, pauses and cut links, for clusters whose replicas change.
func (p *Cluster) drawOutages(begin, end Time) {
	r, n := p.Rand, len(p.nodes)
	busyUntil := make([]Time, n)
	for at := begin; at < end; at += Time(r.IntN(30_000)) {
		i, j, span := r.IntN(n), r.IntN(n), Time(r.IntN(40_000))
		switch kind := r.IntN(5); {
		case kind < 3 && busyUntil[i] > at || i == j:
		case kind < 2:
			busyUntil[i] = at + span + Second
			p.killAt(at, i, span)
		case kind == 2:
			busyUntil[i] = at + span + Second
			p.pauseAt(at, i, span)
		default:
			p.cutLinkAt(at, i, j, span)
			if kind == 4 {
				p.cutLinkAt(at, j, i, span)
			}
		}
	}
}

// reportViolations fails the test for what the cluster did wrong under a seed.
func (p *Cluster) reportViolations(t *testing.T, seed uint64) {
	t.Helper()
	for _, violation := range p.Violations {
		t.Errorf("seed %d: %s (SEED=%d repeats it)", seed, violation, seed)
	}
}

// checkReplicasEqual checks that the replicas that run have their votes and the same records.
func (p *Cluster) checkReplicasEqual(t *testing.T, seed uint64, replicas int) {
	t.Helper()
	digest := ""
	for i := range replicas {
		core := p.Core(i)
		if core == nil {
			continue
		}
		s := core.Status()
		switch {
		case digest == "":
			digest = s.Digest
		case s.Digest != digest:
			t.Errorf("seed %d: at rest the records of n%d differ", seed, i)
		case !s.Voting:
			t.Errorf("seed %d: at rest n%d has no vote", seed, i)
		}
	}
}
