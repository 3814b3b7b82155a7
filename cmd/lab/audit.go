package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"woaddyke/internal/lab/audit"
	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/htmlreport"
	"woaddyke/internal/lab/ledger"
	"woaddyke/internal/lab/report"
	"woaddyke/internal/lab/requirements"
	"woaddyke/internal/lab/runner"
	"woaddyke/internal/lab/workload"
)

func auditCommand() *cobra.Command {
	return &cobra.Command{Use: "audit FILE", Short: "Judge a ledger by the rules", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			events, err := ledger.ReadFile(args[0])
			truncated := errors.Is(err, ledger.ErrTruncated)
			if err != nil && !truncated {
				return err
			}
			j, err := audit.Judge(events)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			out := c.OutOrStdout()
			if truncated || !j.Complete {
				fmt.Fprintln(out, "the ledger was cut off: what was still open at its end is not judged")
			}
			for _, b := range j.Breaches {
				fmt.Fprintln(out, "broken:", b)
			}
			fmt.Fprintf(out, "audit: ops=%d answers=%d broken=%d excused=%d unread=%d open=%d\n", j.Ops, j.Answers,
				len(j.Breaches), j.Excused, j.Unread, j.Open)
			if len(j.Breaches) > 0 {
				return errBroken
			}
			return nil
		}}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE...", Short: "Say what is wrong with experiment files", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, path := range args {
				e, err := experiment.Read(path)
				if err != nil {
					return err
				}
				if err := runner.CheckCapacity(e); err != nil {
					return err
				}
				s, err := workload.Generate(e)
				if err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %d workers, %d schedulers, %d ops in %g s, %d turns of trouble, script %s\n", path,
					len(s.Workers), e.Schedulers.Count, len(s.Requests), e.Seconds, len(s.FaultEvents), s.Hash())
				n := requirements.Of(e)
				fmt.Fprintf(c.OutOrStdout(), "  needs about %d descriptors in the lab's process and %d MB\n", n.Descriptors, n.MemoryMB)
			}
			return nil
		}}
}

func reportCommand() *cobra.Command {
	return &cobra.Command{Use: "report DIR", Short: "Write page.html anew from a run's results.json", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path := filepath.Join(args[0], "results.json")
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			var r report.Results
			if err := json.Unmarshal(text, &r); err != nil {
				return fmt.Errorf("%s: %w", path, err)
			}
			page := filepath.Join(args[0], "page.html")
			if err := htmlreport.Write(page, &r); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), page)
			return nil
		}}
}
