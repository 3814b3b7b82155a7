package clients

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"woaddyke/internal/lab/ledger"
)

const (
	relayTimeout = 30 * time.Second     // limit for a scheduler that never ends the connection
	relayPause   = 5 * time.Millisecond // between two requests of a relay
	relayBody    = "x"
)

// relayHeader returns the headers of a request for a service class that no scheduler serves. The scheduler
// reads the request completely and answers it, and no worker receives it.
func relayHeader(name string, k int) string {
	const head = "POST / HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s-%d\r\nX-Service-Class: of no scheduler\r\n" +
		"X-Time-Left-Ms: 2000\r\nContent-Length: %d\r\n\r\n"
	return fmt.Sprintf(head, name, k, len(relayBody))
}

// Relay keeps sending requests on one connection to a scheduler until the scheduler closes the connection.
// The body of each request is sent together with the headers of the next one, so that at any time a partly
// read request has no answer. If the scheduler closes the connection in that state after reading all bytes,
// the ledger gets an event.
func Relay(addr string, scheduler int, name string, events *ledger.Writer) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return // the scheduler accepts no more connections
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(relayTimeout))
	var mu sync.Mutex // held during writes and after the end: a write after the close causes a reset
	sent := 0
	go func() {
		for text := relayHeader(name, 0); ; time.Sleep(relayPause) {
			mu.Lock()
			_, err := io.WriteString(c, text)
			if err != nil {
				mu.Unlock()
				return // the connection has ended
			}
			sent++
			text = relayBody + relayHeader(name, sent)
			mu.Unlock()
		}
	}()
	received := 0
	for answers := bufio.NewReader(c); ; received++ {
		if _, err := answers.Peek(1); err != nil {
			mu.Lock()
			defer mu.Unlock()
			if errors.Is(err, io.EOF) && sent > received && closedAfterReadingAll(c) {
				events.Add(ledger.Event{Kind: ledger.Cut, Scheduler: scheduler, Text: ledger.ReadUnanswered})
			}
			c.Close() // before the lock is released and the writer continues
			return
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return
		}
		io.Copy(io.Discard, resp.Body)
	}
}
