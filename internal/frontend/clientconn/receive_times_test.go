package clientconn

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// A client sends its header in more pieces than there are stored receive times. The age of its request counts
// from the header's last byte, not from an earlier byte.
func TestASlowHeaderIsAsOldAsItsLastByte(t *testing.T) {
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
	answers := bufio.NewReader(c)
	for k := range 2 {
		header := fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: x\r\nX-Long: %0100d\r\n\r\n", k, k)
		start := time.Now()
		for i := range header {
			c.Write([]byte{header[i]})
			time.Sleep(3 * time.Millisecond)
		}
		sendTime := time.Since(start)
		if got := <-headerAge; got > sendTime/3 {
			t.Errorf("request %d: header sent in %v, age at its end %v, want at most a third of that",
				k, sendTime, got)
		}
		if _, err := http.ReadResponse(answers, nil); err != nil {
			t.Fatal(err)
		}
	}
}

// The number of stored receive times is bounded. Beyond the bound, lookup returns the time of the last entry,
// which is never later than the time at which the byte was received.
func TestReceiveTimesAreBoundedAndNeverTooLate(t *testing.T) {
	var a receiveTimes
	start := time.Now()
	for k := range int64(10 * maxReceiveTimes) {
		a.record(k+1, start.Add(time.Duration(k)*time.Millisecond))
		if at, ok := a.lookup(k + 1); !ok || at.After(start.Add(time.Duration(k)*time.Millisecond)) {
			t.Fatalf("byte %d: recorded %v after the first byte, ok %v; want a time not after its receive time",
				k, at.Sub(start), ok)
		}
	}
	if len(a.entries) > maxReceiveTimes {
		t.Errorf("%d receive times are stored, want at most maxReceiveTimes", len(a.entries))
	}
	a.discard(10 * maxReceiveTimes)
	if _, ok := a.lookup(1); ok || len(a.entries) > 0 {
		t.Errorf("%+v is still stored for answered requests", a.entries)
	}
}
