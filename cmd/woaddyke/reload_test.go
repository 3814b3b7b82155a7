package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// reloadedProcess is a real process whose configuration file a test replaces.
type reloadedProcess struct {
	testProcess
	t        *testing.T
	path     string
	document map[string]any
	watches  atomic.Int32
}

func newReloadedProcess(t *testing.T, worker http.Handler, entries int) (*reloadedProcess, string) {
	t.Helper()
	w := httptest.NewServer(worker)
	t.Cleanup(w.Close)
	x := &reloadedProcess{t: t}
	discovery := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		x.watches.Add(1)
		fmt.Fprintf(rw, `{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"state":"SERVING"}]}`+"\n", w.Listener.Addr())
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(discovery.Close)
	listen, dir := freeAddr(t), t.TempDir()
	x.testProcess = startProcess(t, dir, listen, discovery.Listener.Addr().String(), 0)
	x.path = filepath.Join(dir, "0.json")
	text, err := os.ReadFile(x.path)
	if err == nil {
		err = json.Unmarshal(text, &x.document)
	}
	if err != nil {
		t.Fatal(err)
	}
	categories := make([]any, entries)
	for i := range categories {
		categories[i] = map[string]any{"name": fmt.Sprint("team-", i), "effect": "fragile", "ttlNs": 1e9, "targetLatencyNs": 1e9}
	}
	x.document["settings"].(map[string]any)["categories"] = categories
	return x, listen
}

func (x *reloadedProcess) category(i int) map[string]any {
	return x.document["settings"].(map[string]any)["categories"].([]any)[i].(map[string]any)
}

func (x *reloadedProcess) text() []byte {
	x.t.Helper()
	text, err := json.Marshal(x.document)
	if err != nil {
		x.t.Fatal(err)
	}
	return text
}

// reload writes the present configuration to the file, and sends SIGHUP.
func (x *reloadedProcess) reload() {
	x.t.Helper()
	x.reloadText(x.text())
}

func (x *reloadedProcess) reloadText(text []byte) {
	x.t.Helper()
	err := os.WriteFile(x.path+".new", text, 0o600)
	if err == nil {
		err = os.Rename(x.path+".new", x.path)
	}
	if err == nil {
		err = x.cmd.Process.Signal(syscall.SIGHUP)
	}
	if err != nil {
		x.t.Fatal(err)
	}
}

type telemetry struct {
	ReloadsOK     int                             `json:"reloads_ok"`
	ReloadsFailed int                             `json:"reloads_failed"`
	Requests      map[string]struct{ Served int } `json:"requests"`
}

// await polls the metrics until a condition holds.
func (x *reloadedProcess) await(what string, holds func(telemetry) bool) (f telemetry) {
	x.t.Helper()
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		resp, err := http.Get("http://" + x.console + "/api/telemetry")
		if err != nil {
			x.t.Fatal(err)
		}
		f = telemetry{}
		err = json.NewDecoder(resp.Body).Decode(&f)
		if resp.Body.Close(); err != nil {
			x.t.Fatal(err)
		}
		if holds(f) {
			return f
		}
		if time.Now().After(until) {
			x.t.Fatalf("%s: timed out after %d successful and %d failed reloads: %s", what, f.ReloadsOK, f.ReloadsFailed, x.log)
		}
	}
}

