package spike

import (
	"io"
	"log"
	"sort"
	"testing"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// group is a raft group of three nodes in virtual time. A tick is 10 ms, and messages arrive without delay.
type group struct {
	nodes   map[uint64]*raft.RawNode
	stores  map[uint64]*raft.MemoryStorage
	stopped map[uint64]bool
	blocked map[[2]uint64]bool // links from one node to another that lose every message
	applied map[uint64]int     // number of entries that each node has applied
	now     int                // in ticks
}

const (
	electionTicks  = 15 // 150 ms; a pause of the runtime must be shorter
	heartbeatTicks = 3
)

func start(t *testing.T) *group {
	g := &group{nodes: map[uint64]*raft.RawNode{}, stores: map[uint64]*raft.MemoryStorage{}, stopped: map[uint64]bool{},
		blocked: map[[2]uint64]bool{}, applied: map[uint64]int{}}
	quiet := &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}
	for id := uint64(1); id <= 3; id++ {
		s := raft.NewMemoryStorage()
		s.ApplySnapshot(raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1, ConfState: raftpb.ConfState{Voters: []uint64{1, 2, 3}}}})
		n, err := raft.NewRawNode(&raft.Config{ID: id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: s, MaxSizePerMsg: 1 << 20,
			MaxInflightMsgs: 256, PreVote: true, CheckQuorum: true, Logger: quiet, Applied: 1})
		if err != nil {
			t.Fatal(err)
		}
		g.nodes[id], g.stores[id] = n, s
	}
	g.run(200)
	if g.leader() == 0 {
		t.Fatal("no leader")
	}
	return g
}

func (g *group) leader() uint64 {
	for id, n := range g.nodes {
		if !g.stopped[id] && n.BasicStatus().RaftState == raft.StateLeader {
			return id
		}
	}
	return 0
}

func (g *group) run(ticks int) {
	for range ticks {
		g.now++
		for id := uint64(1); id <= 3; id++ {
			if !g.stopped[id] {
				g.nodes[id].Tick()
			}
		}
		g.deliver()
	}
}

func (g *group) deliver() {
	for again := true; again; {
		again = false
		for id := uint64(1); id <= 3; id++ {
			n := g.nodes[id]
			if g.stopped[id] || !n.HasReady() {
				continue
			}
			again = true
			rd := n.Ready()
			if !raft.IsEmptyHardState(rd.HardState) {
				g.stores[id].SetHardState(rd.HardState)
			}
			g.stores[id].Append(rd.Entries)
			for _, e := range rd.CommittedEntries {
				if len(e.Data) > 0 {
					g.applied[id]++
				}
			}
			for _, m := range rd.Messages {
				if !g.stopped[m.To] && !g.blocked[[2]uint64{id, m.To}] {
					g.nodes[m.To].Step(m)
				}
			}
			n.Advance(rd)
		}
	}
}

// failedClaims proposes a claim to the leader in each tick, and counts the claims that were not committed
// within their tick. A tick without a leader counts as such a claim.
func (g *group) failedClaims(ticks int) (n int) {
	for range ticks {
		g.run(1)
		l := g.leader()
		if l == 0 {
			n++
			continue
		}
		before := g.applied[l]
		if g.nodes[l].Propose([]byte("claim")) != nil {
			n++
			continue
		}
		if g.deliver(); g.applied[l] == before {
			n++
		}
	}
	return n
}

// Measures for how long no claim is committed after a fault of a node.
func TestCommitGapAfterAFault(t *testing.T) {
	for _, fault := range []string{"leader dead", "leader stopped for 1 s", "leader heard by none", "leader hears none", "follower dead"} {
		var gaps []int // ms, one for each run
		for range 50 {
			g := start(t)
			l := g.leader()
			switch fault {
			case "leader heard by none":
				for id := uint64(1); id <= 3; id++ {
					g.blocked[[2]uint64{l, id}] = true
				}
			case "leader hears none":
				for id := uint64(1); id <= 3; id++ {
					g.blocked[[2]uint64{id, l}] = true
				}
			case "follower dead":
				g.stopped[l%3+1] = true
			default:
				g.stopped[l] = true
			}
			n := g.failedClaims(100)
			if fault == "leader stopped for 1 s" {
				g.stopped[l] = false
				n += g.failedClaims(100)
			}
			gaps = append(gaps, 10*n)
		}
		sort.Ints(gaps)
		t.Logf("%s: no claim is committed for %d ms at p50, %d at p90, %d at worst", fault, gaps[25], gaps[45], gaps[49])
	}
}
