package main

import (
	"errors"
	"fmt"
	"slices"

	"woaddyke/internal/cluster/mesh"
	"woaddyke/internal/cluster/replica"
	"woaddyke/internal/cluster/store"
	"woaddyke/internal/config"
	"woaddyke/internal/config/features"
)

// Names of the tables of the features file.
const (
	membersTable = "members"
	copiesTable  = "copies"
)

// featureTables holds the tables of the features file. A nil table is a disabled feature, which has no
// socket, goroutine or timer.
type featureTables struct {
	Members *mesh.Config    `toml:"members"`
	Copies  *replica.Config `toml:"copies"`
}

// readFeatures reads the features file. Without a path all features are disabled.
func readFeatures(path string, bootstrap *config.Bootstrap) (*featureTables, error) {
	if path == "" {
		return &featureTables{}, nil
	}
	tables, err := defaultFeatures(path)
	if err != nil {
		return nil, err
	}
	return tables, features.Read(path, tables, func() error { return tables.validate(bootstrap) })
}

// defaultFeatures returns the tables that are present in the file, filled with their defaults.
func defaultFeatures(path string) (*featureTables, error) {
	var present struct {
		Members *map[string]any `toml:"members"`
		Copies  *map[string]any `toml:"copies"`
	}
	noCheck := func() error { return nil }
	if err := features.Read(path, &present, noCheck); err != nil {
		return nil, err
	}
	tables := &featureTables{}
	if present.Members != nil {
		tables.Members = mesh.Defaults()
	}
	if present.Copies != nil {
		tables.Copies = replica.Defaults()
	}
	return tables, nil
}

// descriptors returns the maximum number of descriptors that the enabled features use.
func (t *featureTables) descriptors() (n int) {
	if t.Members != nil {
		n += mesh.Descriptors
	}
	if t.Copies != nil {
		n += store.Descriptors
	}
	return n
}

func (t *featureTables) validate(bootstrap *config.Bootstrap) error {
	if t.Members == nil {
		if t.Copies != nil {
			return copiesError("keepers", errors.New("copies need a table members"))
		}
		return nil
	}
	if err := t.validateMembers(bootstrap); err != nil {
		return err
	}
	if t.Copies == nil {
		return nil
	}
	return t.validateCopies(bootstrap)
}

func (t *featureTables) validateMembers(bootstrap *config.Bootstrap) error {
	if err := t.Members.Validate(); err != nil {
		return err
	}
	if bootstrap.Name == "" {
		return membersError("cluster", errors.New("the configuration gives this scheduler no name"))
	}
	minSockets := config.MinDescriptors + t.descriptors()
	if sockets := bootstrap.Limits.Descriptors; sockets < minSockets {
		return membersError("listen", fmt.Errorf(
			"%d descriptors are too few for a scheduler that is a member, %d at least", sockets, minSockets))
	}
	if t.Members.CarryPeerMessages {
		if err := bootstrap.AllowPeerMessages(); err != nil {
			return membersError("words", fmt.Errorf("words: %w", err))
		}
	}
	return nil
}

func (t *featureTables) validateCopies(bootstrap *config.Bootstrap) error {
	c, name := t.Copies, bootstrap.Name
	mayBeReplica := slices.Contains(c.Replicas, name) || slices.Contains(c.Spares, name)
	if c.DynamicReplicas && c.Path == "" && mayBeReplica {
		err := fmt.Errorf("%s is a keeper or a spare: it needs a file for what must last", name)
		return copiesError("path", err)
	}
	return c.Validate(bootstrap.LongestTTL())
}

func membersError(key string, err error) error {
	return &features.ConfigError{Table: membersTable, Key: key, Err: err}
}

func copiesError(key string, err error) error {
	return &features.ConfigError{Table: copiesTable, Key: key, Err: err}
}
