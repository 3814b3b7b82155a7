package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"
)

// Bootstrap is the configuration that a scheduler reads at its start.
type Bootstrap struct {
	// Who this scheduler is, and the addresses where it serves and calls.
	Name      string `json:"name"`      // of this scheduler; a member of a cluster needs one
	Listen    string `json:"listen"`    // where clients call; required
	Console   string `json:"console"`   // where operators call; empty: nowhere, and no hot restart
	Discovery string `json:"discovery"` // where the endpoint list is read; required

	Seed         string          `json:"seed"` // of the random numbers, hexadecimal; required
	Limits       Limits          `json:"limits"`
	KnownWorkers json.RawMessage `json:"known"`    // the first endpoint list, as discovery has it
	RawSettings  map[string]any  `json:"settings"` // nested, as the file has them

	// Optional parts of this project. A null or missing object is off.
	LearnMachineKinds bool    `json:"kinds"` // learn speeds by machine kind; default true
	Keys              *Keys   `json:"keys"`  // read affinity keys
	Peers             *Peers  `json:"peers"` // report to other schedulers, where the settings allow it
	Shadow            *Shadow `json:"watch"` // count the decisions that other settings would change

	// Derived from the fields above by ReadBootstrap.
	SeedValue      uint64         `json:"-"` // Seed as a number
	Settings       Settings       `json:"-"` // RawSettings and the optional parts, flat
	ShadowSettings Settings       `json:"-"` // Settings with those of Shadow over them; nil without Shadow
	AffinityFact   string         `json:"-"` // the fact with the affinity key; empty: none is read
	raw            map[string]any // the whole file, for CheckReload
}

// Limits are the resources of the machine that a scheduler may use.
type Limits struct {
	Cores    float64 `json:"cores"`     // default 1
	MemoryMB int     `json:"memory_mb"` // MiB; default 192
	Sockets  int     `json:"sockets"`   // file descriptors; default 1024
}

// Lower bounds of Limits.
const (
	MinSockets  = 64 // file descriptors that a scheduler without optional parts needs
	minMemoryMB = 32
)

func defaultLimits() Limits { return Limits{Cores: 1, MemoryMB: 192, Sockets: 1024} }

// Keys names where an op carries its affinity key.
type Keys struct {
	Fact string `json:"fact"` // the key's name in the header X-Facts
}

// Peers are the other schedulers and where this one receives their reports, as datagrams.
type Peers struct {
	Listen string            `json:"listen"` // an IP address with a port
	Others map[string]string `json:"others"` // the address of each other scheduler by its number

	ListenAddr netip.AddrPort         `json:"-"` // Listen, parsed
	ByNumber   map[int]netip.AddrPort `json:"-"` // Others, parsed
}

// Shadow has other settings. Decisions are made by the settings in force, and those that these would
// change are counted.
type Shadow struct {
	Keys     *Keys          `json:"keys"`
	Settings map[string]any `json:"settings"` // in place of those with the same key
}

// ReadBootstrap reads and checks a file. Its error wraps a *ConfigError for each key that is wrong.
func ReadBootstrap(path string) (*Bootstrap, error) {
	if path == "" {
		return nil, ErrNoPath
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	s, err := parseBootstrap(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return s, nil
}

func parseBootstrap(text []byte) (*Bootstrap, error) {
	s := &Bootstrap{LearnMachineKinds: true, Limits: defaultLimits()}
	if err := s.decode(text); err != nil {
		return nil, err
	}
	var err error
	if s.SeedValue, err = strconv.ParseUint(s.Seed, 16, 64); err != nil {
		return nil, invalid("seed", s.Seed, "must be a hexadecimal number of at most 64 bits")
	}
	s.Settings = Flatten(s.RawSettings)
	if err := errors.Join(s.checkRequired(), s.Limits.check()); err != nil {
		return nil, err
	}
	if err := errors.Join(s.checkCategories(), s.applyOptions()); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Bootstrap) decode(text []byte) error {
	if err := json.Unmarshal(text, s); err != nil {
		return err
	}
	if err := errors.Join(json.Unmarshal(text, &s.raw), s.decodeOptions(text)); err != nil {
		return err
	}
	if settings, ok := s.raw["settings"].(map[string]any); ok {
		s.RawSettings = settings // one copy in memory: settings may have hundreds of categories
	}
	return nil
}

// decodeOptions decodes the optional parts, in which an unknown key is an error. In the rest of the file
// the platform may add keys.
func (s *Bootstrap) decodeOptions(text []byte) error {
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(text, &parts); err != nil {
		return err
	}
	for _, option := range []struct {
		key  string
		into any
	}{{"keys", &s.Keys}, {"peers", &s.Peers}, {"watch", &s.Shadow}} {
		if len(parts[option.key]) == 0 {
			continue
		}
		decoder := json.NewDecoder(bytes.NewReader(parts[option.key]))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(option.into); err != nil {
			return &ConfigError{Key: option.key, Err: err}
		}
	}
	return nil
}

// AllowPeerMessages turns peer reports on for a transport other than Peers, where the settings allow
// them.
func (s *Bootstrap) AllowPeerMessages() error {
	if s.Peers != nil {
		return ErrPeersConfigured
	}
	if !Settings(Flatten(s.RawSettings)).Enabled(KeyPeerMessages) {
		return ErrPeerMessagesDisabled
	}
	s.Settings[KeyPeerMessages] = true
	return nil
}

// SchedulerNumber returns the number of this scheduler, -1 where the settings have none.
func (s *Bootstrap) SchedulerNumber() int {
	if number, ok := s.Settings.Number(KeyMyNumber); ok {
		return int(number)
	}
	return -1
}

// Schedulers returns how many schedulers there are, 1 where the settings do not say.
func (s *Bootstrap) Schedulers() int {
	schedulers, _ := s.Settings.Number(KeyInstances)
	return max(int(schedulers), 1)
}

// Duration returns a duration of the settings, or the fallback where they have none above 0 under the
// key.
func (s *Bootstrap) Duration(key string, fallback time.Duration) time.Duration {
	return s.Settings.Duration(key, fallback)
}

// SettingsHash returns a hash of the settings. It leaves out the keys that differ between the schedulers
// of one deployment.
func (s *Bootstrap) SettingsHash() uint64 {
	h := fnv.New64a()
	for _, key := range slices.Sorted(maps.Keys(s.Settings)) {
		if key != KeyMyNumber && key != KeyMyZone {
			fmt.Fprintf(h, "%s=%v\n", key, s.Settings[key]) // never fails
		}
	}
	return h.Sum64()
}
