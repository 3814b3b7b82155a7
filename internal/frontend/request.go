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

	maxBodyBytes    = 64 << 10
	maxHeaderNumber = 1e12 // upper limit of the numbers in headers

	// responseTravelTime is subtracted from the time left, since the client's time also runs while the
	// response is on the network.
	responseTravelTime = 10 * time.Millisecond

	// incompleteBodyRetryAfter is told to the client of a request that was ended while its body was read. Within
	// this time each body that is being read is either complete or given up.
	incompleteBodyRetryAfter = bodyTimeout
)

// pendingOp is an op whose client waits for the answer.
type pendingOp struct {
	reducer.OpArrived
	requestTarget string               // as the client wrote it
	request       workerconn.Request   // sent to workers
	reply         chan reducer.Respond // buffered for the one answer
	client        context.Context      // the request's; it ends when the server detects a disconnect

	deadline    time.Time           // when the client gives up
	rule        config.CategoryRule // rule of the op's category when the op arrived
	maxAttempts int                 // limit of attempts when the op arrived

	claim grantedClaim
}

// submission returns an op in the scheduler's form.
func (op *pendingOp) submission() scheduler.Submit {
	return scheduler.Submit{
		Op:           op.OpArrived,
		Client:       op,
		Deadline:     op.deadline,
		Rule:         op.rule,
		MaxAttempts:  op.maxAttempts,
		ClaimGranted: op.claim.granted(),
		Reply:        op.reply,
	}
}

// Disconnected tells whether the server has detected that the client disconnected.
func (op *pendingOp) Disconnected() bool { return op.client.Err() != nil }

// CheckConnected tells whether the client is still connected. The server may detect a closed connection a
// moment late, so the socket is checked too.
func (op *pendingOp) CheckConnected() bool {
	return !op.Disconnected() && !clientconn.Disconnected(op.client)
}

// Request returns the request for a worker, with the time left for its answer.
func (op *pendingOp) Request(left time.Duration) []byte { return op.request.Bytes(left) }

// readOp reads an op from a request: it parses the fields that decisions need, and keeps the rest
// unchanged. An error is a Rejection.
func (s *Server) readOp(w http.ResponseWriter, r *http.Request, arrivedAt time.Time) (*pendingOp, error) {
	if r.Method != http.MethodPost {
		return nil, &Rejection{Status: http.StatusMethodNotAllowed, Text: "ops come by POST"}
	}
	op := &pendingOp{requestTarget: r.RequestURI, reply: make(chan reducer.Respond, 1), client: r.Context()}
	if err := op.readIdentity(r.Header); err != nil {
		return nil, err
	}
	timeLeft, err := s.readDeadline(op, r, arrivedAt)
	if err != nil {
		return nil, err
	}
	current := s.settings.Load()
	op.rule = current.rule(op.Category)
	op.maxAttempts = current.maxAttempts()
	if err := s.readFacts(op, r.Header); err != nil {
		return nil, err
	}
	if op.request.Body, err = readBody(w, r); err != nil {
		return nil, s.bodyRejection(err)
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Time{})
	// A client that does not read its answer occupies a descriptor.
	control.SetWriteDeadline(arrivedAt.Add(timeLeft + answerReadTimeout))
	return op, nil
}

// readIdentity reads an op's ID and category.
func (op *pendingOp) readIdentity(h http.Header) error {
	if op.ID = h.Get(idHeader); op.ID == "" {
		return badRequest("no %s", idHeader)
	}
	if !utf8.ValidString(op.ID) {
		return badRequest("%s is no text in UTF-8: workers could not name the op in JSON", idHeader)
	}
	if op.Category = h.Get(categoryHeader); op.Category == "" {
		return badRequest("no %s", categoryHeader)
	}
	return nil
}

