package spike

import (
	"io"
	"log"
	"sort"
	"testing"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// group is three keepers of one raft group in virtual time: a tick is 10 ms, a message takes none.
type group struct {
	nodes   map[uint64]*raft.RawNode
	stores  map[uint64]*raft.MemoryStorage
	stopped map[uint64]bool
	cut     map[[2]uint64]bool
	applied map[uint64]int
	now     int
}

const (
	election  = 15 // ticks: 150 ms, which a pause of the runtime must not reach
	heartbeat = 3
)

func start(t *testing.T) *group {
	g := &group{nodes: map[uint64]*raft.RawNode{}, stores: map[uint64]*raft.MemoryStorage{}, stopped: map[uint64]bool{}, cut: map[[2]uint64]bool{}, applied: map[uint64]int{}}
	quiet := &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}
	for id := uint64(1); id <= 3; id++ {
		s := raft.NewMemoryStorage()
		s.ApplySnapshot(raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1, ConfState: raftpb.ConfState{Voters: []uint64{1, 2, 3}}}})
		n, err := raft.NewRawNode(&raft.Config{ID: id, ElectionTick: election, HeartbeatTick: heartbeat, Storage: s, MaxSizePerMsg: 1 << 20,
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
		g.settle()
	}
}

func (g *group) settle() {
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
				if !g.stopped[m.To] && !g.cut[[2]uint64{id, m.To}] {
					g.nodes[m.To].Step(m)
				}
			}
			n.Advance(rd)
		}
	}
}

// refused counts for how many of so many ticks a claim, proposed to whoever leads, was not committed within the tick.
func (g *group) refused(ticks int) (n int) {
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
		if g.settle(); g.applied[l] == before {
			n++
		}
	}
	return n
}

func TestWhatALeaderInTroubleCosts(t *testing.T) {
	for _, trouble := range []string{"leader dead", "leader stopped for 1 s", "leader heard by none", "leader hears none", "follower dead"} {
		var all []int
		for range 50 {
			g := start(t)
			l := g.leader()
			switch trouble {
			case "leader heard by none":
				for id := uint64(1); id <= 3; id++ {
					g.cut[[2]uint64{l, id}] = true
				}
			case "leader hears none":
				for id := uint64(1); id <= 3; id++ {
					g.cut[[2]uint64{id, l}] = true
				}
			case "follower dead":
				g.stopped[l%3+1] = true
			default:
				g.stopped[l] = true
			}
			n := g.refused(100)
			if trouble == "leader stopped for 1 s" {
				g.stopped[l] = false
				n += g.refused(100)
			}
			all = append(all, 10*n)
		}
		sort.Ints(all)
		t.Logf("%s: no claim is committed for %d ms at p50, %d at p90, %d at worst", trouble, all[25], all[45], all[49])
	}
}
