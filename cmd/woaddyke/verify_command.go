package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// minVerified is the minimum number of replicas in a comparison.
const minVerified = 2

// unknownStage is the stage of a claim that a replica does not have.
const unknownStage = "unknown"

// errReplicasDiffer is the error of a comparison that found differences.
var errReplicasDiffer = errors.New("the copies differ")

// verifyCommand compares the records of replicas and prints each claim whose stage or status differs
// between them. A claim in use and an outcome that one replica does not have show as differences, too.
func verifyCommand(addrs *string) *cobra.Command {
	return &cobra.Command{
		Use:   "verify",
		Short: "Compare the copies of several keepers, and name differences",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return verifyReplicas(c.OutOrStdout(), strings.Split(*addrs, ","))
		},
	}
}

func verifyReplicas(out io.Writer, addrs []string) error {
	if len(addrs) < minVerified {
		return errors.New("--console: must be the console addresses of at least two keepers, with commas")
	}
	stages := claimStages{}
	for _, addr := range addrs {
		if err := stages.read(addr); err != nil {
			return err
		}
	}
	differences := 0
	for _, claim := range slices.Sorted(maps.Keys(stages)) {
		if row, differ := stages.compare(claim, addrs); differ {
			differences++
			fmt.Fprintf(out, "%s%s\n", claim, row)
		}
	}
	fmt.Fprintf(out, "%d claims at %d keepers, %d differ\n", len(stages), len(addrs), differences)
	if differences > 0 {
		return errReplicasDiffer
	}
	return nil
}

// claimStages maps each claim to its stage at each replica, by the console address of the replica.
type claimStages map[string]map[string]string

// read reads all records of one replica, page by page.
func (s claimStages) read(addr string) error {
	for after := ""; ; {
		var page recordsPage
		if err := getConsole(addr, "/api/copies/records?after="+url.QueryEscape(after), &page); err != nil {
			return err
		}
		for _, r := range page.Rows {
			claim := fmt.Sprintf("%s %s of %s (%s)", r.Category, r.ID, r.Scheduler, r.Claim)
			if s[claim] == nil {
				s[claim] = map[string]string{}
			}
			s[claim][addr] = fmt.Sprint(r.Stage, " ", r.Status)
		}
		after = page.Next
		if after == "" {
			return nil
		}
	}
}

// compare returns the stages of a claim at the replicas, and whether they differ.
func (s claimStages) compare(claim string, addrs []string) (row string, differ bool) {
	stages := map[string]bool{}
	for _, addr := range addrs {
		stage := s[claim][addr]
		if stage == "" {
			stage = unknownStage
		}
		stages[stage] = true
		row += fmt.Sprintf("; %s: %s", addr, stage)
	}
	return row, len(stages) > 1
}
