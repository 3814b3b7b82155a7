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

// thisProgram is the command itself, as a process of its own.
func thisProgram(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "WOADDYKE_TEST_SERVES=1")
	return cmd
}

const noWorkers = `{"rev":1,"all":true,"targets":[]}`

// quick are shorter spans than an operator would set, so that ends are found in a second.
const quick = "probe = \"50ms\"\ndoubt = \"600ms\"\nlongest_doubt = \"1s\"\nseek = \"200ms\"\nexchange = \"1s\"\n"

func startCluster(t *testing.T, n int) *cluster.Cluster {
	c := cluster.New(t, n, quick, noWorkers, thisProgram)
	for _, p := range c.Places {
		c.Start(p)
	}
	c.AwaitWhole(c.Places...)
	return c
}

// A scheduler that died was nobody's business: now all others know, and know that the next process of its name is another one.
func TestAKilledProcessIsGoneAndComesBackAsAnother(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4)
	p := c.Places[3]
	p.Kill()
	c.AwaitState("n4", "gone", c.Places[:3]...)
	c.Await("the figures tell", func() bool {
		var f struct {
			Members struct{ Here, Gone, Reachable int }
		}
		return c.Places[0].Get("/api/telemetry", &f) && f.Members.Here == 2 && f.Members.Gone == 1 && f.Members.Reachable == 2
	})
	c.Start(p)
	c.AwaitWhole(c.Places...)
	if v := p.View(); v.Self.Incarnation != 2 {
		t.Errorf("the next process has incarnation %d", v.Self.Incarnation)
	}
	p.Signal(syscall.SIGTERM)
	c.AwaitState("n4", "left", c.Places[:3]...)
}

// A process that stood still for longer than a doubt lasts has been given up; awake again it accuses nobody and is back.
func TestAStoppedProcessAccusesNobodyWhenItWakes(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4)
	p := c.Places[2]
	p.Signal(syscall.SIGSTOP)
	c.AwaitState("n3", "gone", c.Places...)
	p.Signal(syscall.SIGCONT)
	c.AwaitWhole(c.Places...)
	for _, o := range c.Places {
		if v := o.View(); o != p && v.Self.Turn != 0 {
			t.Errorf("%s had to refute something: turn %d", o.Name, v.Self.Turn)
		}
	}
	if v := p.View(); v.Self.Incarnation != 1 || v.Self.Turn == 0 || v.Self.Counts["late"] == 0 {
		t.Errorf("the one that woke: %+v", v.Self)
	}
}

// Two groups that can't talk go on apart, and are one again by themselves. A pair that is cut one way stays as it is.
func TestPartedGroupsAreOneAgain(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 5)
	part := func(how faultproxy.Cut) {
		for i := range 2 {
			for j := 2; j < 5; j++ {
				c.Net.Cut(i, j, how)
				c.Net.Cut(j, i, how)
			}
		}
	}
	part(faultproxy.Silent)
	c.AwaitState("n5", "gone", c.Places[:2]...)
	c.AwaitState("n1", "gone", c.Places[2:]...)
	if s := c.Places[0].View().State("n2"); s != "here" {
		t.Errorf("on its own side n2 is %s", s)
	}
	part(faultproxy.Open)
	c.AwaitWhole(c.Places...)
	c.Net.Cut(0, 1, faultproxy.Silent)
	c.Await("one can't reach the other directly", func() bool {
		for _, m := range c.Places[0].View().Members {
			if m.Name == "n2" {
				return m.State == "here" && !m.Reachable
			}
		}
		return false
	})
}

