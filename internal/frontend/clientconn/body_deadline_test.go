package clientconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A body is complete just before its read deadline, and the process stalls before the handler clears the
// deadline. The deadline expires while the server already watches for a disconnection. The client, which
// waits for its answer, must not count as disconnected.
func TestADeadlineThatExpiresAfterTheBodyIsIgnored(t *testing.T) {
	const bodyTime = 100 * time.Millisecond
	handlerErr := make(chan error, 1)
	g := newListeningPool(t, 9)
	s := &http.Server{ConnState: g.Track, ConnContext: NewContext,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			control := http.NewResponseController(w)
			control.SetReadDeadline(time.Now().Add(bodyTime))
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				handlerErr <- err
				return
			}
			time.Sleep(2 * bodyTime) // simulates a stall of the process
			control.SetReadDeadline(time.Time{})
			time.Sleep(bodyTime / 2)
			handlerErr <- r.Context().Err()
		})}
	go s.Serve(g)
	t.Cleanup(func() { s.Close() })
	for name, parts := range map[string][2]string{"a length": {"Content-Length: 3\r\n\r\nab", "c"},
		"chunks": {"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "0\r\n\r\n"}} {
		c, err := net.Dial("tcp", g.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		answers := bufio.NewReader(c)
		for range 2 { // the second request gets a new deadline
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\n%s", parts[0])
			time.Sleep(bodyTime / 4)
			io.WriteString(c, parts[1])
			if err := <-handlerErr; err != nil {
				t.Errorf("%s: the waiting client counts as disconnected: %v", name, err)
			}
			if resp, err := http.ReadResponse(answers, nil); err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("%s: %v, %v", name, resp, err)
			}
		}
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\n%s", parts[0]) // never completed
		if err := <-handlerErr; err == nil {
			t.Errorf("%s: an incomplete body was read without an error at its deadline", name)
		}
	}
}
