package replicaset

import (
	"slices"

	"woaddyke/internal/config/configerror"
)

const (
	ms     Time = 10
	second Time = 1000 * ms
)

// Config is what a scheduler is given at its start.
type Config struct {
	Name              string
	Replicas          []string // as configured; they create the group
	Seed              uint64
	HeartbeatInterval Time // of the leader
	ElectionTimeout   Time // without a leader's message, before a campaign; up to twice that, at random
	ChangeTimeout     Time // for the answer to a change request

	ReplaceAfter Time     // a replica that is dead for so long is replaced by a spare; 0: never
	Spares       []string // in order of preference
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
	maxSpares    = 64
	maxMembers   = 4096 // whose presence is known: as many as a membership view has by default
	maxNameBytes = 512
	minReplace   = 10 * second
)

// Validate returns what is wrong with the configuration. The keys in its errors are those of the features
// file.
func (t *Config) Validate() error {
	switch {
	case t.ReplaceAfter != 0 && t.ReplaceAfter < minReplace:
		return configerror.Invalid("replace_after", t.ReplaceAfter.Duration(), "must be at least 10s, or 0")
	case t.ReplaceAfter != 0 && len(t.Spares) == 0:
		return configerror.Invalid("replace_after", nil, "must be 0 where there are no spares")
	case len(t.Spares) > maxSpares:
		return configerror.Invalid("spares", len(t.Spares), "must have at most %d entries", maxSpares)
	}
	return ValidateNames(t.Replicas)
}

// ValidateNames returns what is wrong with a list of replicas.
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
