// Package console serves the second address, which is for staff and their tools: HTTP/1.1, one call to a connection.
package console

import (
	"encoding/json"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/frontend/clientconn"
	"woaddyke/internal/observe/metrics"
)

const (
	maxConnections = 16 // connections at once; beyond them the one that has waited longest gives way
	slotTimeout    = 200 * time.Millisecond
	callTimeout    = 2 * time.Second // for a whole call to come, and for its answer to be read
)

// Scheduler is what calls are answered from. None of its methods may wait: answers are owed under any load.
type Scheduler interface {
	Ready() <-chan struct{} // closed once it can serve
	Metrics() metrics.Metrics
	DrainClients()   // send clients away
	ReadmitClients() // take them again
}

// Call is one that only some installations have.
type Call struct {
	Path    string
	Answer  func(*http.Request) any // what is shown, as JSON; it waits for nothing, or for less than callTime where it changes something
	Changes bool                    // it is a POST
}

// Serve answers calls until the listener is closed. It returns at once.
func Serve(l net.Listener, of Scheduler, log zerolog.Logger, more ...Call) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/ready", func(w http.ResponseWriter, _ *http.Request) {
		select {
		case <-of.Ready():
		default:
			http.Error(w, "not ready yet", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /api/telemetry", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, of.Metrics(), log)
	})
	for _, c := range more {
		method := http.MethodGet
		if c.Changes {
			method = http.MethodPost
		}
		mux.HandleFunc(method+" "+c.Path, func(w http.ResponseWriter, r *http.Request) { writeJSON(w, c.Answer(r), log) })
	}
	mux.HandleFunc("POST /api/evacuate", func(http.ResponseWriter, *http.Request) { of.DrainClients() })
	mux.HandleFunc("POST /api/rejoin", func(http.ResponseWriter, *http.Request) { of.ReadmitClients() })
	callers := clientconn.New(maxConnections, maxConnections)
	callers.Listener = l
	callers.Patience = slotTimeout // those before are read and answered, or found to say nothing
	s := &http.Server{Handler: mux, ConnState: callers.Track, ReadTimeout: callTimeout, WriteTimeout: callTimeout,
		MaxHeaderBytes: 8 << 10, ErrorLog: stdlog.New(log.With().Str("level", "warn").Logger(), "", 0)}
	s.SetKeepAlivesEnabled(false)
	go s.Serve(callers)
	log.Info().Str("console", l.Addr().String()).Msg("answering staff")
}

func writeJSON(w http.ResponseWriter, what any, log zerolog.Logger) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(what); err != nil {
		log.Debug().Err(err).Msg("figures not read")
	}
}