// readDeadline reads how long the client waits, sets the op's TTL and deadline from it, and returns it.
func (s *Server) readDeadline(op *pendingOp, r *http.Request, arrivedAt time.Time) (time.Duration, error) {
	ms, err := strconv.ParseInt(r.Header.Get(timeLeftHeader), 10, 64)
	if err != nil {
		return 0, badRequest("%s is no whole number of milliseconds", timeLeftHeader)
	}
	timeLeft := time.Duration(min(ms, scheduler.MaxTTL.Milliseconds())) * time.Millisecond
	answerBy := arrivedAt.Add(timeLeft - responseTravelTime - requestAge(r.Context()))
	if !answerBy.After(arrivedAt) {
		return 0, &Rejection{Status: http.StatusServiceUnavailable, Text: "no time left"}
	}
	op.TTL = config.RoundDown(s.clock.FromTime(answerBy))
	op.deadline = answerBy.Add(responseTravelTime)
	return timeLeft, nil
}

// readFacts reads the optional headers that decisions use: numbers, and the affinity key.
func (s *Server) readFacts(op *pendingOp, h http.Header) error {
	if hint := h.Get(workHeader); hint != "" {
		us, err := parseNumber(hint)
		if err != nil {
			return badRequest("%s: %v", workHeader, err)
		}
		op.Work = dispatch.Time(us / 100)
	}
	for _, fact := range strings.Split(h.Get(factsHeader), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(fact), "=")
		if name == s.bootstrap.AffinityFact && value != "" {
			op.AffinityKey = config.IdentityHash(value)
		}
		var err error
		switch name {
		case "slots":
			op.Slots, err = parseNumber(value)
		case "memory":
			op.Memory, err = parseNumber(value)
		}
		if err != nil {
			return badRequest("%s: %v", factsHeader, err)
		}
	}
	return nil
}

func parseNumber(text string) (float64, error) {
	v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > maxHeaderNumber {
		return 0, fmt.Errorf("%q is no figure", text)
	}
	return v, nil
}

// readBody reads a complete body. Memory grows with the bytes that arrive: many clients could announce
// 64 KiB and send nothing.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > maxBodyBytes {
		return nil, bodyTooLarge()
	}
	var body bytes.Buffer
	if _, err := io.Copy(&body, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, bodyTooLarge()
		}
		switch {
		case errors.Is(err, clientconn.ErrOutOfMemory):
			return nil, outOfMemory()
		case errors.Is(err, clientconn.ErrEvicted):
			return nil, evicted()
		}
		return nil, &Rejection{Status: http.StatusBadRequest, Text: "the body did not come whole", RestUnread: true}
	}
	return body.Bytes(), nil
}

// bodyRejection returns the rejection of a request whose body was not read completely. During a shutdown
// the scheduler itself may have stopped reading it, so the client may retry.
func (s *Server) bodyRejection(err error) error {
	rejection := asRejection(err)
	if rejection.Status == http.StatusBadRequest && s.clients.StoppedReading() {
		return &Rejection{
			Status:     http.StatusServiceUnavailable,
			Text:       "this scheduler ends: trying again is harmless",
			RestUnread: true,
		}
	}
	return rejection
}

func bodyTooLarge() *Rejection {
	return &Rejection{Status: http.StatusRequestEntityTooLarge, Text: "a body holds at most 64 KiB", RestUnread: true}
}

func outOfMemory() *Rejection {
	return incompleteBodyEnded("requests hold too much memory: trying again is harmless")
}

func evicted() *Rejection {
	return incompleteBodyEnded("other clients need the connection: trying again is harmless")
}

func incompleteBodyEnded(text string) *Rejection {
	return &Rejection{
		Status:     http.StatusServiceUnavailable,
		Text:       text,
		RestUnread: true,
		RetryAfter: incompleteBodyRetryAfter,
	}
}

// requestHead returns the head of the request to workers, without the time left.
func requestHead(r *http.Request, op *pendingOp) []byte {
	b := bytes.NewBuffer(make([]byte, 0, 512))
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, op.requestTarget, r.Host)
	excluded := map[string]bool{
		timeLeftHeader:   true,
		"Content-Length": true,
		"Host":           true,
		"User-Agent":     r.Header.Get("User-Agent") == "", // the proxy adds an empty one
	}
	r.Header.WriteSubset(b, excluded)
	fmt.Fprintf(b, "Content-Length: %d\r\n", len(op.request.Body))
	return b.Bytes()
}
