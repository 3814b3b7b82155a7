package front

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// What lay in the kernel while nobody read it was taken for new, and pushed after its client's TTL.
func TestARequestThatLayUnreadIsDatedBack(t *testing.T) {
	worked := make(chan string, 9)
	addr, _, _ := schedulerBehind(t, func(w http.ResponseWriter, r *http.Request) {
		worked <- r.Header.Get(idHeader)
		done(w, r.Header.Get(idHeader))
	}, func(l net.Listener) net.Listener { return &late{Listener: l, by: 400 * time.Millisecond} })
	for left, want := range map[int]int{300: http.StatusServiceUnavailable, 5000: http.StatusOK} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n%s: with-%d\r\n%s: look\r\n%s: %d\r\n\r\n", idHeader, left,
			categoryHeader, timeLeftHeader, left)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != want {
			t.Errorf("%d ms to live and 400 ms unread: %v, %v", left, resp, err)
		}
	}
	if got := <-worked; got != "with-5000" || len(worked) > 0 {
		t.Errorf("%s and %d more went to the worker", got, len(worked))
	}
}

// late accepts each connection only after a while, as a process does that was stopped.
type late struct {
	net.Listener
	by time.Duration
}

func (l *late) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	time.Sleep(l.by)
	return c, err
}
