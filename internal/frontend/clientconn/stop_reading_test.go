package clientconn

import (
	"errors"
	"io"
	"testing"
	"time"

	"woaddyke/internal/workers/workerconn"
)

// At the end of a process the request that has begun is read whole, and not a byte beyond it: one that is read and not answered is lost.
func TestNothingIsReadBeyondTheRequestThatHasBegun(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: x\r\n"
	for name, rest := range map[string]string{
		"no body":       "\r\n",
		"a body":        "Content-Length: 5\r\n\r\nhello",
		"chunks":        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
		"with trailers": "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := listening(t, 9)
			server, client := pair(t, g)
			server.SetDeadline(time.Now().Add(10 * time.Second))
			io.WriteString(client, head)
			read := make([]byte, len(head))
			if _, err := io.ReadFull(server, read); err != nil {
				t.Fatal(err)
			}
			g.StopReading(time.Now().Add(time.Minute))
			io.WriteString(client, rest+request)
			c := server.(*conn)
			got, b := "", make([]byte, 4096)
			for c.requests.untilNext() > 0 && len(c.requests.awaited) == 0 || c.requests.at != inHead {
				n, err := server.Read(b)
				if err != nil {
					t.Fatalf("after %q: %v", got, err)
				}
				got += string(b[:n])
			}
			if got != rest {
				t.Errorf("read %q, want %q", got, rest)
			}
			c.next() // it is answered
			if n, err := server.Read(b); n != 0 || err != io.EOF {
				t.Errorf("beyond it: %q, %v", b[:n], err)
			}
		})
	}
}

// A kept connection that waits for a request ends unread at once, also one whose request comes in that instant; a new one has it read.
func TestKeptConnectionsEndUnread(t *testing.T) {
	g := listening(t, 9)
	fresh, first := pair(t, g)
	server, client := pair(t, g)
	c := server.(*conn)
	c.next() // one was served
	io.WriteString(first, request)
	io.WriteString(client, request)
	for come := 0; come == 0; come, _ = workerconn.Peek(server) {
		time.Sleep(time.Millisecond)
	}
	g.StopReading(time.Now().Add(time.Minute))
	if n, err := server.Read(make([]byte, 99)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("kept: %d bytes, %v", n, err)
	}
	if n, err := fresh.Read(make([]byte, 99)); n != len(request) || err != nil {
		t.Errorf("new: %d bytes, %v", n, err)
	}
}
