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
	// Replicas are the members of the replica set: an odd number of names, the same at all members.
	Replicas []string `toml:"keepers"`
	// DynamicReplicas allows changes of the replica set, on which the members agree.
	DynamicReplicas bool `toml:"agreed"`
	// ReplaceAfter is how long a replica must be dead before a spare replaces it; 0 means never.
	ReplaceAfter features.Duration `toml:"replace_after"`
	// Spares replace dead replicas, in order of preference.
	Spares []string `toml:"spares"`
	// Deduplicated extends claims to the ops of deduplicated categories.
	Deduplicated bool `toml:"deduplicated"`
	// QuorumTimeout is how long a claim waits for a majority before the op is nacked.
	QuorumTimeout features.Duration `toml:"wait"`
	// JoinTimeout is how long a claim waits for an op that is in progress at another scheduler.
	JoinTimeout features.Duration `toml:"join"`
	// RetryInterval is the time between two requests to a replica that does not answer.
	RetryInterval features.Duration `toml:"again"`
	// PullInterval is the time between two pulls of another replica's changes.
	PullInterval features.Duration `toml:"pull"`
	// Retention is how long an id is remembered, counted from its first arrival.
	Retention features.Duration `toml:"remember"`
	// AmnesiaHoldOff is how long the replicas do not vote after all of them lost their records.
	AmnesiaHoldOff features.Duration `toml:"hold_off"`
	// CatchUpRate limits catching up, in bytes per second from each replica.
	CatchUpRate int `toml:"catch_up"`
	// MaxRecords limits the number of records.
	MaxRecords int `toml:"most"`
	// MaxBytes limits the estimated size of all records.
	MaxBytes int `toml:"most_bytes"`
	// MaxResultBytes limits the result in a record. Longer answers are not retained.
	MaxResultBytes int `toml:"result_bytes"`
	// Path is the file of the store. If it is empty, records are in memory only.
	Path string `toml:"path"`
	// Sync delays a grant until its record is synced to disk.
	Sync bool `toml:"sync"`

	leaveTime time.Duration // see SetLeaveTime
}

// SetLeaveTime sets how long another scheduler may still push and answer ops after it has left the members. It is
// derived from the settings, and no key of the file.
func (c *Config) SetLeaveTime(leaveTime time.Duration) { c.leaveTime = leaveTime }

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
		return invalid("again", errors.New("must be above 0 and at most copies.wait"))
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
		LeaveTime:       membership.TimeOf(c.leaveTime),
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
