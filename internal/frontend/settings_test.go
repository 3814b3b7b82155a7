package frontend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/config"
)

// recordedWindows is a registry that grants every claim, and records the categories and windows of the
// claims.
type recordedWindows struct {
	ignoredOutcomes
	claims chan string
}

func (r *recordedWindows) Claim(
	_ context.Context, category, _ string, _ []byte, _, window time.Duration,
) replication.ClaimDecided {
	r.claims <- fmt.Sprint(category, " ", window)
	return replication.ClaimDecided{Result: replication.Granted, RequestID: 7}
}

// An op of a dropped category is served by its old rules until their retention ends, and must need a claim by
// these rules. Formerly no claim was requested for it, and an at-most-once op could run at two schedulers.
func TestAnOpOfADroppedCategoryStillNeedsAClaim(t *testing.T) {
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		writeDone(w, r.Header.Get(idHeader))
	}))
	t.Cleanup(worker.Close)
	base := testBootstrap(t, oneWorkerList(worker.Listener.Addr().String()))
	path := filepath.Join(t.TempDir(), "sheet")
	write := func(categories string) {
		t.Helper()
		text := fmt.Sprintf(`{"listen":"a:1","discovery":%q,"seed":"1","known":%s,"settings":{"categories":[%s]}}`, base.Discovery,
			base.KnownWorkers, categories)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const look, pay, note = `{"name":"look","effect":"retryable","ttlNs":6e10,"targetLatencyNs":6e10}`,
		`{"name":"pay","effect":"fragile","ttlNs":6e10,"targetLatencyNs":6e10}`,
		`{"name":"note","effect":"dedup","windowNs":5e9,"dedupScope":"all","ttlNs":6e10,"targetLatencyNs":6e10}`
	write(look + "," + pay + "," + note)
	bootstrap, err := config.ReadBootstrap(path)
	if err != nil {
		t.Fatal(err)
	}
	server, err := New(bootstrap, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	registry := &recordedWindows{claims: make(chan string, 9)}
	server.RequireClaims(registry, func(category string) bool {
		return server.CategoryEffect(category) == "at-most-once" || server.CategoryEffect(category) == "deduplicated"
	})
	addr, _ := serveUntil(t, server)
	sent := 0
	// claimFor sends an op and returns the claim that was requested for it, or "" for none.
	claimFor := func(category string) string {
		t.Helper()
		sent++
		if resp, text := post(t, addr, "", fmt.Sprintf("%s: %d", idHeader, sent), categoryHeader+": "+category); resp.StatusCode != http.StatusOK {
			t.Fatalf("an op of %s: %d %s", category, resp.StatusCode, text)
		}
		select {
		case claim := <-registry.claims:
			return claim
		default:
			return ""
		}
	}
	for step, settings := range []string{"", look, look + "," + strings.Replace(pay, "pay", "pay-2", 1)} {
		if settings != "" {
			write(settings)
			if server.ReloadConfig(path); server.Metrics().ReloadsOK != step {
				t.Fatalf("step %d: the configuration was not reloaded", step)
			}
		}
		for category, want := range map[string]string{"look": "", "pay": "pay 0s", "note": "note 5s"} {
			if got := claimFor(category); got != want {
				t.Errorf("step %d, an op of %s: claim requested for %q, want %q", step, category, got, want)
			}
		}
	}
}

// The rules of dropped categories must be bounded in number and deleted after their retention: otherwise
// categories that are added and dropped would accumulate.
func TestRulesOfDroppedCategoriesAreBoundedAndExpire(t *testing.T) {
	const perStep, steps = 1000, 8
	now := time.Now()
	bootstrapAt := func(step int) *config.Bootstrap {
		var categories []any
		for i := range perStep {
			categories = append(categories, map[string]any{"name": fmt.Sprint(step, "-", i), "effect": "fragile", "ttlNs": 1e9})
		}
		return &config.Bootstrap{Settings: config.Flatten(map[string]any{"categories": categories})}
	}
	s := newSettings(bootstrapAt(0), nil, now, now)
	for i := 1; i < steps; i++ {
		s = newSettings(bootstrapAt(i), s, now, now.Add(time.Hour+time.Duration(i)))
	}
	for step, want := range map[int]bool{steps - 2: true, steps - 3: true, 0: false, 1: false} {
		if _, retained := s.rules[fmt.Sprint(step, "-", perStep-1)]; retained != want {
			t.Errorf("a rule of step %d: retained %v, want %v", step, retained, want)
		}
	}
	if len(s.rules) != maxDroppedCategories+perStep {
		t.Errorf("%d rules, want %d", len(s.rules), maxDroppedCategories+perStep)
	}
	later := now.Add(2 * time.Hour)
	if s = newSettings(bootstrapAt(0), s, later, later.Add(time.Second)); len(s.rules) != 2*perStep {
		t.Errorf("%d rules after the retention, want %d", len(s.rules), 2*perStep)
	}
}
