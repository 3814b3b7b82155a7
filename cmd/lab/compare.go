package main

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"woaddyke/internal/lab/comparison"
	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/runner"
)

func compareCommand() *cobra.Command {
	var a, b schedulerSpec
	var rounds int
	var names []string
	c := &cobra.Command{Use: "compare A B FILE", Short: "Play two builds on the same seeds in alternation, and state the difference",
		Long: "A and B are programs of the scheduler, each with its operator's file after a comma if it has one: PROGRAM[,FILE]. baseline:NAME in place of a program is a textbook policy.",
		Args: cobra.ExactArgs(3),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := experiment.Read(args[2])
			if err != nil {
				return err
			}
			a, b = parseSchedulerSpec(args[0]), parseSchedulerSpec(args[1])
			pairs := comparison.New(names)
			out := c.OutOrStdout()
			broken := false
			for k := range rounds {
				specs := []*schedulerSpec{&a, &b}
				figures := make([]map[string]float64, 2)
				first := k % 2 // the order alternates so that other load on the machine affects both builds
				for _, i := range []int{first, 1 - first} {
					round := *e
					round.Seed = e.Seed + uint64(k)
					m, err := specs[i].maker(&round)
					if err != nil {
						return err
					}
					r, err := runner.Run(c.Context(), &round, runner.Options{Launch: m, SkipResults: true, HollowProgram: siblingPath("hollow")})
					if err != nil {
						return err
					}
					if c.Context().Err() != nil {
						return c.Context().Err()
					}
					if r.Void != "" {
						return fmt.Errorf("void: %s", r.Void)
					}
					broken = broken || len(r.Audit.Breaches) > 0
					figures[i] = r.Figures
					fmt.Fprintf(os.Stderr, "seed %d, %s: %s\n", round.Seed, "AB"[i:i+1], r.SummaryLine())
				}
				pairs.Add(figures[0], figures[1])
			}
			for _, row := range pairs.Rows() {
				fmt.Fprintln(out, row)
			}
			if broken {
				fmt.Fprintln(out, "a rule was broken in at least one run")
				return errBroken
			}
			return nil
		}}
	c.Flags().IntVar(&rounds, "rounds", 5, "pairs of runs, each on a seed of its own")
	c.Flags().StringSliceVar(&names, "figures", slices.Clone(comparison.DefaultFigures), "figures that are compared")
	return c
}

func parseSchedulerSpec(text string) schedulerSpec {
	path, operator, _ := strings.Cut(text, ",")
	return schedulerSpec{path, operator}
}
