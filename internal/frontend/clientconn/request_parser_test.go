package clientconn

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// Requests of all forms are fed one after another, in pieces of any size. After each request, its framing is
// pending, the parser waits for the next header, and no header has started. A further byte starts one.
func TestRequestsInFragmentsAreParsed(t *testing.T) {
	forms := []struct {
		text                      string
		hasContentLength, chunked bool
	}{
		{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nGET /", true, false},
		{"GET / HTTP/1.1\nhost: x\n\n", false, false},
		{"\r\nPOST / HTTP/1.1\r\ncontent-LENGTH:0\r\n\r\n", true, false},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nGET /\r\nA\r\n0123456789\r\n0\r\nT: u\r\n\r\n",
			false, true},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
			true, true},
		{"POST / HTTP/1.1\r\nX: " + strings.Repeat("content-length: 9 ", 50) +
			"\r\nContent-Length:  7 \r\n\r\n\r\n\r\n\r\n\r", true, false},
	}
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		var f requestParser
		for range 20 {
			form := forms[r.IntN(len(forms))]
			for text := form.text; len(text) > 0; {
				k := 1 + r.IntN(len(text))
				f.feed([]byte(text[:k]))
				if text = text[k:]; len(text) == 0 && (f.started || f.state != inHeader) {
					t.Fatalf("seed %d: after %q: state %d, started %v", seed, form.text, f.state, f.started)
				}
			}
			if len(f.pending) != 1 || f.pending[0].hasContentLength != form.hasContentLength ||
				f.pending[0].hasTransferEncoding != form.chunked {
				t.Fatalf("seed %d: %q: pending %+v", seed, form.text, f.pending)
			}
			f.requestDone()
		}
		if f.feed([]byte("P")); !f.started {
			t.Fatalf("seed %d: the first byte of a request does not start it", seed)
		}
	}
}

// Requests are parsed until maxPendingRequests are pending. With more requests, or after invalid framing, the
// stream is unparsable, so that it never counts as idle or as having only chunked encoding.
func TestInvalidOrTooManyRequestsBecomeUnparsable(t *testing.T) {
	var f requestParser
	for k := range 3 * maxPendingRequests {
		if f.feed([]byte("GET / HTTP/1.1\r\n\r\n")); len(f.pending) > maxPendingRequests {
			t.Fatalf("%d requests are pending after %d", len(f.pending), k+1)
		}
	}
	if f.state != unparsable {
		t.Error("more than maxPendingRequests requests are still parsed")
	}
	for _, text := range []string{
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		fmt.Sprintf("POST / HTTP/1.1\r\nContent-Length: %s9\r\n\r\n", strings.Repeat("9", 70)),
	} {
		var f requestParser
		if f.feed([]byte(text)); f.state != unparsable {
			t.Errorf("%q: state %d, want unparsable", text, f.state)
		}
	}
}
