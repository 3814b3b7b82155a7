package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"
)

// Bootstrap is what a scheduler is told at its start.
type Bootstrap struct {
	Name           string          `json:"name"`
	Listen         string          `json:"listen"`
	Console        string          `json:"console"` // where staff call; empty: nowhere
	Discovery      string          `json:"discovery"`
	Seed           string          `json:"seed"`
	Limits         Limits          `json:"limits"`
	KnownWorkers   json.RawMessage `json:"known"` // the workers as last heard of, in discovery's form
	RawSettings    map[string]any  `json:"settings"`
	Kinds          bool            `json:"kinds"` // speeds are learned by the kind of machine that the list tells, unless this says false
	Keys           *Keys           `json:"keys"`  // nil: keys are not read
	Peers          *Peers          `json:"peers"` // nil: no messages, whatever the settings allow
	Shadow         *Shadow         `json:"watch"` // nil: nothing is watched for
	SeedValue      uint64          `json:"-"`     // the seed as a number
	Settings       map[string]any  `json:"-"`     // the settings as the module takes them
	ShadowSettings map[string]any  `json:"-"`     // those that a watch compares with, nil without one
	raw            map[string]any  // the file as it is
	AffinityFact   string          `json:"-"` // where an op's key is read, for use or for a watch; empty: nowhere
}

// Keys tells where an op names the data that workers keep for it.
type Keys struct {
	Fact string `json:"fact"` // its name in X-Facts
}

// Peers are the other schedulers, by their numbers, and where they are told and heard by datagrams.
type Peers struct {
	Listen string            `json:"listen"`
	Others map[string]string `json:"others"`

	ListenAddr netip.AddrPort         `json:"-"` // Listen and Others, read
	ByNumber   map[int]netip.AddrPort `json:"-"`
}

// Shadow is another shape's settings: decisions stay as they are, and those that it would change are counted.
type Shadow struct {
	Keys     *Keys          `json:"keys"`
	Settings map[string]any `json:"settings"` // in place of those of the same name
}

const mostSchedulers = 4096

