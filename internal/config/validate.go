package config

import (
	"errors"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"time"
)

const (
	maxSchedulers      = 4096
	maxCategories      = 2048
	maxPushes          = 1000 // attempts of one op
	maxDuration        = 24 * time.Hour
	maxConnectionPrice = 1000
)

// settingsPathPrefix precedes the key of a setting in the key's path within the file.
const settingsPathPrefix = "settings."

// shadowPathPrefix precedes a key of Shadow in the key's path within the file.
const shadowPathPrefix = "watch."

// checkRequired checks that the required keys are present.
func (s *Bootstrap) checkRequired() error {
	var errs []error
	if s.Listen == "" {
		errs = append(errs, missing("listen"))
	}
	if s.Discovery == "" {
		errs = append(errs, missing("discovery"))
	}
	if s.Settings[ItemKey(KeyCategories, 0, KeyCategoryTTL)] == nil {
		key := settingsPathPrefix + ItemKey(KeyCategories, 0, KeyCategoryTTL) + nanosecondsSuffix
		errs = append(errs, &ConfigError{Key: key, Problem: "is missing or not a number"})
	}
	return errors.Join(errs...)
}

func (l Limits) check() error {
	var errs []error
	if l.Cores <= 0 {
		errs = append(errs, invalid("limits.cores", l.Cores, "must be above 0"))
	}
	if l.MemoryMB < minMemoryMB {
		errs = append(errs, invalid("limits.memory_mb", l.MemoryMB, "must be at least %d", minMemoryMB))
	}
	if l.Descriptors < MinDescriptors {
		errs = append(errs, invalid("limits.sockets", l.Descriptors, "must be at least %d", MinDescriptors))
	}
	return errors.Join(errs...)
}

