// Package cluster starts several real processes of the program for a test. Each process has its own address,
// its own directory and a fault-injecting link to every other process. All processes end with the test.
package cluster

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"woaddyke/internal/lab/faultproxy"
)

// Cluster is a set of processes with links between them.
type Cluster struct {
	t            testing.TB
	Net          *faultproxy.Net
	firstAddr    int // number of the first address, as in package faultproxy
	newCommand   func(args ...string) *exec.Cmd
	operator     string
	discovery    string
	Nodes        []*Node
	StartProcess func(p *Node, cmd *exec.Cmd) error // starts a process; if nil, cmd.Start does
}

// Node is a node of the cluster, on which one process runs. A successor can replace the process.
type Node struct {
	Categories            string        // JSON of the categories; empty for pay, note and look
	ConnectTimeout        time.Duration // 0 for the default; a worker has twice as long to confirm a push
	Settings              string        // JSON with a trailing comma; empty for pushed discovery
	Name, Listen, Console string
	Discovery             string // address of its discovery server; empty for the server of the cluster
	listenAddr            netip.AddrPort
	dir                   string
	advertised            string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan error
}

// Member is a member as shown by a process.
type Member struct {
	Name, State, Address, By string
	Incarnation, Turn        uint64
	Reachable                bool
}

// View is the membership as shown by one process.
type View struct {
	Self struct {
		Name, State       string
		Incarnation, Turn uint64
		Counts            map[string]uint64
	}
	Digest  string
	Dropped map[string]uint64
	Members []Member
}

// State returns the state of the named member, or an empty string if the view does not contain it.
func (v *View) State(name string) string {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

var blocksUsed atomic.Int64

// allocateAddrs reserves n consecutive addresses and returns the number of the first. Each test process has
// addresses for sixty clusters of at most a dozen processes, and reuses them after the sixtieth. Test
// processes that run at the same time have different addresses unless their PIDs are equal modulo 80.
func allocateAddrs(n int) int {
	const blockSize, perProcess, processes = 12, 720, 80 // 720 addresses: sixty clusters
	blocks := int64(n+blockSize-1) / blockSize
	for {
		first := int(blocksUsed.Add(blocks)-blocks) * blockSize % perProcess
		if first+n <= perProcess {
			return 1000 + os.Getpid()%processes*perProcess + first
		}
	}
}

// BindAddr returns the IP address at which the k-th process listens.
func (c *Cluster) BindAddr(k int) netip.Addr { return faultproxy.BindAddr(c.firstAddr + k) }

// New creates a cluster of n nodes. No process runs yet. The operator argument holds additional lines of the
// [members] table in the operator file; {dir} in it is replaced by the node's directory. The workers argument
// is the list of workers in the format of the discovery service.
func New(t testing.TB, n int, operator, workers string, program func(args ...string) *exec.Cmd) *Cluster {
	t.Helper()
	c := &Cluster{t: t, newCommand: program, operator: operator, firstAddr: allocateAddrs(n)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, workers)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	c.discovery = s.Listener.Addr().String()
	var err error
	if c.Net, err = faultproxy.NewAt(c.firstAddr, n, 1, func(int, int, faultproxy.CutMode) {}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, p := range c.Nodes {
			p.kill()
			if t.Failed() {
				text, _ := os.ReadFile(filepath.Join(p.dir, "log"))
				t.Logf("%s:\n%s", p.Name, text)
			}
			os.RemoveAll(p.dir)
		}
		c.Net.Close()
		s.CloseClientConnections()
		s.Close()
	})
	for i := range n {
		c.AddNode(i, fmt.Sprintf("n%d", i+1))
	}
	return c
}

// AddNode adds a node under a name, at the k-th address of the cluster.
func (c *Cluster) AddNode(k int, name string) *Node {
	var used []string
	freePort := func() netip.AddrPort {
		at, err := faultproxy.FreePort(c.BindAddr(k), used...)
		if err != nil {
			c.t.Fatal(err)
		}
		used = append(used, at.String())
		return at
	}
	dir, err := os.MkdirTemp("", "several-") // t.TempDir would be removed before the logs are read
	if err != nil {
		c.t.Fatal(err)
	}
	p := &Node{Name: name, Listen: freePort().String(), Console: freePort().String(), listenAddr: freePort(), dir: dir,
		advertised: c.Net.AdvertisedAddr(k)}
	c.Net.SetListenAddr(k, p.listenAddr)
	c.Nodes = append(c.Nodes, p)
	return p
}

const defaultCategories = `{"name":"pay","effect":"fragile","ttlNs":5e9,"targetLatencyNs":5e9},` +
	`{"name":"note","effect":"dedup","windowNs":8e9,"dedupScope":"zone","ttlNs":5e9,"targetLatencyNs":5e9},` +
	`{"name":"look","effect":"retryable","ttlNs":5e9,"targetLatencyNs":5e9}`

const defaultConnectTimeout = 200 * time.Millisecond

