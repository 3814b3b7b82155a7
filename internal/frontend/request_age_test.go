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

// The age of a request must include the time for which it was unread in the kernel. Formerly such a request
// counted as new, and was pushed after its client's TTL.
func TestRequestAgeIncludesTheTimeUnreadInTheKernel(t *testing.T) {
	pushed := make(chan string, 9)
	addr, _, _ := startSchedulerBehind(t, func(w http.ResponseWriter, r *http.Request) {
		pushed <- r.Header.Get(idHeader)
		writeDone(w, r.Header.Get(idHeader))
	}, func(l net.Listener) net.Listener { return &delayedListener{Listener: l, delay: 400 * time.Millisecond} })
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
			t.Errorf("%d ms left and 400 ms unread: %v, %v", left, resp, err)
		}
	}
	if got := <-pushed; got != "with-5000" || len(pushed) > 0 {
		t.Errorf("%s and %d more were pushed to the worker", got, len(pushed))
	}
}

// A pipelined request waits for the answer to the request before it, while its client's time runs. Its age
// must start at its own arrival. Formerly it started at the arrival of the newest bytes on the connection, so
// that a third request, even a partial one, made the second count as new.
func TestRequestAgeOfAPipelinedRequestStartsAtItsArrival(t *testing.T) {
	const firstDuration = 500 * time.Millisecond
	for name, gap := range map[string]time.Duration{"in one write": 0, "soon after": 50 * time.Millisecond} {
		for _, left := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %v left", name, left), func(t *testing.T) {
				t.Parallel()
				pushedTimeLeft := make(chan time.Duration, 9)
				addr, _, _ := startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
					switch r.Header.Get(idHeader) {
					case "first":
						time.Sleep(firstDuration)
					case "second":
						ms, _ := strconv.Atoi(r.Header.Get(timeLeftHeader))
						pushedTimeLeft <- time.Duration(ms) * time.Millisecond
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
				if gap == 0 {
					io.WriteString(c, op("first", 5*time.Second)+op("second", left))
				} else {
					io.WriteString(c, op("first", 5*time.Second))
					time.Sleep(gap)
					io.WriteString(c, op("second", left))
				}
				time.Sleep(firstDuration - gap - 50*time.Millisecond)
				io.WriteString(c, op("third", 5*time.Second))
				answers := bufio.NewReader(c)
				second := http.StatusOK
				if left < firstDuration {
					second = http.StatusServiceUnavailable
				}
				for k, want := range []int{http.StatusOK, second, http.StatusOK} {
					resp, err := http.ReadResponse(answers, nil)
					if err != nil || resp.StatusCode != want {
						t.Fatalf("answer %d: %v, %v, want %d", k, resp, err, want)
					}
					io.Copy(io.Discard, resp.Body)
				}
				if left < firstDuration {
					if len(pushedTimeLeft) > 0 {
						t.Errorf("it was pushed with %v left, after its client's TTL", <-pushedTimeLeft)
					}
				} else if got, limit := <-pushedTimeLeft, left-firstDuration+gap+timeLeftTolerance; got > limit {
					t.Errorf("it was pushed with %v left, want at most %v", got, limit)
				}
			})
		}
	}
}

// delayedListener returns each accepted connection after a delay, like a process that was stopped.
type delayedListener struct {
	net.Listener
	delay time.Duration
}

func (l *delayedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	time.Sleep(l.delay)
	return c, err
}
