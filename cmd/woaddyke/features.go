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

// featureTables are the tables of the operator's file. What is nil is off: no socket, no goroutine and no timer.
type featureTables struct {
	Members *mesh.Config    `toml:"members"`
	Copies  *replica.Config `toml:"copies"`
}

// readFeatures reads the operator's file; without one nothing is offered.
func readFeatures(path string, sheet *config.Bootstrap) (*featureTables, error) {
	if path == "" {
		return &featureTables{}, nil
	}
	var named struct { // which tables are there: the others keep no defaults
		Members *map[string]any `toml:"members"`
		Copies  *map[string]any `toml:"copies"`
	}
	all := func() error { return nil }
	if err := features.Read(path, &named, all); err != nil {
		return nil, err
	}
	o := &featureTables{}
	if named.Members != nil {
		o.Members = mesh.Defaults()
	}
	if named.Copies != nil {
		o.Copies = replica.Defaults()
	}
	return o, features.Read(path, o, func() error { return o.validate(sheet) })
}

// descriptors is how many the tables that are on may take.
func (o *featureTables) descriptors() (n int) {
	if o.Members != nil {
		n += mesh.Descriptors
	}
	if o.Copies != nil {
		n += store.Descriptors
	}
	return n
}

func (o *featureTables) validate(sheet *config.Bootstrap) error {
	t := o.Members
	if t == nil {
		if o.Copies != nil {
			return &features.ConfigError{Table: "copies", Key: "keepers", Err: errors.New("copies need a table members")}
		}
		return nil
	}
	if err := t.Validate(); err != nil {
		return err
	}
	if sheet.Name == "" {
		return &features.ConfigError{Table: "members", Key: "cluster", Err: errors.New("the configuration gives this scheduler no name")}
	}
	if least := config.MinSockets + o.descriptors(); sheet.Limits.Sockets < least {
		return &features.ConfigError{Table: "members", Key: "listen",
			Err: fmt.Errorf("%d descriptors are too few for a scheduler that is a member, %d at least", sheet.Limits.Sockets, least)}
	}
	if t.CarryPeerMessages {
		if err := sheet.AllowPeerMessages(); err != nil {
			return &features.ConfigError{Table: "members", Key: "words", Err: fmt.Errorf("words: %w", err)}
		}
	}
	if c := o.Copies; c != nil {
		if c.DynamicReplicas && c.Path == "" && (slices.Contains(c.Replicas, sheet.Name) || slices.Contains(c.Spares, sheet.Name)) {
			return &features.ConfigError{Table: "copies", Key: "path", Err: fmt.Errorf("%s is a keeper or a spare: it needs a file for what must last", sheet.Name)}
		}
		return c.Validate(sheet.LongestTTL())
	}
	return nil
}
