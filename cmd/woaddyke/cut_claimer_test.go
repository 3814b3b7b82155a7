package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"woaddyke/internal/lab/cluster"
	"woaddyke/internal/lab/faultproxy"
)

// overlapWorker reports that it has started each op, holds it until release is closed, and counts how many pushes of
// an op are out at once.
type overlapWorker struct {
	mu       sync.Mutex
	out      map[string]int
	mostOut  int
	received chan string
	release  chan struct{}
}

func (o *overlapWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		fmt.Fprintln(w, `{"waiting":0,"running":0}`)
		return
	}
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Correlation-Id")
	o.count(id, 1)
	defer o.count(id, -1)
	fmt.Fprintf(w, `{"id":%q,"state":"started"}`+"\n", id)
	w.(http.Flusher).Flush()
	o.received <- id
	select {
	case <-o.release:
		fmt.Fprintf(w, `{"id":%q,"state":"done","result":"x"}`+"\n", id)
	case <-r.Context().Done():
	}
}

func (o *overlapWorker) count(id string, change int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.out[id] += change
	o.mostOut = max(o.mostOut, o.out[id])
}

// A scheduler that is cut off from the others, but not from its worker, is taken for dead while it holds a deduplicated
// op. No other scheduler may push the op while the first push is out.
func TestAnOpOfACutOffClaimerIsOutOnce(t *testing.T) {
	t.Parallel()
	o := &overlapWorker{out: map[string]int{}, received: make(chan string, 9), release: make(chan struct{})}
	worker := httptest.NewServer(o)
	t.Cleanup(worker.Close)
	t.Cleanup(worker.CloseClientConnections)
	list := fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"az":"east","pod_group":1,"state":"SERVING"}]}`,
		worker.Listener.Addr())
	c := cluster.New(t, 4, fastMembers+copiesTableOf(claimTimeout)+"deduplicated = true\n", list, testCommand)
	startAll(c, true)
	holder := c.Nodes[3]
	go post(holder, "note", "held", "x")
	<-o.received
	c.Await("the replicas know the zone of the op", func() bool {
		for _, p := range c.Nodes[:3] {
			var x recordsPage
			if !p.Get("/api/copies/records?category=note&id=held", &x) || len(x.Rows) != 1 || x.Rows[0].Group == "" {
				return false
			}
		}
		return true
	})
	for i := range 3 {
		c.Net.SetCut(3, i, faultproxy.Silent)
		c.Net.SetCut(i, 3, faultproxy.Silent)
	}
	c.AwaitState("n4", "gone", c.Nodes[:3]...)
	answered := make(chan int, 1)
	go func() {
		status, _ := post(c.Nodes[0], "note", "held", "x")
		answered <- status
	}()
	select {
	case <-o.received: // the repeat was pushed
	case <-answered:
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.mostOut > 1 {
		t.Errorf("%d pushes of the op are out at once", o.mostOut)
	}
	close(o.release)
}
