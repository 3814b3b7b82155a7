package mesh

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"

	"woaddyke/internal/cluster/drainstate"
	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/membership/simulation"
	"woaddyke/internal/cluster/operatorstate"
)

// ipUDPHeaderBytes are what IP and UDP put before a datagram.
const ipUDPHeaderBytes = 20 + 8

// wireBytes is what a message takes on the wire, as this package words it. A play's addresses are shorter
// than real ones.
func wireBytes(b *testing.B, x membership.Message) int64 {
	text, err := encode(withRealisticNames(x))
	if err != nil {
		b.Fatal(err)
	}
	return int64(len(text) + ipUDPHeaderBytes)
}

// seedFromEnv is what a cluster is drawn from: SEED, or 1.
func seedFromEnv() uint64 {
	if v, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return v
	}
	return 1
}

const realAddr = "10.101.102.103:7946"

// realRecord is a record as of a real deployment.
func realRecord() membership.MemberRecord {
	return membership.MemberRecord{
		Name:        "scheduler-0001",
		Addr:        realAddr,
		Number:      1,
		Incarnation: membership.Incarnation{Generation: 3, Nonce: 1 << 60},
		State:       membership.Alive,
		ReportedBy:  "scheduler-0001",
	}
}

// withRealisticNames is a message as of a real deployment, with names and addresses as long as they are
// there.
func withRealisticNames(x membership.Message) membership.Message {
	one := func(c membership.MemberRecord) membership.MemberRecord {
		c.Name, c.Addr = "scheduler-"+c.Name, realAddr
		if c.ReportedBy != "" {
			c.ReportedBy = "scheduler-" + c.ReportedBy
		}
		return c
	}
	x.From = one(x.From)
	if x.Target != "" {
		x.Target = "scheduler-" + x.Target
	}
	claims := x.Records
	x.Records = nil
	for _, c := range claims {
		x.Records = append(x.Records, one(c))
	}
	return x
}

// BenchmarkMember is what a member costs while nothing happens, for each virtual second: bytes sent as they
// are on the wire, messages, and the time its core takes. One member sends as many as it hears, in the
// mean.
func BenchmarkMember(b *testing.B) {
	for _, n := range []int{5, 20, 100, 300, 1_000, 2_000} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				s := settledCluster(n)
				var bytes, messages int64
				var core time.Duration
				s.OnSend = func(x membership.Message) { bytes, messages = bytes+wireBytes(b, x), messages+1 }
				s.AroundStep = func(take func()) {
					from := time.Now()
					take()
					core += time.Since(from)
				}
				const span = 3
				s.Run(s.Now() + span*simulation.Second)
				runtime.KeepAlive(s)
				each := float64(n * span)
				b.ReportMetric(float64(bytes)/each, "B/member-s")
				b.ReportMetric(float64(messages)/each, "messages/member-s")
				b.ReportMetric(float64(core.Microseconds())/each, "core-us/member-s")
			}
		})
	}
}

// settledCluster is a swarm of so many members that have been here for a while.
func settledCluster(n int) *simulation.Cluster {
	s := simulation.New(n, seedFromEnv())
	for i := range n {
		s.Start(i)
	}
	s.Run(20 * simulation.Second)
	return s
}

// BenchmarkRestart is what the restart of a part of the members costs those that stay: bytes sent by one of
// them, by each restart.
func BenchmarkRestart(b *testing.B) {
	for _, n := range []int{100, 300, 1_000} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				s := settledCluster(n)
				var bytes int64
				s.OnSend = func(x membership.Message) { bytes += wireBytes(b, x) }
				const span = 20
				s.Run(s.Now() + span*simulation.Second)
				calm := bytes
				bytes = 0
				gone := n / 14 // a zone's
				for i := range gone {
					s.Kill(n - 1 - i)
				}
				s.At(s.Now()+simulation.Second/2, func() {
					for i := range gone {
						s.Start(n - 1 - i)
					}
				})
				s.Run(s.Now() + span*simulation.Second)
				b.ReportMetric(float64(bytes-calm)/float64(n)/float64(gone), "B/member-restart")
				b.ReportMetric(float64(bytes)/float64(n)/span, "B/member-s")
				if wrong := s.Disagreements(); len(wrong) > 0 {
					b.Log("not settled: ", len(wrong))
				}
			}
		})
	}
}