// A second process with the name of a stopped one: the first one wakes up, learns that it is superseded, and stands by.
func TestASupersededProcessStandsBy(t *testing.T) {
	t.Parallel()
	c := cluster.New(t, 4, quick, noWorkers, thisProgram)
	c.Places[3].Name = "n1" // the name is used twice
	for _, p := range c.Places[:3] {
		c.Start(p)
	}
	c.AwaitWhole(c.Places[:3]...)
	c.Places[0].Signal(syscall.SIGSTOP)
	c.Start(c.Places[3])
	c.AwaitWhole(c.Places[1:]...)
	c.Places[0].Signal(syscall.SIGCONT)
	c.Await("the first one is superseded", func() bool { return c.Places[0].View().Self.State == "superseded" })
	c.AwaitWhole(c.Places[1:]...)
	c.Places[3].Signal(syscall.SIGTERM)
	c.Await("its name is free again", func() bool { return c.Places[0].View().Self.State == "here" })
	c.AwaitWhole(c.Places[:3]...)
}

// Another process takes the place of one: for the others nothing has changed.
func TestATakeoverChangesNoView(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	p := c.Places[1]
	c.Takeover(p)
	c.AwaitWhole(c.Places...)
	for _, o := range []*cluster.Place{c.Places[0], c.Places[2]} {
		for _, m := range o.View().Members {
			if m.Name == "n2" && m.Incarnation != 1 {
				t.Errorf("%s holds n2 with incarnation %d", o.Name, m.Incarnation)
			}
		}
	}
}

// What strangers send is dropped and counted, and a member of another cluster is none of this one.
func TestStrangersAreNoMembers(t *testing.T) {
	t.Parallel()
	strange := false
	c := cluster.New(t, 3, quick, noWorkers, func(args ...string) *exec.Cmd {
		if strange {
			text, err := os.ReadFile(args[4])
			if err != nil {
				t.Fatal(err)
			}
			text = bytes.ReplaceAll(text, []byte(`cluster = "test"`), []byte(`cluster = "other"`))
			if err := os.WriteFile(args[4], text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		return thisProgram(args...)
	})
	for _, p := range c.Places[:2] {
		c.Start(p)
	}
	c.AwaitWhole(c.Places[:2]...)
	strange = true
	c.Start(c.Places[2])
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.Bound(1), 0)))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	to := netip.MustParseAddrPort(c.Net.Told(0))
	for _, text := range []string{"", "x", "wm\x02" + strings.Repeat("x", 50), "wm\x01" + strings.Repeat("x", 50), strings.Repeat("y", 2000)} {
		conn.WriteToUDPAddrPort([]byte(text), to)
	}
	c.Await("all is counted", func() bool {
		v := c.Places[0].View()
		return v.Dropped["garbled"] >= 2 && v.Dropped["wrong version"] > 0 && v.Dropped["too long"] > 0 && v.Self.Counts["wrong cluster"] > 0
	})
	c.AwaitWhole(c.Places[:2]...)
	if n := len(c.Places[0].View().Members); n != 1 {
		t.Errorf("%d members beside it", n)
	}
}

// Schedulers that run by other settings are told in one line everywhere, and so are those that staff have evacuated; one whose word was
// lost is heard of all the same.
func TestOtherSettingsAreTold(t *testing.T) {
	t.Parallel()
	c := cluster.New(t, 3, quick, noWorkers, thisProgram)
	c.Places[2].Categories = `{"name":"pay","effect":"fragile","ttlNs":4e9,"targetLatencyNs":4e9}`
	for _, p := range c.Places {
		c.Start(p)
	}
	c.AwaitWhole(c.Places...)
	resp, err := http.Post("http://"+c.Places[1].Console+"/api/evacuate", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	for i, want := range [][]string{{"n3"}, {"n3"}, {"n1", "n2"}} {
		c.Await("it knows who differs and who is evacuated", func() bool {
			var x operatorStatus
			return c.Places[i].Get("/api/staff", &x) && slices.Equal(x.Differ, want) && slices.Contains(x.Away, "n2") == (i != 1)
		})
	}
	c.Places[2].Kill()
	c.AwaitState("n3", "gone", c.Places[:2]...)
	c.Await("one that is gone differs no more", func() bool {
		var out bytes.Buffer
		cmd := command()
		cmd.SetOut(&out)
		cmd.SetArgs([]string{"members", "--console", c.Places[0].Console})
		return cmd.Execute() == nil && !strings.Contains(out.String(), "other settings") && strings.Contains(out.String(), "send their clients away: n2")
	})
}
