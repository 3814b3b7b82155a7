package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	stalledClientTimeout = 3 * time.Second        // for an error or a close after a client stalls in a request
	stalledClientSlack   = 500 * time.Millisecond // tolerance for a busy machine
)

// A client that stalls after the first byte of its second request on a connection must be disconnected in
// time. Such a client once had more than 15 s, because the standard server waits for the first four bytes
// under the idle timeout. The same holds if that byte arrived with the previous request, and if bytes
// arrive slowly.
func TestAClientThatStallsInARequestIsClosed(t *testing.T) {
	t.Parallel()
	discovery, listen, received, _ := startHoldingWorker(t)
	startProcess(t, t.TempDir(), listen, discovery, 0)
	go func() {
		for range received { // discards the ids
		}
	}()
	op := func(id, more string) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 4000\r\nContent-Length: 1\r\n\r\nx%s",
			id, more)
	}
	chunked := "POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 4000\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"1;a=b\r\nx\r\n0\r\nTrailer: y\r\n\r\n%s"
	for name, c := range map[string]struct {
		first string
		then  []string // pieces of the next request, sent one second apart
	}{
		"one byte":                    {op("a", ""), []string{"P"}},
		"three bytes":                 {op("b", ""), []string{"POS"}},
		"a byte of an empty line":     {op("c", ""), []string{"\r"}},
		"with the one before":         {op("d", "P"), nil},
		"with a chunked one before":   {fmt.Sprintf(chunked, "e", "P"), nil},
		"three bytes in three pieces": {op("f", ""), []string{"P", "O", "S"}},
		"half a head at the second":   {op("g", ""), []string{"P", "OST / HTTP/1.1\r\nHost:"}},
		"pieces of a head":            {op("h", ""), []string{"POST / HT", "TP/1.1\r\n", "Host: x\r\n", "A: b\r\n"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := dial(t, listen)
			conn.SetDeadline(time.Now().Add(20 * time.Second))
			fmt.Fprint(conn, c.first)
			answers := bufio.NewReader(conn)
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatal(err)
			}
			if io.Copy(io.Discard, resp.Body); resp.StatusCode != http.StatusOK {
				t.Fatalf("the previous request: %d", resp.StatusCode)
			}
			began := time.Now()
			go func() {
				for k, text := range c.then {
					if k > 0 {
						time.Sleep(time.Second)
					}
					if _, err := fmt.Fprint(conn, text); err != nil {
						return
					}
				}
			}()
			text, err := io.ReadAll(answers)
			if e, ok := err.(net.Error); ok && e.Timeout() {
				t.Fatalf("the connection is open after 20 s, read %q", text)
			}
			if took := time.Since(began); took > stalledClientTimeout+stalledClientSlack {
				t.Errorf("ended after %v", took)
			}
		})
	}
}

// A chunked op that arrived together with the previous one must be served. Such an op was once rejected as
// a request that may have a length in addition to its chunks, because its header had not been inspected.
func TestAPipelinedChunkedOpIsServed(t *testing.T) {
	t.Parallel()
	discovery, listen, received, _ := startHoldingWorker(t)
	startProcess(t, t.TempDir(), listen, discovery, 0)
	go func() {
		for range received { // discards the ids
		}
	}()
	conn := dial(t, listen)
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	var all strings.Builder
	for k := range 4 {
		fmt.Fprintf(&all, "POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: c%d\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 4000\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", k)
	}
	fmt.Fprint(conn, all.String())
	answers := bufio.NewReader(conn)
	for k := range 4 {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatalf("op %d: %v", k, err)
		}
		if io.Copy(io.Discard, resp.Body); resp.StatusCode != http.StatusOK {
			t.Errorf("op %d: %d", k, resp.StatusCode)
		}
	}
}
