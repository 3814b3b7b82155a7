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

// A body that came whole just before its time was over, in a process that is held up before it says so: the deadline passes while the
// server already watches for the client's end. A client that waits for its answer must not be taken for gone by that.
func TestADeadlineOfABodyThatCameWholeEndsNothing(t *testing.T) {
	const bodyTime = 100 * time.Millisecond
	gone := make(chan error, 1)
	g := listening(t, 9)
	s := &http.Server{ConnState: g.Track, ConnContext: NewContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		control.SetReadDeadline(time.Now().Add(bodyTime))
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			gone <- err
			return
		}
		time.Sleep(2 * bodyTime) // the process is held up
		control.SetReadDeadline(time.Time{})
		time.Sleep(bodyTime / 2)
		gone <- r.Context().Err()
	})}
	go s.Serve(g)
	t.Cleanup(func() { s.Close() })
	for name, framing := range map[string][2]string{"a length": {"Content-Length: 3\r\n\r\nab", "c"},
		"chunks": {"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "0\r\n\r\n"}} {
		c, err := net.Dial("tcp", g.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		answers := bufio.NewReader(c)
		for range 2 { // the connection goes on, and its next request has a time of its own
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\n%s", framing[0])
			time.Sleep(bodyTime / 4)
			io.WriteString(c, framing[1])
			if err := <-gone; err != nil {
				t.Errorf("%s: its client is taken for gone: %v", name, err)
			}
			if resp, err := http.ReadResponse(answers, nil); err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("%s: %v, %v", name, resp, err)
			}
		}
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\n%s", framing[0]) // and is never whole
		if err := <-gone; err == nil {
			t.Errorf("%s: half a body is waited for without an end", name)
		}
	}
}
