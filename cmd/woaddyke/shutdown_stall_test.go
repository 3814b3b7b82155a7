package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// stallFor stops a process for a time, and returns when it runs again.
func stallFor(t *testing.T, p testProcess, duration time.Duration) {
	t.Helper()
	suspend(t, p)
	time.Sleep(duration)
	p.cmd.Process.Signal(syscall.SIGCONT)
}

// A process that has been told to end stands still over the end of its time. When it runs on, it must answer the ops
// that it has taken before it ends. Formerly it closed their connections without an answer.
func TestAStallAtTheEndOfAShutdownLosesNoAnswer(t *testing.T) {
	t.Parallel()
	const seed, clients = 72, 8
	random := rand.New(rand.NewPCG(seed, 2))
	for range 2 {
		worker, discovery := newRecordingWorker(t)
		worker.cancelled = make(chan string, clients)
		listen := freeAddr(t)
		p := startProcessWith(t, t.TempDir(), listen, discovery, 0, 256, paySettings(2*time.Second))
		var mu sync.Mutex
		answers := map[string]int{}
		var all sync.WaitGroup
		for k := range clients {
			c := dial(t, listen)
			c.SetDeadline(time.Now().Add(20 * time.Second))
			io.WriteString(c, pipelinedOp(fmt.Sprint("held-", k), ""))
			<-worker.started
			all.Go(func() {
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					answers[err.Error()]++
					return
				}
				answers[fmt.Sprint(response.StatusCode)]++
			})
		}
		p.cmd.Process.Signal(syscall.SIGTERM)
		time.Sleep(1500*time.Millisecond + time.Duration(random.IntN(500))*time.Millisecond)
		stallFor(t, p, 1200*time.Millisecond)
		all.Wait()
		if answers["502"] != clients { // the ops are at-most-once, and may have run
			t.Errorf("seed %d: %v, want %d answers of 502: %s", seed, answers, clients, p.log)
		}
	}
}
