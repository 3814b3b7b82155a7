package workerconn

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"woaddyke/dispatch"
	"woaddyke/internal/testsupport/fragmentpeer"
	"woaddyke/internal/workers/outcome"
)

// stream is a worker's answer with these lines, each a chunk.
func stream(lines ...string) (text string) {
	text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, l := range lines {
		text += fmt.Sprintf("%x\r\n%s\n\r\n", len(l)+1, l)
	}
	return text + "0\r\n\r\n"
}

// A worker writes as its own buffers have it, and may leave at any byte. What it said in pieces was taken for garbled, or half
// of an answer for a whole one.
func TestWorkersThatWriteInPiecesSayTheSame(t *testing.T) {
	const started, done = `{"id":"a1","state":"started"}`, `{"id":"a1","state":"done","result":"x y"}`
	whole := stream(started, done)
	var way fragmentpeer.Way
	addr := fragmentpeer.Answer(t, func() fragmentpeer.Way { return way })
	push := func() End {
		ends := make(chan End, 1)
		pool(1).Push(addr, "a1", as([]byte("POST / HTTP/1.1\r\n\r\n")), time.Now().Add(20*time.Second), alwaysWanted, func() {}, func(JobLine) {},
			func(e End) { ends <- e })
		return <-ends
	}
	for _, way = range fragmentpeer.Whole(whole) {
		if e := push(); e.Ending != outcome.Done || string(e.Result) != "x y" {
			t.Errorf("%s: %v, %q", way.Name, e.Ending, e.Result)
		}
	}
	said := strings.Index(whole, done) + len(done)
	for _, way = range fragmentpeer.Cuts(whole) {
		switch e := push(); {
		case len(way.Text()) >= said:
			if e.Ending != outcome.Done || string(e.Result) != "x y" {
				t.Errorf("%s, after the last word: %v, %q", way.Name, e.Ending, e.Result)
			}
		case e.Ending.Outcome() == dispatch.Succeeded || e.Ending.Outcome() == dispatch.Rejected ||
			e.Ending.Outcome() == dispatch.Unreachable || e.Ending.Outcome() == dispatch.NotSent || e.Result != nil:
			t.Errorf("%s: %v, %q; the op may have run, and there is no result", way.Name, e.Ending, e.Result)
		}
	}
	for text, want := range map[string]outcome.Ending{
		stream(`{"id":"a1","state":"returned"}`):                                    outcome.Returned,
		"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 4\r\n\r\nbusy":    outcome.Shed,
		"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n":                              outcome.ServerError,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n": outcome.Rejected,
	} {
		for _, way = range fragmentpeer.Whole(text) {
			if e := push(); e.Ending != want {
				t.Errorf("%q %s: %v, want %v", text, way.Name, e.Ending, want)
			}
		}
	}
}

// A probe's report that came in pieces, or was cut, told of other load than the worker had.
func TestProbesInPiecesSayTheSame(t *testing.T) {
	const report = `{"pending":12,"busy_reqs":3}`
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
	var way fragmentpeer.Way
	addr := fragmentpeer.Answer(t, func() fragmentpeer.Way { return way })
	probe := func() End {
		ends := make(chan End, 1)
		pool(1).Probe(addr, []byte("GET /load HTTP/1.1\r\n\r\n"), time.Now().Add(20*time.Second), func(e End) { ends <- e })
		return <-ends
	}
	for _, way = range fragmentpeer.Whole(whole) {
		if e := probe(); e.Ending != outcome.Done || string(e.Load) != report {
			t.Errorf("%s: %v, %q", way.Name, e.Ending, e.Load)
		}
	}
	for _, way = range fragmentpeer.Cuts(whole) {
		if e := probe(); e.Ending == outcome.Done {
			t.Errorf("%s: %v, %q", way.Name, e.Ending, e.Load)
		}
	}
}
