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

// maxDroppedCategories bounds the number of dropped categories whose rules are still retained. The reducer
// has the same bound, and deletes the same categories first.
const maxDroppedCategories = 4096

// settings holds a configuration, and values derived from it that each op needs.
type settings struct {
	*config.Bootstrap
	hash func() uint64

	// rules has the rule of each category by name: searching hundreds of them in the configuration costs
	// more than the rest of an op.
	rules map[string]categoryRule
}

// categoryRule is the rule of a category. The rule of a dropped category is retained for a limited time.
type categoryRule struct {
	config.CategoryRule
	retainedUntil time.Time // zero for a category that is served
}

func (r categoryRule) expired(now time.Time) bool {
	return !r.retainedUntil.IsZero() && now.After(r.retainedUntil)
}

// newSettings returns the settings of a configuration. It retains the rules of categories that the previous
// settings, if any, served and the new ones don't.
func newSettings(bootstrap *config.Bootstrap, previous *settings, now, retainUntil time.Time) *settings {
	s := &settings{
		Bootstrap: bootstrap,
		rules:     map[string]categoryRule{},
		hash:      sync.OnceValue(bootstrap.SettingsHash),
	}
	for name, rule := range bootstrap.CategoryRules() {
		s.rules[name] = categoryRule{CategoryRule: rule}
	}
	if previous != nil {
		s.limitDropped(s.retainDropped(previous, now, retainUntil))
	}
	return s
}

// retainDropped retains the rules of dropped categories and returns the names of these.
func (s *settings) retainDropped(previous *settings, now, until time.Time) (dropped []string) {
	for name, rule := range previous.rules {
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

// limitDropped deletes the rules of the categories that were dropped first, if too many are retained.
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

// rule returns the rule of a category, or the zero rule if it isn't served.
func (s *settings) rule(category string) config.CategoryRule {
	r := s.rules[category]
	if r.expired(time.Now()) {
		return config.CategoryRule{}
	}
	return r.CategoryRule
}

// maxAttempts returns how many attempts an op may have.
func (s *settings) maxAttempts() int {
	n, ok := s.Settings["bounds.maxPushes"].(float64)
	if !ok {
		return 1
	}
	return int(n)
}

// schedulerPolicy gives the scheduler the rules against which it checks attempts.
type schedulerPolicy struct {
	settings *atomic.Pointer[settings]
	claims   *claimGate
}

func (p schedulerPolicy) Rule(category string) config.CategoryRule {
	return p.settings.Load().rule(category)
}
func (p schedulerPolicy) MaxAttempts() int                   { return p.settings.Load().maxAttempts() }
func (p schedulerPolicy) ClaimRequired(category string) bool { return p.claims.required(category) }

// CategoryEffect returns the effect of a category in the settings in force: how often its ops may run.
func (s *Server) CategoryEffect(category string) string {
	return s.settings.Load().rule(category).Effect
}

// DiscoveryAddr returns discovery's address in the configuration in force.
func (s *Server) DiscoveryAddr() string { return s.settings.Load().Discovery }

// SettingsHash returns a hash of the settings in force, without those that differ between schedulers.
func (s *Server) SettingsHash() uint64 { return s.settings.Load().hash() }

// ReloadConfig reads a configuration file again. It applies changes to discovery's address, the categories
// and the number of attempts. All other changes need a restart. An invalid file changes nothing.
func (s *Server) ReloadConfig(path string) {
	previous := s.settings.Load()
	bootstrap, err := readReload(path, previous.Bootstrap)
	if err != nil {
		s.metrics.ConfigReloaded(false)
		s.log.Error().Str("path", path).Err(err).Msg("configuration kept")
		return
	}
	settingsChanged, othersChanged := bootstrap.CompareSettings(previous.Bootstrap)
	if othersChanged {
		s.log.Warn().Msg("ignored until a restart: changes beyond discovery, categories and bounds.maxPushes")
	}
	s.applySettings(bootstrap, previous, settingsChanged)
	// SetAddress reopens discovery's watch. A change of settings alone doesn't need that: it reaches all
	// schedulers of a deployment, and each of them would send discovery a needless request.
	if bootstrap.Discovery != previous.Discovery || !settingsChanged {
		s.endpoints.client.SetAddress(bootstrap.Discovery)
	}
	s.metrics.ConfigReloaded(true) // last: the settings must be in force when a reader sees the count
	s.log.Info().Str("discovery", bootstrap.Discovery).Bool("settings", settingsChanged).
		Msg("configuration reloaded")
}

// readReload reads a configuration and checks that it can replace the previous one.
func readReload(path string, previous *config.Bootstrap) (*config.Bootstrap, error) {
	read := func() (*config.Bootstrap, error) { return config.ReadBootstrap(path) }
	bootstrap, err := oserror.RetryTransient(read)
	if err != nil {
		return nil, err
	}
	return bootstrap, bootstrap.CheckReload(previous)
}

// applySettings puts settings in force. Rules of dropped categories are retained for the longest TTL: clients
// that don't know of the change yet still send ops of these categories, and retries of such ops arrive later.
func (s *Server) applySettings(bootstrap *config.Bootstrap, previous *settings, changed bool) {
	now := time.Now()
	retainUntil := now.Add(previous.LongestTTL())
	if changed {
		s.metrics.SetCategories(bootstrap.Categories())
		s.loop.Send(reducer.SettingsChanged{
			Settings:    bootstrap.Settings,
			RetainUntil: config.RoundDown(s.clock.FromTime(retainUntil)),
		})
	}
	s.settings.Store(newSettings(bootstrap, previous, now, retainUntil))
}
