package mesh

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/config/features"
)

// Values of Config.WhenReplaced.
const (
	standByWhenReplaced = "stand-by"
	endWhenReplaced     = "end"
)

// Config is the table "members" of the features file.
type Config struct {
	// Cluster is the name of the cluster. Messages of another cluster are dropped.
	Cluster string `toml:"cluster"`
	// Listen is the address for datagrams and streams.
	Listen string `toml:"listen"`
	// Advertise is the address that other members use. If it is empty, they use Listen.
	Advertise string `toml:"advertise"`
	// Seeds are addresses of members that this process contacts first.
	Seeds []string `toml:"seeds"`
	// Networks are the address prefixes of members. Messages from and to other addresses are dropped.
	Networks []string `toml:"networks"`
	// ProbeInterval is the time between two pings.
	ProbeInterval features.Duration `toml:"probe"`
	// ProbeTimeout is how long a prober waits for the ack of a direct or an indirect ping.
	ProbeTimeout features.Duration `toml:"window"`
	// MinSuspicion is the time from suspect to dead if others confirm the suspicion.
	MinSuspicion features.Duration `toml:"doubt"`
	// MaxSuspicion is the time from suspect to dead if nobody confirms the suspicion.
	MaxSuspicion features.Duration `toml:"longest_doubt"`
	// PushPullInterval is the mean time between two push-pulls.
	PushPullInterval features.Duration `toml:"exchange"`
	// JoinInterval is the mean time between two attempts to reach dead members.
	JoinInterval features.Duration `toml:"seek"`
	// DeadRetention is how long members that are dead or have left are retained.
	DeadRetention features.Duration `toml:"memory"`
	// MaxMembers limits the members in the view.
	MaxMembers int `toml:"most"`
	// WhenReplaced is "stand-by" or "end": what a process does when another process takes its name.
	WhenReplaced string `toml:"superseded"`
	// ShareDrains applies the drains that other schedulers report.
	ShareDrains bool `toml:"workers"`
	// CarryPeerMessages sends peer messages as messages between members.
	CarryPeerMessages bool `toml:"words"`

	// allowedPrefixes holds the parsed Networks. Validate sets it.
	allowedPrefixes []netip.Prefix
}

// Defaults returns the values of keys that the features file omits.
func Defaults() *Config {
	d := membership.Defaults()
	return &Config{
		Networks:         []string{"127.0.0.0/8"},
		ProbeInterval:    duration(d.ProbeInterval),
		ProbeTimeout:     duration(d.ProbeTimeout),
		MinSuspicion:     duration(d.MinSuspicion),
		MaxSuspicion:     duration(d.MaxSuspicion),
		PushPullInterval: duration(d.PushPullInterval),
		JoinInterval:     duration(d.JoinInterval),
		DeadRetention:    duration(d.DeadRetention),
		MaxMembers:       d.MaxMembers,
		WhenReplaced:     standByWhenReplaced,
	}
}

func duration(t membership.Time) features.Duration {
	return features.Duration(t.Duration())
}

func timeOf(d features.Duration) membership.Time { return membership.TimeOf(time.Duration(d)) }

// Validate returns a features.ConfigError for the first key that is invalid. It must be called before the
// table is used, because it parses Networks.
func (c *Config) Validate() error {
	if err := c.parseNetworks(); err != nil {
		return err
	}
	if err := c.validateAddresses(); err != nil {
		return err
	}
	if c.WhenReplaced != standByWhenReplaced && c.WhenReplaced != endWhenReplaced {
		return invalid("superseded", fmt.Errorf("must be \"stand-by\" or \"end\", got %q", c.WhenReplaced))
	}
	node := c.membershipConfig("a name", "an address", -1)
	if err := node.Validate(); err != nil {
		return features.WrapCheckError("members", err)
	}
	return nil
}

func invalid(key string, err error) error {
	return &features.ConfigError{Table: "members", Key: key, Err: err}
}

func (c *Config) parseNetworks() error {
	c.allowedPrefixes = nil
	for _, text := range c.Networks {
		network, err := netip.ParsePrefix(text)
		if err != nil {
			return invalid("networks", err)
		}
		c.allowedPrefixes = append(c.allowedPrefixes, network)
	}
	return nil
}

func (c *Config) validateAddresses() error {
	if c.Listen == "" {
		return invalid("listen", errors.New("must be an address with a port"))
	}
	if err := c.validateAddress("listen", c.Listen); err != nil {
		return err
	}
	if c.Advertise != "" {
		if err := c.validateAddress("advertise", c.Advertise); err != nil {
			return err
		}
	}
	for _, seed := range c.Seeds {
		if err := c.validateAddress("seeds", seed); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) validateAddress(key, text string) error {
	addr, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return invalid(key, err)
	case !c.isAllowed(addr.Addr()):
		return invalid(key, fmt.Errorf("%s is not in members.networks", text))
	case addr.Port() == 0 && key != "listen":
		return invalid(key, fmt.Errorf("%s must have a port above 0", text))
	}
	return nil
}

// isAllowed reports whether an address is in Networks. Members exchange messages only with such addresses.
func (c *Config) isAllowed(addr netip.Addr) bool {
	for _, network := range c.allowedPrefixes {
		if network.Contains(addr.Unmap()) {
			return true
		}
	}
	return false
}

// membershipConfig returns the configuration of a node without its nonce and seed.
func (c *Config) membershipConfig(name, addr string, number int) membership.Config {
	return membership.Config{
		Cluster:             c.Cluster,
		Name:                name,
		Addr:                addr,
		Number:              number,
		Seeds:               c.Seeds,
		ProbeInterval:       timeOf(c.ProbeInterval),
		ProbeTimeout:        timeOf(c.ProbeTimeout),
		MinSuspicion:        timeOf(c.MinSuspicion),
		MaxSuspicion:        timeOf(c.MaxSuspicion),
		PushPullInterval:    timeOf(c.PushPullInterval),
		JoinInterval:        timeOf(c.JoinInterval),
		DeadRetention:       timeOf(c.DeadRetention),
		MaxMembers:          c.MaxMembers,
		StandByWhenReplaced: c.WhenReplaced == standByWhenReplaced,
	}
}
