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

const readyTime = 10 * time.Second // nine in ten of those that were restarted together are ready by then

// restarted is how many processes are restarted together, 3 in CI; READY=20 plays all cases with so many, one after another.
func restarted() (n int, all bool) {
	if n, err := strconv.Atoi(os.Getenv("READY")); err == nil && n >= 3 {
		return n, true
	}
	return 3, false
}

// manyWorkers is a list of as many as the largest fleet that is named, of which none is there.
func manyWorkers(n int) string {
	var b strings.Builder
	b.WriteString(`{"rev":9,"all":true,"targets":[`)
	for i := range n {
		fmt.Fprintf(&b, `{"uid":"worker-%05d","endpoint":"127.0.0.1:1","az":"zone-%02d","pod_group":%d,"model":"kind-%d","state":"SERVING","boot_ms":1700000000000},`,
			i, i%14, i/450, i%3)
	}
	return strings.TrimSuffix(b.String(), ",") + "]}"
}

// later is what became of some that were started together.
type later struct{ spans []time.Duration }

func (l *later) at(part float64) time.Duration {
	return l.spans[min(int(part*float64(len(l.spans))), len(l.spans)-1)].Round(time.Millisecond)
}

func (l *later) String() string {
	return fmt.Sprintf("p50 %v, p90 %v, worst %v of %d", l.at(0.5), l.at(0.9), l.at(1), len(l.spans))
}

// soonest waits for each place in turn for something to be so, all at once, and tells how long each took since it was started.
func soonest(c *cluster.Cluster, places []*cluster.Place, since []time.Time, is func(*cluster.Place) bool) *later {
	l := &later{spans: make([]time.Duration, len(places))}
	var all sync.WaitGroup
	for i, p := range places {
		all.Go(func() {
			for until := since[i].Add(30 * time.Second); !is(p) && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
			}
			l.spans[i] = time.Since(since[i])
		})
	}
	all.Wait()
	slices.Sort(l.spans)
	return l
}

// All schedulers are restarted together, or replaced together, while discovery is there, is down in each way, or tells of the largest
// fleet; alone, as members, and as keepers without and with a disk.
func TestThoseRestartedTogetherAreReadySoon(t *testing.T) {
	n, all := restarted()
	const alone, memory, disk = "alone", "keepers in memory", "keepers with a disk"
	few, many := `{"rev":1,"all":true,"targets":[]}`, manyWorkers(6300)
	asked := `"discovery":"on_request","instances":300,"myNumber":%d,"safety":{"drainGraceNs":1e10},`
	for _, x := range []struct {
		name, keeps, how, list, settings string
		records                          int // on each keeper's disk
		takeover, ci                     bool
		stopped                          bool // the process before stands still: a member can't be started beside it, and says so
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
		{name: "taken over, 6,300 workers, discovery hangs", keeps: alone, how: "hangs", list: many, takeover: true, ci: true}, // before they are members
		{name: "beside one that stands still, discovery is silent", keeps: alone, how: "silent", list: few, takeover: true, stopped: true},
	} {
		if !all && !x.ci {
			continue
		}
		t.Run(x.keeps+", "+x.name, func(t *testing.T) {
			if !all {
				t.Parallel()
			}
			offer := quick
			if x.keeps != alone {
				offer += "[copies]\nkeepers = [\"n1\", \"n2\", \"n3\"]\n"
			}
			if x.keeps != alone && !all {
				offer += "hold_off = \"5s\"\n" // as the first start waits for it
			}
			if x.keeps == disk {
				offer += "path = \"{dir}/copies.db\"\n"
			}
			o := newOutage(t, x.list)
			c := cluster.New(t, n, offer, noWorkers, thisProgram)
			keepers := c.Places[:3]
			for i, p := range c.Places {
				if p.Discovery = o.addr; x.settings != "" {
					p.Settings = fmt.Sprintf(x.settings, i)
				}
				c.Start(p)
			}
			ready := func(p *cluster.Place) bool { return p.Get("/api/ready", nil) }
			for _, p := range c.Places {
				c.Await("all are ready, and keepers have their votes", func() bool { return ready(p) && (x.keeps == alone || votes(p)) })
			}
			if x.how != "" {
				o.down(x.how)
			}
			if !x.takeover {
				for _, p := range c.Places {
					p.Kill()
				}
			}
			if x.records > 0 {
				for _, p := range keepers {
					fill(t, filepath.Join(p.Dir(), "copies.db"), x.records)
				}
			}
			var since []time.Time
			for i, p := range c.Places {
				if x.takeover {
					before, ended := p.Running()
					at, err := faultproxy.Free(c.Bound(i))
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
				for _, p := range c.Places {
					_, end := p.Running()
					select {
					case err := <-end:
						if err == nil {
							t.Error("it ended as if all were well")
						}
					case <-time.After(readyTime):
						t.Error("it neither ends nor gets ready")
					}
				}
				l := &later{spans: []time.Duration{time.Since(since[0])}}
				t.Logf("all have ended by themselves: %v", l)
				return
			}
			l := soonest(c, c.Places, since, ready)
			t.Logf("ready: %v", l)
			if l.at(0.9) > readyTime {
				t.Errorf("nine in ten are not ready within %v", readyTime)
			}
			if x.keeps != alone && all {
				t.Logf("keepers have their votes: %v", soonest(c, keepers, since[:3], func(p *cluster.Place) bool { return votes(p) }))
			}
		})
	}
}

// fill puts records of ops that have ended into a keeper's file.
func fill(t *testing.T, path string, n int) {
	t.Helper()
	s, err := store.Open(path, false)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var some []replication.Record
	for i := range n {
		some = append(some, replication.Record{Key: fmt.Sprintf("pay\x00op-%08d", i), Fingerprint: uint64(i),
			Outcomes: []replication.Outcome{{Claim: replication.Claim{Scheduler: "n1", Nonce: uint64(i + 1)}, Stage: replication.Ended, Verdict: 200, ResultRetained: true, Result: make([]byte, 200)}}})
	}
	if err := s.Write(boottime.Now(), some, nil); err != nil {
		t.Fatal(err)
	}
}
