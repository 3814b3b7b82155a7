package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// get decodes the answer of a console request. It returns false without an answer.
func get(console, path string, into any) bool {
	resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + console + path)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(into) == nil
}

// startUpdatableDiscovery starts a discovery server with a first list. It sends each list from more on the
// open watches; a watch that is opened later gets the latest list.
func startUpdatableDiscovery(t *testing.T, first string) (addr string, more chan<- string) {
	news := make(chan string, 1)
	var newest atomic.Pointer[string]
	newest.Store(&first)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, *newest.Load())
		w.(http.Flusher).Flush()
		beat := time.NewTicker(time.Second)
		defer beat.Stop()
		for {
			select {
			case text := <-news:
				newest.Store(&text)
				fmt.Fprintln(w, text)
			case <-beat.C:
				fmt.Fprintln(w)
			case <-r.Context().Done():
				return
			}
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String(), news
}

// A new worker beside three warm workers must get fewer ops than each of them, although the wall clock of
// the scheduler was stepped before its start. With the clock an hour ahead the worker was once considered
// an hour old.
func TestANewWorkerGetsASlowStartAcrossAClockStep(t *testing.T) {
	t.Parallel()
	for _, step := range clockSteps {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			requireSlowStart(t, step, false)
		})
	}
}

// A new worker in the first list that the scheduler reads must get a slow start, too. Such a worker once
// got about as many of 300 ops as a warm worker.
func TestANewWorkerInTheFirstListGetsASlowStart(t *testing.T) {
	t.Parallel()
	for _, step := range clockSteps {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			requireSlowStart(t, step, true)
		})
	}
}

// requireSlowStart starts a scheduler with a stepped wall clock, three warm workers and a new one, and
// fails the test if the new worker gets nearly as many ops as a warm one.
func requireSlowStart(t *testing.T, step time.Duration, inFirstList bool) {
	t.Helper()
	const (
		ops    = 300
		maxOps = ops / 6 // a warm worker gets a quarter
	)
	program, clock := steppedProgram(t)
	clock.Set(step)
	var fresh atomic.Int64
	began := time.Now()
	entry := func(k int, booted time.Time) string {
		worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				fmt.Fprintln(w, `{"waiting":0,"running":0}`)
				return
			}
			if k == 3 {
				fresh.Add(1)
			}
			fmt.Fprintf(w, `{"id":%q,"state":"done","result":"x"}`+"\n", r.Header.Get("X-Correlation-Id"))
		}))
		t.Cleanup(worker.Close)
		return fmt.Sprintf(`{"uid":"w%d","endpoint":%q,"state":"SERVING","boot_ms":%d}`, k, worker.Listener.Addr(), booted.UnixMilli())
	}
	var warm []string
	for k := range 3 {
		warm = append(warm, entry(k, began.Add(-2*time.Hour)))
	}
	first, added := warm, entry(3, time.Now())
	if inFirstList {
		first = append(warm, added)
	}
	discovery, more := startUpdatableDiscovery(t, `{"rev":1,"all":true,"targets":[`+strings.Join(first, ",")+`]}`)
	listen := freeAddr(t)
	p := startProgram(t, t.TempDir(), listen, discovery, 0, 256, map[string]any{
		"discovery":  "pushed",
		"bounds":     map[string]any{"maxPushes": 3, "probes": true, "cancel": true, "connectTimeoutNs": 2e8},
		"safety":     map[string]any{"coldFrom": 0.05, "warmAfterNs": 600e9, "overloadFactor": 1.2, "tipAfterNs": 1.5e9},
		"report":     map[string]any{"fields": []string{"waiting", "running"}, "how": "on_probe"},
		"categories": []any{map[string]any{"name": "pay", "effect": "fragile", "ttlNs": 30e9, "targetLatencyNs": 5e9}},
	}, program, (*exec.Cmd).Start)
	if !inFirstList {
		more <- `{"rev":2,"all":false,"targets":[` + added + `]}`
	}
	await(t, "the new worker is known", p.log, func() bool {
		var f struct {
			Workers int `json:"workers_known"`
		}
		return get(p.console, "/api/telemetry", &f) && f.Workers == 4
	})
	for k := range ops {
		if status := postAt(t, listen, fmt.Sprint("op", k), 5*time.Second); status != http.StatusOK {
			t.Fatalf("op%d: %d", k, status)
		}
	}
	if n := fresh.Load(); n > maxOps {
		t.Errorf("%d of %d ops went to the worker that has just started, at most %d may", n, ops, maxOps)
	}
}
