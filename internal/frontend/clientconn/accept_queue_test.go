package clientconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Pipelined requests are received while their connection waits to be accepted, as at the start of a process.
// The age of the first request includes this wait. The kernel only reports when the newest bytes were
// received: with this time alone, a worker would be given more remaining time than the client has.
func TestTimeInTheAcceptQueueCountsAsRequestAge(t *testing.T) {
	const queueTime, gap, tolerance = 600 * time.Millisecond, 300 * time.Millisecond, 150 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	sentAt := time.Now()
	io.WriteString(c, postRequest)
	time.Sleep(gap)
	io.WriteString(c, postRequest)
	time.Sleep(queueTime - gap) // nothing accepts yet

	headerAge, release := make(chan time.Duration, 2), make(chan bool)
	g := New(9, 9)
	g.Listener = l
	s := &http.Server{ConnState: g.Track, ConnContext: NewContext,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			headerAge <- HeaderAge(r.Context())
			<-release
		})}
	g.Heartbeat(time.Now()) // the process itself did not stall
	go s.Serve(g)
	t.Cleanup(func() { s.Close() })
	defer close(release)
	got, age := <-headerAge, time.Since(sentAt)
	if got < age-tolerance {
		t.Errorf("first request: sent %v ago, age %v", age, got)
	}
}

// The age of a request does not include the time for which its connection was open and idle.
func TestTheAgeOfAConnectionIsNotTheAgeOfItsRequest(t *testing.T) {
	headerAge := make(chan time.Duration, 1)
	g := newListeningPool(t, 9)
	s := &http.Server{ConnState: g.Track, ConnContext: NewContext,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			headerAge <- HeaderAge(r.Context())
		})}
	go s.Serve(g)
	t.Cleanup(func() { s.Close() })
	c, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	time.Sleep(400 * time.Millisecond) // the connection is idle
	g.Heartbeat(time.Now())
	io.WriteString(c, postRequest+postRequest)
	answers := bufio.NewReader(c)
	for k := range 2 {
		if got := <-headerAge; got > 200*time.Millisecond {
			t.Errorf("request %d has just been sent, and its age is %v", k, got)
		}
		if _, err := http.ReadResponse(answers, nil); err != nil {
			t.Fatal(err)
		}
	}
}
