package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Reports how late attempts of disconnected clients reach a worker from a process with a tenth of a core:
// the process shares one core with nine busy loops. The test only reports figures, as they depend on the
// scheduler of the operating system alone. The seed sets how long the clients wait. The test runs for
// STARVED seconds, one by default.
func TestLateAttemptsOfAStarvedProcess(t *testing.T) {
	seconds, err := strconv.Atoi(os.Getenv("STARVED"))
	if err != nil {
		seconds = 1
	}
	var mu sync.Mutex
	left, arrivals := map[string]time.Time{}, map[string][]time.Time{}
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			time.Sleep(20 * time.Millisecond)
			fmt.Fprintln(w, `{"waiting":0,"running":0}`)
			return
		}
		io.Copy(io.Discard, r.Body)
		id, now := r.Header.Get("X-Correlation-Id"), time.Now()
		mu.Lock()
		arrivals[id] = append(arrivals[id], now)
		retry := len(arrivals[id]) < 3
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		if retry { // causes up to three attempts
			w.Header().Set("X-Unprocessed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintf(w, `{"id":%q,"state":"done","result":"x"}`+"\n", id)
	}))
	t.Cleanup(worker.Close)
	discovery := startDiscovery(t, fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"state":"SERVING"}]}`,
		worker.Listener.Addr()))
	listen := freeAddr(t)
	p := onOneCore(t, func() testProcess {
		return startProcessWith(t, t.TempDir(), listen, discovery, 0, 4096, map[string]any{
			"bounds":     map[string]any{"maxPushes": 6, "probes": true, "cancel": false, "connectTimeoutNs": 1e9},
			"report":     map[string]any{"fields": []string{"waiting", "running"}, "how": "on_probe"},
			"categories": []any{map[string]any{"name": "pay", "effect": "fragile", "ttlNs": 30e9, "targetLatencyNs": 20e9}}})
	})
	onOneCore(t, func() testProcess {
		for range 9 {
			c := exec.Command("sh", "-c", "while :; do :; done")
			if err := c.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Process.Kill(); c.Wait() })
		}
		return testProcess{}
	})
	until := time.Now().Add(time.Duration(seconds) * time.Second)
	var clients sync.WaitGroup
	for k := range 48 {
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(7, uint64(k)))
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprint(k, "-", n)
				c, err := net.Dial("tcp", listen)
				if err != nil {
					continue
				}
				fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 20000\r\n"+
					"Content-Length: 0\r\n\r\n", id)
				c.SetReadDeadline(time.Now().Add(time.Duration(rng.IntN(600)) * time.Millisecond))
				if _, err := c.Read(make([]byte, 1)); err != nil {
					mu.Lock()
					left[id] = time.Now()
					mu.Unlock()
				}
				c.Close()
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Duration(min(seconds, 2)) * time.Second / 2) // for late attempts
	p.cmd.Process.Kill()
	p.cmd.Wait()
	mu.Lock()
	defer mu.Unlock()
	var late []time.Duration
	attempts := 0
	for id, times := range arrivals {
		for _, at := range times {
			attempts++
			if gone, ok := left[id]; ok && at.After(gone) {
				late = append(late, at.Sub(gone))
			}
		}
	}
	if attempts == 0 {
		t.Errorf("nothing was measured: %s", p.log)
	}
	slices.Sort(late)
	over := func(d time.Duration) (n int) {
		for _, l := range late {
			if l > d {
				n++
			}
		}
		return n
	}
	worst := time.Duration(0)
	if len(late) > 0 {
		worst = late[len(late)-1]
	}
	t.Logf("%d attempts; %d clients left; attempts that came after that: %d, over 10 ms %d, over 50 ms %d, over 100 ms %d, the latest %v",
		attempts, len(left), len(late), over(10*time.Millisecond), over(50*time.Millisecond), over(100*time.Millisecond), worst)
}

// onOneCore runs start on the last core of the machine, which the started processes share.
func onOneCore(t *testing.T, start func() testProcess) testProcess {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		t.Fatal(err)
	}
	for k := range 1024 {
		if before.IsSet(k) {
			one.Zero()
			one.Set(k)
		}
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		t.Fatal(err)
	}
	defer unix.SchedSetaffinity(0, &before)
	return start()
}
