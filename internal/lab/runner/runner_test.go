package runner

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"woaddyke/internal/lab/audit"
	"woaddyke/internal/lab/baseline"
	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/ledger"
	"woaddyke/internal/lab/report"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"), goleak.IgnoreTopFunction("internal/poll.runtime_pollWait"))
}

const baseExperiment = `
seconds = 2.5
settle_s = 0.2
[rules]
slack_ms = 250
drain_grace_ms = 300
[discovery]
late_ms = [10, 50]
[arrivals]
rate = 80
[clients]
retries = 1
[[workers]]
count = 5
[[categories]]
name = "a"
work_ms = 20
ttl_ms = 1500
[[categories]]
name = "b"
effect = "at-most-once"
work_ms = 20
ttl_ms = 1500
`

func runExperiment(t *testing.T, text, policy string, defects baseline.Violations, outputDir string) *report.Results {
	t.Helper()
	e, err := experiment.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	m, err := baseline.Maker(policy, defects)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := Run(ctx, e, Options{Launch: m, OutputDir: outputDir})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func brokenRules(r *report.Results) (rules []audit.Rule) {
	for _, b := range r.Audit.Breaches {
		if !slices.Contains(rules, b.Rule) {
			rules = append(rules, b.Rule)
		}
	}
	return rules
}

// On real sockets the audit must find the rule that each faulty scheduler breaks, and no breach of a correct
// scheduler.
func TestTheAuditFindsEachFaultyScheduler(t *testing.T) {
	const drains = "[[faults]]\nkind = \"shrink\"\nat_s = 0.3\nfor_s = 0.2\npart = 0.6\n"
	const fails = "[[faults]]\nkind = \"fails\"\nat_s = 0.1\nfor_s = 2.4\nsize = 0.5\n"
	// Three of five workers restart cold with little capacity. A fifth of the ops overloads each of them.
	const coldRestarts = "[[faults]]\nkind = \"kill\"\nat_s = 0.2\nfor_s = 0.2\nindices = [0, 1, 2]\n"
	const lowLimits = "overload_factor = 1\ntip_after_ms = 300\ncold_from = 0.01\nwarm_after_ms = 5000\n"
	for name, c := range map[string]struct {
		faults  string
		defects baseline.Violations
		want    audit.Rule
	}{
		"correct, cold workers":              {coldRestarts, baseline.Violations{}, ""},
		"ignores the limits of cold workers": {coldRestarts, baseline.Violations{Cold: true}, audit.ColdOverload},
		"right":                              {drains + fails, baseline.Violations{}, ""},
		"sends two responses":                {"", baseline.Violations{Answers: 2}, audit.LostOp},
		"pushes duplicates":                  {"[[faults]]\nkind = \"slow\"\nat_s = 0\nfor_s = 2.5\nsize = 40\n", baseline.Violations{Copies: 2}, audit.DuplicateEffect},
		"ignores drains":                     {drains, baseline.Violations{Drains: true}, audit.PushAfterDrain},
		"retries ops that may have run":      {fails, baseline.Violations{Retries: true}, audit.DuplicateEffect},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := baseExperiment + c.faults
			if c.faults == coldRestarts {
				text = strings.Replace(strings.Replace(text, "[rules]\n", "[rules]\n"+lowLimits, 1), "rate = 80", "rate = 400", 1)
			}
			r := runExperiment(t, text, "turns", c.defects, "")
			if rules := brokenRules(r); c.want == "" && len(rules) > 0 || c.want != "" && !slices.Contains(rules, c.want) {
				t.Errorf("%v, want %q: %v", rules, c.want, r.Audit.Breaches[:min(3, len(r.Audit.Breaches))])
			}
			if r.Audit.Ops < 100 {
				t.Errorf("%d ops, want at least 100", r.Audit.Ops)
			}
		})
	}
}

// Faults of many kinds must begin and end, and the ledger read from its file must give the same audit.
// TestMain finds goroutines that are left over.
func TestARunWithRandomFaultsCompletes(t *testing.T) {
	dir := t.TempDir()
	const linksAndChaos = `
[[links]]
between = "workers"
delay_ms = 1
jitter_ms = 1
reset_before = 0.01
reset_after = 0.01
stall = 0.02
stall_ms = 30
[[links]]
between = "clients"
delay_ms = 1
[chaos]
kinds = ["slow", "hang", "pauses", "taken", "mute", "fails", "unfit", "lies", "stale", "refuses", "kill", "drain", "vanish", "replace", "cut", "discovery-silent", "discovery-broken", "scheduler-kill", "scheduler-stale", "scheduler-term"]
every_s = 0.15
for_s = [0.1, 0.6]
`
	for _, policy := range []string{"fewest", "probes"} {
		r := runExperiment(t, "seed = 11\n"+baseExperiment+linksAndChaos, policy, baseline.Violations{}, filepath.Join(dir, policy))
		if len(r.Faults) < 10 || r.Audit.Ops < 50 || !r.Audit.Complete {
			t.Errorf("%s: %d faults, want at least 10; audit %+v", policy, len(r.Faults), r.Audit)
		}
		// A simple scheduler may lose ops under these faults, but it must not forge outcomes or push to
		// draining workers.
		if rules := brokenRules(r); slices.Contains(rules, audit.Fabricated) || slices.Contains(rules, audit.PushAfterDrain) {
			t.Errorf("%s: %v", policy, r.Audit.Breaches)
		}
		events, err := ledger.ReadFile(filepath.Join(dir, policy, "ledger.jsonl"))
		if err != nil {
			t.Fatal(err)
		}
		if j, err := audit.Judge(events); err != nil || j.Ops != r.Audit.Ops || len(j.Breaches) != len(r.Audit.Breaches) {
			t.Errorf("the audit of the ledger file differs: %+v, %v", j, err)
		}
	}
}

// An interrupted run must stop everything that it started and write a complete ledger and the results.
func TestAnInterruptedRunWritesItsLedger(t *testing.T) {
	dir := t.TempDir()
	e, err := experiment.Parse([]byte("seconds = 600\n" + baseExperiment[len("\nseconds = 2.5"):]))
	if err != nil {
		t.Fatal(err)
	}
	m, err := baseline.Maker("random", baseline.Violations{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r, err := Run(ctx, e, Options{Launch: m, OutputDir: dir, Progress: func(p Progress) {
		if p.Events > 200 {
			stop()
		}
	}})
	if err != nil || !r.Interrupted || len(r.Audit.Breaches) > 0 {
		t.Errorf("%+v, %v", r, err)
	}
	events, err := ledger.ReadFile(filepath.Join(dir, "ledger.jsonl"))
	if err != nil || events[len(events)-1].Kind != ledger.Finished {
		t.Errorf("%d events, %v", len(events), err)
	}
	if _, err := os.Stat(filepath.Join(dir, "results.json")); err != nil {
		t.Error(err)
	}
}
