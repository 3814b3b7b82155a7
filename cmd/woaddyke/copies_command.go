package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"woaddyke/internal/cluster/replica"
)

// errReplicasDiffer ends verify where copies are not the same.
var errReplicasDiffer = errors.New("the copies differ")

func copiesCommand() *cobra.Command {
	var at, id, category string
	c := &cobra.Command{Use: "copies", Short: "Show what one scheduler holds of the fates of ops, or an id's fate", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			if id != "" {
				var p recordsPage
				q := url.Values{"id": {id}, "category": {category}}
				if err := getConsole(at, "/api/copies/records?"+q.Encode(), &p); err != nil {
					return err
				}
				if len(p.Rows) == 0 {
					fmt.Fprintln(out, "nothing is known of it there")
				}
				w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
				fmt.Fprintln(w, "CLAIM OF\tSTAGE\tSTATUS\tANSWER HELD\tWHERE\tCLAIM")
				for _, r := range p.Rows {
					fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%s\t%s\n", r.Scheduler, r.Stage, r.Status, r.ResultRetained, r.Group, r.Claim)
				}
				return w.Flush()
			}
			var s replica.Status
			if err := getConsole(at, "/api/copies", &s); err != nil {
				return err
			}
			fmt.Fprintf(out, "keepers %s, turn %d, epoch %s\n", strings.Join(s.Replicas, ", "), s.Epoch, s.SetID)
			if len(s.PreviousReplicas) > 0 {
				fmt.Fprintf(out, "changing: %s count as well, until the new ones know what they know (this one does: %v)\n",
					strings.Join(s.PreviousReplicas, ", "), s.Ready)
			}
			if s.Agreement != "" {
				fmt.Fprintf(out, "part in changes of keepers: %s\n", s.Agreement)
			}
			fmt.Fprintf(out, "keeper here: %v, with a vote: %v; %d records, %d bytes, digest %s\n", s.IsReplica, s.Voting, s.Records, s.Bytes, s.Digest)
			fmt.Fprintf(out, "asking for %d ops, holding %d, telling of %d; %s\n", s.PendingClaims, s.GrantedClaims, s.PendingReports, formatCounts(s.Counts))
			for _, l := range s.Peers {
				fmt.Fprintf(out, "knows %s up to %d, with a vote: %v, caught up: %v\n", l.Replica, l.Position, l.Voting, l.CaughtUp)
			}
			return nil
		}}
	c.PersistentFlags().StringVar(&at, "console", os.Getenv("RELAY_CONSOLE"), "the scheduler's second address; for verify those of all keepers, with commas")
	c.Flags().StringVar(&id, "id", "", "show the fate of the op with this id")
	c.Flags().StringVar(&category, "category", "", "of that op")
	c.AddCommand(verifyCommand(&at), changeReplicasCommand(&at))
	return c
}

// errReplicasNotChanged ends a change of keepers that did not come about.
var errReplicasNotChanged = errors.New("the keepers are not changed")

const changePollInterval = 200 * time.Millisecond // between two looks at a change

// changeReplicasCommand has other keepers agreed, and waits until the old ones may go.
func changeReplicasCommand(at *string) *cobra.Command {
	var within time.Duration
	c := &cobra.Command{Use: "keepers NAME...", Short: "Have these members keep copies from now on, by agreement of a majority of the old and the new",
		Args: cobra.MinimumNArgs(1), RunE: func(c *cobra.Command, names []string) error {
			out := c.OutOrStdout()
			until := time.Now().Add(within)
			for said := ""; ; time.Sleep(changePollInterval) {
				o, err := requestReplicas(*at, names)
				if err != nil {
					return err
				}
				if o.Text != said {
					fmt.Fprintln(out, o.Text)
					said = o.Text
				}
				if o.Done {
					break
				}
				if !o.Again || time.Now().After(until) {
					return errReplicasNotChanged
				}
			}
			for ; ; time.Sleep(changePollInterval) {
				var s replica.Status // a fresh one: what is left out of an answer would stay as it was
				if err := getConsole(*at, "/api/copies", &s); err != nil {
					return err
				}
				if len(s.PreviousReplicas) == 0 {
					fmt.Fprintf(out, "done: keepers %s, turn %d; put these into the files\n", strings.Join(s.Replicas, ", "), s.Epoch)
					return nil
				}
				if time.Now().After(until) {
					return fmt.Errorf("still changing after %v: %s count as well; see `copies` at each new keeper", within, strings.Join(s.PreviousReplicas, ", "))
				}
			}
		}}
	c.Flags().DurationVar(&within, "wait", time.Minute, "for the new keepers to take over")
	return c
}

// requestReplicas asks once for a change from the keepers that there are.
func requestReplicas(at string, names []string) (o changeResult, err error) {
	var s replica.Status
	if err := getConsole(at, "/api/copies", &s); err != nil {
		return o, err
	}
	if s.Epoch == 0 {
		return o, errors.New("changes of keepers are not founded: all keepers of the file must have been up at once, with agreed = true")
	}
	q := url.Values{"turn": {fmt.Sprint(s.Epoch)}, "keepers": {strings.Join(names, ",")}}
	return o, callConsole(http.MethodPost, at, "/api/copies/keepers?"+q.Encode(), &o)
}

// verifyCommand compares all copies and names differences: a claim that may still be used, or an end, that one keeper does not have.
func verifyCommand(at *string) *cobra.Command {
	return &cobra.Command{Use: "verify", Short: "Compare the copies of several keepers, and name differences", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			addrs := strings.Split(*at, ",")
			if len(addrs) < 2 {
				return errors.New("--console: the second addresses of two keepers at least, with commas")
			}
			all := map[string]map[string]string{} // claim, address, stage
			for _, addr := range addrs {
				after := ""
				for {
					var p recordsPage
					if err := getConsole(addr, "/api/copies/records?after="+url.QueryEscape(after), &p); err != nil {
						return err
					}
					for _, r := range p.Rows {
						k := fmt.Sprintf("%s %s of %s (%s)", r.Category, r.ID, r.Scheduler, r.Claim)
						if all[k] == nil {
							all[k] = map[string]string{}
						}
						all[k][addr] = fmt.Sprint(r.Stage, " ", r.Status)
					}
					if after = p.Next; after == "" {
						break
					}
				}
			}
			keys := make([]string, 0, len(all))
			for k := range all {
				keys = append(keys, k)
			}
			sort.Strings(keys)
			differ := 0
			for _, k := range keys {
				stages, row := map[string]bool{}, ""
				for _, addr := range addrs {
					stage := all[k][addr]
					if stage == "" {
						stage = "unknown"
					}
					stages[stage] = true
					row += fmt.Sprintf("; %s: %s", addr, stage)
				}
				if len(stages) > 1 {
					differ++
					fmt.Fprintf(c.OutOrStdout(), "%s%s\n", k, row)
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "%d claims at %d keepers, %d differ\n", len(keys), len(addrs), differ)
			if differ > 0 {
				return errReplicasDiffer
			}
			return nil
		}}
}
