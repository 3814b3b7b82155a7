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

// Config is the table "copies" of the features file.
type Config struct {
	Replicas        []string          `toml:"keepers"`       // an odd number, the same at all members
	DynamicReplicas bool              `toml:"agreed"`        // the set changes by agreement
	ReplaceAfter    features.Duration `toml:"replace_after"` // by a spare, once dead for so long; 0: never
	Spares          []string          `toml:"spares"`        // that replace it, in order of preference
	Deduplicated    bool              `toml:"deduplicated"`  // ops of deduplicated categories are claimed too
	QuorumTimeout   features.Duration `toml:"wait"`          // for a majority, before an op is nacked
	JoinTimeout     features.Duration `toml:"join"`          // for an op that another scheduler has
	RetryInterval   features.Duration `toml:"again"`         // to a replica that has not answered
	PullInterval    features.Duration `toml:"pull"`          // between two pulls of another replica's changes
	Retention       features.Duration `toml:"remember"`      // of an id, from when it first came
	AmnesiaHoldOff  features.Duration `toml:"hold_off"`      // without a vote, if all lost their memory
	CatchUpRate     int               `toml:"catch_up"`      // bytes a second from each replica
	MaxRecords      int               `toml:"most"`
	MaxBytes        int               `toml:"most_bytes"`
	MaxResultBytes  int               `toml:"result_bytes"` // longer answers are not retained
	Path            string            `toml:"path"`         // of the store; empty: memory alone
	Sync            bool              `toml:"sync"`         // a grant waits until the disk has it
}

// maxResultBytes is such that a message with a result fits a datagram of the mesh.
const maxResultBytes = 2 << 10

// Defaults returns the table as it is where the file leaves keys out.
func Defaults() *Config {
	d := replication.Defaults()
	return &Config{
		QuorumTimeout:  durationOf(d.QuorumTimeout),
		RetryInterval:  durationOf(d.RetryInterval),
		PullInterval:   durationOf(d.PullInterval),
		Retention:      durationOf(d.Retention),
		AmnesiaHoldOff: durationOf(d.AmnesiaHoldOff),
		CatchUpRate:    d.CatchUpRate,
		MaxRecords:     d.MaxRecords,
		MaxBytes:       d.MaxBytes,
		MaxResultBytes: 1 << 10,
		Sync:           true,
	}
}

func durationOf(t replication.Time) features.Duration {
	return features.Duration(t.Duration())
}

func timeOf(d features.Duration) replication.Time { return membership.TimeOf(time.Duration(d)) }

// Validate returns what is wrong. AmnesiaHoldOff must not be below the longest time to live: replicas
// without memory must not vote while an op that they granted may still be in flight.
func (t *Config) Validate(maxTTL time.Duration) error {
	fault := func(key string, err error) error {
		return &features.ConfigError{Table: "copies", Key: key, Err: err}
	}
	replicationConfig := t.replicationConfig("n", 1, 1)
	if err := replicationConfig.Validate(); err != nil {
		return features.WrapCheckError("copies", err)
	}
	replicaSetConfig := t.replicaSetConfig("n", 1)
	if err := replicaSetConfig.Validate(); err != nil {
		return features.WrapCheckError("copies", err)
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
	case time.Duration(t.AmnesiaHoldOff) < maxTTL:
		return fault("hold_off", fmt.Errorf("shorter than the longest time to live, %v", maxTTL))
	case t.MaxResultBytes < 0 || t.MaxResultBytes > maxResultBytes:
		return fault("result_bytes", fmt.Errorf("from 0 to %d", maxResultBytes))
	}
	return nil
}

func (t *Config) replicationConfig(name string, seed, nonce uint64) replication.Config {
	return replication.Config{
		Name:            name,
		Replicas:        t.Replicas,
		DynamicReplicas: t.DynamicReplicas,
		Seed:            seed,
		Nonce:           nonce,
		QuorumTimeout:   timeOf(t.QuorumTimeout),
		RetryInterval:   timeOf(t.RetryInterval),
		PullInterval:    timeOf(t.PullInterval),
		Retention:       timeOf(t.Retention),
		AmnesiaHoldOff:  timeOf(t.AmnesiaHoldOff),
		CatchUpRate:     t.CatchUpRate,
		MaxRecords:      t.MaxRecords,
		MaxBytes:        t.MaxBytes,
	}
}

func (t *Config) replicaSetConfig(name string, seed uint64) replicaset.Config {
	c := replicaset.Defaults()
	c.Name, c.Replicas, c.Seed = name, t.Replicas, seed
	c.ReplaceAfter, c.Spares = timeOf(t.ReplaceAfter), t.Spares
	return c
}
