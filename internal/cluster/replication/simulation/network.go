package simulation

import (
	"slices"

	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// link is the way from one member to another.
type link struct{ from, to string }

// network is what the cluster's links do, and what was sent over them.
type network struct {
	Loss        float64
	Duplication float64
	Delay       Time                                        // the mean one
	DropIf      func(to string, x replication.Message) bool // drops further messages; nil: none
	OnSend      func(replication.Send)                      // nil: not called

	stripProcesses bool // claims do not state their processes, as those of older builds

	SentRecords int
	SentDigests int

	cutLinks map[link]bool
}

func newNetwork() network { return network{Delay: defaultDelay, cutLinks: map[link]bool{}} }

// CutLink cuts the link from one node to another, or restores it.
func (c *Cluster) CutLink(from, to int, cut bool) {
	l := link{c.nodes[from].name, c.nodes[to].name}
	if cut {
		c.cutLinks[l] = true
	} else {
		delete(c.cutLinks, l)
	}
}

func (c *Cluster) sendReplication(from *node, e replication.Send) {
	if from.handedOver && e.Kind != replication.OutcomeReported {
		return
	}
	c.SentRecords += len(e.Records)
	c.SentDigests += len(e.Digests)
	if c.OnSend != nil {
		c.OnSend(e)
	}
	if c.DropIf != nil && c.DropIf(e.To, e.Message) {
		return
	}
	if c.stripProcesses {
		e.Message = withoutProcesses(e.Message)
	}
	c.send(from, e.To, func(to *node) {
		c.step(to, to.core, replication.MessageReceived{From: from.name, Message: e.Message})
	})
}

// withoutProcesses is a claim request as a build writes it that knows no processes.
func withoutProcesses(x replication.Message) replication.Message {
	if x.Kind == replication.ClaimRequested {
		x.Record.Outcomes = slices.Clone(x.Record.Outcomes)
		for i := range x.Record.Outcomes {
			x.Record.Outcomes[i].Result = nil
		}
	}
	return x
}

func (c *Cluster) sendReplicaSet(from *node, e replicaset.Send) {
	c.send(from, e.To, func(to *node) {
		if to.replicaSet != nil {
			in := replicaset.MessageReceived{From: from.name, Message: e.Message}
			c.stepReplicaSet(to, to.core, in)
		}
	})
}

// send delivers a message after a while, or never, or twice; a few come much later.
func (c *Cluster) send(from *node, name string, receive func(to *node)) {
	to := c.byName[name]
	lost, twice := c.Rand.Float64() < c.Loss, c.Rand.Float64() < c.Duplication
	delay := c.Delay/2 + Time(c.Rand.Int64N(int64(c.Delay)+1))
	if c.Rand.Float64() < c.Duplication/4 {
		delay += Time(c.Rand.Int64N(int64(lateDelay)))
	}
	if to == nil || lost {
		return
	}
	deliver := func() {
		if !c.cutLinks[link{from.name, name}] && to.core != nil {
			receive(to)
		}
	}
	c.At(c.Now()+delay, deliver)
	if twice {
		c.At(c.Now()+3*delay, deliver)
	}
}
