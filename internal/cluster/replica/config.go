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

// maxResultBytes limits a result so that a message with the result fits a datagram of the mesh.
const maxResultBytes = 2 << 10

// Defaults returns the values of keys that the features file omits.
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

// Validate returns a features.ConfigError for the first key that is invalid. AmnesiaHoldOff must be at least
// maxTTL, the longest TTL: replicas that lost their records must not vote while an op that they granted may
// still be in flight.
func (c *Config) Validate(maxTTL time.Duration) error {
	invalid := func(key string, err error) error {
		return &features.ConfigError{Table: "copies", Key: key, Err: err}
	}
	replicationConfig := c.replicationConfig("n", 1, 1)
	if err := replicationConfig.Validate(); err != nil {
		return features.WrapCheckError("copies", err)
	}
	replicaSetConfig := c.replicaSetConfig("n", 1)
	if err := replicaSetConfig.Validate(); err != nil {
		return features.WrapCheckError("copies", err)
	}
	switch {
	case !c.DynamicReplicas && (c.ReplaceAfter != 0 || len(c.Spares) > 0):
		return invalid("agreed", errors.New("must be true if replace_after or spares is set"))
	case c.RetryInterval <= 0 || c.RetryInterval > c.QuorumTimeout:
		return invalid("again", errors.New("must be above 0 and at most wait"))
	case c.JoinTimeout < 0 || time.Duration(c.JoinTimeout) > time.Minute:
		return invalid("join", errors.New("must be from 0 to 1m"))
	case time.Duration(c.PullInterval) < 10*time.Millisecond:
		return invalid("pull", errors.New("must be at least 10ms"))
	case time.Duration(c.AmnesiaHoldOff) < maxTTL:
		return invalid("hold_off", fmt.Errorf("must be at least the longest TTL, %v", maxTTL))
	case c.MaxResultBytes < 0 || c.MaxResultBytes > maxResultBytes:
		return invalid("result_bytes", fmt.Errorf("must be from 0 to %d", maxResultBytes))
	}
	return nil
}

func (c *Config) replicationConfig(name string, seed, nonce uint64) replication.Config {
	return replication.Config{
		Name:            name,
		Replicas:        c.Replicas,
		DynamicReplicas: c.DynamicReplicas,
		Seed:            seed,
		Nonce:           nonce,
		QuorumTimeout:   timeOf(c.QuorumTimeout),
		RetryInterval:   timeOf(c.RetryInterval),
		PullInterval:    timeOf(c.PullInterval),
		Retention:       timeOf(c.Retention),
		AmnesiaHoldOff:  timeOf(c.AmnesiaHoldOff),
		CatchUpRate:     c.CatchUpRate,
		MaxRecords:      c.MaxRecords,
		MaxBytes:        c.MaxBytes,
	}
}

func (c *Config) replicaSetConfig(name string, seed uint64) replicaset.Config {
	config := replicaset.Defaults()
	config.Name, config.Replicas, config.Seed = name, c.Replicas, seed
	config.ReplaceAfter, config.Spares = timeOf(c.ReplaceAfter), c.Spares
	return config
}
