package frontend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/config"
)

// Buffers, header maps and connections are reused. No data of one client's op may appear in the op of another
// client, neither at the worker nor in an answer. Half of the clients send chunks, and some ops are rejected.
func TestConcurrentOpsLeakNoDataIntoEachOther(t *testing.T) {
	addr, _, _ := startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		var only []string
		for name, values := range r.Header {
			if strings.HasPrefix(name, "X-Only-") {
				only = append(only, name+"="+strings.Join(values, ","))
			}
		}
		slices.Sort(only)
		id := r.Header.Get(idHeader)
		if strings.HasSuffix(id, "7") {
			w.Header().Set("X-Unprocessed", "1")
			http.Error(w, "full for "+id, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintf(w, `{"id":%q,"state":"done","result":%q}`+"\n", id, fmt.Sprint(r.RequestURI, " ", only, " ", len(b), " ", string(b)))
	})
	var clients sync.WaitGroup
	for k := range 8 {
		clients.Go(func() {
			c := &http.Client{Transport: &http.Transport{}}
			defer c.CloseIdleConnections()
			for n := range 40 {
				id, path := fmt.Sprintf("%d-%d", k, n), fmt.Sprintf("/of-%d?n=%d", k, n)
				body := strings.Repeat(fmt.Sprint(k), 1+(n*977)%9000)
				var reader io.Reader = strings.NewReader(body)
				if k%2 == 0 {
					reader = io.MultiReader(reader) // hides the length, so that the client sends chunks
				}
				r, _ := http.NewRequest(http.MethodPost, "http://"+addr+path, reader)
				only := fmt.Sprintf("X-Only-%d", k*100+n)
				r.Header = http.Header{idHeader: {id}, categoryHeader: {"look"}, timeLeftHeader: {"20000"}, only: {id}}
				resp, err := c.Do(r)
				if err != nil {
					t.Error(err)
					return
				}
				b, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				if strings.HasSuffix(id, "7") {
					if resp.StatusCode != http.StatusServiceUnavailable || strings.Contains(string(b), "full for") {
						t.Errorf("%s: %d %q", id, resp.StatusCode, b)
					}
					continue
				}
				if want := fmt.Sprint(path, " ", []string{only + "=" + id}, " ", len(body), " ", body); string(b) != want {
					t.Errorf("%s: %d, %.80q, want %.80q", id, resp.StatusCode, b, want)
				}
			}
		})
	}
	clients.Wait()
}

// A scheduler that is stopped before discovery has sent a list must answer ops by its cached list, and
// must not wait for discovery.
func TestAShutdownBeforeTheFirstListAnswersByTheCachedList(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(silent.Close)
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { writeDone(w, r.Header.Get(idHeader)) }))
	t.Cleanup(worker.Close)
	known := oneWorkerList(worker.Listener.Addr().String())
	bootstrap := testBootstrap(t, known)
	bootstrap.Discovery = silent.Listener.Addr().String()
	bootstrap.Settings = config.Flatten(map[string]any{"bounds": map[string]any{"maxPushes": 1.0},
		"categories": []any{category("look", "fragile", 1e9, 1e9)}})
	server, err := New(bootstrap, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, l, time.Second) }()
	if resp, text := post(t, l.Addr().String(), ""); resp.StatusCode != http.StatusOK || text != "made for a1" {
		t.Errorf("%s %q", resp.Status, text)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	silent.CloseClientConnections()
}
