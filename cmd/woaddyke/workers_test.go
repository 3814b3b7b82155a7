package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"woaddyke/internal/lab/cluster"
)

// A scheduler must apply a drain that a peer reports, until its own discovery has sent a list that is as
// recent. A scheduler with a silent discovery once pushed to a worker for good, although another scheduler
// knew that it drains.
func TestADrainThatAPeerReportsIsApplied(t *testing.T) {
	t.Parallel()
	for _, on := range []bool{true, false} {
		t.Run(fmt.Sprint("workers ", on), func(t *testing.T) {
			t.Parallel()
			var pushes [2]atomic.Int64
			var addrs []string
			for i := range 2 {
				w := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.Method == http.MethodGet {
						fmt.Fprintln(w, `{"waiting":0,"running":0}`)
						return
					}
					io.Copy(io.Discard, r.Body)
					pushes[i].Add(1)
					id := r.Header.Get("X-Correlation-Id")
					fmt.Fprintf(w, `{"id":%q,"state":"done","result":"ok"}`+"\n", id)
				}))
				t.Cleanup(w.Close)
				addrs = append(addrs, w.Listener.Addr().String())
			}
			row := `{"uid":"w%d","endpoint":%q,"state":%q,"boot_ms":1000}`
			snapshot := fmt.Sprintf(`{"rev":1,"all":true,"targets":[`+row+","+row+`]}`, 0, addrs[0], "SERVING", 1, addrs[1], "SERVING")
			drain := make(chan struct{})
			discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprintln(w, snapshot)
				w.(http.Flusher).Flush()
				select {
				case <-drain:
					fmt.Fprintf(w, `{"rev":2,"all":false,"targets":[`+row+"]}\n", 0, addrs[0], "DRAINING")
					w.(http.Flusher).Flush()
				case <-r.Context().Done():
				}
				<-r.Context().Done()
			}))
			t.Cleanup(discovery.Close)
			t.Cleanup(discovery.CloseClientConnections)
			c := cluster.New(t, 2, fmt.Sprintf("%sworkers = %v\n", fastMembers, on), snapshot, testCommand) // the discovery server of n2 sends no further list
			c.Nodes[0].Discovery = discovery.Listener.Addr().String()
			for _, p := range c.Nodes {
				c.Start(p)
			}
			c.AwaitConverged(c.Nodes...)
			ops := 0
			send := func(p *cluster.Node, n int) {
				for range n {
					ops++
					if status, text := post(p, "look", fmt.Sprint("x", ops), ""); status != http.StatusOK {
						t.Fatalf("%d %q", status, text)
					}
				}
			}
			c.Await("all workers are in use", func() bool {
				send(c.Nodes[1], 5)
				return pushes[0].Load() > 0 && pushes[1].Load() > 0
			})
			close(drain)
			avoidsDrained := func(p *cluster.Node) bool {
				before := pushes[0].Load()
				send(p, 30)
				return pushes[0].Load() == before
			}
			c.Await("the scheduler with the drain stops pushing to the worker", func() bool { return avoidsDrained(c.Nodes[0]) })
			if !on {
				stopped := true
				for range 2 {
					stopped = stopped && avoidsDrained(c.Nodes[1])
				}
				if stopped {
					t.Error("it stopped without a peer report too, so the test shows nothing")
				}
				return
			}
			c.Await("the other scheduler stops pushing to the worker", func() bool { return avoidsDrained(c.Nodes[1]) })
			for range 3 {
				if !avoidsDrained(c.Nodes[1]) {
					t.Error("it pushed to the worker again")
				}
			}
		})
	}
}
