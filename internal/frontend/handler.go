package frontend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
	"woaddyke/internal/frontend/clientconn"
	"woaddyke/internal/scheduler"
	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/workerconn"
)

const (
	idHeader       = "X-Correlation-Id"
	categoryHeader = "X-Service-Class"
	timeLeftHeader = "X-Time-Left-Ms"
	workHeader     = "X-Weight-Hint"
	factsHeader    = "X-Facts"

	maxBodyBytes       = 64 << 10
	responseTravelTime = 10 * time.Millisecond // the client counts the way to here and back too
)

// pendingOp is an op that a client waits for.
type pendingOp struct {
	reducer.OpArrived
	requestTarget string               // as the client wrote it
	request       workerconn.Request   // to workers
	reply         chan reducer.Respond // has room for the one answer
	client        context.Context      // of the request: it ends when the client is seen to leave

	deadline    time.Time           // its client gives up
	rule        config.CategoryRule // of its category, as it came
	maxAttempts int                 // as it came

	claimID       uint64        // of the fates; 0 for an op that was not asked for
	claimScope    string        // of the group that drops its repeats; empty for none
	groupReported bool          // the fates know where it may have run
	claims        ClaimRegistry // that gave the ticket
}

// submission is an op as the scheduler takes it.
func (h *pendingOp) submission() scheduler.Submit {
	return scheduler.Submit{
		Op:           h.OpArrived,
		Client:       h,
		Deadline:     h.deadline,
		Rule:         h.rule,
		MaxAttempts:  h.maxAttempts,
		ClaimGranted: h.claimID != 0,
		Reply:        h.reply,
	}
}

// Disconnected tells whether the server has noticed that the client is gone.
func (h *pendingOp) Disconnected() bool { return h.client.Err() != nil }

// Waiting tells whether the client is still there. The server may notice a closed connection a moment late, so the
// connection itself is looked at too.
func (h *pendingOp) Waiting() bool { return !h.Disconnected() && !clientconn.Left(h.client) }

// Request returns the request for a worker that has so much time left.
func (h *pendingOp) Request(left time.Duration) []byte { return h.request.Bytes(left) }

// Rejection is what a client is told whose request is no op.
type Rejection struct {
	status     int
	text       string
	restUnread bool // nobody knows where it ends: nothing that follows can be read
}

func badRequest(format string, args ...any) *Rejection {
	return &Rejection{status: http.StatusBadRequest, text: fmt.Sprintf(format, args...)}
}

// readOp takes an op from a request: the fields that decisions need, and the rest as it came.
func (f *Server) readOp(w http.ResponseWriter, r *http.Request, came time.Time) (*pendingOp, *Rejection) {
	if r.Method != http.MethodPost {
		return nil, &Rejection{status: http.StatusMethodNotAllowed, text: "ops come by POST"}
	}
	h := &pendingOp{requestTarget: r.RequestURI, reply: make(chan reducer.Respond, 1), client: r.Context()}
	if h.ID = r.Header.Get(idHeader); h.ID == "" {
		return nil, badRequest("no %s", idHeader)
	}
	if !utf8.ValidString(h.ID) {
		return nil, badRequest("%s is no text in UTF-8: workers could not name the op in JSON", idHeader)
	}
	if h.Category = r.Header.Get(categoryHeader); h.Category == "" {
		return nil, badRequest("no %s", categoryHeader)
	}
	left, err := strconv.ParseInt(r.Header.Get(timeLeftHeader), 10, 64)
	if err != nil {
		return nil, badRequest("%s is no whole number of milliseconds", timeLeftHeader)
	}
	wait := time.Duration(min(left, scheduler.MaxTTL.Milliseconds())) * time.Millisecond
	until := came.Add(wait - responseTravelTime - requestAge(r.Context()))
	if !until.After(came) {
		return nil, &Rejection{status: http.StatusServiceUnavailable, text: "no time left"}
	}
	h.TTL, h.deadline = config.RoundDown(f.clock.Nanos(until)), until.Add(responseTravelTime)
	inForce := f.inForce.Load()
	h.rule, h.maxAttempts = inForce.rule(h.Category), inForce.maxAttempts()
	if no := f.readFacts(h, r.Header); no != nil {
		return nil, no
	}
	var no *Rejection
	if h.request.Body, no = readBody(w, r); no != nil {
		return nil, no
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Time{})
	control.SetWriteDeadline(came.Add(wait + answerReadTimeout)) // one that is not read would hold its descriptor
	return h, nil
}

// readFacts reads the figures that help decisions; an op without them is an op still.
func (f *Server) readFacts(h *pendingOp, from http.Header) *Rejection {
	if hint := from.Get(workHeader); hint != "" {
		us, err := parseNumber(hint)
		if err != nil {
			return badRequest("%s: %v", workHeader, err)
		}
		h.Work = dispatch.Time(us / 100)
	}
	for _, fact := range strings.Split(from.Get(factsHeader), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(fact), "=")
		var err error
		if name == f.bootstrap.AffinityFact && value != "" {
			h.AffinityKey = config.IdentityHash(value)
		}
		switch name {
		case "slots":
			h.Slots, err = parseNumber(value)
		case "memory":
			h.Memory, err = parseNumber(value)
		}
		if err != nil {
			return badRequest("%s: %v", factsHeader, err)
		}
	}
	return nil
}

func parseNumber(text string) (float64, error) {
	v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > 1e12 {
		return 0, fmt.Errorf("%q is no figure", text)
	}
	return v, nil
}

// readBody reads a request's body.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Rejection) {
	if r.ContentLength > maxBodyBytes {
		return nil, &Rejection{http.StatusRequestEntityTooLarge, "a body holds at most 64 KiB", true}
	}
	var b bytes.Buffer // it grows with what comes: many could claim 64 KiB and send none
	if _, err := io.Copy(&b, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, &Rejection{http.StatusRequestEntityTooLarge, "a body holds at most 64 KiB", true}
		}
		return nil, &Rejection{http.StatusBadRequest, "the body did not come whole", true}
	}
	return b.Bytes(), nil
}

// requestHead is the head of what goes to workers, up to the time left.
func requestHead(r *http.Request, h *pendingOp) []byte {
	b := bytes.NewBuffer(make([]byte, 0, 512))
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, h.requestTarget, r.Host)
	own := map[string]bool{timeLeftHeader: true, "Content-Length": true, "Host": true}
	own["User-Agent"] = r.Header.Get("User-Agent") == "" // the proxy puts in an empty one where there was none
	r.Header.WriteSubset(b, own)
	fmt.Fprintf(b, "Content-Length: %d\r\n", len(h.request.Body))
	return b.Bytes()
}
