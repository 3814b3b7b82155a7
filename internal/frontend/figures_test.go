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

// expectedCounts is what the driver itself knows of the requests of one category.
type expectedCounts struct{ served, refused, failed, gone, held int }

// Figures that drift from what clients saw are worse than none: a refusal that the door worded, or a
// client that left in the middle, was in no count. At every step all that was taken is in one place, and
// in the right one. The seed is FIGURES_SEED.
func TestFiguresAddUpWhateverBecomesOfOps(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("FIGURES_SEED"), 10, 64)
	if err != nil {
		seed = 7
	}
	chance := rand.New(rand.NewPCG(seed, 0))
	t.Logf("FIGURES_SEED=%d", seed)
	release, began := make(chan bool), make(chan bool, 99)
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		switch r.URL.Path {
		case "/break":
			panic(http.ErrAbortHandler)
		case "/hold":
			began <- true
			select {
			case <-release:
			case <-r.Context().Done():
				return
			}
		}
		writeDone(w, r.Header.Get(idHeader))
	}))
	t.Cleanup(worker.Close)
	sheet := testBootstrap(t, oneWorkerList(worker.Listener.Addr().String()))
	sheet.Settings = config.Flatten(map[string]any{"bounds": map[string]any{"maxPushes": 1.0, "cancel": true},
		"categories": []any{category("look", "fragile", 60e9, 60e9)}})
	f, err := New(sheet, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	addr, _ := serveUntil(t, f)
	var look, other expectedCounts
	pushed := 0
	sum := func(o metrics.OpCounts) int { return o.Succeeded + o.Rejected + o.Failed + o.Disconnected }
	// agree waits until the figures say what the book says: the last of an answer is counted just behind it.
	agree := func(step string) {
		t.Helper()
		for until := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
			x := f.Metrics()
			k := x.Requests["look"]
			if x.RequestsRead != sum(k)+sum(x.Other)+x.OpsInFlight {
				t.Fatalf("%s: %+v do not add up", step, x)
			}
			if k == (metrics.OpCounts{Succeeded: look.served, Rejected: look.refused, Failed: look.failed, Disconnected: look.gone,
				Attempts: pushed}) && x.Other == (metrics.OpCounts{Failed: other.failed}) && x.OpsInFlight == look.held {
				return
			}
			if time.Now().After(until) {
				t.Fatalf("%s: %+v, the book has %+v, %+v, %d pushed", step, x, look, other, pushed)
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
		ctx, leave := context.WithCancel(context.Background())
		defer leave()
		want, step := 0, []string{"serve", "break", "late", "malformed", "stranger", "leave", "hold", "release"}[chance.IntN(8)]
		switch step {
		case "serve":
			go send(request(ctx, "/", "look", "60000"))
			look.served, pushed, want = look.served+1, pushed+1, 200
		case "break":
			go send(request(ctx, "/break", "look", "60000"))
			look.failed, pushed, want = look.failed+1, pushed+1, 502
		case "late":
			go send(request(ctx, "/", "look", "0"))
			look.refused, want = look.refused+1, 503
		case "malformed":
			go send(request(ctx, "/", "look", "soon"))
			look.failed, want = look.failed+1, 400
		case "stranger":
			go send(request(ctx, "/", "nobody's", "60000"))
			other.failed, want = other.failed+1, 400
		case "leave":
			go send(request(ctx, "/hold", "look", "60000"))
			<-began
			leave()
			look.gone, pushed = look.gone+1, pushed+1
		case "hold":
			go send(request(ctx, "/hold", "look", "60000"))
			<-began
			look.held, pushed = look.held+1, pushed+1
		case "release":
			if look.held > 0 {
				release <- true
				look.held, look.served, want = look.held-1, look.served+1, 200
			} else {
				step = "nothing"
			}
		}
		if step != "hold" && step != "nothing" {
			if got := <-answered; got != want {
				t.Fatalf("step %d, %s: answered %d, want %d", n, step, got, want)
			}
		}
		agree(fmt.Sprintf("step %d, %s", n, step))

	}
}
