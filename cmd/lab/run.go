package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"woaddyke/internal/lab/baseline"
	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/htmlreport"
	"woaddyke/internal/lab/report"
	"woaddyke/internal/lab/runner"
	"woaddyke/internal/lab/schedulers"
)

// schedulerSpec names the scheduler that an experiment runs: the path of its program or baseline:NAME, and
// the operator's file that it is started with.
type schedulerSpec struct {
	path, operator string
}

func (b *schedulerSpec) flags(c *cobra.Command) {
	c.Flags().StringVar(&b.path, "bin", "", "the scheduler's program (default: woaddyke beside this one), or baseline:"+
		strings.Join(baseline.Policies, ", baseline:"))
	c.Flags().StringVar(&b.operator, "operator", "", "the operator's own file, handed to the scheduler")
}

// siblingPath returns the path of a program in the folder of this program.
func siblingPath(name string) string {
	own, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(own), name)
}

// maker returns a maker of the schedulers that the spec names.
func (b *schedulerSpec) maker(e *experiment.Experiment) (schedulers.Launcher, error) {
	path := b.path
	if policy, ok := strings.CutPrefix(path, "baseline:"); ok {
		return baseline.Maker(policy, baseline.Violations{})
	}
	if path == "" {
		path = siblingPath("woaddyke")
	}
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("the scheduler's program: %w", err)
	}
	args := append([]string{"--log", e.Schedulers.Log}, e.Schedulers.Args...)
	if b.operator != "" {
		args = append(args, "--operator", b.operator)
	}
	return schedulers.ProgramLauncher(path, args...), nil
}

// progressWriter returns a function that writes a run's progress to out, and a function that ends the output.
// On a terminal it updates a single line. Elsewhere it writes JSON lines.
func progressWriter(out *os.File) (write func(runner.Progress), end func()) {
	if isatty.IsTerminal(out.Fd()) {
		return func(p runner.Progress) {
			fmt.Fprintf(out, "\r%5.1f of %.0f s, %d ops open, %d events, %-40.40s", p.Second, p.Of, p.Open, p.Events, p.Last)
		}, func() { fmt.Fprintln(out) }
	}
	encoder, last := json.NewEncoder(out), time.Time{}
	return func(p runner.Progress) {
		if time.Since(last) >= 2*time.Second {
			last = time.Now()
			encoder.Encode(map[string]any{"second": float64(int(p.Second*10)) / 10, "of": p.Of, "open": p.Open, "events": p.Events, "last": p.Last})
		}
	}, func() {}
}

func runCommand() *cobra.Command {
	var b schedulerSpec
	var out string
	var seed uint64
	var sizes []float64
	c := &cobra.Command{Use: "run FILE", Short: "Play an experiment and judge it", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			if c.Flags().Changed("seed") {
				e.Seed = seed
			}
			if len(sizes) > 0 {
				e.Sizes = sizes
			}
			m, err := b.maker(e)
			if err != nil {
				return err
			}
			if len(e.Sizes) > 0 {
				return runSizes(c, e, m, out)
			}
			r, err := runOne(c, e, m, out)
			if err != nil {
				return err
			}
			printResults(c.OutOrStdout(), r)
			return printVerdict(c.OutOrStdout(), r)
		}}
	b.flags(c)
	c.Flags().StringVar(&out, "out", "", "folder for the ledger, results.json, page.html and the schedulers' logs")
	c.Flags().Uint64Var(&seed, "seed", 0, "play with this seed in place of the file's")
	c.Flags().Float64SliceVar(&sizes, "sizes", nil, "play these shares of the workers and arrivals one after another, in place of the file's sizes")
	return c
}

// runOne runs an experiment.
func runOne(c *cobra.Command, e *experiment.Experiment, m schedulers.Launcher, out string) (*report.Results, error) {
	progress, end := progressWriter(os.Stderr)
	r, err := runner.Run(c.Context(), e, runner.Options{OutputDir: out, Launch: m, Progress: progress, HollowProgram: siblingPath("hollow")})
	end()
	if err == nil && out != "" {
		err = htmlreport.Write(filepath.Join(out, "page.html"), r)
	}
	return r, err
}

// runSizes runs an experiment at each of its sizes. Before the first run it checks that the machine has the
// resources for all of them.
func runSizes(c *cobra.Command, base *experiment.Experiment, m schedulers.Launcher, out string) error {
	var all []*experiment.Experiment
	for _, share := range base.Sizes {
		e, err := base.Scaled(share)
		if err == nil {
			err = runner.CheckCapacity(e)
		}
		if err != nil {
			return err
		}
		all = append(all, e)
	}
	var results []report.SizeResult
	for _, e := range all {
		folder := ""
		if out != "" {
			folder = filepath.Join(out, e.Name)
		}
		r, err := runOne(c, e, m, folder)
		if err != nil {
			return err
		}
		printResults(c.OutOrStdout(), r)
		fmt.Fprintf(c.OutOrStdout(), "%s: %d workers: %s\n", e.Name, e.WorkerCount(), r.SummaryLine())
		if r.Void != "" {
			fmt.Fprintf(c.OutOrStdout(), "%s: void: %s\n", e.Name, r.Void)
		}
		results = append(results, report.SizeResult{Workers: e.WorkerCount(), Results: r})
		if r.Interrupted {
			break
		}
	}
	report.PrintSizes(c.OutOrStdout(), results)
	return printVerdict(c.OutOrStdout(), report.CombineSizes(results))
}

// maxBreaches is the maximum number of breaches that are printed. An audit of the ledger lists all of them.
const maxBreaches = 20

// printResults prints a run's categories, the resources that its schedulers used, and its breaches.
func printResults(out io.Writer, r *report.Results) {
	fmt.Fprintf(out, "%s, seed %d, script %s\n", r.Name, r.Seed, r.Script)
	if r.Interrupted {
		fmt.Fprintln(out, "stopped before its time")
	}
	for _, c := range r.Categories {
		fmt.Fprintf(out, "  %-20s %v service %.3f, p50 %.1f, p99 %.1f, p99.9 %.1f ms\n", c.Name, c.Counts, c.Service,
			c.Latency["p50"], c.Latency["p99"], c.Latency["p99.9"])
	}
	r.PrintUsage(out)
	for i, b := range r.Audit.Breaches {
		if i == maxBreaches {
			fmt.Fprintf(out, "  and %d more\n", len(r.Audit.Breaches)-maxBreaches)
			break
		}
		fmt.Fprintln(out, "  broken:", b)
	}
	for _, u := range r.Unmet {
		fmt.Fprintln(out, "  unmet:", u)
	}
}

// printVerdict prints the summary line. It returns an error for a void run, and errBroken if the run did not
// pass.
func printVerdict(out io.Writer, r *report.Results) error {
	fmt.Fprintln(out, r.SummaryLine())
	switch {
	case r.Void != "":
		return fmt.Errorf("void: %s", r.Void)
	case !r.Held():
		return errBroken
	}
	return nil
}
