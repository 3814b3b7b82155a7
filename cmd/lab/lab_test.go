package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// buildPrograms builds all programs once and returns their folder.
var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "lab-programs-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "woaddyke/cmd/...").CombinedOutput()
	if err != nil {
		os.RemoveAll(dir)
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	programsDir = dir
	return dir, nil
})

var programsDir string // empty if no test built the programs

func TestMain(m *testing.M) {
	code := m.Run()
	if programsDir != "" {
		os.RemoveAll(programsDir)
	}
	os.Exit(code)
}

// programs returns a temporary folder of the test with links to all programs.
func programs(t *testing.T) string {
	t.Helper()
	from, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	all, err := os.ReadDir(from)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range all {
		if err := os.Link(filepath.Join(from, f.Name()), filepath.Join(dir, f.Name())); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// lab runs the command and returns what it prints and its exit code.
func lab(t *testing.T, dir string, args ...string) (out, errs string, code int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var o, e bytes.Buffer
	c := exec.CommandContext(ctx, filepath.Join(dir, "lab"), args...)
	c.Stdout, c.Stderr = &o, &e
	err := c.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return o.String(), e.String(), c.ProcessState.ExitCode()
}

const shortExperiment = `
seconds = 4
settle_s = 0.2
[rules]
slack_ms = 250
[schedulers]
count = 2
[discovery]
late_ms = [10, 50]
[arrivals]
rate = 60
[clients]
retries = 1
[[workers]]
count = 4
[[categories]]
name = "a"
work_ms = 30
ttl_ms = 900
[[categories]]
name = "b"
effect = "at-most-once"
work_ms = 30
ttl_ms = 900
`

// A scheduler that was suspended for longer than the TTL must nack the ops that waited in its kernel buffers.
// It once pushed them after the TTL. The test also covers the lab's commands and exit codes with the real
// program.
func TestAStoppedSchedulerPushesNothingAfterTheTTL(t *testing.T) {
	t.Parallel()
	dir := programs(t)
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	stop := write("stop.toml", shortExperiment+"[[faults]]\nkind = \"scheduler-stop\"\nat_s = 1\nfor_s = 1.8\nindices = [0]\n")
	run := filepath.Join(dir, "run")
	out, errs, code := lab(t, dir, "run", stop, "--out", run)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	last := lines[len(lines)-1]
	if code != 0 || !regexp.MustCompile(`^audit: ops=\d{3} answers=\d{3} broken=0 unmet=0 service=0\.\d+ `).MatchString(last) {
		t.Fatalf("code %d: %s\n%s", code, out, errs)
	}
	if out, _, code = lab(t, dir, "audit", filepath.Join(run, "ledger.jsonl")); code != 0 || !strings.Contains(out, "broken=0") {
		t.Errorf("audit: code %d, %s", code, out)
	}
	if page, err := os.ReadFile(filepath.Join(run, "page.html")); err != nil || bytes.Count(page, []byte("<svg")) != 6 {
		t.Errorf("the page: %d bytes, %v", len(page), err)
	}
	ledger, err := os.ReadFile(filepath.Join(run, "ledger.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	// Without an answer of the scheduler that was not suspended, the audit must report a lost op. A malformed
	// line must be an error.
	answer := regexp.MustCompile(`(?m)^.*"kind":"answer".*"scheduler":2,.*\n`).FindIndex(ledger)
	lost := write("lost.jsonl", string(ledger[:answer[0]])+string(ledger[answer[1]:]))
	if out, _, code = lab(t, dir, "audit", lost); code != 1 || !strings.Contains(out, "broken: no op lost: op ") {
		t.Errorf("a ledger without an answer: code %d, %s", code, out)
	}
	for _, args := range [][]string{{"audit", write("bad.jsonl", "{\"kind\":\"world\"\n{}\n")}, {"run", write("bad.toml", "seed = x\n")},
		{"run", filepath.Join(dir, "none.toml")}, {"run", stop, "--bin", filepath.Join(dir, "none")}, {"check", write("worse.toml", shortExperiment+"[chaos]\nkinds = [\"x\"]\n")}} {
		if _, errs, code = lab(t, dir, args...); code != 2 || strings.Count(errs, "\n") != 1 || !strings.HasPrefix(errs, "lab: ") {
			t.Errorf("%v: code %d, %q", args, code, errs)
		}
	}
	unmet := write("unmet.toml", "expect = [{ figure = \"acked\", least = 1e9 }]\n"+strings.Replace(shortExperiment, "seconds = 4", "seconds = 0.3", 1))
	if out, _, code = lab(t, dir, "run", unmet, "--bin", "baseline:fewest"); code != 1 || !strings.Contains(out, "unmet: acked is") {
		t.Errorf("an expectation that is not met: code %d, %s", code, out)
	}
}

// Runs the scale experiment at two small sizes. It has hollow workers in regions, restarts, a killed
// scheduler, and a rack, a zone and a region that are cut off. The verdict must cover all sizes. A size that
// needs more than this machine has must be rejected before the first run.
func TestASmallScaleRunJudgesAllItsSizes(t *testing.T) {
	t.Parallel()
	dir := programs(t)
	file := filepath.Join("..", "..", "examples", "lab", "scale-small.toml")
	out, errs, code := lab(t, dir, "run", file, "--out", filepath.Join(dir, "run"))
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if code != 0 || !regexp.MustCompile(`^audit: ops=3\d\d answers=\d{3} broken=0 unmet=0 `).MatchString(lines[len(lines)-1]) {
		t.Fatalf("code %d: %s\n%s", code, out, errs)
	}
	for _, want := range []string{"scale-small-0.5: 84 workers: audit: ops=", "scale-small-1: 168 workers: audit: ops=", "per 1,000",
		"    scheduler_mb ", "    probes_in_Bps ", "    list_in_Bps ", "urgent: begun after p50 ", " of 6 starts", "    3 changes of settings in force after p50 "} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is not in the output: %s", want, out)
		}
	}
	ledgerText, err := os.ReadFile(filepath.Join(dir, "run", "scale-small-1", "ledger.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	for _, fault := range []string{"kill on", "vanish on", "vanish over", "cut on", "cut over", "region-cut on d", "region-cut over on d", "scheduler-kill on"} {
		if !bytes.Contains(ledgerText, []byte(`"text":"`+fault)) {
			t.Errorf("no %s in the ledger", fault)
		}
	}
	if out, errs, code = lab(t, dir, "run", file, "--sizes", "0.1,90"); code != 2 || out != "" || !strings.HasPrefix(errs, "lab: ") || strings.Count(errs, "\n") != 1 {
		t.Errorf("an invalid size: code %d, %s%s", code, out, errs)
	}
	if out, errs, code = lab(t, dir, "run", file, "--sizes", "0.1,9000"); code != 2 || out != "" || strings.Count(errs, "\n") != 1 {
		t.Errorf("a size beyond the maximum: code %d, %s%s", code, out, errs)
	}
}

// Cost figures for thousands of schedulers come from hollow schedulers, so hollow schedulers must behave as
// processes do. In a cluster with hardly any client traffic, both must send about as many messages and bytes,
// and all views must be equal.
func TestAHollowSchedulerSendsAsMuchAsAProcess(t *testing.T) {
	t.Parallel()
	dir := programs(t)
	path := filepath.Join(dir, "members.toml")
	if err := os.WriteFile(path, []byte(`
seconds = 8
settle_s = 0.5
expect = [{ figure = "views_at_rest", most = 1 }]
[rules]
slack_ms = 2000
[schedulers]
count = 3
[members]
on = true
hollow = 3
pause_ms = 20000
[[workers]]
count = 4
hollow = true
[[categories]]
name = "a"
work_ms = 5
[arrivals]
rate = 1
`), 0o600); err != nil {
		t.Fatal(err)
	}
	out, errs, code := lab(t, dir, "run", path)
	if code != 0 {
		t.Fatalf("code %d: %s\n%s", code, out, errs)
	}
	figure := func(name string) float64 {
		row := regexp.MustCompile(`(?m)^ +` + name + ` +([0-9.e+]+) `).FindStringSubmatch(out)
		if row == nil {
			t.Fatalf("no %s: %s", name, out)
		}
		v, err := strconv.ParseFloat(row[1], 64)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	for _, name := range []string{"members_messages_ps", "members_in_Bps", "members_out_Bps"} {
		// Each member sends ten pings a second and as many acks. Randomly chosen gossip differs between
		// members.
		if real, hollow := figure(name), figure("hollow_"+name); real < 15 || math.Abs(real-hollow) > 0.2*real {
			t.Errorf("%s: a process has %g, a hollow scheduler %g", name, real, hollow)
		}
	}
}
