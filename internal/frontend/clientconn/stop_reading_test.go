package clientconn

import (
	"errors"
	"io"
	"testing"
	"time"

	"woaddyke/internal/workers/workerconn"
)

// After StopReading, a request that has started is read completely, and no byte beyond it is read: a further
// request would be lost if it were read and not answered.
func TestStopReadingReadsNothingBeyondTheCurrentRequest(t *testing.T) {
	const header = "POST / HTTP/1.1\r\nHost: x\r\n"
	for name, rest := range map[string]string{
		"no body":       "\r\n",
		"a body":        "Content-Length: 5\r\n\r\nhello",
		"chunks":        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
		"with trailers": "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := newListeningPool(t, 9)
			server, client := connectPair(t, g)
			server.SetDeadline(time.Now().Add(10 * time.Second))
			io.WriteString(client, header)
			read := make([]byte, len(header))
			if _, err := io.ReadFull(server, read); err != nil {
				t.Fatal(err)
			}
			g.StopReading(time.Now().Add(time.Minute))
			io.WriteString(client, rest+postRequest)
			c := server.(*conn)
			got, b := "", make([]byte, 4096)
			for c.parser.minRemaining() > 0 && len(c.parser.pending) == 0 || c.parser.state != inHeader {
				n, err := server.Read(b)
				if err != nil {
					t.Fatalf("after %q: %v", got, err)
				}
				got += string(b[:n])
			}
			if got != rest {
				t.Errorf("read %q, want %q", got, rest)
			}
			c.requestDone() // as after its response
			if n, err := server.Read(b); n != 0 || err != io.EOF {
				t.Errorf("read beyond the request: %q, %v; want io.EOF", b[:n], err)
			}
		})
	}
}

// StopReading closes an idle keep-alive connection immediately and unread, even if a request has just been
// received on it. The first request on a new connection is still read.
func TestKeepAliveConnectionsCloseUnreadAfterStopReading(t *testing.T) {
	g := newListeningPool(t, 9)
	newServer, newClient := connectPair(t, g)
	server, client := connectPair(t, g)
	c := server.(*conn)
	c.requestDone() // as after a response
	io.WriteString(newClient, postRequest)
	io.WriteString(client, postRequest)
	for unread := 0; unread == 0; unread, _ = workerconn.Peek(server) {
		time.Sleep(time.Millisecond)
	}
	g.StopReading(time.Now().Add(time.Minute))
	if n, err := server.Read(make([]byte, 99)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("keep-alive connection: read %d bytes, %v", n, err)
	}
	if n, err := newServer.Read(make([]byte, 99)); n != len(postRequest) || err != nil {
		t.Errorf("new connection: read %d bytes, %v", n, err)
	}
}
