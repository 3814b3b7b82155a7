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

// Clients write requests in fragments of any size, and may shut their sending down or disconnect in the
// middle. A fragmented op must be served like an op in a single write, and a truncated op must never be
// pushed.
func TestFragmentedOpsAreServedAndTruncatedOnesRejected(t *testing.T) {
	received := make(chan string, 9)
	addr, _, _ := startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		received <- r.RequestURI + " " + string(b)
		writeDone(w, r.Header.Get(idHeader))
	})
	send := func(way fragmentpeer.Script) (status int) {
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
		text := func() string { // has a unique ID of constant length
			ids++
			return fmt.Sprintf("POST /api?sid=1 HTTP/1.1\r\nHost: x\r\n%s: %09d\r\n%s: look\r\n%s: 60000\r\n%s", idHeader, ids,
				categoryHeader, timeLeftHeader, framing)
		}
		for k := range fragmentpeer.CompleteScripts(text()) {
			way := fragmentpeer.CompleteScripts(text())[k]
			if status := send(way); status != 200 {
				t.Fatalf("%s: %d", way.Name, status)
			}
			if got := <-received; got != "/api?sid=1 the b" {
				t.Errorf("%s: the worker received %q", way.Name, got)
			}
		}
		for k := range fragmentpeer.TruncatedScripts(text()) {
			way := fragmentpeer.TruncatedScripts(text())[k]
			if status := send(way); status == 200 || way.Ending == fragmentpeer.CloseWrite && strings.Contains(way.Text(), "\r\n\r\n") && status != 400 {
				t.Errorf("%s: %d", way.Name, status)
			}
		}
	}
	if len(received) > 0 {
		t.Errorf("%q was pushed to the worker, but was never complete", <-received)
	}
}
