package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"
)

// An id comes again on a new connection after its client has left many requests unread, at the same process or at
// the other process of a hot restart. It must run once: what the client has left behind must not be sent to a worker
// when the id's second op has had its time.
func TestAnIDRunsOnceAfterItsClientHasLeft(t *testing.T) {
	const (
		backlog     = 500
		backlogBody = 6000
		timeLeft    = 400 * time.Millisecond
	)
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprint("hot restart ", restarted), func(t *testing.T) {
			t.Parallel()
			discovery, listen, received, free := startHoldingWorker(t)
			dir := shortTempDir(t)
			startProcess(t, dir, listen, discovery, 0)
			c := dial(t, listen)
			io.WriteString(c, pipelinedOp("held", ""))
			if id := <-received; id != "held" {
				t.Fatal(id)
			}
			text := ""
			for k := range backlog {
				text += opWithBody(fmt.Sprint("left-", k), backlogBody)
			}
			go io.WriteString(c, text)
			time.Sleep(200 * time.Millisecond) // the client fills its window
			if restarted {
				startProcess(t, dir, listen, discovery, 1)
			}
			c.Close()
			var mu sync.Mutex
			runs := map[string]int{}
			go func() {
				for id := range received {
					mu.Lock()
					runs[id]++
					mu.Unlock()
				}
			}()
			for k := 0; k < backlog; k += 50 {
				id := fmt.Sprint("left-", k)
				if status := postAt(t, listen, id, timeLeft); status != http.StatusOK && status != http.StatusConflict {
					t.Errorf("%s, sent again: %d", id, status)
				}
			}
			time.Sleep(2 * timeLeft) // the ids are free again
			close(free)
			time.Sleep(500 * time.Millisecond) // for what would be sent on
			mu.Lock()
			defer mu.Unlock()
			for id, count := range runs {
				if count > 1 {
					t.Errorf("%s ran %d times", id, count)
				}
			}
			if len(runs) > backlog/50 {
				t.Errorf("%d ids ran, although %d were sent by a client that stayed", len(runs), backlog/50)
			}
		})
	}
}
