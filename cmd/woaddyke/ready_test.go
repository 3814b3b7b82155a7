package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/cluster/store"
	"woaddyke/internal/lab/cluster"
	"woaddyke/internal/lab/faultproxy"
	"woaddyke/internal/lifecycle/boottime"
)

const readyTimeout = 10 * time.Second // by which nine in ten of the restarted processes are ready

// restartCount returns how many processes are restarted together, 3 in CI. READY=20 runs all cases with
// that many processes, one case after another.
func restartCount() (n int, all bool) {
	if n, err := strconv.Atoi(os.Getenv("READY")); err == nil && n >= 3 {
		return n, true
	}
	return 3, false
}

// endpointList returns a list of n workers in the largest described topology. None of them exists.
func endpointList(n int) string {
	var b strings.Builder
	b.WriteString(`{"rev":9,"all":true,"targets":[`)
	for i := range n {
		fmt.Fprintf(&b, `{"uid":"worker-%05d","endpoint":"127.0.0.1:1","az":"zone-%02d","pod_group":%d,"model":"kind-%d","state":"SERVING","boot_ms":1700000000000},`,
			i, i%14, i/450, i%3)
	}
	return strings.TrimSuffix(b.String(), ",") + "]}"
}

// readyTimes holds the sorted start durations of processes that were started together.
type readyTimes struct{ durations []time.Duration }

func (l *readyTimes) quantile(q float64) time.Duration {
	return l.durations[min(int(q*float64(len(l.durations))), len(l.durations)-1)].Round(time.Millisecond)
}

func (l *readyTimes) String() string {
	return fmt.Sprintf("p50 %v, p90 %v, worst %v of %d", l.quantile(0.5), l.quantile(0.9), l.quantile(1), len(l.durations))
}

// measureReady waits in parallel until a condition holds for each process, and returns the times that this
// took since the starts of the processes.
func measureReady(c *cluster.Cluster, places []*cluster.Node, since []time.Time, done func(*cluster.Node) bool) *readyTimes {
	l := &readyTimes{durations: make([]time.Duration, len(places))}
	var all sync.WaitGroup
	for i, p := range places {
		all.Go(func() {
			for until := since[i].Add(30 * time.Second); !done(p) && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
			}
			l.durations[i] = time.Since(since[i])
		})
	}
	all.Wait()
	slices.Sort(l.durations)
	return l
}

