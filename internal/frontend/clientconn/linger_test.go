package clientconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// A lingering connection must be closed when its client has closed it or when a new connection needs its slot, and its
// client must get the response in any case. Otherwise rejected clients would keep others out for half a second each.
func TestALingeringConnectionGivesWay(t *testing.T) {
	g := newListeningPool(t, 2)
	const response = "HTTP/1.1 413 Request Entity Too Large\r\n\r\n"
	linger := func() (client net.Conn) {
		server, client := connectPair(t, g)
		g.Track(server, http.StateActive)
		g.Track(server, http.StateHijacked)
		g.Linger(server, func(w io.Writer) error {
			_, err := io.WriteString(w, response)
			return err
		})
		return client
	}
	requireResponse := func(client net.Conn) {
		t.Helper()
		client.SetReadDeadline(time.Now().Add(5 * time.Second))
		text := make([]byte, len(response))
		if n, err := io.ReadFull(client, text); err != nil || string(text) != response {
			t.Errorf("the client read %q, %v", text[:n], err)
		}
	}
	first, second := linger(), linger()
	requireResponse(first)
	if g.Sockets() != 2 || g.Count() != 0 {
		t.Fatalf("%d sockets, %d open, want 2 and 0", g.Sockets(), g.Count())
	}
	third, _ := connectPair(t, g) // takes the slot of the connection that lingered longest
	second.Write([]byte("more of a request"))
	requireResponse(second)
	second.Close()
	for until := time.Now().Add(lingerTimeout / 2); g.Sockets() != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d sockets, want that of the new connection", g.Sockets())
		}
	}
	third.Close()
}

// What a client sends behind a rejected request must stay unread while the connection lingers, so that its close tells
// the client that it was not served; and the connection must not look closed before. Formerly it was read and discarded
// behind an end of the stream, so that requests which were sent on the connection got neither an answer nor a reset.
func TestALingeringConnectionReadsNothing(t *testing.T) {
	g := newListeningPool(t, 2)
	server, client := connectPair(t, g)
	g.Track(server, http.StateActive)
	g.Track(server, http.StateHijacked)
	g.Linger(server, func(w io.Writer) error {
		_, err := io.WriteString(w, "HTTP/1.1 503 Service Unavailable\r\n\r\n")
		return err
	})
	client.SetReadDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(client, "POST / HTTP/1.1\r\n")
	if _, err := io.ReadAll(client); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ends with %v, want a reset over the unread request", err)
	}
}
