package frontend

import (
	"context"
	"net/http"
	"net/http/httputil"
	"sync"
	"time"

	"woaddyke/internal/frontend/clientconn"
	"woaddyke/internal/observe/metrics"
)

const (
	bodyTimeout       = time.Second      // for the arrival of a body, after its head
	answerReadTimeout = 10 * time.Second // for a client to read its answer

	proxyBufferBytes = 4 << 10
)

// ServeHTTP serves health checks and ops, and rejects all other requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	limitTimes(w, r, arrivedAt)
	if ambiguousBody(r) {
		s.answer(w, r, nil, ambiguousLength())
		return
	}
	if clientconn.CutForMemory(r.Context()) {
		s.answer(w, r, nil, outOfMemory())
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
		s.health(w, r)
		return
	}
	op, err := s.readOp(w, r, arrivedAt)
	if err == nil && !s.drain.admits(time.Now()) {
		w.Header().Set("Retry-After", "0") // the client may retry at another scheduler immediately
		err = &Rejection{Status: http.StatusServiceUnavailable, Text: "clients are sent away"}
	}
	s.answer(w, r, op, err)
}

// ambiguousBody reports whether another server, such as a proxy in front of this one, may find the end of a
// request's body elsewhere than net/http, so that what follows could hide a request (RFC 9112, 6.1). In HTTP/1.0
// a Transfer-Encoding header is always ambiguous, and net/http hides it there.
func ambiguousBody(r *http.Request) bool {
	hidesTransferEncoding := !r.ProtoAtLeast(1, 1)
	switch clientconn.FramingOf(r.Context()) {
	case clientconn.FramingLength:
		return len(r.TransferEncoding) > 0
	case clientconn.FramingTransferEncoding:
		return hidesTransferEncoding
	case clientconn.FramingUnknown:
		return len(r.TransferEncoding) > 0 || hidesTransferEncoding
	}
	return true
}

// ambiguousLength is the rejection of a request with an ambiguous body.
func ambiguousLength() *Rejection {
	return &Rejection{
		Status:     http.StatusLengthRequired,
		Text:       "an op comes with one plain Content-Length or, in HTTP/1.1, in chunks, not with both",
		RestUnread: true,
	}
}

// limitTimes sets deadlines for reading a request's body and for writing its response. A request without a
// body gets no read deadline: net/http is already reading from its connection to detect a disconnect.
func limitTimes(w http.ResponseWriter, r *http.Request, arrivedAt time.Time) {
	control := http.NewResponseController(w)
	control.SetWriteDeadline(arrivedAt.Add(answerReadTimeout))
	if r.ContentLength != 0 {
		// Without a deadline, net/http would wait for the rest of a rejected request.
		control.SetReadDeadline(arrivedAt.Add(bodyTimeout))
	}
}

// answer responds to a request and counts it. err is nil if the request is an op.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, op *pendingOp, err error) {
	s.metrics.RequestStarted()
	response := &recordedResponse{ResponseWriter: w}
	end := metrics.Disconnected // stays if the proxy panics to make the server close the connection
	defer func() { s.metrics.RequestEnded(r.Header.Get(categoryHeader), end) }()
	if err != nil {
		s.reject(response, r, asRejection(err))
	} else {
		r.Body = http.NoBody
		s.proxy.ServeHTTP(response, r.WithContext(withOp(r.Context(), op)))
	}
	end = response.finish(r.Context())
}

// recordedResponse records the status of a response.
type recordedResponse struct {
	http.ResponseWriter
	status   int
	hijacked bool // the response was written to the connection itself
}

func (r *recordedResponse) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap is for http.ResponseController.
func (r *recordedResponse) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// finish flushes the response and returns how the request ended for its client.
func (r *recordedResponse) finish(client context.Context) metrics.RequestEnd {
	disconnected := client.Err() != nil // read first: a client that disconnects later has its response
	if !r.hijacked && http.NewResponseController(r).Flush() != nil || disconnected {
		return metrics.Disconnected
	}
	switch r.status {
	case http.StatusOK:
		return metrics.Succeeded
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return metrics.Rejected
	}
	return metrics.Failed
}

// health tells load balancers whether to send clients here.
func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	if !s.lifecycle.healthy() || s.drain.draining() {
		status = http.StatusServiceUnavailable
	}
	s.setConnectionClose(r.Context(), w.Header(), status)
	w.WriteHeader(status)
}

// setConnectionClose makes a response close its connection if the request was invalid, as later requests may
// be, or if clients are to leave this process. A close without a response could lose the client's next
// request. If another request was already read from the connection, this response doesn't close it.
func (s *Server) setConnectionClose(client context.Context, h http.Header, status int) {
	badRequest := status/100 == 4
	leaves := s.lifecycle.closeAfterResponse.Load() || s.lifecycle.clientsMove.Load() || s.drain.draining()
	if (badRequest || leaves) && !clientconn.HasPipelinedRequest(client) {
		h.Set("Connection", "close")
	}
}

// newProxy returns the handler of ops: a reverse proxy that submits each op to the scheduler instead of
// forwarding it to another server.
func (s *Server) newProxy() *httputil.ReverseProxy {
	return &httputil.ReverseProxy{
		Transport:  s.transport,
		Rewrite:    func(r *httputil.ProxyRequest) { r.Out.URL.RawQuery = r.In.URL.RawQuery },
		BufferPool: &bufferPool{},
		ModifyResponse: func(r *http.Response) error {
			s.setConnectionClose(r.Request.Context(), r.Header, r.StatusCode)
			return nil
		},
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
			if r.Context().Err() == nil {
				s.log.Error().Err(err).Msg("no answer from the scheduler")
			}
			w.WriteHeader(http.StatusBadGateway)
		},
	}
}

// bufferPool reuses the buffers with which the proxy copies responses.
type bufferPool struct{ pool sync.Pool }

func (b *bufferPool) Get() []byte {
	if v, ok := b.pool.Get().(*[]byte); ok {
		return *v
	}
	return make([]byte, proxyBufferBytes)
}

func (b *bufferPool) Put(v []byte) { b.pool.Put(&v) }
