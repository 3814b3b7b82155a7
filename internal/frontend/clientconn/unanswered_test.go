package clientconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// OnUnanswered is called when this side closes a connection on which a request has no answer. It is not
// called if all requests were answered, the client disconnected, the header is incomplete or the check is
// skipped.
func TestClosingReportsAnUnansweredRequest(t *testing.T) {
	const op = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"
	for name, c := range map[string]struct {
		path        string
		data        string
		disconnects bool
		reports     int32
	}{
		"answered":                        {"/", op + "hi", false, 0},
		"dropped by its handler":          {"/drop", op + "hi", false, 1},
		"answered with a close":           {"/close", op + "hi", false, 0},
		"request behind a closing answer": {"/close", op + "hi" + op + "hi", false, 1},
		"dropped after disconnection":     {"/drop", op + "hi", true, 0},
		"incomplete header":               {"/", "POST / HT", false, 0},
		"check skipped by the handler":    {"/skip-check", op + "hi" + op + "hi", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var reported atomic.Int32
			g := New(9, 9)
			g.Listener, g.HeaderTimeout, g.OnUnanswered = l, 100*time.Millisecond,
				func(string) { reported.Add(1) }
			closed := make(chan bool, 9)
			s := &http.Server{ConnContext: NewContext, ReadHeaderTimeout: 100 * time.Millisecond,
				IdleTimeout: 100 * time.Millisecond,
				ConnState: func(nc net.Conn, state http.ConnState) {
					if g.Track(nc, state); state == http.StateClosed {
						closed <- true
					}
				},
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					io.Copy(io.Discard, r.Body)
					switch c.path {
					case "/drop":
						if c.disconnects {
							<-r.Context().Done()
						}
						panic(http.ErrAbortHandler)
					case "/skip-check":
						SkipUnansweredCheck(r.Context())
						w.Header().Set("Connection", "close")
					case "/close":
						w.Header().Set("Connection", "close")
					}
				})}
			go s.Serve(g)
			defer s.Close()
			conn, err := net.Dial("tcp", g.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprint(conn, c.data)
			if c.disconnects {
				time.Sleep(20 * time.Millisecond)
				conn.Close()
			} else {
				go io.Copy(io.Discard, bufio.NewReader(conn))
			}
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Fatal("the connection is not closed within 10 s")
			}
			if n := reported.Load(); n != c.reports {
				t.Errorf("%d unanswered requests reported, want %d", n, c.reports)
			}
		})
	}
}
