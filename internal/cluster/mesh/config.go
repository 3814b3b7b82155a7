// Package mesh carries what schedulers say to one another: datagrams and streams between members. It owns the sockets, the
// encoding and the clock, and is the one place that reads what another scheduler sent; internal/cluster/membership decides.
package mesh

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/config/features"
)

// Config is the part of the operator's file that is called members.
type Config struct {
	Cluster           string            `toml:"cluster"`       // members of another are not heard
	Listen            string            `toml:"listen"`        // for datagrams and streams
	Advertise         string            `toml:"advertise"`     // what the others are told; empty: listen
	Seeds             []string          `toml:"seeds"`         // whom to ask first
	Networks          []string          `toml:"networks"`      // addresses outside of them are neither heard nor told anything
	ProbeInterval     features.Duration `toml:"probe"`         // between two pings
	ProbeTimeout      features.Duration `toml:"window"`        // for an answer, direct or through others
	MinSuspicion      features.Duration `toml:"doubt"`         // least span between a doubt and "gone"
	MaxSuspicion      features.Duration `toml:"longest_doubt"` // longest, with a single accuser
	PushPullInterval  features.Duration `toml:"exchange"`      // between full exchanges
	JoinInterval      features.Duration `toml:"seek"`          // between tries to reach seeds and those that are gone
	DeadRetention     features.Duration `toml:"memory"`        // of those that are gone or have left
	MaxMembers        int               `toml:"most"`          // names in the view
	WhenReplaced      string            `toml:"superseded"`    // what a process does whose name another has: "stand-by" or "end"
	ShareDrains       bool              `toml:"workers"`       // a worker that drains by what another was told takes nothing new from here
	CarryPeerMessages bool              `toml:"words"`         // peers are reached by the view and not by the configuration

	networks []netip.Prefix
}

// Defaults is a table as it is where the file leaves keys out.
func Defaults() *Config {
	d := membership.Defaults()
	span := func(t membership.Time) features.Duration {
		return features.Duration(time.Duration(t) * membership.Tenth)
	}
	return &Config{Networks: []string{"127.0.0.0/8"}, ProbeInterval: span(d.ProbeInterval), ProbeTimeout: span(d.ProbeTimeout), MinSuspicion: span(d.MinSuspicion),
		MaxSuspicion: span(d.MaxSuspicion), PushPullInterval: span(d.PushPullInterval), JoinInterval: span(d.JoinInterval), DeadRetention: span(d.DeadRetention), MaxMembers: d.MaxMembers,
		WhenReplaced: "stand-by"}
}

// Validate tells what is wrong, and works out what the rest needs.
func (t *Config) Validate() error {
	fault := func(key string, err error) error { return &features.ConfigError{Table: "members", Key: key, Err: err} }
	t.networks = nil
	for _, n := range t.Networks {
		p, err := netip.ParsePrefix(n)
		if err != nil {
			return fault("networks", err)
		}
		t.networks = append(t.networks, p)
	}
	address := func(key, addr string) error {
		a, err := netip.ParseAddrPort(addr)
		switch {
		case err != nil:
			return fault(key, err)
		case !t.allowed(a.Addr()):
			return fault(key, fmt.Errorf("%s lies outside the networks", addr))
		case a.Port() == 0 && key != "listen":
			return fault(key, fmt.Errorf("%s has no port", addr))
		}
		return nil
	}
	if t.Listen == "" {
		return fault("listen", errors.New("an address is wanted"))
	}
	if err := address("listen", t.Listen); err != nil {
		return err
	}
	if t.Advertise != "" {
		if err := address("advertise", t.Advertise); err != nil {
			return err
		}
	}
	for _, s := range t.Seeds {
		if err := address("seeds", s); err != nil {
			return err
		}
	}
	if t.WhenReplaced != "stand-by" && t.WhenReplaced != "end" {
		return fault("superseded", fmt.Errorf("%q is neither \"stand-by\" nor \"end\"", t.WhenReplaced))
	}
	terms := t.membershipConfig("a name", "an address", -1)
	if err := terms.Validate(); err != nil {
		return features.ErrorFromCheck("members", err)
	}
	return nil
}

// allowed tells whether an address may be heard and told things.
func (t *Config) allowed(a netip.Addr) bool {
	for _, n := range t.networks {
		if n.Contains(a.Unmap()) {
			return true
		}
	}
	return false
}

func (t *Config) membershipConfig(name, addr string, number int) membership.Config {
	span := func(s features.Duration) membership.Time { return membership.TimeOf(time.Duration(s)) }
	return membership.Config{Cluster: t.Cluster, Name: name, Addr: addr, Number: number, Seeds: t.Seeds, ProbeInterval: span(t.ProbeInterval),
		ProbeTimeout: span(t.ProbeTimeout), MinSuspicion: span(t.MinSuspicion), MaxSuspicion: span(t.MaxSuspicion), PushPullInterval: span(t.PushPullInterval), JoinInterval: span(t.JoinInterval),
		DeadRetention: span(t.DeadRetention), MaxMembers: t.MaxMembers, StandByWhenReplaced: t.WhenReplaced == "stand-by"}
}
