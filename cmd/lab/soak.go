package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/soak"
	"woaddyke/internal/lab/steppedclock"
)

// minDuration is the least duration of a soak. It includes the quiet period at the end.
const minDuration = 10 * time.Second

func soakCommand() *cobra.Command {
	var seed uint64
	var seeds, out, source, bin string
	var duration time.Duration
	var processes int
	c := &cobra.Command{Use: "soak [FILE]", Short: "Play real processes under drawn troubles that overlap, and judge them", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if duration < minDuration || processes < 2 || processes > 40 {
				return fmt.Errorf("--for %v: at least %v is needed; --processes %d: from 2 to 40 are allowed", duration, minDuration, processes)
			}
			from, to := seed, seed
			if seeds != "" {
				var err error
				if from, to, err = parseSeeds(seeds); err != nil {
					return err
				}
			}
			folder, err := os.MkdirTemp("", "soak-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(folder)
			if bin != "" {
				if _, err := os.Stat(bin); err != nil {
					return fmt.Errorf("--bin: %w", err)
				}
			} else {
				if bin, err = steppedclock.Build(c.Context(), source, "woaddyke/cmd/woaddyke", folder); err != nil {
					return err
				}
			}
			broken := false
			for s := from; s <= to && c.Context().Err() == nil; s++ {
				runFolder := out
				if runFolder != "" {
					runFolder = filepath.Join(out, fmt.Sprint(s))
				}
				passed, err := soakOnce(c, args, bin, folder, runFolder, s, processes, duration)
				if err != nil {
					return fmt.Errorf("seed %d: %w", s, err)
				}
				broken = broken || !passed
			}
			if broken {
				return errBroken
			}
			return nil
		}}
	c.Flags().Uint64Var(&seed, "seed", 1, "what is drawn, is drawn from this")
	c.Flags().StringVar(&seeds, "seeds", "", "play these seeds one after another, first and last, such as 1..10")
	c.Flags().DurationVar(&duration, "for", 45*time.Second, "of which the last part is quiet")
	c.Flags().IntVar(&processes, "processes", 12, "schedulers; takeovers start one more for a while")
	c.Flags().StringVar(&out, "out", "", "folder for ledgers and logs; without one they go with the run")
	c.Flags().StringVar(&source, "source", ".", "folder of this project's source, for a build whose wall clock can be stepped")
	c.Flags().StringVar(&bin, "bin", "", "a program that was built so, in place of a build")
	return c
}

// soakOnce runs the soak of a seed and prints its verdict.
func soakOnce(c *cobra.Command, args []string, bin, folder, runFolder string, seed uint64, processes int, duration time.Duration) (bool, error) {
	var base *experiment.Experiment
	if len(args) == 1 {
		var err error
		if base, err = experiment.Read(args[0]); err != nil {
			return false, err
		}
	}
	e, err := soak.Draw(base, seed, processes, duration)
	if err != nil {
		return false, err
	}
	if runFolder == "" {
		if runFolder, err = os.MkdirTemp(folder, "run-"); err != nil {
			return false, err
		}
		defer os.RemoveAll(runFolder)
	}
	// The folder must be empty. Otherwise the schedulers would load the replicas' files of an earlier run and
	// answer ops of this run that have the same IDs from the stored outcomes.
	if entries, err := os.ReadDir(runFolder); err == nil && len(entries) > 0 {
		return false, fmt.Errorf("--out: %s is not empty", runFolder)
	}
	launcher, err := os.Executable()
	if err != nil {
		return false, err
	}
	shims := soak.NewShims(bin, launcher, folder, e.Schedulers.Log, seed)
	defer shims.Close()
	ctx, cancel := context.WithTimeout(c.Context(), 4*duration+time.Minute)
	defer cancel()
	v, err := soak.Run(ctx, e, shims, runFolder)
	if err != nil {
		return false, err
	}
	if err := v.PrintFindings(c.OutOrStdout(), runFolder); err != nil {
		return false, err
	}
	if v.Void != "" {
		fmt.Fprintln(c.OutOrStdout(), "void:", v.Void)
	}
	fmt.Fprintf(c.OutOrStdout(), "seed %d: %d system calls failed, %d requests were pipelined; the troubles were %v\n", seed, v.FailedCalls, v.Pipelined, soak.FaultKinds(e))
	fmt.Fprintln(c.OutOrStdout(), v.SummaryLine())
	return v.Passed() && v.Void == "", nil
}
