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

// ipUDPHeaderBytes is the size of the IP and UDP headers of a datagram.
const ipUDPHeaderBytes = 20 + 8

// wireBytes returns the size of a message on the wire. It replaces the short names and addresses of the
// simulation by names and addresses of realistic length.
func wireBytes(b *testing.B, x membership.Message) int64 {
	text, err := encode(withDeploymentNames(x))
	if err != nil {
		b.Fatal(err)
	}
	return int64(len(text) + ipUDPHeaderBytes)
}

// seedFromEnv returns the seed of a simulated cluster: SEED, or 1.
func seedFromEnv() uint64 {
	if v, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return v
	}
	return 1
}

const deploymentAddr = "10.101.102.103:7946"

// deploymentRecord returns a record with the names and numbers of a real deployment.
func deploymentRecord() membership.MemberRecord {
	return membership.MemberRecord{
		Name:        "scheduler-0001",
		Addr:        deploymentAddr,
		Number:      1,
		Incarnation: membership.Incarnation{Generation: 3, Nonce: 1 << 60},
		State:       membership.Alive,
		ReportedBy:  "scheduler-0001",
	}
}

// withDeploymentNames returns a message with names and addresses as long as in a real deployment.
func withDeploymentNames(x membership.Message) membership.Message {
	lengthen := func(record membership.MemberRecord) membership.MemberRecord {
		record.Name, record.Addr = "scheduler-"+record.Name, deploymentAddr
		if record.ReportedBy != "" {
			record.ReportedBy = "scheduler-" + record.ReportedBy
		}
		return record
	}
	x.From = lengthen(x.From)
	if x.Target != "" {
		x.Target = "scheduler-" + x.Target
	}
	records := x.Records
	x.Records = nil
	for _, record := range records {
		x.Records = append(x.Records, lengthen(record))
	}
	return x
}

// BenchmarkIdleMember measures a member of a cluster without events, per virtual second: bytes sent on the
// wire, messages sent, and the time that the membership core takes. On average, a member receives as many
// messages as it sends.
func BenchmarkIdleMember(b *testing.B) {
	for _, n := range []int{5, 20, 100, 300, 1_000, 2_000} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				s := settledCluster(n)
				var bytes, messages int64
				var core time.Duration
				s.OnSend = func(x membership.Message) { bytes, messages = bytes+wireBytes(b, x), messages+1 }
				s.AroundStep = func(step func()) {
					start := time.Now()
					step()
					core += time.Since(start)
				}
				const span = 3
				s.Run(s.Now() + span*simulation.Second)
				runtime.KeepAlive(s)
				memberSeconds := float64(n * span)
				b.ReportMetric(float64(bytes)/memberSeconds, "B/member-s")
				b.ReportMetric(float64(messages)/memberSeconds, "messages/member-s")
				b.ReportMetric(float64(core.Microseconds())/memberSeconds, "core-us/member-s")
			}
		})
	}
}

// settledCluster returns a simulated cluster of n members that have run for 20 s.
func settledCluster(n int) *simulation.Cluster {
	s := simulation.New(n, seedFromEnv())
	for i := range n {
		s.Start(i)
	}
	s.Run(20 * simulation.Second)
	return s
}

// BenchmarkRestart measures the restart of one in 14 members: the additional bytes that a member sends per
// restarted member.
func BenchmarkRestart(b *testing.B) {
	for _, n := range []int{100, 300, 1_000} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				s := settledCluster(n)
				var bytes int64
				s.OnSend = func(x membership.Message) { bytes += wireBytes(b, x) }
				const span = 20
				s.Run(s.Now() + span*simulation.Second)
				idleBytes := bytes
				bytes = 0
				restarted := n / 14 // as many as one of 14 zones has
				for i := range restarted {
					s.Kill(n - 1 - i)
				}
				s.At(s.Now()+simulation.Second/2, func() {
					for i := range restarted {
						s.Start(n - 1 - i)
					}
				})
				s.Run(s.Now() + span*simulation.Second)
				b.ReportMetric(float64(bytes-idleBytes)/float64(n)/float64(restarted), "B/member-restart")
				b.ReportMetric(float64(bytes)/float64(n)/span, "B/member-s")
				if disagreements := s.Disagreements(); len(disagreements) > 0 {
					b.Log("disagreements after the run: ", len(disagreements))
				}
			}
		})
	}
}

