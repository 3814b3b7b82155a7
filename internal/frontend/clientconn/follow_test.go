package clientconn

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// Requests of all forms, one after another in pieces of any size: after each it is known that none has begun, what their heads said comes
// out in their order, and a byte more is the next one's.
func TestRequestsAreFollowedInPieces(t *testing.T) {
	forms := []struct {
		text           string
		named, chunked bool
	}{
		{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nGET /", true, false},
		{"GET / HTTP/1.1\nhost: x\n\n", false, false},
		{"\r\nPOST / HTTP/1.1\r\ncontent-LENGTH:0\r\n\r\n", true, false},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nGET /\r\nA\r\n0123456789\r\n0\r\nT: u\r\n\r\n", false, true},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true, true},
		{"POST / HTTP/1.1\r\nX: " + strings.Repeat("content-length: 9 ", 50) + "\r\nContent-Length:  7 \r\n\r\n\r\n\r\n\r\n\r", true, false},
	}
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		var f follower
		for range 20 {
			form := forms[r.IntN(len(forms))]
			for text := form.text; len(text) > 0; {
				k := 1 + r.IntN(len(text))
				f.feed([]byte(text[:k]))
				if text = text[k:]; len(text) == 0 && (f.begun || f.at != inHead) {
					t.Fatalf("seed %d: after %q it is in %d, begun %v", seed, form.text, f.at, f.begun)
				}
			}
			if len(f.awaited) != 1 || f.awaited[0].named != form.named || f.awaited[0].chunked != form.chunked {
				t.Fatalf("seed %d: %q gives %+v", seed, form.text, f.awaited)
			}
			f.served()
		}
		if f.feed([]byte("P")); !f.begun {
			t.Fatalf("seed %d: a first byte is none", seed)
		}
	}
}

// Many requests at once are told apart, up to a bound; what can't be followed is never taken for resting or for chunks alone.
func TestWhatCanNotBeFollowedIsTrustedWithNothing(t *testing.T) {
	var f follower
	for k := range 3 * mostAwaited {
		if f.feed([]byte("GET / HTTP/1.1\r\n\r\n")); len(f.awaited) > mostAwaited {
			t.Fatalf("%d heads are kept after %d", len(f.awaited), k+1)
		}
	}
	if f.at != unknown {
		t.Error("a crowd of heads is followed on")
	}
	for _, text := range []string{"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", fmt.Sprintf("POST / HTTP/1.1\r\nContent-Length: %s9\r\n\r\n", strings.Repeat("9", 70))} {
		var f follower
		if f.feed([]byte(text)); f.at != unknown {
			t.Errorf("%q is followed on in %d", text, f.at)
		}
	}
}
