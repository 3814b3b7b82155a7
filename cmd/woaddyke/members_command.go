package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// membersView holds the part of the answer of /api/members that is printed.
type membersView struct {
	Self struct {
		Name        string
		Address     string
		State       string
		Incarnation uint64
		Refutations uint64 `json:"turn"`
		Isolated    bool   `json:"deaf"`
		CatchingUp  bool   `json:"asks"`
		Loss        float64
		Counts      map[string]uint64
	}
	LateMS  float64 `json:"late_ms"`
	WorstMS float64 `json:"worst_late_ms"`
	Dropped map[string]uint64
	Digest  string
	Members []memberView
}

// memberView holds the printed values of one member.
type memberView struct {
	Name        string
	Address     string
	State       string
	ReportedBy  string `json:"by"`
	Incarnation uint64
	Refutations uint64 `json:"turn"`
	Reachable   bool
	Private     bool
	ForS        float64 `json:"for_s"`
	RTTms       float64 `json:"rtt_ms"`
}

func (v *membersView) print(out io.Writer) {
	s := &v.Self
	note := ""
	if s.Isolated {
		note += ", hears nobody"
	}
	if s.CatchingUp {
		note += ", was away and asks what it missed"
	}
	fmt.Fprintf(out, "%s at %s is %s, incarnation %d, turn %d%s; view %s\n",
		s.Name, s.Address, s.State, s.Incarnation, s.Refutations, note, v.Digest)
	fmt.Fprintf(out, "late by %.0f ms last, %.0f ms at worst; %.0f%% of direct pings lost; %s; dropped: %s\n",
		v.LateMS, v.WorstMS, 100*s.Loss, formatCounts(s.Counts), formatCounts(v.Dropped))
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "MEMBER\tSTATE\tFOR\tBY\tINCARNATION\tTURN\tROUND TRIP\tFROM HERE\tADDRESS")
	for i := range v.Members {
		v.Members[i].print(table)
	}
	table.Flush()
}

func (m *memberView) print(table io.Writer) {
	from := "reachable"
	if !m.Reachable {
		from = "not reachable"
	}
	if m.Private {
		from += ", told to nobody"
	}
	fmt.Fprintf(table, "%s\t%s\t%.1f s\t%s\t%d\t%d\t%.1f ms\t%s\t%s\n",
		m.Name, m.State, m.ForS, m.ReportedBy, m.Incarnation, m.Refutations, m.RTTms, from, m.Address)
}

func membersCommand() *cobra.Command {
	var addr string
	c := &cobra.Command{
		Use:   "members",
		Short: "Show which schedulers one of them holds to be here, doubted or gone",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return printMembers(c.OutOrStdout(), addr) },
	}
	c.Flags().StringVar(&addr, "console", os.Getenv(consoleFlagEnvVar), "the scheduler's second address")
	return c
}

func printMembers(out io.Writer, addr string) error {
	var view membersView
	if err := getConsole(addr, "/api/members", &view); err != nil {
		return err
	}
	view.print(out)
	var operators operatorStatus
	if err := getConsole(addr, "/api/staff", &operators); err != nil {
		return err
	}
	if len(operators.Differ) > 0 {
		fmt.Fprintf(out, "run by other settings than this one (%s): %s\n",
			operators.Settings, strings.Join(operators.Differ, ", "))
	}
	if len(operators.Away) > 0 {
		fmt.Fprintf(out, "send their clients away: %s\n", strings.Join(operators.Away, ", "))
	}
	return nil
}
