// Package console serves the second address of a scheduler, for operators and their tools. It speaks
// HTTP/1.1, with one request to a connection.
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
	maxConnections = 16              // beyond them the one that has been idle longest is closed
	callTimeout    = 2 * time.Second // for a request to arrive, and for its answer to be read
	maxHeaderBytes = 8 << 10

	// slotTimeout is the time for which a new connection waits until an older one is answered, or found idle.
	slotTimeout = 200 * time.Millisecond
)

// Scheduler is what the console shows and controls. None of its methods may wait: answers are owed under
// any load.
type Scheduler interface {
	Ready() <-chan struct{} // closed once it can serve
	Metrics() metrics.Metrics
	DrainClients()   // starts sending clients to other schedulers
	ReadmitClients() // ends that
}

// Call is a further request that the console answers, where a feature is switched on.
type Call struct {
	Path    string
	Changes bool // it is a POST

	// Answer returns what is written as JSON. It doesn't wait, or less than callTimeout where it changes
	// something.
	Answer func(*http.Request) any
}

func (c Call) pattern() string {
	if c.Changes {
		return http.MethodPost + " " + c.Path
	}
	return http.MethodGet + " " + c.Path
}

// Serve answers requests until the listener is closed. It returns at once.
func Serve(l net.Listener, scheduler Scheduler, log zerolog.Logger, calls ...Call) {
	connections := clientconn.New(maxConnections, maxConnections)
	connections.Listener = l
	connections.AdmissionTimeout = slotTimeout
	server := &http.Server{
		Handler:        newHandler(scheduler, log, calls),
		ConnState:      connections.Track,
		ReadTimeout:    callTimeout,
		WriteTimeout:   callTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       stdlog.New(log.With().Str("level", "warn").Logger(), "", 0),
	}
	server.SetKeepAlivesEnabled(false)
	go server.Serve(connections)
	log.Info().Str("console", l.Addr().String()).Msg("console listening")
}

func newHandler(scheduler Scheduler, log zerolog.Logger, calls []Call) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/ready", func(w http.ResponseWriter, _ *http.Request) {
		select {
		case <-scheduler.Ready():
		default:
			http.Error(w, "not ready yet", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /api/telemetry", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, scheduler.Metrics(), log)
	})
	mux.HandleFunc("POST /api/evacuate", func(http.ResponseWriter, *http.Request) {
		scheduler.DrainClients()
	})
	mux.HandleFunc("POST /api/rejoin", func(http.ResponseWriter, *http.Request) {
		scheduler.ReadmitClients()
	})
	for _, c := range calls {
		mux.HandleFunc(c.pattern(), func(w http.ResponseWriter, r *http.Request) {
			writeJSON(w, c.Answer(r), log)
		})
	}
	return mux
}

func writeJSON(w http.ResponseWriter, v any, log zerolog.Logger) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		log.Debug().Err(err).Msg("console answer not read")
	}
}
