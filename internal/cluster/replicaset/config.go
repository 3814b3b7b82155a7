package replicaset

import (
	"errors"
	"fmt"
	"slices"
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
		return errors.New("replace_after: 10s at least, or 0")
	case t.ReplaceAfter != 0 && len(t.Spares) == 0:
		return errors.New("replace_after: there are no spares")
	case len(t.Spares) > maxSpares:
		return fmt.Errorf("spares: %d at most", maxSpares)
	}
	return ValidateNames(t.Replicas)
}

// ValidateNames returns what is wrong with a list of replicas.
func ValidateNames(names []string) error {
	if len(names) == 0 || len(names) > MaxReplicas || len(names)%2 == 0 {
		const wanted = "keepers: %d; an odd number up to %d is wanted, such as 3 or 5"
		return fmt.Errorf(wanted, len(names), MaxReplicas)
	}
	for i, name := range names {
		if name == "" || len(name) > maxNameBytes || slices.Contains(names[:i], name) {
			return fmt.Errorf("keepers: %q stands twice, or is no name", name)
		}
	}
	return nil
}