// BenchmarkPartition cuts a quarter of the members off for five minutes. It measures the bytes per second
// that a member sends before the partition, in the first 20 s of the partition, in the rest of it and in the
// minute after it. It also measures the time from the end of the partition until all views agree.
func BenchmarkPartition(b *testing.B) {
	for _, n := range []int{40, 100, 200} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				s := settledCluster(n)
				var bytes int64
				s.OnSend = func(x membership.Message) { bytes += wireBytes(b, x) }
				s.Run(s.Now() + 20*simulation.Second)
				idleRate := float64(bytes) / float64(n) / 20
				var minority, majority []int
				for i := range n {
					if i%4 == 3 {
						minority = append(minority, i)
					} else {
						majority = append(majority, i)
					}
				}
				s.Partition(minority, majority, true)
				bytes = 0
				s.Run(s.Now() + 20*simulation.Second)
				detectionRate := float64(bytes) / float64(n) / 20
				bytes = 0
				s.Run(s.Now() + 280*simulation.Second)
				partitionRate := float64(bytes) / float64(n) / 280
				s.Partition(minority, majority, false)
				bytes = 0
				healedAt, settled := s.Now(), simulation.Time(0)
				for s.Now()-healedAt < 60*simulation.Second {
					if s.Run(s.Now() + simulation.Second); settled == 0 && len(s.Disagreements()) == 0 {
						settled = s.Now() - healedAt
					}
				}
				b.ReportMetric(idleRate, "calm-B/member-s")
				b.ReportMetric(detectionRate, "first-20s-B/member-s")
				b.ReportMetric(partitionRate, "parted-B/member-s")
				b.ReportMetric(float64(bytes)/float64(n)/60, "60s-after-B/member-s")
				b.ReportMetric(float64(settled)/float64(simulation.Second), "s-to-one-view")
			}
		})
	}
}

// BenchmarkView measures the memory that a member needs for its view, and the time that its core takes to
// learn all members from one message. It also measures the size of the view on the wire and in the console's
// JSON.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{300, 1_000, 6_300} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			heapBytes := func() uint64 {
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
				before := heapBytes()
				b.StartTimer()
				node := membership.New(config, 1)
				node.Step(1, membership.Tick{})
				node.Step(60_000, membership.Tick{})
				x := membership.Message{Kind: membership.DigestDiffReply, Cluster: "c", From: recordOf(0), Seq: 1}
				for i := range n {
					x.Records = append(x.Records, recordOf(i))
				}
				node.Step(60_001, membership.MessageReceived{Message: x})
				b.StopTimer()
				if got := len(node.View()); got < n {
					b.Fatalf("%d of %d members are in the view", got, n)
				}
				text, err := encode(x)
				if err != nil {
					b.Fatal(err)
				}
				wireBytesPerMember := float64(len(text)) / float64(n)
				viewJSON, err := json.Marshal(node.View())
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(viewJSON))/float64(n), "shown-B/member")
				x, text, viewJSON = membership.Message{}, nil, nil
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "live-B/member")
				b.ReportMetric(wireBytesPerMember, "wire-B/member")
				runtime.KeepAlive(node)
				b.StartTimer()
			}
		})
	}
}

// BenchmarkCodec measures the encoding and decoding of a ping.
func BenchmarkCodec(b *testing.B) {
	ping := membership.Message{
		Kind:    membership.Ping,
		Cluster: "cluster",
		From:    deploymentRecord(),
		Seq:     1 << 20,
		Nonce:   1 << 60,
	}
	b.ReportAllocs()
	for range b.N {
		text, err := encode(ping)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := decode(text, func(netip.Addr) bool { return true }); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkServiceMessages measures the size and the codec time of service messages: the operator state,
// which is sent to one member per second and to all members at each change, and drain records of workers.
func BenchmarkServiceMessages(b *testing.B) {
	from := recordToWire(deploymentRecord())
	var drains []drainstate.DrainRecord
	for i := range 30 {
		name := fmt.Sprintf("worker-%05d", i)
		drains = append(drains, drainstate.DrainRecord{Worker: name, BootID: 1_700_000_000_000, Revision: 1 << 30})
	}
	state := operatorstate.State{SettingsHash: 1 << 60, Sequence: uint64(1_700_000_000_000_000_000)}
	for name, message := range map[string]serviceMessage{
		"staff":          {Cluster: "cluster", From: from, OperatorState: &state},
		"one worker":     {Cluster: "cluster", From: from, Drains: drains[:1]},
		"thirty workers": {Cluster: "cluster", From: from, Drains: drains},
	} {
		b.Run(name, func(b *testing.B) {
			size := 0
			for range b.N {
				text, err := encodeService(message)
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
