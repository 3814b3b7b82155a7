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

// recordedWindows is a registry that grants all, and records the categories and windows of the claims.
type recordedWindows struct {
	ignoredOutcomes
	of chan string
}

func (r *recordedWindows) Claim(
	_ context.Context, category, _ string, _ []byte, _, window time.Duration,
) replication.ClaimDecided {
	r.of <- fmt.Sprint(category, " ", window)
	return replication.ClaimDecided{Result: replication.Granted, RequestID: 7}
}

// An op of a category that was dropped is served by its old rules for a while, but claims were not
// asked for it any more: an at-most-once op could run at two schedulers.
func TestAnOpOfADroppedCategoryIsAskedForStill(t *testing.T) {
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		writeDone(w, r.Header.Get(idHeader))
	}))
	t.Cleanup(worker.Close)
	stand := testBootstrap(t, oneWorkerList(worker.Listener.Addr().String()))
	path := filepath.Join(t.TempDir(), "sheet")
	write := func(categories string) {
		t.Helper()
		text := fmt.Sprintf(`{"listen":"a:1","discovery":%q,"seed":"1","known":%s,"settings":{"categories":[%s]}}`, stand.Discovery,
			stand.KnownWorkers, categories)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const look, pay, note = `{"name":"look","effect":"retryable","ttlNs":6e10,"targetLatencyNs":6e10}`,
		`{"name":"pay","effect":"fragile","ttlNs":6e10,"targetLatencyNs":6e10}`,
		`{"name":"note","effect":"dedup","windowNs":5e9,"dedupScope":"all","ttlNs":6e10,"targetLatencyNs":6e10}`
	write(look + "," + pay + "," + note)
	sheet, err := config.ReadBootstrap(path)
	if err != nil {
		t.Fatal(err)
	}
	f, err := New(sheet, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	by := &recordedWindows{of: make(chan string, 9)}
	f.RequireClaims(by, func(category string) bool {
		return f.CategoryEffect(category) == "at-most-once" || f.CategoryEffect(category) == "deduplicated"
	})
	addr, _ := serveUntil(t, f)
	sent := 0
	ask := func(category string) string {
		t.Helper()
		sent++
		if resp, text := post(t, addr, "", fmt.Sprintf("%s: %d", idHeader, sent), categoryHeader+": "+category); resp.StatusCode != http.StatusOK {
			t.Fatalf("an op of %s: %d %s", category, resp.StatusCode, text)
		}
		select {
		case of := <-by.of:
			return of
		default:
			return ""
		}
	}
	for step, settings := range []string{"", look, look + "," + strings.Replace(pay, "pay", "pay-2", 1)} {
		if settings != "" {
			write(settings)
			if f.ReloadConfig(path); f.Metrics().ReloadsOK != step {
				t.Fatalf("step %d is not taken", step)
			}
		}
		for category, want := range map[string]string{"look": "", "pay": "pay 0s", "note": "note 5s"} {
			if got := ask(category); got != want {
				t.Errorf("step %d, an op of %s: claims are asked for %q, not %q", step, category, got, want)
			}
		}
	}
}

// Names that come and go must not be held for good.
func TestTheRulesOfDroppedCategoriesAreGivenBack(t *testing.T) {
	const each, steps = 1000, 8
	now := time.Now()
	of := func(step int) *config.Bootstrap {
		var categories []any
		for i := range each {
			categories = append(categories, map[string]any{"name": fmt.Sprint(step, "-", i), "effect": "fragile", "ttlNs": 1e9})
		}
		return &config.Bootstrap{Settings: config.Flatten(map[string]any{"categories": categories})}
	}
	s := newSettings(of(0), nil, now, now)
	for i := 1; i < steps; i++ {
		s = newSettings(of(i), s, now, now.Add(time.Hour+time.Duration(i)))
	}
	for step, want := range map[int]bool{steps - 2: true, steps - 3: true, 0: false, 1: false} {
		if _, holds := s.rules[fmt.Sprint(step, "-", each-1)]; holds != want {
			t.Errorf("a rule that was dropped at step %d is held: %v", step, holds)
		}
	}
	if len(s.rules) != maxDroppedCategories+each {
		t.Errorf("%d rules", len(s.rules))
	}
	later := now.Add(2 * time.Hour)
	if s = newSettings(of(0), s, later, later.Add(time.Second)); len(s.rules) != 2*each {
		t.Errorf("%d rules after their while", len(s.rules))
	}
}
