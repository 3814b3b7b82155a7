package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"woaddyke/internal/cluster/replica"
)

// changePollInterval is the time between two requests of the same change of the replica set. It is also the
// time between two polls of the handover to the new replicas.
const changePollInterval = 200 * time.Millisecond

// errReplicasNotChanged is the error of a change of the replica set that was refused, or not agreed in
// time. awaitAgreement has already printed the reason. Operators know the replicas as keepers.
var errReplicasNotChanged = errors.New("the keepers are not changed")

func copiesCommand() *cobra.Command {
	var addr, id, category string
	c := &cobra.Command{
		Use:   "copies",
		Short: "Show what one scheduler holds of the fates of ops, or an id's fate",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if id != "" {
				return printRecords(c.OutOrStdout(), addr, category, id)
			}
			return printReplica(c.OutOrStdout(), addr)
		},
	}
	c.PersistentFlags().StringVar(&addr, "console", os.Getenv(consoleFlagEnvVar),
		"the scheduler's second address; for verify those of all keepers, with commas")
	c.Flags().StringVar(&id, "id", "", "show the fate of the op with this id")
	c.Flags().StringVar(&category, "category", "", "of that op")
	c.AddCommand(verifyCommand(&addr), changeReplicasCommand(&addr))
	return c
}

// printRecords prints the records of one ID.
func printRecords(out io.Writer, addr, category, id string) error {
	var page recordsPage
	query := url.Values{"id": {id}, "category": {category}}
	if err := getConsole(addr, "/api/copies/records?"+query.Encode(), &page); err != nil {
		return err
	}
	if len(page.Rows) == 0 {
		fmt.Fprintln(out, "nothing is known of it there")
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "CLAIM OF\tSTAGE\tSTATUS\tANSWER HELD\tWHERE\tCLAIM")
	for _, r := range page.Rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%v\t%s\t%s\n",
			r.Scheduler, r.Stage, r.Status, r.ResultRetained, r.Group, r.Claim)
	}
	return table.Flush()
}

// printReplica prints the state of one scheduler's replica.
func printReplica(out io.Writer, addr string) error {
	var s replica.Status
	if err := getConsole(addr, "/api/copies", &s); err != nil {
		return err
	}
	fmt.Fprintf(out, "keepers %s, turn %d, epoch %s\n", strings.Join(s.Replicas, ", "), s.Epoch, s.SetID)
	if len(s.PreviousReplicas) > 0 {
		fmt.Fprintf(out, "changing: %s count as well, "+
			"until the new ones know what they know (this one does: %v)\n",
			strings.Join(s.PreviousReplicas, ", "), s.Ready)
	}
	if s.Agreement != "" {
		fmt.Fprintf(out, "part in changes of keepers: %s\n", s.Agreement)
	}
	fmt.Fprintf(out, "keeper here: %v, with a vote: %v; %d records, %d bytes, digest %s\n",
		s.IsReplica, s.Voting, s.Records, s.Bytes, s.Digest)
	fmt.Fprintf(out, "asking for %d ops, holding %d, telling of %d; %s\n",
		s.PendingClaims, s.GrantedClaims, s.PendingReports, formatCounts(s.Counts))
	for _, peer := range s.Peers {
		fmt.Fprintf(out, "knows %s up to %d, with a vote: %v, caught up: %v\n",
			peer.Replica, peer.Position, peer.Voting, peer.CaughtUp)
	}
	return nil
}

// changeReplicasCommand requests another replica set, and waits until the former replicas are not needed
// any more.
func changeReplicasCommand(addr *string) *cobra.Command {
	var timeout time.Duration
	c := &cobra.Command{
		Use: "keepers NAME...",
		Short: "Have these members keep copies from now on, " +
			"by agreement of a majority of the old and the new",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, names []string) error {
			change := replicaChange{out: c.OutOrStdout(), addr: *addr, names: names, timeout: timeout}
			change.deadline = time.Now().Add(timeout)
			if err := change.awaitAgreement(); err != nil {
				return err
			}
			return change.awaitHandover()
		},
	}
	c.Flags().DurationVar(&timeout, "wait", time.Minute, "for the new keepers to take over")
	return c
}

// replicaChange is a requested change of the replica set.
type replicaChange struct {
	out      io.Writer
	addr     string   // of the console
	names    []string // the members of the new replica set
	timeout  time.Duration
	deadline time.Time
}

// awaitAgreement repeats the request until the change is agreed or finally refused.
func (c *replicaChange) awaitAgreement() error {
	for printed := ""; ; time.Sleep(changePollInterval) {
		result, err := c.request()
		if err != nil {
			return err
		}
		if result.Text != printed {
			fmt.Fprintln(c.out, result.Text)
			printed = result.Text
		}
		if result.Done {
			return nil
		}
		if !result.Again || time.Now().After(c.deadline) {
			return errReplicasNotChanged
		}
	}
}

// request requests the change once. It names the epoch of the present replica set.
func (c *replicaChange) request() (result changeResult, err error) {
	var s replica.Status
	if err := getConsole(c.addr, "/api/copies", &s); err != nil {
		return result, err
	}
	if s.Epoch == 0 {
		return result, errors.New("keepers can't be changed yet: " +
			"all keepers of the features file must first be up at the same time, with agreed = true")
	}
	query := url.Values{"turn": {fmt.Sprint(s.Epoch)}, "keepers": {strings.Join(c.names, ",")}}
	err = callConsole(http.MethodPost, c.addr, "/api/copies/keepers?"+query.Encode(), &result)
	return result, err
}

// awaitHandover polls until the new replicas have the records of the former replicas.
func (c *replicaChange) awaitHandover() error {
	for ; ; time.Sleep(changePollInterval) {
		var s replica.Status // new for each poll: decoding keeps the values of absent keys
		if err := getConsole(c.addr, "/api/copies", &s); err != nil {
			return err
		}
		if len(s.PreviousReplicas) == 0 {
			fmt.Fprintf(c.out, "done: keepers %s, turn %d; put these into the files\n",
				strings.Join(s.Replicas, ", "), s.Epoch)
			return nil
		}
		if time.Now().After(c.deadline) {
			return fmt.Errorf(
				"not completed after %v: former keepers %s are still needed; see `copies` at each new keeper",
				c.timeout, strings.Join(s.PreviousReplicas, ", "))
		}
	}
}
