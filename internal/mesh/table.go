// Package mesh carries what schedulers say to one another: datagrams and streams between members. It owns the sockets, the
// encoding and the clock, and is the one place that reads what another scheduler sent; internal/members decides.
package mesh

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"woaddyke/internal/members"
	"woaddyke/internal/operator"
)

// Table is the part of the operator's file that is called members.
type Table struct {
	Cluster    string        `toml:"cluster"`       // members of another are not heard
	Listen     string        `toml:"listen"`        // for datagrams and streams
	Advertise  string        `toml:"advertise"`     // what the others are told; empty: listen
	Seeds      []string      `toml:"seeds"`         // whom to ask first
	Networks   []string      `toml:"networks"`      // addresses outside of them are neither heard nor told anything
	Probe      operator.Span `toml:"probe"`         // between two pings
	Window     operator.Span `toml:"window"`        // for an answer, direct or through others
	Doubt      operator.Span `toml:"doubt"`         // least span between a doubt and "gone"
	Longest    operator.Span `toml:"longest_doubt"` // longest, with a single accuser
	Exchange   operator.Span `toml:"exchange"`      // between full exchanges
	Seek       operator.Span `toml:"seek"`          // between tries to reach seeds and those that are gone
	Memory     operator.Span `toml:"memory"`        // of those that are gone or have left
	Most       int           `toml:"most"`          // names in the view
	Superseded string        `toml:"superseded"`    // what a process does whose name another has: "stand-by" or "end"
	Workers    bool          `toml:"workers"`       // a worker that drains by what another was told takes nothing new from here
	Words      bool          `toml:"words"`         // peers are reached by the view and not by the configuration

	networks []netip.Prefix
}

// Defaults is a table as it is where the file leaves keys out.
func Defaults() *Table {
	d := members.Defaults()
	span := func(t members.Time) operator.Span { return operator.Span(time.Duration(t) * members.Tenth) }
	return &Table{Networks: []string{"127.0.0.0/8"}, Probe: span(d.Probe), Window: span(d.Window), Doubt: span(d.Doubt),
		Longest: span(d.Longest), Exchange: span(d.Exchange), Seek: span(d.Seek), Memory: span(d.Memory), Most: d.Most,
		Superseded: "stand-by"}
}

// Check tells what is wrong, and works out what the rest needs.
func (t *Table) Check() error {
	fault := func(key string, err error) error { return &operator.Fault{Table: "members", Key: key, Err: err} }
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
		case !t.inside(a.Addr()):
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
	if t.Superseded != "stand-by" && t.Superseded != "end" {
		return fault("superseded", fmt.Errorf("%q is neither \"stand-by\" nor \"end\"", t.Superseded))
	}
	terms := t.terms("a name", "an address", -1)
	if err := terms.Check(); err != nil {
		return operator.Named("members", err)
	}
	return nil
}

// inside tells whether an address may be heard and told things.
func (t *Table) inside(a netip.Addr) bool {
	for _, n := range t.networks {
		if n.Contains(a.Unmap()) {
			return true
		}
	}
	return false
}

func (t *Table) terms(name, addr string, number int) members.Terms {
	span := func(s operator.Span) members.Time { return members.Span(time.Duration(s)) }
	return members.Terms{Cluster: t.Cluster, Name: name, Addr: addr, Number: number, Seeds: t.Seeds, Probe: span(t.Probe),
		Window: span(t.Window), Doubt: span(t.Doubt), Longest: span(t.Longest), Exchange: span(t.Exchange), Seek: span(t.Seek),
		Memory: span(t.Memory), Most: t.Most, StandBy: t.Superseded == "stand-by"}
}
