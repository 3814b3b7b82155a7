package main

import (
	"bytes"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"

	"woaddyke/internal/lab/cluster"
	"woaddyke/internal/lab/faultproxy"
)

// testCommand returns this command, to run as a process.
func testCommand(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "WOADDYKE_TEST_SERVES=1")
	return cmd
}

const noEndpoints = `{"rev":1,"all":true,"targets":[]}`

// fastMembers holds shorter intervals than an operator would set, so that dead members are detected within
// a second.
const fastMembers = "probe = \"50ms\"\ndoubt = \"600ms\"\nlongest_doubt = \"1s\"\nseek = \"200ms\"\nexchange = \"1s\"\n"

func startMembers(t *testing.T, n int) *cluster.Cluster {
	c := cluster.New(t, n, fastMembers, noEndpoints, testCommand)
	for _, p := range c.Nodes {
		c.Start(p)
	}
	c.AwaitConverged(c.Nodes...)
	return c
}

// All members must learn that a scheduler has died, and that the next process of the same name has another
// incarnation.
func TestAKilledMemberReturnsAsANewIncarnation(t *testing.T) {
	t.Parallel()
	c := startMembers(t, 4)
	p := c.Nodes[3]
	p.Kill()
	c.AwaitState("n4", "gone", c.Nodes[:3]...)
	c.Await("the metrics count the dead member", func() bool {
		var f struct {
			Members struct{ Here, Gone, Reachable int }
		}
		return c.Nodes[0].Get("/api/telemetry", &f) && f.Members.Here == 2 && f.Members.Gone == 1 && f.Members.Reachable == 2
	})
	c.Start(p)
	c.AwaitConverged(c.Nodes...)
	if v := p.View(); v.Self.Incarnation != 2 {
		t.Errorf("the next process has incarnation %d", v.Self.Incarnation)
	}
	p.Signal(syscall.SIGTERM)
	c.AwaitState("n4", "left", c.Nodes[:3]...)
}

// A process that is stopped for longer than the suspicion timeout is declared dead. After it resumes it
// must suspect nobody, and be alive again.
func TestAResumedMemberSuspectsNobody(t *testing.T) {
	t.Parallel()
	c := startMembers(t, 4)
	p := c.Nodes[2]
	p.Signal(syscall.SIGSTOP)
	c.AwaitState("n3", "gone", c.Nodes...)
	p.Signal(syscall.SIGCONT)
	c.AwaitConverged(c.Nodes...)
	for _, o := range c.Nodes {
		if v := o.View(); o != p && v.Self.Turn != 0 {
			t.Errorf("%s had to refute something: turn %d", o.Name, v.Self.Turn)
		}
	}
	if v := p.View(); v.Self.Incarnation != 1 || v.Self.Turn == 0 || v.Self.Counts["late"] == 0 {
		t.Errorf("the resumed member: %+v", v.Self)
	}
}

// Two partitioned groups of members serve on separately, and merge by themselves after the partition. A
// pair of members whose link fails in one direction stays alive.
func TestPartitionedMembersMergeAgain(t *testing.T) {
	t.Parallel()
	c := startMembers(t, 5)
	setPartition := func(how faultproxy.CutMode) {
		for i := range 2 {
			for j := 2; j < 5; j++ {
				c.Net.SetCut(i, j, how)
				c.Net.SetCut(j, i, how)
			}
		}
	}
	setPartition(faultproxy.Silent)
	c.AwaitState("n5", "gone", c.Nodes[:2]...)
	c.AwaitState("n1", "gone", c.Nodes[2:]...)
	if s := c.Nodes[0].View().State("n2"); s != "here" {
		t.Errorf("in its own group n2 is %s", s)
	}
	setPartition(faultproxy.Open)
	c.AwaitConverged(c.Nodes...)
	c.Net.SetCut(0, 1, faultproxy.Silent)
	c.Await("n1 can't reach n2 directly", func() bool {
		for _, m := range c.Nodes[0].View().Members {
			if m.Name == "n2" {
				return m.State == "here" && !m.Reachable
			}
		}
		return false
	})
}

