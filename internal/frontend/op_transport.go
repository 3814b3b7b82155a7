package frontend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/config"
	"woaddyke/internal/frontend/clientconn"
	"woaddyke/internal/lifecycle/clock"
	"woaddyke/internal/scheduler"
	"woaddyke/internal/scheduler/reducer"
)

// errNoOp is returned for a request that reached the transport without passing the handler.
var errNoOp = errors.New("the request's context carries no op")

// opScheduler is the part of the scheduler's loop that the transport uses.
type opScheduler interface {
	Submit(ctx context.Context, op scheduler.Submit) error
	Send(event reducer.Input)
	Done() <-chan struct{}
}

// opTransport is the reverse proxy's transport: it submits the op of a request to the scheduler, and
// waits for its one answer. http.Transport is not used: it would retry an op with an Idempotency-Key by
// itself, and dial connections that no request needs.
type opTransport struct {
	loop     opScheduler
	settings *atomic.Pointer[settings]
	claims   claimGate
	clients  *clientconn.Pool
	clock    clock.Clock
	log      zerolog.Logger
	lastOp   atomic.Uint64 // number of the newest op
}

func (s *Server) newOpTransport() *opTransport {
	return &opTransport{settings: &s.settings, clients: s.clients, clock: s.clock, log: s.log}
}

type pendingOpKey struct{}

// withOp returns a context that carries an op to the transport.
func withOp(ctx context.Context, op *pendingOp) context.Context {
	return context.WithValue(ctx, pendingOpKey{}, op)
}

// RoundTrip returns the final answer to the op that the request's context carries.
func (t *opTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	op, ok := r.Context().Value(pendingOpKey{}).(*pendingOp)
	if !ok {
		return nil, errNoOp
	}
	if t.claims.registry != nil {
		// The effect decides whether the op needs a claim. The reducer nacks the op if it is another by then.
		op.Effect = t.settings.Load().rule(op.Category).Effect
		if t.claims.required(op.Category) {
			if denied := t.claim(r, op); denied != nil {
				return denied, nil
			}
		}
	}
	op.Op = t.lastOp.Add(1)
	op.request.Head = requestHead(r, op)
	if err := t.loop.Submit(op.client, op.submission()); err != nil {
		op.finishClaim(neverRan, 0, nil)
		return nil, err
	}
	return t.await(r, op)
}

// await waits for the answer to an op that was submitted, until the client disconnects or the loop ends.
// An answer that has arrived by then is returned.
func (t *opTransport) await(r *http.Request, op *pendingOp) (*http.Response, error) {
	select {
	case answer := <-op.reply:
		return t.finalResponse(r, op, answer), nil
	case <-r.Context().Done():
		t.loop.Send(reducer.ClientDisconnected{Op: op.Op})
	case <-t.loop.Done():
	}
	select {
	case answer := <-op.reply:
		return t.finalResponse(r, op, answer), nil
	default:
	}
	op.finishClaim(mayHaveRun, 0, nil) // whether it ran is not known
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return nil, scheduler.ErrStopped
}

// finalResponse reports an op's outcome and returns the response to its client.
func (t *opTransport) finalResponse(r *http.Request, op *pendingOp, answer reducer.Respond) *http.Response {
	if answer.Verdict == reducer.Acked {
		t.clients.MarkServed(r.Context())
	}
	op.reportOutcome(answer)
	return response(r, answer)
}

func response(r *http.Request, answer reducer.Respond) *http.Response {
	switch answer.Verdict {
	case reducer.Acked:
		return textResponse(r, http.StatusOK, answer.Result, 0)
	case reducer.Nacked:
		retryAfter := time.Duration(answer.RetryAfter) * config.Tenth
		text := []byte("nacked: trying again is harmless\n")
		return textResponse(r, http.StatusServiceUnavailable, text, retryAfter)
	case reducer.UnknownCategory:
		return textResponse(r, http.StatusBadRequest, []byte("unknown category\n"), 0)
	case reducer.DuplicateID:
		return textResponse(r, http.StatusConflict, []byte("an op with this id is held already\n"), 0)
	}
	return textResponse(r, http.StatusBadGateway, []byte("dead-lettered\n"), 0)
}

// textResponse returns a response with a text, and with a Retry-After header if retryAfter is above 0.
func textResponse(r *http.Request, status int, text []byte, retryAfter time.Duration) *http.Response {
	resp := &http.Response{
		StatusCode:    status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{},
		Request:       r,
		ContentLength: int64(len(text)),
		Body:          io.NopCloser(bytes.NewReader(text)),
	}
	resp.Header.Set("Content-Length", strconv.Itoa(len(text)))
	setRetryAfter(resp.Header, retryAfter)
	return resp
}
