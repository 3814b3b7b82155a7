package simulation

import (
	"slices"

	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// link is the link from one member to another, in one direction.
type link struct{ from, to string }

// network is the state of the cluster's links, with counts of what was sent over them.
type network struct {
	LossProbability        float64
	DuplicationProbability float64
	MeanDelay              Time                                        // of a message
	DropIf                 func(to string, x replication.Message) bool // drops matching messages
	OnSend                 func(replication.Send)                      // nil: not called

	removesProcesses bool // claims do not state their processes, as in older builds

	SentRecords int
	SentDigests int

	cutLinks map[link]bool
}

func newNetwork() network { return network{MeanDelay: defaultMeanDelay, cutLinks: map[link]bool{}} }

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
	if c.removesProcesses {
		e.Message = removeProcesses(e.Message)
	}
	c.send(from, e.To, func(to *node) {
		c.step(to, to.core, replication.MessageReceived{From: from.name, Message: e.Message})
	})
}

// removeProcesses removes the process from a claim request, as older builds do not state it.
func removeProcesses(m replication.Message) replication.Message {
	if m.Kind == replication.ClaimRequested {
		m.Record.Outcomes = slices.Clone(m.Record.Outcomes)
		for i := range m.Record.Outcomes {
			m.Record.Outcomes[i].Result = nil
		}
	}
	return m
}

func (c *Cluster) sendReplicaSet(from *node, e replicaset.Send) {
	c.send(from, e.To, func(to *node) {
		if to.replicaSet != nil {
			in := replicaset.MessageReceived{From: from.name, Message: e.Message}
			c.stepReplicaSet(to, to.core, in)
		}
	})
}

// send delivers a message after a random delay, loses it, or delivers it twice. A few messages arrive much
// later.
func (c *Cluster) send(from *node, name string, receive func(to *node)) {
	to := c.byName[name]
	lost, twice := c.Rand.Float64() < c.LossProbability, c.Rand.Float64() < c.DuplicationProbability
	delay := c.MeanDelay/2 + Time(c.Rand.Int64N(int64(c.MeanDelay)+1))
	if c.Rand.Float64() < c.DuplicationProbability/4 {
		delay += Time(c.Rand.Int64N(int64(maxLateDelay)))
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
