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

// The guard on closing sees a connection that this side ends over a request that was read, and none of those that it may end.
func TestTheGuardOnClosingSeesARequestWithoutAnAnswer(t *testing.T) {
	const op = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"
	for name, c := range map[string]struct {
		path   string
		sends  string
		leaves bool
		want   int32
	}{
		"answered":                        {"/", op + "hi", false, 0},
		"dropped by its handler":          {"/drop", op + "hi", false, 1},
		"answered with a close":           {"/close", op + "hi", false, 0},
		"one read behind such":            {"/close", op + "hi" + op + "hi", false, 1},
		"dropped after its client's end":  {"/drop", op + "hi", true, 0},
		"a head that never came whole":    {"/", "POST / HT", false, 0},
		"whose end is not known by fault": {"/forfeit", op + "hi" + op + "hi", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var seen atomic.Int32
			g := New(9, 9)
			g.Listener, g.HeaderTimeout, g.OnUnanswered = l, 100*time.Millisecond, func(string) { seen.Add(1) }
			closed := make(chan bool, 9)
			s := &http.Server{ConnContext: NewContext, ReadHeaderTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond,
				ConnState: func(nc net.Conn, state http.ConnState) {
					if g.Track(nc, state); state == http.StateClosed {
						closed <- true
					}
				},
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					io.Copy(io.Discard, r.Body)
					switch c.path {
					case "/drop":
						if c.leaves {
							<-r.Context().Done()
						}
						panic(http.ErrAbortHandler)
					case "/forfeit":
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
			fmt.Fprint(conn, c.sends)
			if c.leaves {
				time.Sleep(20 * time.Millisecond)
				conn.Close()
			} else {
				go io.Copy(io.Discard, bufio.NewReader(conn))
			}
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Fatal("it is not closed")
			}
			if n := seen.Load(); n != c.want {
				t.Errorf("%d seen, want %d", n, c.want)
			}
		})
	}
}
