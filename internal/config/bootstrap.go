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

// Bootstrap is the bootstrap configuration, which a scheduler reads at its start.
type Bootstrap struct {
	// The scheduler's name and addresses.
	Name      string `json:"name"`      // the scheduler's name; required for a member of a cluster
	Listen    string `json:"listen"`    // address for clients; required
	Console   string `json:"console"`   // address for operators; empty: no console and no hot restart
	Discovery string `json:"discovery"` // address of the endpoint list's source; required

	Seed         string          `json:"seed"` // seed of the random numbers, hexadecimal; required
	Limits       Limits          `json:"limits"`
	KnownWorkers json.RawMessage `json:"known"`    // the initial endpoint list, in discovery's format
	RawSettings  map[string]any  `json:"settings"` // nested, as in the file

	// Optional parts. A part whose object is null or missing is off.
	LearnMachineKinds bool    `json:"kinds"` // learn the speed of each kind of machine; default true
	Keys              *Keys   `json:"keys"`  // read affinity keys
	Peers             *Peers  `json:"peers"` // exchange peer reports, if the settings allow them
	Shadow            *Shadow `json:"watch"` // count the decisions that the shadow settings would change

	// Derived from the fields above by ReadBootstrap.
	SeedValue      uint64         `json:"-"` // Seed as a number
	Settings       Settings       `json:"-"` // RawSettings flattened, with the keys of the optional parts
	ShadowSettings Settings       `json:"-"` // Settings overridden by those of Shadow; nil without Shadow
	AffinityFact   string         `json:"-"` // the fact that carries the affinity key; empty: no key is read
	raw            map[string]any // the decoded file, for CheckReload
}

// Limits are the resources of the machine that a scheduler may use.
type Limits struct {
	Cores       float64 `json:"cores"`     // default 1
	MemoryMB    int     `json:"memory_mb"` // MiB; default 192
	Descriptors int     `json:"sockets"`   // file descriptors; default 1024
}

// Lower bounds of Limits.
const (
	MinDescriptors = 64 // file descriptors that a scheduler without optional parts needs
	minMemoryMB    = 32
)

func defaultLimits() Limits { return Limits{Cores: 1, MemoryMB: 192, Descriptors: 1024} }

// Keys says which fact of an op is its affinity key.
type Keys struct {
	Fact string `json:"fact"` // the name of the fact in the header X-Facts
}

// Peers has the address at which this scheduler receives peer reports, as datagrams, and the addresses of
// the other schedulers.
type Peers struct {
	Listen string            `json:"listen"` // an IP address with a port
	Others map[string]string `json:"others"` // addresses of the other schedulers by their numbers

	ListenAddr netip.AddrPort         `json:"-"` // Listen, parsed
	ByNumber   map[int]netip.AddrPort `json:"-"` // Others, parsed
}

// Shadow has the shadow settings. The scheduler decides by the settings in force and counts the decisions
// that the shadow settings would change.
type Shadow struct {
	Keys     *Keys          `json:"keys"`
	Settings map[string]any `json:"settings"` // override the settings with the same keys
}

// ReadBootstrap reads and checks a file. Its error wraps a *ConfigError for each invalid key.
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
		s.RawSettings = settings // shared, not copied: settings may have hundreds of categories
	}
	return nil
}

// decodeOptions decodes the optional parts, in which an unknown key is an error. The rest of the file may
// have unknown keys, since the platform may add some.
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

// AllowPeerMessages turns on peer reports over a transport other than Peers, such as the mesh. It returns an
// error if Peers is configured or the settings do not allow peer reports.
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

// SchedulerNumber returns the number of this scheduler, or -1 if the settings have none.
func (s *Bootstrap) SchedulerNumber() int {
	if number, ok := s.Settings.Number(KeyMyNumber); ok {
		return int(number)
	}
	return -1
}

// Schedulers returns the number of schedulers, or 1 if the settings have none.
func (s *Bootstrap) Schedulers() int {
	schedulers, _ := s.Settings.Number(KeyInstances)
	return max(int(schedulers), 1)
}

// Duration returns the duration under a key of the settings. It returns the fallback if the duration is
// missing or not above 0.
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