// usage returns the resident memory of the process in KB, and its processor time in ms.
func (x *reloadedProcess) usage() (kb, ms int) {
	x.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", x.cmd.Process.Pid))
	if err != nil {
		x.t.Fatal(err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ = strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", x.cmd.Process.Pid))
	if err != nil {
		x.t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return kb, (user + system) * 10
}

// intFromEnv reads a number from the environment, for runs that are longer than in CI.
func intFromEnv(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// A process must apply any number of reloads. It once applied 340 changes of one of three categories and
// rejected all later ones until it was replaced, and every scheduler opened its watch again at each reload.
// CHANGES and ENTRIES set a larger number of reloads and categories.
func TestAProcessAppliesHundredsOfReloads(t *testing.T) {
	n, entries := intFromEnv("CHANGES", 400), intFromEnv("ENTRIES", 3)
	runs := &runCounter{runs: map[string]int{}}
	x, listen := newReloadedProcess(t, runs, entries)
	x.reload()
	x.await("the first change is in force", func(f telemetry) bool { return f.ReloadsOK == 1 })
	op := 0
	serve := func(category string, want int) {
		t.Helper()
		op++
		r, err := http.NewRequest(http.MethodPost, "http://"+listen, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("X-Correlation-Id", fmt.Sprint(op))
		r.Header.Set("X-Service-Class", category)
		r.Header.Set("X-Time-Left-Ms", "5000")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		if resp.Body.Close(); resp.StatusCode != want {
			t.Fatalf("an op of category %s: status %d, want %d: %s", category, resp.StatusCode, want, x.log)
		}
	}
	x.await("the worker is listed", func(telemetry) bool { return x.watches.Load() > 0 })
	watches := x.watches.Load()
	began, before := x.usage()
	for i := range n {
		c := x.category(i % entries)
		if c["targetLatencyNs"] = 1e9 + 1e5*float64(i); i%4 == 3 {
			c["name"] = fmt.Sprint("team-", i%entries, "-", i)
		}
		x.reload()
		f := x.await("a change is in force", func(f telemetry) bool { return f.ReloadsOK == i+2 || f.ReloadsFailed > 0 })
		if f.ReloadsFailed > 0 {
			t.Fatalf("reload %d failed: %s", i, x.log)
		}
		if i%20 == 3 {
			serve(c["name"].(string), http.StatusOK)
		}
	}
	rss, spent := x.usage()
	t.Logf("%d reloads of %d categories: %d KB resident, %d before; %.2f ms of processor time per reload, including reads of the metrics", n, entries, rss, began,
		float64(spent-before)/float64(n))
	if got := int(x.watches.Load() - watches); got > n/4 { // the watch is also reopened about once a second
		t.Errorf("the watch was opened %d times in %d reloads that keep its address", got, n)
	}
	// An invalid file changes nothing and is logged in one line. Later valid files are applied.
	c := x.category(0)
	name, ttl := c["name"].(string), c["ttlNs"]
	c["name"], c["ttlNs"] = "wrong", -1
	x.reload()
	f := x.await("the invalid file is rejected", func(f telemetry) bool { return f.ReloadsFailed == 1 })
	if _, taken := f.Requests["wrong"]; taken || f.ReloadsOK != n+1 {
		t.Errorf("%d successful reloads, the invalid file applied: %v", f.ReloadsOK, taken)
	}
	serve("wrong", http.StatusBadRequest)
	serve(name, http.StatusOK)
	// If reloads arrive faster than they are applied, the last one is in force at the end.
	c["ttlNs"] = ttl
	settings := x.document["settings"].(map[string]any)
	for i := range 1900 - entries { // so that applying a file takes longer than writing the next one
		settings["categories"] = append(settings["categories"].([]any), map[string]any{"name": fmt.Sprint("more-", i), "effect": "fragile",
			"ttlNs": 1e9, "targetLatencyNs": 1e9})
	}
	var files [][]byte
	for i := range 20 {
		c["name"] = fmt.Sprint("at-once-", i)
		files = append(files, x.text())
	}
	for _, text := range files {
		x.reloadText(text)
	}
	x.await("the last of many reloads is in force", func(f telemetry) bool { _, last := f.Requests["at-once-19"]; return last })
	serve("at-once-19", http.StatusOK)
	x.cmd.Process.Signal(syscall.SIGTERM)
	if err := x.cmd.Wait(); err != nil {
		t.Errorf("%v: %s", err, x.log)
	}
	if text := x.log.String(); strings.Count(text, "configuration kept") != 1 || !strings.Contains(text, "settings.categories.0.ttlNs: must be a number above 0 and at most 86400000000000, got -1") {
		t.Errorf("the invalid file is not logged in one line with the key at fault: %s", text)
	}
}