// BenchmarkParted is what it costs a member that a region of a quarter of them is cut off for five minutes,
// and is back: bytes sent while they are parted and in the minute after, over what goes on at rest, by each
// that was lost and found again.
func BenchmarkParted(b *testing.B) {
	for _, n := range []int{40, 100, 200} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				s := settledCluster(n)
				var bytes int64
				s.OnSend = func(x membership.Message) { bytes += wireBytes(b, x) }
				s.Run(s.Now() + 20*simulation.Second)
				calm := float64(bytes) / float64(n) / 20
				var few, others []int
				for i := range n {
					if i%4 == 3 {
						few = append(few, i)
					} else {
						others = append(others, i)
					}
				}
				s.Partition(few, others, true)
				bytes = 0
				s.Run(s.Now() + 20*simulation.Second)
				found := float64(bytes) / float64(n) / 20
				bytes = 0
				s.Run(s.Now() + 280*simulation.Second)
				parted := float64(bytes) / float64(n) / 280
				s.Partition(few, others, false)
				bytes = 0
				at, settled := s.Now(), simulation.Time(0)
				for s.Now()-at < 60*simulation.Second {
					if s.Run(s.Now() + simulation.Second); settled == 0 && len(s.Disagreements()) == 0 {
						settled = s.Now() - at
					}
				}
				b.ReportMetric(calm, "calm-B/member-s")
				b.ReportMetric(found, "first-20s-B/member-s")
				b.ReportMetric(parted, "parted-B/member-s")
				b.ReportMetric(float64(bytes)/float64(n)/60, "60s-after-B/member-s")
				b.ReportMetric(float64(settled)/float64(simulation.Second), "s-to-one-view")
			}
		})
	}
}

// BenchmarkView is what a member keeps of the others, and what its core takes to have them all from one.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{300, 1_000, 6_300} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			live := func() uint64 {
				runtime.GC()
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return m.HeapAlloc
			}
			recordOf := func(i int) membership.MemberRecord {
				name := fmt.Sprintf("scheduler-%04d", i)
				return membership.MemberRecord{
					Name:        name,
					Addr:        fmt.Sprintf("10.%d.%d.%d:7946", i%14, i/250, i%250),
					Number:      i,
					Incarnation: membership.Incarnation{Generation: 3, Nonce: uint64(i)},
					State:       membership.Alive,
					ReportedBy:  name,
				}
			}
			config := membership.Defaults()
			config.Cluster, config.Name, config.Addr, config.Number = "c", "me", "10.0.0.1:7946", n
			config.Nonce, config.MaxMembers = 7, 2*n
			for range b.N {
				b.StopTimer()
				before := live()
				b.StartTimer()
				m := membership.New(config, 1)
				m.Step(1, membership.Tick{})
				m.Step(60_000, membership.Tick{})
				x := membership.Message{Kind: membership.DigestDiffReply, Cluster: "c", From: recordOf(0), Seq: 1}
				for i := range n {
					x.Records = append(x.Records, recordOf(i))
				}
				m.Step(60_001, membership.MessageReceived{Message: x})
				b.StopTimer()
				if got := len(m.View()); got < n {
					b.Fatalf("%d of %d are in the view", got, n)
				}
				text, err := encode(x)
				if err != nil {
					b.Fatal(err)
				}
				wire := float64(len(text)) / float64(n)
				shown, err := json.Marshal(m.View())
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(shown))/float64(n), "shown-B/member")
				x, text, shown = membership.Message{}, nil, nil
				b.ReportMetric(float64(live()-before)/float64(n), "live-B/member")
				b.ReportMetric(wire, "wire-B/member")
				runtime.KeepAlive(m)
				b.StartTimer()
			}
		})
	}
}

// BenchmarkCodec is a ping as it is written and read.
func BenchmarkCodec(b *testing.B) {
	x := membership.Message{Kind: membership.Ping, Cluster: "cluster", From: realRecord(), Seq: 1 << 20, Nonce: 1 << 60}
	b.ReportAllocs()
	for range b.N {
		text, err := encode(x)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := decode(text, func(netip.Addr) bool { return true }); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkOther is what the messages between schedulers that are not of membership take on the wire: what
// staff decided, which goes to one member a second and at each change to all of them, and words of workers
// that drain.
func BenchmarkOther(b *testing.B) {
	from := recordToWire(realRecord())
	var drains []drainstate.DrainRecord
	for i := range 30 {
		name := fmt.Sprintf("worker-%05d", i)
		drains = append(drains, drainstate.DrainRecord{Worker: name, BootID: 1_700_000_000_000, Revision: 1 << 30})
	}
	state := operatorstate.State{Settings: 1 << 60, Sequence: uint64(1_700_000_000_000_000_000)}
	for name, w := range map[string]serviceMessage{
		"staff":          {Cluster: "cluster", From: from, OperatorState: &state},
		"one worker":     {Cluster: "cluster", From: from, Drains: drains[:1]},
		"thirty workers": {Cluster: "cluster", From: from, Drains: drains},
	} {
		b.Run(name, func(b *testing.B) {
			size := 0
			for range b.N {
				text, err := encodeService(w)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := decodeService(text); err != nil {
					b.Fatal(err)
				}
				size = len(text) + ipUDPHeaderBytes
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
}
