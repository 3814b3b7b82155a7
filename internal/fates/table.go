// Package fates keeps the fates of ops on real time: it runs the core of copies, sends what that asks for over the mesh, and answers the
// front's door. internal/copies decides.
package fates

import (
	"errors"
	"fmt"
	"time"

	"woaddyke/internal/copies"
	"woaddyke/internal/keepers"
	"woaddyke/internal/members"
	"woaddyke/internal/operator"
)

// Table is the part of the operator's file that is called copies.
type Table struct {
	Keepers      []string      `toml:"keepers"`       // names of members that hold copies: 3 or 5, the same for all; the first ones, if agreed
	Agreed       bool          `toml:"agreed"`        // keepers change by agreement, asked for by staff or by the rule
	ReplaceAfter operator.Span `toml:"replace_after"` // the rule: a keeper that is gone for so long is replaced by a spare; 0: never
	Spares       []string      `toml:"spares"`        // in order
	Deduplicated bool          `toml:"deduplicated"`  // ops of deduplicated categories are guarded too
	Wait         operator.Span `toml:"wait"`          // longest time for a majority, before an op is nacked
	Join         operator.Span `toml:"join"`          // an id that another scheduler has is waited for so long, in place of a nack at once
	Again        operator.Span `toml:"again"`         // between two tries at a keeper that does not answer
	Pull         operator.Span `toml:"pull"`          // between two looks at another keeper's changes
	Remember     operator.Span `toml:"remember"`      // of an id, from when it first came
	HoldOff      operator.Span `toml:"hold_off"`      // keepers that lost their memory together have no vote for so long
	CatchUp      int           `toml:"catch_up"`      // bytes a second that are asked of each other keeper while there is much to catch up with
	Most         int           `toml:"most"`          // ids
	MostBytes    int           `toml:"most_bytes"`
	ResultBytes  int           `toml:"result_bytes"` // longer answers are not held
	Path         string        `toml:"path"`         // a file on a disk that lasts, for a keeper's records; empty: memory alone
	Sync         bool          `toml:"sync"`         // a grant waits until the disk has it
}

const longestResult = 2 << 10 // so that a message with one fits a datagram of the mesh

// Defaults is a table as it is where the file leaves keys out.
func Defaults() *Table {
	d := copies.Defaults()
	span := func(t copies.Time) operator.Span { return operator.Span(time.Duration(t) * members.Tenth) }
	return &Table{Wait: span(d.Wait), Again: span(d.Again), Pull: span(d.Pull), Remember: span(d.Remember), HoldOff: span(d.HoldOff),
		CatchUp: d.CatchUp, Most: d.Most, MostBytes: d.MostSize, ResultBytes: 1 << 10, Sync: true}
}

// Check tells what is wrong. An id must not come again after keepers without memory vote again while its first op may still be out.
func (t *Table) Check(longest time.Duration) error {
	fault := func(key string, err error) error { return &operator.Fault{Table: "copies", Key: key, Err: err} }
	terms := t.terms("n", 1, 1)
	if err := terms.Check(); err != nil {
		return operator.Named("copies", err)
	}
	rule := t.rule("n", 1)
	if err := rule.Check(); err != nil {
		return operator.Named("copies", err)
	}
	switch {
	case !t.Agreed && (t.ReplaceAfter != 0 || len(t.Spares) > 0):
		return fault("agreed", errors.New("it is needed for replace_after and spares"))
	case t.Again <= 0 || t.Again > t.Wait:
		return fault("again", errors.New("from above 0 to wait"))
	case t.Join < 0 || time.Duration(t.Join) > time.Minute:
		return fault("join", errors.New("from 0 to 1m"))
	case time.Duration(t.Pull) < 10*time.Millisecond:
		return fault("pull", errors.New("10ms at least"))
	case time.Duration(t.HoldOff) < longest:
		return fault("hold_off", fmt.Errorf("shorter than the longest time to live, %v", longest))
	case t.ResultBytes < 0 || t.ResultBytes > longestResult:
		return fault("result_bytes", fmt.Errorf("from 0 to %d", longestResult))
	}
	return nil
}

func (t *Table) terms(name string, chance, nonce uint64) copies.Terms {
	span := func(s operator.Span) copies.Time { return members.Span(time.Duration(s)) }
	return copies.Terms{Name: name, Keepers: t.Keepers, Agreed: t.Agreed, Chance: chance, Nonce: nonce, Wait: span(t.Wait), Again: span(t.Again),
		Pull: span(t.Pull), Remember: span(t.Remember), HoldOff: span(t.HoldOff), CatchUp: t.CatchUp, Most: t.Most, MostSize: t.MostBytes}
}

// rule are the agreement's terms.
func (t *Table) rule(name string, chance uint64) keepers.Terms {
	r := keepers.Defaults()
	r.Name, r.Keepers, r.Chance, r.ReplaceAfter, r.Spares = name, t.Keepers, chance, members.Span(time.Duration(t.ReplaceAfter)), t.Spares
	return r
}