// A second process starts with the name of a stopped one. When the first process resumes, it must learn
// that it is replaced, and stand by.
func TestAReplacedMemberStandsBy(t *testing.T) {
	t.Parallel()
	c := cluster.New(t, 4, fastMembers, noEndpoints, testCommand)
	c.Nodes[3].Name = "n1" // the name is used twice
	for _, p := range c.Nodes[:3] {
		c.Start(p)
	}
	c.AwaitConverged(c.Nodes[:3]...)
	c.Nodes[0].Signal(syscall.SIGSTOP)
	c.Start(c.Nodes[3])
	c.AwaitConverged(c.Nodes[1:]...)
	c.Nodes[0].Signal(syscall.SIGCONT)
	c.Await("the first process is replaced", func() bool { return c.Nodes[0].View().Self.State == "superseded" })
	c.AwaitConverged(c.Nodes[1:]...)
	c.Nodes[3].Signal(syscall.SIGTERM)
	c.Await("its name is free again", func() bool { return c.Nodes[0].View().Self.State == "here" })
	c.AwaitConverged(c.Nodes[:3]...)
}

// A hot restart must not change how the other members see the member.
func TestAHotRestartKeepsTheIncarnation(t *testing.T) {
	t.Parallel()
	c := startMembers(t, 3)
	p := c.Nodes[1]
	c.HotRestart(p)
	c.AwaitConverged(c.Nodes...)
	for _, o := range []*cluster.Node{c.Nodes[0], c.Nodes[2]} {
		for _, m := range o.View().Members {
			if m.Name == "n2" && m.Incarnation != 1 {
				t.Errorf("%s holds n2 with incarnation %d", o.Name, m.Incarnation)
			}
		}
	}
}

// Messages from outside the cluster are dropped and counted, and a member of another cluster does not join
// this one.
func TestMessagesFromOutsidersAreDropped(t *testing.T) {
	t.Parallel()
	otherCluster := false
	c := cluster.New(t, 3, fastMembers, noEndpoints, func(args ...string) *exec.Cmd {
		if otherCluster {
			text, err := os.ReadFile(args[4])
			if err != nil {
				t.Fatal(err)
			}
			text = bytes.ReplaceAll(text, []byte(`cluster = "test"`), []byte(`cluster = "other"`))
			if err := os.WriteFile(args[4], text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		return testCommand(args...)
	})
	for _, p := range c.Nodes[:2] {
		c.Start(p)
	}
	c.AwaitConverged(c.Nodes[:2]...)
	otherCluster = true
	c.Start(c.Nodes[2])
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.BindAddr(1), 0)))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	to := netip.MustParseAddrPort(c.Net.AdvertisedAddr(0))
	for _, text := range []string{"", "x", "wm\x02" + strings.Repeat("x", 50), "wm\x01" + strings.Repeat("x", 50), strings.Repeat("y", 2000)} {
		conn.WriteToUDPAddrPort([]byte(text), to)
	}
	c.Await("all dropped messages are counted", func() bool {
		v := c.Nodes[0].View()
		return v.Dropped["garbled"] >= 2 && v.Dropped["wrong version"] > 0 && v.Dropped["too long"] > 0 && v.Self.Counts["wrong cluster"] > 0
	})
	c.AwaitConverged(c.Nodes[:2]...)
	if n := len(c.Nodes[0].View().Members); n != 1 {
		t.Errorf("%d other members, want 1", n)
	}
}

// Every member must report the members with other settings and the members whose clients are drained, also
// when a message is lost.
func TestMembersWithOtherSettingsAreReported(t *testing.T) {
	t.Parallel()
	c := cluster.New(t, 3, fastMembers, noEndpoints, testCommand)
	c.Nodes[2].Categories = `{"name":"pay","effect":"fragile","ttlNs":4e9,"targetLatencyNs":4e9}`
	for _, p := range c.Nodes {
		c.Start(p)
	}
	c.AwaitConverged(c.Nodes...)
	resp, err := http.Post("http://"+c.Nodes[1].Console+"/api/evacuate", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	for i, want := range [][]string{{"n3"}, {"n3"}, {"n1", "n2"}} {
		c.Await("members with other settings and drained members are known", func() bool {
			var x operatorStatus
			return c.Nodes[i].Get("/api/staff", &x) && slices.Equal(x.Differ, want) && slices.Contains(x.Away, "n2") == (i != 1)
		})
	}
	c.Nodes[2].Kill()
	c.AwaitState("n3", "gone", c.Nodes[:2]...)
	c.Await("a dead member is not reported any more", func() bool {
		var out bytes.Buffer
		cmd := command()
		cmd.SetOut(&out)
		cmd.SetArgs([]string{"members", "--console", c.Nodes[0].Console})
		return cmd.Execute() == nil && !strings.Contains(out.String(), "other settings") && strings.Contains(out.String(), "send their clients away: n2")
	})
}
