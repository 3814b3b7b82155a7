package main

import (
	"errors"
	"fmt"
	"html/template"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/htmlreport"
	"woaddyke/internal/lab/report"
	"woaddyke/internal/lab/runner"
)

// seedRun holds the result of the run with a seed.
type seedRun struct {
	Seed    uint64
	Seconds float64
	Line    string
	Faults  []string
	Why     string // first breach or unmet expectations; empty if nothing broke
}

var campaignPage = template.Must(template.New("campaign").Parse(`<!doctype html><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 8px;text-align:left;vertical-align:top;border-bottom:1px solid #ddd}.bad{color:#b00}</style>
<h1>Campaign {{.Name}}</h1><p>{{len .Runs}} seeds played{{if .Broken}}, <b class="bad">stopped by seed {{.Broken}}</b>{{else}}, nothing broke{{end}}.</p>
<table><tr><th>seed<th>s<th>troubles<th>result</tr>
{{range .Runs}}<tr><td>{{.Seed}}<td>{{printf "%.0f" .Seconds}}<td>{{range .Faults}}{{.}}<br>{{end}}<td{{if .Why}} class="bad"{{end}}>{{.Line}}{{if .Why}}<br>{{.Why}}{{end}}</tr>
{{end}}</table>
`))

// parseSeeds parses a single seed or a range such as 1..200.
func parseSeeds(text string) (from, to uint64, err error) {
	a, b, ok := strings.Cut(text, "..")
	from, err = strconv.ParseUint(a, 10, 64)
	if err == nil && ok {
		to, err = strconv.ParseUint(b, 10, 64)
	} else {
		to = from
	}
	if err != nil || to < from {
		return 0, 0, fmt.Errorf("--seeds: %q is no span such as 1..200", text)
	}
	return from, to, nil
}

// drawFaults adds faults of processes and of the links between them, drawn from a seed. They follow one
// another or overlap. Most end before the last quarter of the run.
func drawFaults(e *experiment.Experiment, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 0x63616d706169676e))
	n := e.Schedulers.Count
	busyUntil := make([]float64, n)
	for at := 1.5; at < 0.65*e.Seconds; at += 0.3 + 2*r.Float64() {
		f := experiment.Fault{StartS: at, DurationS: 0.2 + (0.75*e.Seconds-at)*r.Float64()*r.Float64(), Direction: "both"}
		i := r.IntN(n)
		f.Indices = []int{i}
		kinds := []string{"scheduler-kill", "scheduler-stop", "scheduler-term", "scheduler-starve", "scheduler-takeover", "mesh-cut", "mesh-cut",
			"mesh-flap", "mesh-loss", "mesh-delay", "part"}
		if e.Replication.ConsensusMembership {
			kinds = append(kinds, "keepers-change", "keepers-change", "keepers-change")
		}
		kind := kinds[r.IntN(len(kinds))]
		ofProcess := strings.HasPrefix(kind, "scheduler-")
		if ofProcess && busyUntil[i] > at {
			continue
		}
		switch f.Kind = kind; kind {
		case "scheduler-takeover":
			f.DurationS = 6
		case "scheduler-term":
			f.DurationS += 3
		case "scheduler-starve":
			f.Magnitude = 0.4 + 0.5*r.Float64()
		case "mesh-cut", "mesh-flap":
			f.Direction, f.ResetStreams = []string{"both", "out", "in"}[r.IntN(3)], r.IntN(4) == 0
			if f.EveryS = 0.7; r.IntN(2) == 0 {
				f.To = []int{(i + 1 + r.IntN(n-1)) % n}
			}
		case "mesh-loss":
			f.Magnitude = 0.25 * r.Float64()
		case "mesh-delay":
			f.Magnitude = 40 * r.Float64()
		case "keepers-change":
			f.DurationS += 3
			f.Indices = r.Perm(n)[:[]int{1, 3, 3, 5}[r.IntN(4)]]
		case "part":
			f.Kind, f.Indices = "mesh-cut", nil
			for k := range n {
				if r.IntN(2) == 0 {
					f.Indices = append(f.Indices, k)
				}
			}
			if len(f.Indices) == 0 || len(f.Indices) == n {
				continue
			}
		}
		if ofProcess {
			busyUntil[i] = at + f.DurationS + 2.5
		}
		e.Faults = append(e.Faults, f)
	}
}