// All schedulers are restarted or replaced together, and must be ready in time. The cases vary discovery
// (up, down in each way, with the largest list) and the features (none, replicas in memory, replicas with a
// disk).
func TestRestartedSchedulersAreReadyInTime(t *testing.T) {
	n, all := restartCount()
	const alone, memory, disk = "alone", "keepers in memory", "keepers with a disk"
	few, many := `{"rev":1,"all":true,"targets":[]}`, endpointList(6300)
	asked := `"discovery":"on_request","instances":300,"myNumber":%d,"safety":{"drainGraceNs":1e10},`
	for _, x := range []struct {
		name, keeps, how, list, settings string
		records                          int // on the disk of each replica
		takeover, ci                     bool
		stopped                          bool // the predecessor is stopped: a member can't start beside it and must end with an error
	}{
		{name: "discovery is there", keeps: alone, list: few},
		{name: "6,300 workers", keeps: alone, list: many},
		{name: "discovery refuses", keeps: alone, how: "refused", list: few, ci: true},
		{name: "discovery is silent", keeps: alone, how: "silent", list: few},
		{name: "discovery hangs", keeps: alone, how: "hangs", list: few},
		{name: "discovery turns away", keeps: alone, how: "turned away", list: few, ci: true},
		{name: "asked, is there", keeps: alone, list: few, settings: asked},
		{name: "asked, 6,300 workers", keeps: alone, list: many, settings: asked},
		{name: "asked, turns away", keeps: alone, how: "turned away", list: few, settings: asked},
		{name: "discovery is there", keeps: memory, list: few},
		{name: "discovery is silent", keeps: memory, how: "silent", list: few},
		{name: "discovery is there", keeps: disk, list: few},
		{name: "discovery is silent", keeps: disk, how: "silent", list: few, ci: true},
		{name: "6,300 workers", keeps: disk, list: many},
		{name: "100,000 records, discovery is silent", keeps: disk, how: "silent", list: few, records: 100_000},
		{name: "taken over, discovery is there", keeps: disk, list: few, takeover: true},
		{name: "taken over, discovery is silent", keeps: disk, how: "silent", list: few, takeover: true, ci: true},
		{name: "taken over, 6,300 workers, discovery hangs", keeps: alone, how: "hangs", list: many, takeover: true, ci: true}, // the successors start before the predecessors are members
		{name: "beside a stopped predecessor, discovery is silent", keeps: alone, how: "silent", list: few, takeover: true, stopped: true},
	} {
		if !all && !x.ci {
			continue
		}
		t.Run(x.keeps+", "+x.name, func(t *testing.T) {
			if !all {
				t.Parallel()
			}
			lines := fastMembers
			if x.keeps != alone {
				lines += "[copies]\nkeepers = [\"n1\", \"n2\", \"n3\"]\n"
			}
			if x.keeps != alone && !all {
				lines += "hold_off = \"5s\"\n" // the first start waits for it
			}
			if x.keeps == disk {
				lines += "path = \"{dir}/copies.db\"\n"
			}
			o := newTestDiscovery(t, x.list)
			c := cluster.New(t, n, lines, noEndpoints, testCommand)
			keepers := c.Nodes[:3]
			for i, p := range c.Nodes {
				if p.Discovery = o.addr; x.settings != "" {
					p.Settings = fmt.Sprintf(x.settings, i)
				}
				c.Start(p)
			}
			ready := func(p *cluster.Node) bool { return p.Get("/api/ready", nil) }
			for _, p := range c.Nodes {
				c.Await("all schedulers are ready and the replicas have their votes", func() bool { return ready(p) && (x.keeps == alone || voteSettled(p)) })
			}
			if x.how != "" {
				o.fail(x.how)
			}
			if !x.takeover {
				for _, p := range c.Nodes {
					p.Kill()
				}
			}
			if x.records > 0 {
				for _, p := range keepers {
					writeRecords(t, filepath.Join(p.Dir(), "copies.db"), x.records)
				}
			}
			var since []time.Time
			for i, p := range c.Nodes {
				if x.takeover {
					before, ended := p.Process()
					at, err := faultproxy.FreePort(c.BindAddr(i))
					if err != nil {
						t.Fatal(err)
					}
					if p.Console = at.String(); x.stopped {
						before.Process.Signal(syscall.SIGSTOP)
					}
					t.Cleanup(func() { before.Process.Signal(syscall.SIGKILL); <-ended })
				}
				since = append(since, time.Now())
				c.Start(p)
			}
			if x.stopped {
				for _, p := range c.Nodes {
					_, end := p.Process()
					select {
					case err := <-end:
						if err == nil {
							t.Error("the process ended without an error")
						}
					case <-time.After(readyTimeout):
						t.Error("the process neither ends nor gets ready")
					}
				}
				l := &readyTimes{durations: []time.Duration{time.Since(since[0])}}
				t.Logf("all processes have ended: %v", l)
				return
			}
			l := measureReady(c, c.Nodes, since, ready)
			t.Logf("ready: %v", l)
			if l.quantile(0.9) > readyTimeout {
				t.Errorf("nine in ten are not ready within %v", readyTimeout)
			}
			if x.keeps != alone && all {
				t.Logf("replicas have their votes: %v", measureReady(c, keepers, since[:3], func(p *cluster.Node) bool { return voteSettled(p) }))
			}
		})
	}
}

// writeRecords writes records of ended ops into the file of a replica.
func writeRecords(t *testing.T, path string, n int) {
	t.Helper()
	s, err := store.Open(path, false)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var records []replication.Record
	for i := range n {
		records = append(records, replication.Record{Key: fmt.Sprintf("pay\x00op-%08d", i), Fingerprint: uint64(i),
			Outcomes: []replication.Outcome{{Claim: replication.Claim{Scheduler: "n1", Nonce: uint64(i + 1)}, Stage: replication.Ended, HTTPStatus: 200, ResultRetained: true, Result: make([]byte, 200)}}})
	}
	if err := s.Write(boottime.Now(), records, nil); err != nil {
		t.Fatal(err)
	}
}
