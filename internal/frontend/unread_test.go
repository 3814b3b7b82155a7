package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// What lay in the kernel while nobody read it was taken for new, and pushed after its client's TTL.
func TestARequestThatLayUnreadIsDatedBack(t *testing.T) {
	worked := make(chan string, 9)
	addr, _, _ := startSchedulerBehind(t, func(w http.ResponseWriter, r *http.Request) {
		worked <- r.Header.Get(idHeader)
		writeDone(w, r.Header.Get(idHeader))
	}, func(l net.Listener) net.Listener { return &delayedListener{Listener: l, by: 400 * time.Millisecond} })
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

// A request that comes behind another waits here for the answer to that one, and its client counts
// meanwhile. It was dated by the newest bytes that came on its connection, so that a third request behind
// it, or a part of one, made it young again.
func TestARequestBehindAnotherCountsItsTimeFromWhenItCame(t *testing.T) {
	const held = 500 * time.Millisecond
	for name, apart := range map[string]time.Duration{"in one write": 0, "soon after": 50 * time.Millisecond} {
		for _, left := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %v left", name, left), func(t *testing.T) {
				t.Parallel()
				told := make(chan time.Duration, 9)
				addr, _, _ := startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
					switch r.Header.Get(idHeader) {
					case "first":
						time.Sleep(held)
					case "second":
						ms, _ := strconv.Atoi(r.Header.Get(timeLeftHeader))
						told <- time.Duration(ms) * time.Millisecond
					}
					writeDone(w, r.Header.Get(idHeader))
				})
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				op := func(id string, left time.Duration) string {
					return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n%s: %s\r\n%s: look\r\n%s: %d\r\n\r\n", idHeader, id,
						categoryHeader, timeLeftHeader, left.Milliseconds())
				}
				if apart == 0 {
					io.WriteString(c, op("first", 5*time.Second)+op("second", left))
				} else {
					io.WriteString(c, op("first", 5*time.Second))
					time.Sleep(apart)
					io.WriteString(c, op("second", left))
				}
				time.Sleep(held - apart - 50*time.Millisecond)
				io.WriteString(c, op("third", 5*time.Second))
				answers := bufio.NewReader(c)
				want := http.StatusOK
				if left < held {
					want = http.StatusServiceUnavailable
				}
				for k, want := range []int{http.StatusOK, want, http.StatusOK} {
					resp, err := http.ReadResponse(answers, nil)
					if err != nil || resp.StatusCode != want {
						t.Fatalf("answer %d: %v, %v, want %d", k, resp, err, want)
					}
					io.Copy(io.Discard, resp.Body)
				}
				if left < held {
					if len(told) > 0 {
						t.Errorf("it went to a worker with %v, after its client's time", <-told)
					}
				} else if got, most := <-told, left-held+apart+toldSlack; got > most {
					t.Errorf("its worker was told %v, its client has %v at most", got, most)
				}
			})
		}
	}
}

// delayedListener accepts each connection only after a while, as a process does that was stopped.
type delayedListener struct {
	net.Listener
	by time.Duration
}

func (l *delayedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	time.Sleep(l.by)
	return c, err
}