// checkCategories checks the number of categories, their durations and the maximum number of attempts. The
// rules of ops can't be enforced without these values. It reads the nested settings: in the flat settings, a
// value that is neither an object nor a number may have another key.
func (s *Bootstrap) checkCategories() error {
	var errs []error
	categories, _ := s.RawSettings["categories"].([]any)
	if len(categories) > maxCategories {
		const problem = "must have at most %d entries"
		errs = append(errs,
			invalid(settingsPathPrefix+KeyCategories, len(categories), problem, maxCategories))
	}
	for i, entry := range categories {
		category, _ := entry.(map[string]any)
		for _, key := range []string{"ttlNs", "targetLatencyNs"} {
			errs = append(errs, checkDuration(category, key, ItemKey(KeyCategories, i, key)))
		}
	}
	bounds, _ := s.RawSettings["bounds"].(map[string]any)
	if value, exists := bounds["maxPushes"]; exists {
		number, ok := value.(float64)
		if !ok || number < 1 || number > maxPushes {
			err := invalid(settingsPathPrefix+KeyMaxPushes, value, "must be a number from 1 to %d", maxPushes)
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// checkDuration checks a duration in nanoseconds. The duration may be missing.
func checkDuration(object map[string]any, key, path string) error {
	value, exists := object[key]
	if !exists {
		return nil
	}
	number, ok := value.(float64)
	if ok && number > 0 && number <= float64(maxDuration) {
		return nil
	}
	const problem = "must be a number above 0 and at most %d"
	return invalid(settingsPathPrefix+path, value, problem, maxDuration.Nanoseconds())
}

// applyOptions checks the optional parts and sets the keys of the settings that are derived from them.
func (s *Bootstrap) applyOptions() error {
	if err := errors.Join(checkDeployment(s.Settings, settingsPathPrefix), s.Keys.check("")); err != nil {
		return err
	}
	if s.Keys != nil {
		s.AffinityFact = s.Keys.Fact
	}
	s.Settings[KeyAffinity] = s.Keys != nil
	s.Settings[KeyMachineKinds] = s.LearnMachineKinds
	if s.Peers == nil {
		// No peer reports arrive, and decisions would treat the missing reports as idle workers.
		s.Settings[KeyPeerMessages] = false
	} else if err := s.applyPeers(); err != nil {
		return err
	}
	if s.Shadow == nil {
		return nil
	}
	return s.applyShadow()
}

func (s *Bootstrap) applyPeers() error {
	if !s.Settings.Enabled(KeyPeerMessages) {
		return &ConfigError{Key: "peers", Err: ErrPeerMessagesDisabled}
	}
	return s.Peers.parse(s.Settings)
}

// parse parses the addresses and the numbers of the other schedulers.
func (p *Peers) parse(settings Settings) error {
	const addressProblem = "must be an IP address with a port"
	var err error
	if p.ListenAddr, err = netip.ParseAddrPort(p.Listen); err != nil {
		return &ConfigError{Key: "peers.listen", Problem: addressProblem, Value: p.Listen, Err: err}
	}
	schedulers, _ := settings.Number(KeyInstances)
	p.ByNumber = map[int]netip.AddrPort{}
	for name, address := range p.Others {
		key := "peers.others." + name
		number, err := strconv.Atoi(name)
		if err != nil || number < 0 || float64(number) >= schedulers {
			const problem = "must be the number of a scheduler below %g (settings.instances, 0 if missing)"
			return invalid(key, name, problem, schedulers)
		}
		if p.ByNumber[number], err = netip.ParseAddrPort(address); err != nil {
			return &ConfigError{Key: key, Problem: addressProblem, Value: address, Err: err}
		}
	}
	return nil
}

func (s *Bootstrap) applyShadow() error {
	s.ShadowSettings = maps.Clone(s.Settings)
	maps.Copy(s.ShadowSettings, Flatten(s.Shadow.Settings))
	if keys := s.Shadow.Keys; keys != nil {
		if s.AffinityFact != "" && s.AffinityFact != keys.Fact {
			const problem = "must be %q, from which keys are read already"
			return invalid(shadowPathPrefix+"keys.fact", keys.Fact, problem, s.AffinityFact)
		}
		s.AffinityFact = keys.Fact
		s.ShadowSettings[KeyAffinity] = true
	}
	return errors.Join(
		checkDeployment(s.ShadowSettings, shadowPathPrefix+settingsPathPrefix),
		s.Shadow.Keys.check(shadowPathPrefix))
}

// reservedFacts are facts that say which resources of a worker an op needs. They can't be an affinity key.
var reservedFacts = []string{"slots", "memory"}

func (k *Keys) check(path string) error {
	if k == nil {
		return nil
	}
	if k.Fact == "" || slices.Contains(reservedFacts, k.Fact) {
		return invalid(path+"keys.fact", k.Fact,
			`must be a fact that names an affinity key, neither empty nor "slots" nor "memory"`)
	}
	return nil
}

// checkDeployment checks the settings for the number of schedulers, their connections and peer reports.
func checkDeployment(settings Settings, path string) error {
	err := errors.Join(
		checkNumber(settings, path, KeyConnectionPrice, 0, maxConnectionPrice),
		checkWholeNumber(settings, path, KeyInstances, 1, maxSchedulers),
		checkWholeNumber(settings, path, KeyMyNumber, 0, maxSchedulers-1))
	if err != nil {
		return err
	}
	schedulers, known := settings.Number(KeyInstances)
	if number, _ := settings.Number(KeyMyNumber); known && number >= schedulers {
		return invalid(path+KeyMyNumber, number, "must be below the number of schedulers, %g", schedulers)
	}
	if value, exists := settings[KeyPeerMessages]; exists {
		if _, ok := value.(bool); !ok {
			return invalid(path+KeyPeerMessages, value, "must be true or false")
		}
	}
	return nil
}

// checkNumber checks that a number is within bounds. The number may be missing.
func checkNumber(settings Settings, path, key string, lower, upper float64) error {
	value, exists := settings[key]
	if !exists {
		return nil
	}
	if number, ok := value.(float64); ok && number >= lower && number <= upper {
		return nil
	}
	return invalid(path+key, value, "must be a number from %g to %g", lower, upper)
}

// checkWholeNumber checks that a number is whole and within bounds. The number may be missing.
func checkWholeNumber(settings Settings, path, key string, lower, upper float64) error {
	if err := checkNumber(settings, path, key, lower, upper); err != nil {
		return err
	}
	if number, _ := settings.Number(key); number != math.Trunc(number) {
		return invalid(path+key, number, "must be a whole number from %g to %g", lower, upper)
	}
	return nil
}
