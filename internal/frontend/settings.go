package frontend

import (
	"slices"
	"sync"
	"time"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/config"
	"woaddyke/internal/scheduler/reducer"
)

const maxDroppedCategories = 4096 // categories that are served no more but for a while

// settings are those in force.
type settings struct {
	*config.Bootstrap
	rules map[string]categoryRule // by category; of hundreds, a walk over the sheet for each op cost more than the op
	hash  func() uint64
}

// categoryRule is a category's, until then if it was dropped.
type categoryRule struct {
	config.CategoryRule
	retainedUntil time.Time
}

// newSettings takes over what a category that is dropped goes on by for a while.
func newSettings(sheet *config.Bootstrap, before *settings, now, until time.Time) *settings {
	s := &settings{Bootstrap: sheet, rules: map[string]categoryRule{}, hash: sync.OnceValue(sheet.SettingsHash)}
	for name, r := range sheet.CategoryRules() {
		s.rules[name] = categoryRule{CategoryRule: r}
	}
	if before == nil {
		return s
	}
	var dropped []string
	for name, r := range before.rules {
		if _, served := s.rules[name]; served || !r.retainedUntil.IsZero() && now.After(r.retainedUntil) {
			continue
		}
		if r.retainedUntil.IsZero() {
			r.retainedUntil = until
		}
		s.rules[name] = r
		dropped = append(dropped, name)
	}
	if len(dropped) > maxDroppedCategories { // the reducer has forgotten the first ones too
		slices.SortFunc(dropped, func(a, b string) int { return s.rules[a].retainedUntil.Compare(s.rules[b].retainedUntil) })
		for _, name := range dropped[:len(dropped)-maxDroppedCategories] {
			delete(s.rules, name)
		}
	}
	return s
}

// rule is a category's, empty for one that is not served any more.
func (s *settings) rule(category string) config.CategoryRule {
	r := s.rules[category]
	if !r.retainedUntil.IsZero() && time.Now().After(r.retainedUntil) {
		return config.CategoryRule{}
	}
	return r.CategoryRule
}

// maxAttempts is how often an op may be pushed.
func (s *settings) maxAttempts() int {
	n, ok := s.Settings["bounds.maxPushes"].(float64)
	if !ok {
		return 1
	}
	return int(n)
}

// settingsInForce is what the scheduler's checks compare attempts with.
type settingsInForce struct{ server *Server }

func (p settingsInForce) Rule(category string) config.CategoryRule {
	return p.server.inForce.Load().rule(category)
}
func (p settingsInForce) MaxAttempts() int { return p.server.inForce.Load().maxAttempts() }
func (p settingsInForce) ClaimRequired(category string) bool {
	return p.server.claimRequired != nil && p.server.claimRequired(category)
}

// CategoryEffect is how often an op of a category may run, by the settings in force.
func (f *Server) CategoryEffect(category string) string {
	return f.inForce.Load().rule(category).Effect
}

// Discovery is where the list is read, by the configuration in force.
func (f *Server) Discovery() string { return f.inForce.Load().Discovery }

// SettingsHash names the settings in force, but for what is each scheduler's own.
func (f *Server) SettingsHash() uint64 { return f.inForce.Load().hash() }

// ReloadConfig takes up a configuration that was replaced: where discovery is now, the categories and how often an op is pushed.
// Workers, ops and connections stay as they are, and so does all else until a restart. A file that is at fault changes nothing.
func (f *Server) ReloadConfig(path string) {
	before := f.inForce.Load()
	sheet, err := oserror.RetryTransient(func() (*config.Bootstrap, error) { return config.ReadBootstrap(path) })
	if err == nil {
		err = sheet.CheckReload(before.Bootstrap)
	}
	if err != nil {
		f.metrics.ConfigReloaded(false)
		f.log.Error().Err(err).Msg("configuration kept")
		return
	}
	retunes, rest := sheet.CategoriesChanged(before.Bootstrap)
	if rest {
		f.log.Warn().Msg("all but discovery, categories and pushes changes with a restart only")
	}
	now := time.Now()
	// What comes for a category that is served no more was sent before its client knew, or is its next try.
	until := now.Add(before.LongestTTL())
	if retunes {
		f.metrics.SetCategories(sheet.Categories())
		f.loop.Send(reducer.SettingsChanged{Settings: sheet.Settings, RetainUntil: config.RoundDown(f.clock.Nanos(until))})
	}
	f.inForce.Store(newSettings(sheet, before, now, until))
	if sheet.Discovery != before.Discovery || !retunes { // a watch that is opened anew at each of a site's changes is a call each for nothing
		f.discovery.SetAddress(sheet.Discovery)
	}
	f.metrics.ConfigReloaded(true) // last: who reads of it goes by what is in force
	f.log.Info().Str("discovery", sheet.Discovery).Bool("settings", retunes).Msg("configuration reread")
}
