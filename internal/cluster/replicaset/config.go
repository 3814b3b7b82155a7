package replicaset

import (
	"slices"

	"woaddyke/internal/config/configerror"
)

const (
	ms     Time = 10
	second Time = 1000 * ms
)

// Config is the configuration that a scheduler starts with.
type Config struct {
	Name              string
	Replicas          []string // configured replicas, which create the raft group
	Seed              uint64
	HeartbeatInterval Time // between two heartbeats of the leader
	ElectionTimeout   Time // shortest silence of the leader before a campaign; the longest is twice that
	ChangeTimeout     Time // limit for the answer to a change request

	ReplaceAfter Time     // a replica that is dead for this long is replaced by a spare; 0: never
	Spares       []string // members that replace dead replicas, in order of preference
}

// Defaults returns the default configuration.
func Defaults() Config {
	return Config{
		HeartbeatInterval: 100 * ms,
		ElectionTimeout:   second,
		ChangeTimeout:     1500 * ms,
	}
}

const (
	maxSpares       = 64
	maxMembers      = 4096 // members whose presence is recorded; also the default limit of a membership view
	maxNameBytes    = 512
	minReplaceAfter = 10 * second
)

// Validate checks the configuration. Its errors name the keys of the features file.
func (c *Config) Validate() error {
	switch {
	case c.ReplaceAfter != 0 && c.ReplaceAfter < minReplaceAfter:
		return configerror.Invalid("replace_after", c.ReplaceAfter.Duration(), "must be at least 10s, or 0")
	case c.ReplaceAfter != 0 && len(c.Spares) == 0:
		return configerror.Invalid("replace_after", nil, "must be 0 where there are no spares")
	case len(c.Spares) > maxSpares:
		return configerror.Invalid("spares", len(c.Spares), "must have at most %d entries", maxSpares)
	}
	return ValidateNames(c.Replicas)
}

// ValidateNames checks the names of replicas. Their number must be odd and at most MaxReplicas, and the names
// must be distinct.
func ValidateNames(names []string) error {
	if len(names) == 0 || len(names) > MaxReplicas || len(names)%2 == 0 {
		const problem = "must be an odd number up to %d of names, such as 3 or 5"
		return configerror.Invalid("keepers", len(names), problem, MaxReplicas)
	}
	for i, name := range names {
		if name == "" || len(name) > maxNameBytes || slices.Contains(names[:i], name) {
			return configerror.Invalid("keepers", name, "has a name that stands twice or is no name")
		}
	}
	return nil
}
