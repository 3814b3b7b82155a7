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

// shortest is a soak's least time: a quiet stretch at the end is part of it.
const shortest = 10 * time.Second

func soakCommand() *cobra.Command {
	var seed uint64
	var seeds, out, source, bin string
	var whole time.Duration
	var processes int
	c := &cobra.Command{Use: "soak [FILE]", Short: "Play real processes under drawn troubles that overlap, and judge them", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if whole < shortest || processes < 2 || processes > 40 {
				return fmt.Errorf("--for: %v at least; --processes: from 2 to 40", shortest)
			}
			from, to := seed, seed
			if seeds != "" {
				var err error
				if from, to, err = seedsOf(seeds); err != nil {
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
				keep := out
				if keep != "" {
					keep = filepath.Join(out, fmt.Sprint(s))
				}
				held, err := soakOnce(c, args, bin, folder, keep, s, processes, whole)
				if err != nil {
					return fmt.Errorf("seed %d: %w", s, err)
				}
				broken = broken || !held
			}
			if broken {
				return errBroken
			}
			return nil
		}}
	c.Flags().Uint64Var(&seed, "seed", 1, "what is drawn, is drawn from this")
	c.Flags().StringVar(&seeds, "seeds", "", "play these seeds one after another, first and last, such as 1..10")
	c.Flags().DurationVar(&whole, "for", 45*time.Second, "of which the last part is quiet")
	c.Flags().IntVar(&processes, "processes", 12, "schedulers; takeovers start one more for a while")
	c.Flags().StringVar(&out, "out", "", "folder for ledgers and logs; without one they go with the run")
	c.Flags().StringVar(&source, "source", ".", "folder of this project's source, for a build whose wall clock can be stepped")
	c.Flags().StringVar(&bin, "bin", "", "a program that was built so, in place of a build")
	return c
}

// soakOnce plays one seed and prints its verdict.
func soakOnce(c *cobra.Command, args []string, bin, folder, keep string, seed uint64, processes int, whole time.Duration) (bool, error) {
	var base *experiment.Experiment
	if len(args) == 1 {
		var err error
		if base, err = experiment.Read(args[0]); err != nil {
			return false, err
		}
	}
	e, err := soak.Draw(base, seed, processes, whole)
	if err != nil {
		return false, err
	}
	if keep == "" {
		if keep, err = os.MkdirTemp(folder, "run-"); err != nil {
			return false, err
		}
		defer os.RemoveAll(keep)
	}
	// What keepers of another run have left there would answer this one's ids.
	if left, err := os.ReadDir(keep); err == nil && len(left) > 0 {
		return false, fmt.Errorf("--out: %s is not empty", keep)
	}
	launcher, err := os.Executable()
	if err != nil {
		return false, err
	}
	shims := soak.NewShims(bin, launcher, folder, e.Schedulers.Log, seed)
	defer shims.Close()
	ctx, cancel := context.WithTimeout(c.Context(), 4*whole+time.Minute)
	defer cancel()
	v, err := soak.Play(ctx, e, shims, keep)
	if err != nil {
		return false, err
	}
	if err := v.Tell(c.OutOrStdout(), keep); err != nil {
		return false, err
	}
	if v.Void != "" {
		fmt.Fprintln(c.OutOrStdout(), "void:", v.Void)
	}
	fmt.Fprintf(c.OutOrStdout(), "seed %d: %d system calls failed, %d requests were pipelined; the troubles were %v\n", seed, v.Calls, v.Behind, soak.Names(e))
	fmt.Fprintln(c.OutOrStdout(), v.Line())
	return v.Held() && v.Void == "", nil
}