// own decodes the parts that are this project's and not the platform's: there a slip of the pen is an error.
func own(text []byte, s *Bootstrap) error {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(text, &raw); err != nil {
		return err
	}
	for name, into := range map[string]any{"keys": &s.Keys, "peers": &s.Peers, "watch": &s.Shadow} {
		if len(raw[name]) == 0 {
			continue
		}
		d := json.NewDecoder(bytes.NewReader(raw[name]))
		d.DisallowUnknownFields()
		if err := d.Decode(into); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// shape checks what the module reads of a deployment's shape.
func shape(site map[string]any) error {
	number := func(name string, least, most float64, whole bool) error {
		v, there := site[name]
		n, ok := v.(float64)
		if there && (!ok || n < least || n > most || whole && n != math.Trunc(n)) {
			return fmt.Errorf("%s: %v is no number from %g to %g", name, v, least, most)
		}
		return nil
	}
	all, _ := site["instances"].(float64)
	err := errors.Join(number("prices.connection", 0, 1e3, false), number("instances", 1, mostSchedulers, true),
		number("myNumber", 0, mostSchedulers-1, true))
	if me, _ := site["myNumber"].(float64); err == nil && site["instances"] != nil && me >= all {
		err = fmt.Errorf("myNumber: %g is none of %g schedulers", me, all)
	}
	if v, there := site["bounds.peerMessages"]; err == nil && there {
		if _, ok := v.(bool); !ok {
			err = fmt.Errorf("bounds.peerMessages: %v is neither true nor false", v)
		}
	}
	return err
}

func (k *Keys) check() error {
	if k != nil && (k.Fact == "" || k.Fact == "slots" || k.Fact == "memory") {
		return fmt.Errorf("keys: %q is no fact that names a key", k.Fact)
	}
	return nil
}

// move checks the parts that belong to another shape of deployment and works out what they make of the settings.
func (s *Bootstrap) move() error {
	if err := errors.Join(shape(s.Settings), s.Keys.check()); err != nil {
		return err
	}
	if s.Keys != nil {
		s.AffinityFact = s.Keys.Fact
	}
	s.Settings["keys"], s.Settings["kinds"] = s.Keys != nil, s.Kinds
	if p := s.Peers; p != nil {
		if s.Settings["bounds.peerMessages"] != true {
			return errors.New("peers: the settings do not allow messages (bounds.peerMessages)")
		}
		var err error
		if p.ListenAddr, err = netip.ParseAddrPort(p.Listen); err != nil {
			return fmt.Errorf("peers: listen: %w", err)
		}
		p.ByNumber = map[int]netip.AddrPort{}
		all, _ := s.Settings["instances"].(float64)
		for name, addr := range p.Others {
			n, err := strconv.Atoi(name)
			if err != nil || n < 0 || float64(n) >= all {
				return fmt.Errorf("peers: %q is no number of a scheduler, of %g", name, all)
			}
			if p.ByNumber[n], err = netip.ParseAddrPort(addr); err != nil {
				return fmt.Errorf("peers: %s: %w", name, err)
			}
		}
	} else {
		// The module would take the silence of the others for idle workers.
		s.Settings["bounds.peerMessages"] = false
	}
	if s.Shadow == nil {
		return nil
	}
	s.ShadowSettings = maps.Clone(s.Settings)
	maps.Copy(s.ShadowSettings, Flatten(s.Shadow.Settings))
	if k := s.Shadow.Keys; k != nil {
		if s.AffinityFact != "" && s.AffinityFact != k.Fact {
			return fmt.Errorf("watch: keys are read from %q already", s.AffinityFact)
		}
		s.AffinityFact, s.ShadowSettings["keys"] = k.Fact, true
	}
	if err := errors.Join(shape(s.ShadowSettings), s.Shadow.Keys.check()); err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	return nil
}

// AllowPeerMessages has schedulers tell one another by another way than the addresses in the configuration, where the settings allow messages.
func (s *Bootstrap) AllowPeerMessages() error {
	if s.Peers != nil {
		return errors.New("the configuration names peers already")
	}
	if Flatten(s.RawSettings)["bounds.peerMessages"] != true {
		return errors.New("the settings do not allow messages (bounds.peerMessages)")
	}
	s.Settings["bounds.peerMessages"] = true
	return nil
}

// Number is this scheduler's among all, -1 where the settings do not tell.
func (s *Bootstrap) Number() int {
	if n, ok := s.Settings["myNumber"].(float64); ok {
		return int(n)
	}
	return -1
}

// MinSockets is how many descriptors a scheduler by itself needs.
const MinSockets = 64

// Limits are what the machine gives a scheduler.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// ReadBootstrap reads a sheet and says plainly what is wrong with it.
func ReadBootstrap(path string) (*Bootstrap, error) {
	if path == "" {
		return nil, errors.New("no configuration: name its file with --config or RELAY_CONFIG")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	s := &Bootstrap{Kinds: true, Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if err := errors.Join(json.Unmarshal(text, &s.raw), own(text, s)); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if one, ok := s.raw["settings"].(map[string]any); ok {
		s.RawSettings = one // and not two of hundreds of categories
	}
	if s.SeedValue, err = strconv.ParseUint(s.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("configuration %s: seed: %w", path, err)
	}
	s.Settings = Flatten(s.RawSettings)
	switch {
	case s.Listen == "":
		err = errors.New("no listen address")
	case s.Discovery == "":
		err = errors.New("no discovery address")
	case s.Settings[ItemKey("categories", 0, "ttl")] == nil:
		err = errors.New("the settings name no category")
	case s.Limits.Cores <= 0 || s.Limits.MemoryMB < 32 || s.Limits.Sockets < MinSockets:
		err = fmt.Errorf("limits of %g cores, %d MB and %d sockets are too small", s.Limits.Cores,
			s.Limits.MemoryMB, s.Limits.Sockets)
	default:
		err = errors.Join(s.counts(), s.move())
	}
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return s, nil
}

// Categories are the names of those that are served.
func (s *Bootstrap) Categories() (names []string) {
	for i := 0; ; i++ {
		name, ok := s.Settings[ItemKey("categories", i, "name")].(string)
		if !ok {
			return names
		}
		names = append(names, name)
	}
}

// CategoryRule is how often an op of a category may run. A group drops repeats for a window after the first push: "all" workers, a "zone" or a
// "cell"; 0 where nobody drops them.
type CategoryRule struct {
	Effect string // in the platform's word
	Window time.Duration
	Scope  string
}

// CategoryRules are those of the categories that are served, by their names. Of two with one name the last one is served.
func (s *Bootstrap) CategoryRules() map[string]CategoryRule {
	rules := map[string]CategoryRule{}
	for i, name := range s.Categories() {
		var r CategoryRule
		if r.Effect, _ = s.Settings[ItemKey("categories", i, "effect")].(string); r.Effect == "deduplicated" {
			r.Window = s.Duration(ItemKey("categories", i, "window"), 0)
			r.Scope, _ = s.Settings[ItemKey("categories", i, "dedupScope")].(string)
		}
		rules[name] = r
	}
	return rules
}

// SettingsHash is the same for two sheets whose settings are, but for which of the schedulers each is for.
func (s *Bootstrap) SettingsHash() uint64 {
	h := fnv.New64a()
	for _, name := range slices.Sorted(maps.Keys(s.Settings)) {
		if name != "myNumber" && name != "myZone" {
			fmt.Fprintf(h, "%s=%v\n", name, s.Settings[name]) // never fails
		}
	}
	return h.Sum64()
}

// LongestTTL is that of all categories: no op is out for longer.
func (s *Bootstrap) LongestTTL() (longest time.Duration) {
	for i := 0; s.Settings[ItemKey("categories", i, "ttl")] != nil; i++ {
		longest = max(longest, s.Duration(ItemKey("categories", i, "ttl"), 0))
	}
	return longest
}

// Schedulers is how many there are, 1 where the settings do not tell.
func (s *Bootstrap) Schedulers() int {
	n, _ := s.Settings["instances"].(float64)
	return max(int(n), 1)
}

// Duration is a duration among the terms, or another where they lack it.
func (s *Bootstrap) Duration(name string, otherwise time.Duration) time.Duration {
	if v, ok := s.Settings[name].(float64); ok && v > 0 {
		return time.Duration(v) * Tenth
	}
	return otherwise
}
