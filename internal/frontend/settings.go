package frontend

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/config"
	"woaddyke/internal/scheduler/reducer"
)

// maxDroppedCategories bounds the categories that a configuration has dropped and whose rules are still
// retained. The reducer has the same bound, and deletes the same ones first.
const maxDroppedCategories = 4096

// settings are a configuration with what each op needs of it.
type settings struct {
	*config.Bootstrap
	hash func() uint64

	// rules are by category. A search among hundreds in the configuration costs more than the rest of an op.
	rules map[string]categoryRule
}

// categoryRule is the rule of a category; of one that was dropped, until its retention ends.
type categoryRule struct {
	config.CategoryRule
	retainedUntil time.Time // zero for a category that is served
}

func (r categoryRule) expired(now time.Time) bool {
	return !r.retainedUntil.IsZero() && now.After(r.retainedUntil)
}

// newSettings retains the rules of categories that the settings before, if any, served and the new ones
// don't.
func newSettings(bootstrap *config.Bootstrap, before *settings, now, retainUntil time.Time) *settings {
	s := &settings{
		Bootstrap: bootstrap,
		rules:     map[string]categoryRule{},
		hash:      sync.OnceValue(bootstrap.SettingsHash),
	}
	for name, rule := range bootstrap.CategoryRules() {
		s.rules[name] = categoryRule{CategoryRule: rule}
	}
	if before != nil {
		s.limitDropped(s.retainDropped(before, now, retainUntil))
	}
	return s
}

// retainDropped returns the names of the categories that it retained.
func (s *settings) retainDropped(before *settings, now, until time.Time) (dropped []string) {
	for name, rule := range before.rules {
		if _, served := s.rules[name]; served || rule.expired(now) {
			continue
		}
		if rule.retainedUntil.IsZero() {
			rule.retainedUntil = until
		}
		s.rules[name] = rule
		dropped = append(dropped, name)
	}
	return dropped
}

// limitDropped deletes the categories that were dropped first, if there are too many.
func (s *settings) limitDropped(dropped []string) {
	excess := len(dropped) - maxDroppedCategories
	if excess <= 0 {
		return
	}
	slices.SortFunc(dropped, func(a, b string) int {
		return s.rules[a].retainedUntil.Compare(s.rules[b].retainedUntil)
	})
	for _, name := range dropped[:excess] {
		delete(s.rules, name)
	}
}

// rule is the rule of a category, or the zero rule if it isn't served.
func (s *settings) rule(category string) config.CategoryRule {
	r := s.rules[category]
	if r.expired(time.Now()) {
		return config.CategoryRule{}
	}
	return r.CategoryRule
}

// maxAttempts is how many attempts an op may have.
func (s *settings) maxAttempts() int {
	n, ok := s.Settings["bounds.maxPushes"].(float64)
	if !ok {
		return 1
	}
	return int(n)
}

// schedulerPolicy is what the scheduler's checks compare attempts with.
type schedulerPolicy struct {
	settings *atomic.Pointer[settings]
	claims   *claimGate
}

func (p schedulerPolicy) Rule(category string) config.CategoryRule {
	return p.settings.Load().rule(category)
}
func (p schedulerPolicy) MaxAttempts() int                   { return p.settings.Load().maxAttempts() }
func (p schedulerPolicy) ClaimRequired(category string) bool { return p.claims.required(category) }

// CategoryEffect is how often an op of a category may run, by the settings in force.
func (s *Server) CategoryEffect(category string) string {
	return s.settings.Load().rule(category).Effect
}

// DiscoveryAddr is discovery's address, by the configuration in force.
func (s *Server) DiscoveryAddr() string { return s.settings.Load().Discovery }

// SettingsHash identifies the settings in force, without those that differ between schedulers.
func (s *Server) SettingsHash() uint64 { return s.settings.Load().hash() }

// ReloadConfig applies a configuration file that was replaced: discovery's address, the categories and
// the number of attempts. All else stays as it is until a restart. A file with a fault changes nothing.
func (s *Server) ReloadConfig(path string) {
	before := s.settings.Load()
	bootstrap, err := readReload(path, before.Bootstrap)
	if err != nil {
		s.metrics.ConfigReloaded(false)
		s.log.Error().Str("path", path).Err(err).Msg("configuration kept")
		return
	}
	settingsChanged, othersChanged := bootstrap.CompareSettings(before.Bootstrap)
	if othersChanged {
		s.log.Warn().Msg("all but discovery, categories and pushes changes with a restart only")
	}
	s.applySettings(bootstrap, before, settingsChanged)
	// SetAddress opens discovery's watch anew. With changed settings alone, which all schedulers of a
	// deployment get, it would be a call of each for nothing.
	if bootstrap.Discovery != before.Discovery || !settingsChanged {
		s.endpoints.client.SetAddress(bootstrap.Discovery)
	}
	s.metrics.ConfigReloaded(true) // last: who reads of it goes by what is in force
	s.log.Info().Str("discovery", bootstrap.Discovery).Bool("settings", settingsChanged).
		Msg("configuration reread")
}

// readReload reads a configuration that is to replace another one.
func readReload(path string, before *config.Bootstrap) (*config.Bootstrap, error) {
	read := func() (*config.Bootstrap, error) { return config.ReadBootstrap(path) }
	bootstrap, err := oserror.RetryTransient(read)
	if err != nil {
		return nil, err
	}
	return bootstrap, bootstrap.CheckReload(before)
}

// applySettings puts settings in force. Ops that still come for a dropped category were sent before their
// clients knew, or are retries of such ops.
func (s *Server) applySettings(bootstrap *config.Bootstrap, before *settings, changed bool) {
	now := time.Now()
	retainUntil := now.Add(before.LongestTTL())
	if changed {
		s.metrics.SetCategories(bootstrap.Categories())
		s.loop.Send(reducer.SettingsChanged{
			Settings:    bootstrap.Settings,
			RetainUntil: config.RoundDown(s.clock.FromTime(retainUntil)),
		})
	}
	s.settings.Store(newSettings(bootstrap, before, now, retainUntil))
}
