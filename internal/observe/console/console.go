// Package console serves a scheduler's HTTP address for operators and their tools. It uses HTTP/1.1 with one
// request per connection.
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
	maxConnections = 16              // above it, the connection that has been idle longest is closed
	callTimeout    = 2 * time.Second // to read a request, and to write its answer
	maxHeaderBytes = 8 << 10

	// slotTimeout limits how long a new connection waits until an older connection is answered or found idle.
	slotTimeout = 200 * time.Millisecond
)

// Scheduler is the scheduler that the console shows and controls. Its methods must not wait, since the
// console must answer under any load.
type Scheduler interface {
	Ready() <-chan struct{} // closed once the scheduler can serve
	Metrics() metrics.Metrics
	DrainClients()   // starts a client drain
	ReadmitClients() // ends the client drain
}

// Call is a further request that the console answers, for a feature that is enabled.
type Call struct {
	Path         string
	ChangesState bool // the method is POST, otherwise GET

	// Answer returns the value that is written as JSON. For GET it must not wait. For POST it may wait for
	// less than callTimeout.
	Answer func(*http.Request) any
}

func (c Call) pattern() string {
	if c.ChangesState {
		return http.MethodPost + " " + c.Path
	}
	return http.MethodGet + " " + c.Path
}

// Serve starts to answer requests and returns. The requests are answered until the listener is closed.
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
