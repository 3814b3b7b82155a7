package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Several rare events coincide, twice in a row. While discovery is down and the wall clock has been
// stepped, a successor takes over and the predecessor is killed between its handover and its end. In the
// next hot restart the predecessor gets SIGHUP and SIGTERM at the same time. Ids must be retained, new ops
// must be served with the endpoint list from the handover, and a drain that discovery reports when it
// returns must be applied.
func TestHotRestartsWhileDiscoveryIsDownAndClocksAreStepped(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"hangs", "refused", "silent"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			program, clock := steppedProgram(t)
			runs := &runCounter{runs: map[string]int{}}
			var entries []string
			var workers []*httptest.Server
			for k := range 2 {
				workers = append(workers, httptest.NewServer(runs))
				t.Cleanup(workers[k].Close)
				entries = append(entries, fmt.Sprintf(`{"uid":"w%d","endpoint":%q,"state":"SERVING"}`, k, workers[k].Listener.Addr()))
			}
			discovery := newTestDiscovery(t, `{"rev":1,"all":true,"targets":[`+strings.Join(entries, ",")+`]}`)
			listen := uniqueAddr()
			dir := shortTempDir(t)
			settings := map[string]any{"discovery": "pushed",
				"bounds":     map[string]any{"maxPushes": 3, "probes": true, "cancel": true, "connectTimeoutNs": 2e8},
				"safety":     map[string]any{"drainGraceNs": 5e8},
				"report":     map[string]any{"fields": []string{"waiting", "running"}, "how": "on_probe"},
				"categories": []any{map[string]any{"name": "pay", "effect": "fragile", "ttlNs": 60e9, "targetLatencyNs": 20e9}}}
			start := func(n int) testProcess {
				return startProgram(t, dir, listen, discovery.addr, n, 256, settings, program, (*exec.Cmd).Start)
			}
			requireRejected := func(when string, ids []string) {
				t.Helper()
				for _, id := range ids {
					if status, err := postOp(listen, id, 50*time.Second); status != http.StatusConflict {
						t.Errorf("%s: %s again: %d, %v", when, id, status, err)
					}
				}
			}
			serve := func(when string) (ids []string) {
				t.Helper()
				for k := range 5 {
					id := fmt.Sprint(when, k)
					if status, err := postOp(listen, id, 50*time.Second); status != http.StatusOK {
						t.Errorf("%s: %s: %d, %v", when, id, status, err)
					}
					ids = append(ids, id)
				}
				return ids
			}
			first := start(0)
			ids := serve("first")
			discovery.fail(how)
			clock.Set(time.Hour)
			second := start(1)
			first.cmd.Process.Kill()
			first.cmd.Wait()
			requireRejected("after the predecessor was killed", ids)
			ids = append(ids, serve("second")...)
			clock.Set(-time.Hour)
			third := start(2)
			second.cmd.Process.Signal(syscall.SIGHUP)
			second.cmd.Process.Signal(syscall.SIGTERM)
			if err := waitOrKill(second.cmd); err != nil {
				t.Errorf("the second: %v: %s", err, second.log)
			}
			requireRejected("after the next hot restart", ids)
			ids = append(ids, serve("third")...)
			discovery.restore(`{"rev":2,"all":true,"targets":[` + strings.Replace(entries[0], "SERVING", "DRAINING", 1) + "," + entries[1] + `]}`)
			await(t, "the drain is known", third.log, func() bool {
				var f struct {
					Excluded int `json:"workers_excluded"`
				}
				return get(third.console, "/api/telemetry", &f) && f.Excluded == 1
			})
			requireRejected("after discovery's return", ids)
			serve("last")
			runs.mu.Lock()
			defer runs.mu.Unlock()
			for _, id := range ids {
				if runs.runs[id] != 1 {
					t.Errorf("%s ran %d times", id, runs.runs[id])
				}
			}
			for _, p := range []testProcess{second, third} {
				if !strings.Contains(p.log.String(), "took over") {
					t.Errorf("nothing was handed over, so the test shows nothing: %s", p.log)
				}
			}
		})
	}
}