// Start starts a process on a node. If a process already runs there, the new one is its successor.
func (c *Cluster) Start(p *Node) {
	c.t.Helper()
	bootstrapPath, operatorPath := filepath.Join(p.dir, "sheet.json"), filepath.Join(p.dir, "operator.toml")
	discovery := p.Discovery
	if discovery == "" {
		discovery = c.discovery
	}
	categories := p.Categories
	if categories == "" {
		categories = defaultCategories
	}
	settings := p.Settings
	if settings == "" {
		settings = `"discovery":"pushed",`
	}
	bootstrapText := fmt.Sprintf(`{"name":%q,"listen":%q,"console":%q,"discovery":%q,"seed":"1","settings":{%s`+
		`"bounds":{"maxPushes":3,"probes":true,"cancel":true,"connectTimeoutNs":%d},"report":{"fields":["waiting","running"],"how":"on_probe"},"categories":[%s]}}`,
		p.Name, p.Listen, p.Console, discovery, settings, cmp.Or(p.ConnectTimeout, defaultConnectTimeout), categories)
	var seeds []string
	for i := range min(2, len(c.Nodes)) {
		seeds = append(seeds, fmt.Sprintf("%q", c.Nodes[i].advertised))
	}
	operatorText := fmt.Sprintf("[members]\ncluster = \"test\"\nlisten = %q\nadvertise = %q\nseeds = [%s]\n%s", p.listenAddr, p.advertised, strings.Join(seeds, ", "),
		strings.ReplaceAll(c.operator, "{dir}", p.dir))
	for path, text := range map[string]string{bootstrapPath: bootstrapText, operatorPath: operatorText} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			c.t.Fatal(err)
		}
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	defer log.Close()
	cmd := c.newCommand("serve", "--config", bootstrapPath, "--operator", operatorPath)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(cmd.Environ(), "TMPDIR="+p.dir)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	start := c.StartProcess
	if start == nil {
		start = func(_ *Node, cmd *exec.Cmd) error { return cmd.Start() }
	}
	if err := start(p, cmd); err != nil {
		c.t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() {
		exited <- cmd.Wait()
		close(exited) // later receives return immediately
	}()
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
}

// Dir returns the directory of the node.
func (p *Node) Dir() string { return p.dir }

// stopTimeout bounds the wait for a process to stop.
const stopTimeout = 5 * time.Second

// Signal sends a signal to the process of a node. SIGSTOP takes effect shortly after the system call, and
// tests rely on a process that can do nothing. After SIGSTOP, Signal therefore waits until all threads of the
// process are stopped.
func (p *Node) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.cmd.Process.Signal(s)
	if s != syscall.SIGSTOP {
		return
	}
	for deadline := time.Now().Add(stopTimeout); !stopped(p.cmd.Process.Pid) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

// stopped reports whether all threads of a process are stopped, according to /proc (proc(5)).
func stopped(pid int) bool {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			return false
		}
		// The state is the first field after the command name, which is in parentheses and can contain any
		// character.
		fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
		if len(fields) == 0 || fields[0] != "T" {
			return false
		}
	}
	return len(files) > 0
}

// Process returns the running process and the channel that receives its exit error. The caller can start a
// successor and then wait for the process to exit.
func (p *Node) Process() (*exec.Cmd, <-chan error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.exited
}

// HotRestart performs a hot restart: it starts a successor, waits until the successor is ready, sends SIGTERM
// to the predecessor and waits until the predecessor has ended.
func (c *Cluster) HotRestart(p *Node) {
	c.t.Helper()
	predecessor, exited := p.Process()
	l, err := net.Listen("tcp4", p.listenAddr.Addr().String()+":0")
	if err != nil {
		c.t.Fatal(err)
	}
	p.Console = l.Addr().String()
	l.Close()
	c.Start(p)
	c.Await("the successor is ready", func() bool { return p.Get("/api/ready", nil) })
	predecessor.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-exited:
		if err != nil {
			c.t.Errorf("hot restart: the predecessor exited with an error: %v", err)
		}
	case <-time.After(awaitTimeout):
		c.t.Fatal("hot restart: the predecessor did not exit after SIGTERM")
	}
}

// Kill sends SIGKILL to the process of a node and waits until it has ended.
func (p *Node) Kill() { p.kill() }

func (p *Node) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.cmd = nil
	p.mu.Unlock()
	if cmd != nil {
		cmd.Process.Signal(syscall.SIGKILL)
		<-exited
	}
}

// Get requests a path from the console listener and decodes the response into a value. It returns false if
// the request fails or the response can't be decoded.
func (p *Node) Get(path string, into any) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.Console + path)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && (into == nil || json.NewDecoder(resp.Body).Decode(into) == nil)
}

// View returns the membership as shown by the process of a node. The view is empty if the request fails.
func (p *Node) View() *View {
	v := &View{}
	p.Get("/api/members", v)
	return v
}

const awaitTimeout = 20 * time.Second // ten times the longest expected wait

// Await waits until a condition holds, and fails the test after awaitTimeout.
func (c *Cluster) Await(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// AwaitState waits until all given processes, except the member itself, show the member in a state.
func (c *Cluster) AwaitState(name, state string, by ...*Node) {
	c.t.Helper()
	c.Await(fmt.Sprintf("%s is %s", name, state), func() bool {
		for _, p := range by {
			if p.Name != name && p.View().State(name) != state {
				return false
			}
		}
		return true
	})
}

// AwaitConverged waits until all given processes show themselves and one another in the state "here", and their
// views have the same digest.
func (c *Cluster) AwaitConverged(all ...*Node) {
	c.t.Helper()
	c.Await("all members are here in all views", func() bool {
		digest := ""
		for _, p := range all {
			v := p.View()
			if digest == "" {
				digest = v.Digest
			}
			if v.Digest != digest || v.Self.State != "here" {
				return false
			}
			for _, other := range all {
				if other != p && v.State(other.Name) != "here" {
					return false
				}
			}
		}
		return true
	})
}
