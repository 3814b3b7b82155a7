// Package cluster starts a few real processes of the program for a test, each with an address, a folder and a link to every other of
// its own, and ends them with it.
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

// Cluster is some processes with links between them.
type Cluster struct {
	t         testing.TB
	Net       *faultproxy.Net
	base      int // number of its first address
	make      func(args ...string) *exec.Cmd
	operator  string
	discovery string
	Places    []*Place
	Begin     func(p *Place, cmd *exec.Cmd) error // starts a process; nil: as it is
}

// Place is where one process runs; another may take its place.
type Place struct {
	Categories            string        // of its sheet, in JSON; empty for pay, note and look
	ConnectTimeout        time.Duration // of its sheet; twice as long it waits for a worker's word that it has a push; 0 for the usual one
	Settings              string        // further ones, in JSON with a comma behind; empty: discovery is pushed
	Name, Listen, Console string
	Discovery             string // where its own is; empty: the cluster's
	at                    netip.AddrPort
	dir                   string
	told                  string

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan error
}

// Row is one member as a process shows it.
type Row struct {
	Name, State, Address, By string
	Incarnation, Turn        uint64
	Reachable                bool
}

// View is what a process shows of its cluster.
type View struct {
	Self struct {
		Name, State       string
		Incarnation, Turn uint64
		Counts            map[string]uint64
	}
	Digest  string
	Dropped map[string]uint64
	Members []Row
}

// State is what a view holds of a name, empty for nothing.
func (v *View) State(name string) string {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

var blocks atomic.Int64

// block is the number of the first of some addresses that no other cluster uses, in this process or in the tests beside it.
func block(n int) int {
	const size, each, processes = 12, 720, 80 // sixty clusters to a process, of a dozen processes at most
	wanted := int64(n+size-1) / size
	for {
		first := int(blocks.Add(wanted)-wanted) * size % each
		if first+n <= each {
			return 1000 + os.Getpid()%processes*each + first
		}
	}
}

// Bound is the address at which the k-th place listens.
func (c *Cluster) Bound(k int) netip.Addr { return faultproxy.Bound(c.base + k) }

// New makes places for so many processes, of which none runs. Further lines of the operator's table of members may be given, in which
// {dir} is the place's own folder. The
// list of workers is given in discovery's form.
func New(t testing.TB, n int, operator, workers string, program func(args ...string) *exec.Cmd) *Cluster {
	t.Helper()
	c := &Cluster{t: t, make: program, operator: operator, base: block(n)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, workers)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	c.discovery = s.Listener.Addr().String()
	var err error
	if c.Net, err = faultproxy.At(c.base, n, 1, func(int, int, faultproxy.Cut) {}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, p := range c.Places {
			p.kill()
			if t.Failed() {
				log, _ := os.ReadFile(filepath.Join(p.dir, "log"))
				t.Logf("%s:\n%s", p.Name, log)
			}
			os.RemoveAll(p.dir)
		}
		c.Net.Close()
		s.CloseClientConnections()
		s.Close()
	})
	for i := range n {
		c.Place(i, fmt.Sprintf("n%d", i+1))
	}
	return c
}

// Place adds a place under a name, at the k-th address of the rig.
func (c *Cluster) Place(k int, name string) *Place {
	var taken []string
	free := func() netip.AddrPort {
		at, err := faultproxy.Free(c.Bound(k), taken...)
		if err != nil {
			c.t.Fatal(err)
		}
		taken = append(taken, at.String())
		return at
	}
	dir, err := os.MkdirTemp("", "several-") // not the test's own: that is gone before its logs are read
	if err != nil {
		c.t.Fatal(err)
	}
	p := &Place{Name: name, Listen: free().String(), Console: free().String(), at: free(), dir: dir,
		told: c.Net.Told(k)}
	c.Net.Listens(k, p.at)
	c.Places = append(c.Places, p)
	return p
}

const usual = `{"name":"pay","effect":"fragile","ttlNs":5e9,"targetLatencyNs":5e9},` +
	`{"name":"note","effect":"dedup","windowNs":8e9,"dedupScope":"zone","ttlNs":5e9,"targetLatencyNs":5e9},` +
	`{"name":"look","effect":"retryable","ttlNs":5e9,"targetLatencyNs":5e9}`

const usualConnectTimeout = 200 * time.Millisecond

