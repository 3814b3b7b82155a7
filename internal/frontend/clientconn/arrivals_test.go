package clientconn

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// A client that writes its head slowly, in more pieces than moments are told apart: its request is as old as its last byte.
func TestASlowHeadIsAsOldAsItsLastByte(t *testing.T) {
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
	answers := bufio.NewReader(c)
	for k := range 2 {
		head := fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: x\r\nX-Long: %0100d\r\n\r\n", k, k)
		began := time.Now()
		for i := range head {
			c.Write([]byte{head[i]})
			time.Sleep(3 * time.Millisecond)
		}
		took := time.Since(began)
		if got := <-waited; got > took/3 {
			t.Errorf("request %d took %v to come, and is taken to be %v old at its end", k, took, got)
		}
		if _, err := http.ReadResponse(answers, nil); err != nil {
			t.Fatal(err)
		}
	}
}

// Moments are bounded; beyond them a byte counts as come with the last one that is told apart, never later than it did.
func TestArrivalsAreBoundedAndNeverYounger(t *testing.T) {
	var a arrivals
	start := time.Now()
	for k := range int64(10 * mostArrivals) {
		a.saw(k+1, start.Add(time.Duration(k)*time.Millisecond))
		if at, ok := a.of(k + 1); !ok || at.After(start.Add(time.Duration(k)*time.Millisecond)) {
			t.Fatalf("byte %d came %v after the first, %v", k, at.Sub(start), ok)
		}
	}
	if len(a.seen) > mostArrivals {
		t.Errorf("%d moments are kept", len(a.seen))
	}
	a.forget(10 * mostArrivals)
	if _, ok := a.of(1); ok || len(a.seen) > 0 {
		t.Errorf("%+v is kept of what was answered", a.seen)
	}
}
