// Package replica keeps the fates of ops on real time: it runs the core of copies, sends what that asks for over the mesh, and answers the
// front's door. internal/cluster/replication decides.
package replica

import (
	"errors"
	"fmt"
	"time"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/config/features"
)

// Config is the part of the operator's file that is called copies.
type Config struct {
	Replicas        []string          `toml:"keepers"`       // names of members that hold copies: 3 or 5, the same for all; the first ones, if agreed
	DynamicReplicas bool              `toml:"agreed"`        // keepers change by agreement, asked for by staff or by the rule
	ReplaceAfter    features.Duration `toml:"replace_after"` // the rule: a keeper that is gone for so long is replaced by a spare; 0: never
	Spares          []string          `toml:"spares"`        // in order
	Deduplicated    bool              `toml:"deduplicated"`  // ops of deduplicated categories are guarded too
	QuorumTimeout   features.Duration `toml:"wait"`          // longest time for a majority, before an op is nacked
	JoinTimeout     features.Duration `toml:"join"`          // an id that another scheduler has is waited for so long, in place of a nack at once
	RetryInterval   features.Duration `toml:"again"`         // between two tries at a keeper that does not answer
	PullInterval    features.Duration `toml:"pull"`          // between two looks at another keeper's changes
	Retention       features.Duration `toml:"remember"`      // of an id, from when it first came
	AmnesiaHoldOff  features.Duration `toml:"hold_off"`      // keepers that lost their memory together have no vote for so long
	CatchUpRate     int               `toml:"catch_up"`      // bytes a second that are asked of each other keeper while there is much to catch up with
	MaxRecords      int               `toml:"most"`          // ids
	MaxBytes        int               `toml:"most_bytes"`
	MaxResultBytes  int               `toml:"result_bytes"` // longer answers are not held
	Path            string            `toml:"path"`         // a file on a disk that lasts, for a keeper's records; empty: memory alone
	Sync            bool              `toml:"sync"`         // a grant waits until the disk has it
}

const longestResult = 2 << 10 // so that a message with one fits a datagram of the mesh

// Defaults is a table as it is where the file leaves keys out.
func Defaults() *Config {
	d := replication.Defaults()
	span := func(t replication.Time) features.Duration {
		return features.Duration(time.Duration(t) * membership.Tenth)
	}
	return &Config{QuorumTimeout: span(d.QuorumTimeout), RetryInterval: span(d.RetryInterval), PullInterval: span(d.PullInterval), Retention: span(d.Retention), AmnesiaHoldOff: span(d.AmnesiaHoldOff),
		CatchUpRate: d.CatchUpRate, MaxRecords: d.MaxRecords, MaxBytes: d.MaxBytes, MaxResultBytes: 1 << 10, Sync: true}
}

// Validate tells what is wrong. An id must not come again after keepers without memory vote again while its first op may still be out.
func (t *Config) Validate(longest time.Duration) error {
	fault := func(key string, err error) error { return &features.ConfigError{Table: "copies", Key: key, Err: err} }
	terms := t.terms("n", 1, 1)
	if err := terms.Validate(); err != nil {
		return features.ErrorFromCheck("copies", err)
	}
	rule := t.rule("n", 1)
	if err := rule.Validate(); err != nil {
		return features.ErrorFromCheck("copies", err)
	}
	switch {
	case !t.DynamicReplicas && (t.ReplaceAfter != 0 || len(t.Spares) > 0):
		return fault("agreed", errors.New("it is needed for replace_after and spares"))
	case t.RetryInterval <= 0 || t.RetryInterval > t.QuorumTimeout:
		return fault("again", errors.New("from above 0 to wait"))
	case t.JoinTimeout < 0 || time.Duration(t.JoinTimeout) > time.Minute:
		return fault("join", errors.New("from 0 to 1m"))
	case time.Duration(t.PullInterval) < 10*time.Millisecond:
		return fault("pull", errors.New("10ms at least"))
	case time.Duration(t.AmnesiaHoldOff) < longest:
		return fault("hold_off", fmt.Errorf("shorter than the longest time to live, %v", longest))
	case t.MaxResultBytes < 0 || t.MaxResultBytes > longestResult:
		return fault("result_bytes", fmt.Errorf("from 0 to %d", longestResult))
	}
	return nil
}

func (t *Config) terms(name string, chance, nonce uint64) replication.Config {
	span := func(s features.Duration) replication.Time { return membership.TimeOf(time.Duration(s)) }
	return replication.Config{Name: name, Replicas: t.Replicas, DynamicReplicas: t.DynamicReplicas, Seed: chance, Nonce: nonce, QuorumTimeout: span(t.QuorumTimeout), RetryInterval: span(t.RetryInterval),
		PullInterval: span(t.PullInterval), Retention: span(t.Retention), AmnesiaHoldOff: span(t.AmnesiaHoldOff), CatchUpRate: t.CatchUpRate, MaxRecords: t.MaxRecords, MaxBytes: t.MaxBytes}
}

// rule are the agreement's terms.
func (t *Config) rule(name string, chance uint64) replicaset.Config {
	r := replicaset.Defaults()
	r.Name, r.Replicas, r.Seed, r.ReplaceAfter, r.Spares = name, t.Replicas, chance, membership.TimeOf(time.Duration(t.ReplaceAfter)), t.Spares
	return r
}
