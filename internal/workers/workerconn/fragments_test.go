package workerconn

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"woaddyke/dispatch"
	"woaddyke/internal/testsupport/fragmentpeer"
	"woaddyke/internal/workers/outcome"
)

// chunkedResponse returns a response with these job lines, one per chunk.
func chunkedResponse(lines ...string) (text string) {
	text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, l := range lines {
		text += fmt.Sprintf("%x\r\n%s\n\r\n", len(l)+1, l)
	}
	return text + "0\r\n\r\n"
}

// A worker may split its response anywhere, and may close the connection after any byte. Guards against
// fragmented responses that are read as malformed, and against partial responses that are read as complete.
func TestFragmentedResponsesAreReadCorrectly(t *testing.T) {
	const started, done = `{"id":"a1","state":"started"}`, `{"id":"a1","state":"done","result":"x y"}`
	complete := chunkedResponse(started, done)
	var current atomic.Pointer[fragmentpeer.Script] // any connection to the server reads it
	addr := fragmentpeer.ServeScripts(t, func() fragmentpeer.Script { return *current.Load() })
	push := func() End {
		ends := make(chan End, 1)
		newTestPool(1).Push(addr, "a1", fixedRequest([]byte("POST / HTTP/1.1\r\n\r\n")), time.Now().Add(20*time.Second), alwaysWanted, func() {}, func(JobLine) {},
			func(e End) { ends <- e })
		return <-ends
	}
	for _, way := range fragmentpeer.CompleteScripts(complete) {
		current.Store(&way)
		if e := push(); e.Ending != outcome.Done || string(e.Result) != "x y" {
			t.Errorf("%s: %v, %q", way.Name, e.Ending, e.Result)
		}
	}
	lastLineEnd := strings.Index(complete, done) + len(done)
	for _, way := range fragmentpeer.TruncatedScripts(complete) {
		current.Store(&way)
		switch e := push(); {
		case len(way.Text()) >= lastLineEnd:
			if e.Ending != outcome.Done || string(e.Result) != "x y" {
				t.Errorf("%s, after the last job line: %v, %q", way.Name, e.Ending, e.Result)
			}
		case e.Ending.Outcome() == dispatch.Succeeded || e.Ending.Outcome() == dispatch.Rejected ||
			e.Ending.Outcome() == dispatch.Unreachable || e.Ending.Outcome() == dispatch.NotSent || e.Result != nil:
			t.Errorf("%s: %v, %q; but the op may have run, and has no result", way.Name, e.Ending, e.Result)
		}
	}
	for text, want := range map[string]outcome.Ending{
		chunkedResponse(`{"id":"a1","state":"returned"}`):                           outcome.Returned,
		"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 4\r\n\r\nbusy":    outcome.Shed,
		"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n":                              outcome.ServerError,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n": outcome.Rejected,
	} {
		for _, way := range fragmentpeer.CompleteScripts(text) {
			current.Store(&way)
			if e := push(); e.Ending != want {
				t.Errorf("%q %s: %v, want %v", text, way.Name, e.Ending, want)
			}
		}
	}
}

// Guards against a fragmented or truncated load report that is read as a different load.
func TestFragmentedLoadReportsAreReadCorrectly(t *testing.T) {
	const report = `{"pending":12,"busy_reqs":3}`
	complete := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
	var current atomic.Pointer[fragmentpeer.Script] // any connection to the server reads it
	addr := fragmentpeer.ServeScripts(t, func() fragmentpeer.Script { return *current.Load() })
	probe := func() End {
		ends := make(chan End, 1)
		newTestPool(1).Probe(addr, []byte("GET /load HTTP/1.1\r\n\r\n"), time.Now().Add(20*time.Second), func(e End) { ends <- e })
		return <-ends
	}
	for _, way := range fragmentpeer.CompleteScripts(complete) {
		current.Store(&way)
		if e := probe(); e.Ending != outcome.Done || string(e.Load) != report {
			t.Errorf("%s: %v, %q", way.Name, e.Ending, e.Load)
		}
	}
	for _, way := range fragmentpeer.TruncatedScripts(complete) {
		current.Store(&way)
		if e := probe(); e.Ending == outcome.Done {
			t.Errorf("%s: %v, %q", way.Name, e.Ending, e.Load)
		}
	}
}