// Start starts a process at a place, which may take the place of the one that runs there.
func (c *Cluster) Start(p *Place) {
	c.t.Helper()
	sheet, offers := filepath.Join(p.dir, "sheet.json"), filepath.Join(p.dir, "operator.toml")
	discovery := p.Discovery
	if discovery == "" {
		discovery = c.discovery
	}
	categories := p.Categories
	if categories == "" {
		categories = usual
	}
	settings := p.Settings
	if settings == "" {
		settings = `"discovery":"pushed",`
	}
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"console":%q,"discovery":%q,"seed":"1","settings":{%s`+
		`"bounds":{"maxPushes":3,"probes":true,"cancel":true,"connectTimeoutNs":%d},"report":{"fields":["waiting","running"],"how":"on_probe"},"categories":[%s]}}`,
		p.Name, p.Listen, p.Console, discovery, settings, cmp.Or(p.ConnectTimeout, usualConnectTimeout), categories)
	var seeds []string
	for i := range min(2, len(c.Places)) {
		seeds = append(seeds, fmt.Sprintf("%q", c.Places[i].told))
	}
	offer := fmt.Sprintf("[members]\ncluster = \"test\"\nlisten = %q\nadvertise = %q\nseeds = [%s]\n%s", p.at, p.told, strings.Join(seeds, ", "),
		strings.ReplaceAll(c.operator, "{dir}", p.dir))
	for path, text := range map[string]string{sheet: text, offers: offer} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			c.t.Fatal(err)
		}
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	defer log.Close()
	cmd := c.make("serve", "--config", sheet, "--operator", offers)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(cmd.Environ(), "TMPDIR="+p.dir)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	begin := c.Begin
	if begin == nil {
		begin = func(_ *Place, cmd *exec.Cmd) error { return cmd.Start() }
	}
	if err := begin(p, cmd); err != nil {
		c.t.Fatal(err)
	}
	end := make(chan error, 1)
	go func() {
		end <- cmd.Wait()
		close(end) // whoever asks later need not wait
	}()
	p.mu.Lock()
	p.cmd, p.end = cmd, end
	p.mu.Unlock()
}

// Dir is the place's own folder.
func (p *Place) Dir() string { return p.dir }

// stopTimeout bounds the wait for a process to stop.
const stopTimeout = 5 * time.Second

// Signal sends the process at a place a signal. SIGSTOP takes effect a moment after the call: it returns once no thread runs any more, as a
// test goes on as if the process could do nothing.
func (p *Place) Signal(s syscall.Signal) {
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

// stopped tells whether all threads of a process are stopped, as /proc has them (proc(5)).
func stopped(pid int) bool {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			return false
		}
		// The state is the first field behind the command's name, which is in parentheses and may hold any character.
		fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
		if len(fields) == 0 || fields[0] != "T" {
			return false
		}
	}
	return len(files) > 0
}

// Running hands over the process that runs, so that another can be started in its place; the caller waits for its end.
func (p *Place) Running() (*exec.Cmd, <-chan error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.end
}

// Takeover has a second process take the place of the one that runs, and waits until that one has ended.
func (c *Cluster) Takeover(p *Place) {
	c.t.Helper()
	first, ended := p.Running()
	l, err := net.Listen("tcp4", p.at.Addr().String()+":0")
	if err != nil {
		c.t.Fatal(err)
	}
	p.Console = l.Addr().String()
	l.Close()
	c.Start(p)
	c.Await("the heir is ready", func() bool { return p.Get("/api/ready", nil) })
	first.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			c.t.Errorf("the one before: %v", err)
		}
	case <-time.After(longestWait):
		c.t.Fatal("the one before does not end")
	}
}

// Kill ends the process at a place at once and waits for its end.
func (p *Place) Kill() { p.kill() }

func (p *Place) kill() {
	p.mu.Lock()
	cmd, end := p.cmd, p.end
	p.cmd = nil
	p.mu.Unlock()
	if cmd != nil {
		cmd.Process.Signal(syscall.SIGKILL)
		<-end
	}
}

// Get reads a call of the second address; false where there is no answer.
func (p *Place) Get(path string, into any) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.Console + path)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && (into == nil || json.NewDecoder(resp.Body).Decode(into) == nil)
}

// View is what the process at a place shows, empty where it shows nothing.
func (p *Place) View() *View {
	v := &View{}
	p.Get("/api/members", v)
	return v
}

const longestWait = 20 * time.Second // ten times what anything waited for takes

// Await waits until something holds, and fails the test where it never does.
func (c *Cluster) Await(what string, holds func() bool) {
	c.t.Helper()
	for until := time.Now().Add(longestWait); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			c.t.Fatalf("it never came about that %s", what)
		}
	}
}

// AwaitState waits until some hold a name in a state.
func (c *Cluster) AwaitState(name, state string, by ...*Place) {
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

// AwaitWhole waits until all places hold all others here, with views that are the same.
func (c *Cluster) AwaitWhole(all ...*Place) {
	c.t.Helper()
	c.Await("all are here in all views", func() bool {
		digest := ""
		for _, p := range all {
			v := p.View()
			if digest == "" {
				digest = v.Digest
			}
			if v.Digest != digest || v.Self.State != "here" {
				return false
			}
			for _, o := range all {
				if o != p && v.State(o.Name) != "here" {
					return false
				}
			}
		}
		return true
	})
}
