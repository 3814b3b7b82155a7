// Command toy runs a few workers and a discovery agent in one process, to try out a scheduler. A worker runs
// as many jobs in parallel as it has slots. A job sleeps for the time in its weight hint, or for 100 ms
// without a hint.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

type worker struct {
	UID                 string `json:"uid"`
	Endpoint            string `json:"endpoint"`
	AZ                  string `json:"az"`
	PodGroup            int    `json:"pod_group"`
	State               string `json:"state"`
	BootMS              int64  `json:"boot_ms"`
	slots               chan struct{}
	inFlight, completed atomic.Int64
}

func (w *worker) load(out http.ResponseWriter, _ *http.Request) {
	busy := len(w.slots)
	fmt.Fprintf(out, `{"pending":%d,"busy_reqs":%d,"x0":%d}`,
		max(int(w.inFlight.Load())-busy, 0), w.inFlight.Load(), cap(w.slots)-busy)
}

func (w *worker) job(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Correlation-Id")
	if id == "" {
		http.NotFound(out, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	writeState := func(line map[string]any) {
		line["id"], line["from"] = id, w.UID
		json.NewEncoder(out).Encode(line)
		out.(http.Flusher).Flush()
	}
	w.inFlight.Add(1)
	defer w.inFlight.Add(-1)
	out.WriteHeader(http.StatusOK)
	out.(http.Flusher).Flush()
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	writeState(map[string]any{"state": "started"})
	micros, err := strconv.Atoi(r.Header.Get("X-Weight-Hint"))
	if err != nil {
		micros = 100_000
	}
	time.Sleep(time.Duration(micros) * time.Microsecond)
	w.completed.Add(1)
	writeState(map[string]any{"state": "done",
		"result": fmt.Sprintf("%d bytes seen by %s\n", len(body), w.UID)})
}

// listWorkers returns the handler of the endpoint list. A watch gets the list once and then an empty line
// every two seconds.
func listWorkers(workers []*worker) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		json.NewEncoder(out).Encode(map[string]any{"rev": 1, "all": true, "targets": workers})
		for r.URL.Query().Get("stream") == "1" {
			out.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				fmt.Fprintln(out)
			}
		}
	}
}

func serve(addr string, h http.Handler) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		log.Fatal(err)
	}
	go func() { log.Fatal(http.Serve(l, h)) }()
}

func main() {
	n := flag.Int("workers", 4, "how many workers")
	slots := flag.Int("slots", 2, "jobs that a worker runs at once")
	discovery := flag.String("discovery", "127.0.0.1:8500", "address of the list")
	port := flag.Int("port", 9101, "port of the first worker")
	flag.Parse()
	var workers []*worker
	for i := range *n {
		w := &worker{UID: fmt.Sprintf("w%d", i), Endpoint: fmt.Sprintf("127.0.0.1:%d", *port+i),
			PodGroup: i % 2, AZ: []string{"east", "west"}[i%2], State: "SERVING", slots: make(chan struct{}, *slots)}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
		mux.HandleFunc("GET /load", w.load)
		mux.HandleFunc("POST /", w.job)
		serve(w.Endpoint, mux)
		workers = append(workers, w)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", listWorkers(workers))
	serve(*discovery, mux)
	log.Printf("%d workers from 127.0.0.1:%d, discovery at %s", *n, *port, *discovery)
	for range time.Tick(5 * time.Second) {
		for _, w := range workers {
			log.Printf("%s: %d in flight, %d completed", w.UID, w.inFlight.Load(), w.completed.Load())
		}
	}
}
