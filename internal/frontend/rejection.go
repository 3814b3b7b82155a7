package frontend

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"woaddyke/internal/frontend/clientconn"
)

// Rejection is the error for a request that is not a valid op, or that is not admitted.
type Rejection struct {
	Status     int
	Text       string // for the client
	RestUnread bool   // the end of the request was not found, so nothing more can be read from its connection

	RetryAfter time.Duration // for the client; 0 for none
}

func (r *Rejection) Error() string { return r.Text }

// asRejection returns the rejection in an error's chain, or a bad request with the error's text.
func asRejection(err error) *Rejection {
	var rejection *Rejection
	if errors.As(err, &rejection) {
		return rejection
	}
	return badRequest("%v", err)
}

func badRequest(format string, args ...any) *Rejection {
	return &Rejection{Status: http.StatusBadRequest, Text: fmt.Sprintf(format, args...)}
}

// followedByLargeBody reports whether more than an allowed body is still to come of a rejected request. A smaller rest
// is discarded, so that the connection can be used for the next request.
func followedByLargeBody(r *http.Request, rejection *Rejection) bool {
	switch {
	case r.ContentLength > maxBodyBytes, rejection.Status == http.StatusRequestEntityTooLarge:
		return true
	case r.ContentLength == 0, rejection.RestUnread, r.Header.Get("Expect") != "":
		return false // to read the rest of a request with Expect would ask the client for it
	}
	n, err := io.CopyN(io.Discard, r.Body, maxBodyBytes+1)
	return n > maxBodyBytes || err != io.EOF && !errors.Is(err, http.ErrBodyReadAfterClose)
}

// rejectAndLinger sends the response for a rejection, after which the connection is closed once its client has
// closed it. It returns false if the connection can't be taken from the HTTP server.
func (s *Server) rejectAndLinger(w http.ResponseWriter, r *http.Request, rejection *Rejection) bool {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	if recorded, ok := w.(*recordedResponse); ok {
		recorded.status, recorded.hijacked = rejection.Status, true
	}
	response := textResponse(r, rejection.Status, []byte(rejection.Text+"\n"), rejection.RetryAfter)
	response.Close = true
	s.clients.Linger(nc, response.Write)
	return true
}

// setRetryAfter sets when a client may come back, if that is above 0.
func setRetryAfter(h http.Header, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 4, 64))
	}
}

// reject sends the response for a rejection, and logs it.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, rejection *Rejection) {
	s.log.Debug().Str("error", rejection.Text).Int("status", rejection.Status).Msg("request rejected")
	large := followedByLargeBody(r, rejection)
	if rejection.RestUnread || large {
		clientconn.SkipUnansweredCheck(r.Context())
		w.Header().Set("Connection", "close")
	}
	if large && s.rejectAndLinger(w, r, rejection) {
		return
	}
	setRetryAfter(w.Header(), rejection.RetryAfter)
	s.setConnectionClose(r.Context(), w.Header(), rejection.Status)
	http.Error(w, rejection.Text, rejection.Status)
}