func campaignCommand() *cobra.Command {
	var b schedulerSpec
	var out, span string
	var minutes float64
	c := &cobra.Command{Use: "campaign FILE", Short: "Play an experiment with drawn troubles over many seeds, until one breaks a rule",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			from, to, err := parseSeeds(span)
			if err != nil {
				return err
			}
			if err := os.MkdirAll(out, 0o755); err != nil {
				return err
			}
			var runs []seedRun
			broken := uint64(0)
			limit := time.Now().Add(time.Duration(minutes * float64(time.Minute)))
			progress, end := progressWriter(os.Stderr)
			for seed := from; seed <= to && time.Now().Before(limit) && c.Context().Err() == nil && broken == 0; seed++ {
				e, err := experiment.Read(args[0])
				if err != nil {
					return err
				}
				e.Seed, e.Name = seed, fmt.Sprintf("%s, seed %d", e.Name, seed)
				e.Faults = nil
				drawFaults(e, seed)
				m, err := b.maker(e)
				if err != nil {
					return err
				}
				dir := filepath.Join(out, strconv.FormatUint(seed, 10))
				began := time.Now()
				r, err := runner.Run(c.Context(), e, runner.Options{OutputDir: dir, Launch: m, Progress: progress})
				p := seedRun{Seed: seed, Seconds: time.Since(began).Seconds()}
				for _, f := range e.Faults {
					p.Faults = append(p.Faults, fmt.Sprintf("%.1f s: %s on %v for %.1f s", f.StartS, f.Kind, f.Indices, f.DurationS))
				}
				if err != nil {
					return fmt.Errorf("seed %d: %w", seed, err)
				}
				p.Line = r.SummaryLine()
				if why := failureReason(r); why != "" {
					p.Why, broken = why, seed
					err = htmlreport.Write(filepath.Join(dir, "page.html"), r)
				} else {
					err = os.RemoveAll(dir) // the files of a run without breaches are not needed
				}
				if err != nil {
					return err
				}
				runs = append(runs, p)
				fmt.Fprintf(c.OutOrStdout(), "seed %d: %s%s\n", seed, p.Line, map[bool]string{true: "\n  " + p.Why}[p.Why != ""])
				if err := writeCampaign(filepath.Join(out, "campaign.html"), filepath.Base(args[0]), runs, broken); err != nil {
					return err
				}
			}
			end()
			if broken != 0 {
				fmt.Fprintf(c.OutOrStdout(), "broken by seed %d: lab campaign %s --seeds %d repeats it; see %s\n", broken, args[0], broken,
					filepath.Join(out, strconv.FormatUint(broken, 10)))
				return errBroken
			}
			fmt.Fprintf(c.OutOrStdout(), "%d seeds, nothing broke\n", len(runs))
			return nil
		}}
	b.flags(c)
	c.Flags().StringVar(&span, "seeds", "1..20", "seeds that are played, first and last")
	c.Flags().Float64Var(&minutes, "minutes", 60, "begin no further seed after so long")
	c.Flags().StringVar(&out, "out", "campaign", "folder for the page, and for all that a breach left")
	return c
}

// failureReason returns why a run ends the campaign, or an empty text if the campaign continues.
func failureReason(r *report.Results) string {
	switch {
	case r.Void != "":
		return "" // a void run is no evidence
	case len(r.Audit.Breaches) > 0:
		return fmt.Sprint(r.Audit.Breaches[0])
	case len(r.Unmet) > 0:
		return strings.Join(r.Unmet[:min(len(r.Unmet), 3)], "; ")
	}
	return ""
}

func writeCampaign(path, name string, runs []seedRun, broken uint64) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return campaignPage.Execute(f, map[string]any{"Name": name, "Runs": runs, "Broken": broken})
}
