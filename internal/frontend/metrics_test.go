package frontend

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/config"
	"woaddyke/internal/observe/metrics"
)

// expectedCounts are the outcomes of the requests of one category, as the test itself has counted them.
type expectedCounts struct{ succeeded, rejected, failed, disconnected, inFlight int }

// Metrics must count every request that was read exactly once, under the outcome that its client saw.
// Formerly they did not count requests that the HTTP handler rejected, and clients that disconnected while
// their op was in flight. The test takes random steps and compares the counts after each. The seed is
// FIGURES_SEED.
func TestMetricsCountEveryOpOnceWhateverItsOutcome(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("FIGURES_SEED"), 10, 64)
	if err != nil {
		seed = 7
	}
	random := rand.New(rand.NewPCG(seed, 0))
	t.Logf("FIGURES_SEED=%d", seed)
	release, started := make(chan bool), make(chan bool, 99)
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		switch r.URL.Path {
		case "/break":
			panic(http.ErrAbortHandler)
		case "/hold":
			started <- true
			select {
			case <-release:
			case <-r.Context().Done():
				return
			}
		}
		writeDone(w, r.Header.Get(idHeader))
	}))
	t.Cleanup(worker.Close)
	bootstrap := testBootstrap(t, oneWorkerList(worker.Listener.Addr().String()))
	bootstrap.Settings = config.Flatten(map[string]any{"bounds": map[string]any{"maxPushes": 1.0, "cancel": true},
		"categories": []any{category("look", "fragile", 60e9, 60e9)}})
	server, err := New(bootstrap, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	addr, _ := serveUntil(t, server)
	var look, other expectedCounts
	pushed := 0
	sum := func(o metrics.OpCounts) int { return o.Succeeded + o.Rejected + o.Failed + o.Disconnected }
	// awaitCounts waits until the metrics equal the expected counts: a request is counted just after its answer.
	awaitCounts := func(step string) {
		t.Helper()
		for until := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
			m := server.Metrics()
			counts := m.Requests["look"]
			if m.RequestsRead != sum(counts)+sum(m.Other)+m.OpsInFlight {
				t.Fatalf("%s: %+v do not add up", step, m)
			}
			if counts == (metrics.OpCounts{Succeeded: look.succeeded, Rejected: look.rejected, Failed: look.failed, Disconnected: look.disconnected,
				Attempts: pushed}) && m.Other == (metrics.OpCounts{Failed: other.failed}) && m.OpsInFlight == look.inFlight {
				return
			}
			if time.Now().After(until) {
				t.Fatalf("%s: %+v, want %+v, %+v, %d pushed", step, m, look, other, pushed)
			}
		}
	}
	id := 0
	url := "http://" + addr
	request := func(ctx context.Context, path, category, left string) *http.Request {
		id++
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+path, nil)
		r.Header = http.Header{idHeader: {fmt.Sprint(id)}, categoryHeader: {category}, timeLeftHeader: {left}}
		return r
	}
	answered := make(chan int, 99)
	send := func(r *http.Request) {
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			answered <- 0
			return
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		answered <- resp.StatusCode
	}
	for n := range 80 {
		ctx, disconnect := context.WithCancel(context.Background())
		defer disconnect()
		want, step := 0, []string{"serve", "break", "late", "malformed", "stranger", "leave", "hold", "release"}[random.IntN(8)]
		switch step {
		case "serve":
			go send(request(ctx, "/", "look", "60000"))
			look.succeeded, pushed, want = look.succeeded+1, pushed+1, 200
		case "break":
			go send(request(ctx, "/break", "look", "60000"))
			look.failed, pushed, want = look.failed+1, pushed+1, 502
		case "late":
			go send(request(ctx, "/", "look", "0"))
			look.rejected, want = look.rejected+1, 503
		case "malformed":
			go send(request(ctx, "/", "look", "soon"))
			look.failed, want = look.failed+1, 400
		case "stranger":
			go send(request(ctx, "/", "nobody's", "60000"))
			other.failed, want = other.failed+1, 400
		case "leave":
			go send(request(ctx, "/hold", "look", "60000"))
			<-started
			disconnect()
			look.disconnected, pushed = look.disconnected+1, pushed+1
		case "hold":
			go send(request(ctx, "/hold", "look", "60000"))
			<-started
			look.inFlight, pushed = look.inFlight+1, pushed+1
		case "release":
			if look.inFlight > 0 {
				release <- true
				look.inFlight, look.succeeded, want = look.inFlight-1, look.succeeded+1, 200
			} else {
				step = "nothing"
			}
		}
		if step != "hold" && step != "nothing" {
			if got := <-answered; got != want {
				t.Fatalf("step %d, %s: answered %d, want %d", n, step, got, want)
			}
		}
		awaitCounts(fmt.Sprintf("step %d, %s", n, step))

	}
}
