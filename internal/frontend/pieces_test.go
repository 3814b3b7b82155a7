package frontend

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"woaddyke/internal/testsupport/fragmentpeer"
)

// Clients write as their own buffers have it, end their sending and leave. An op cut off in the middle
// must never go on, and one in pieces is the op that it is at once.
func TestOpsInPiecesAreTheSame(t *testing.T) {
	seen := make(chan string, 9)
	addr, _, _ := startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		seen <- r.RequestURI + " " + string(b)
		writeDone(w, r.Header.Get(idHeader))
	})
	send := func(way fragmentpeer.Way) (status int) {
		t.Helper()
		c := fragmentpeer.Dial(t, addr)
		defer c.Close()
		way.Write(c)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		head := make([]byte, len("HTTP/1.1 200"))
		if _, err := io.ReadFull(c, head); err == nil {
			fmt.Sscanf(string(head), "HTTP/1.1 %d", &status)
		}
		return status
	}
	ids := 0
	for _, framing := range []string{"Content-Length: 5\r\n\r\nthe b", "Transfer-Encoding: chunked\r\n\r\n3\r\nthe\r\n2\r\n b\r\n0\r\n\r\n"} {
		text := func() string { // with an id of its own, of one length
			ids++
			return fmt.Sprintf("POST /api?sid=1 HTTP/1.1\r\nHost: x\r\n%s: %09d\r\n%s: look\r\n%s: 60000\r\n%s", idHeader, ids,
				categoryHeader, timeLeftHeader, framing)
		}
		for k := range fragmentpeer.Whole(text()) {
			way := fragmentpeer.Whole(text())[k]
			if status := send(way); status != 200 {
				t.Fatalf("%s: %d", way.Name, status)
			}
			if got := <-seen; got != "/api?sid=1 the b" {
				t.Errorf("%s: the worker saw %q", way.Name, got)
			}
		}
		for k := range fragmentpeer.Cuts(text()) {
			way := fragmentpeer.Cuts(text())[k]
			if status := send(way); status == 200 || way.Then == fragmentpeer.Ends && strings.Contains(way.Text(), "\r\n\r\n") && status != 400 {
				t.Errorf("%s: %d", way.Name, status)
			}
		}
	}
	if len(seen) > 0 {
		t.Errorf("%q went on to the worker, and was never whole", <-seen)
	}
}
