package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

const consoleTimeout = 3 * time.Second // for a scheduler to answer its staff

// getConsole reads a call of a scheduler's second address.
func getConsole(addr, path string, into any) error {
	return callConsole(http.MethodGet, addr, path, into)
}

// callConsole makes a call on a second address.
func callConsole(method, addr, path string, into any) error {
	client := http.Client{Timeout: consoleTimeout}
	r, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return fmt.Errorf("%s: that is not switched on there", addr)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", addr, resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, 16<<20)).Decode(into)
}

// membersView is what the second address shows of members, as far as it is printed.
type membersView struct {
	Self struct {
		Name, Address, State string
		Incarnation, Turn    uint64
		Deaf, Asks           bool
		Loss                 float64
		Counts               map[string]uint64
	}
	LateMS  float64 `json:"late_ms"`
	WorstMS float64 `json:"worst_late_ms"`
	Dropped map[string]uint64
	Digest  string
	Members []struct {
		Name, Address, State, By string
		Incarnation, Turn        uint64
		Reachable, Private       bool
		ForS                     float64 `json:"for_s"`
		RTTms                    float64 `json:"rtt_ms"`
	}
}

func formatCounts(m map[string]uint64) string {
	var all []string
	for k, v := range m {
		all = append(all, fmt.Sprintf("%s %d", k, v))
	}
	sort.Strings(all)
	return strings.Join(all, ", ")
}

func (v *membersView) print(out io.Writer) {
	s := &v.Self
	note := ""
	if s.Deaf {
		note += ", hears nobody"
	}
	if s.Asks {
		note += ", was away and asks what it missed"
	}
	fmt.Fprintf(out, "%s at %s is %s, incarnation %d, turn %d%s; view %s\n", s.Name, s.Address, s.State, s.Incarnation, s.Turn, note, v.Digest)
	fmt.Fprintf(out, "late by %.0f ms last, %.0f ms at worst; %.0f%% of direct pings lost; %s; dropped: %s\n", v.LateMS, v.WorstMS, 100*s.Loss,
		formatCounts(s.Counts), formatCounts(v.Dropped))
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tSTATE\tFOR\tBY\tINCARNATION\tTURN\tROUND TRIP\tFROM HERE\tADDRESS")
	for _, m := range v.Members {
		from := "reachable"
		if !m.Reachable {
			from = "not reachable"
		}
		if m.Private {
			from += ", told to nobody"
		}
		fmt.Fprintf(w, "%s\t%s\t%.1f s\t%s\t%d\t%d\t%.1f ms\t%s\t%s\n", m.Name, m.State, m.ForS, m.By, m.Incarnation, m.Turn, m.RTTms, from, m.Address)
	}
	w.Flush()
}

func membersCommand() *cobra.Command {
	var at string
	c := &cobra.Command{Use: "members", Short: "Show which schedulers one of them holds to be here, doubted or gone", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var v membersView
			if err := getConsole(at, "/api/members", &v); err != nil {
				return err
			}
			v.print(c.OutOrStdout())
			var s operatorStatus
			if err := getConsole(at, "/api/staff", &s); err != nil {
				return err
			}
			if len(s.Differ) > 0 {
				fmt.Fprintf(c.OutOrStdout(), "run by other settings than this one (%s): %s\n", s.Settings, strings.Join(s.Differ, ", "))
			}
			if len(s.Away) > 0 {
				fmt.Fprintf(c.OutOrStdout(), "send their clients away: %s\n", strings.Join(s.Away, ", "))
			}
			return nil
		}}
	c.Flags().StringVar(&at, "console", os.Getenv("RELAY_CONSOLE"), "the scheduler's second address")
	return c
}
