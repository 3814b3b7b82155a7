package clientconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Requests that came behind one another while their connection waited to be accepted, as at the start of a process: the kernel dates the newest
// bytes alone, and the first of them would be told to a worker with more time than its client has.
func TestRequestsThatWaitedToBeAcceptedAreAsOldAsTheyAre(t *testing.T) {
	const waits, between, slack = 600 * time.Millisecond, 300 * time.Millisecond, 150 * time.Millisecond
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
	io.WriteString(c, request)
	time.Sleep(between)
	io.WriteString(c, request)
	time.Sleep(waits - between) // the rig's: nobody accepts

	waited, release := make(chan time.Duration, 2), make(chan bool)
	g := New(9, 9)
	g.Listener = l
	s := &http.Server{ConnState: g.Track, ConnContext: NewContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		waited <- HeaderAge(r.Context())
		<-release
	})}
	g.Heartbeat(time.Now()) // the process itself has run all the time
	go s.Serve(g)
	t.Cleanup(func() { s.Close() })
	defer close(release)
	got, age := <-waited, time.Since(sentAt)
	if got < age-slack {
		t.Errorf("the first request came %v ago, and is taken to be %v old", age, got)
	}
}

// A request that is alone on a connection which was open for long is as old as it is: the connection's age says nothing of it.
func TestAConnectionsAgeIsNotARequests(t *testing.T) {
	waited := make(chan time.Duration, 1)
	g := listening(t, 9)
	s := &http.Server{ConnState: g.Track, ConnContext: NewContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		waited <- HeaderAge(r.Context())
	})}
	go s.Serve(g)
	t.Cleanup(func() { s.Close() })
	c, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	time.Sleep(400 * time.Millisecond) // the rig's: the connection rests
	g.Heartbeat(time.Now())
	io.WriteString(c, request+request)
	answers := bufio.NewReader(c)
	for k := range 2 {
		if got := <-waited; got > 200*time.Millisecond {
			t.Errorf("request %d has just come, and is taken to be %v old", k, got)
		}
		if _, err := http.ReadResponse(answers, nil); err != nil {
			t.Fatal(err)
		}
	}
}
