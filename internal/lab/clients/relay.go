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
	relayTime  = 30 * time.Second     // bounds a relay, for a scheduler that never ends
	relayPause = 5 * time.Millisecond // between two of its requests
	relayBody  = "x"
)

// relayHead is of an op that no scheduler serves: it is read whole, answered, and reaches no worker.
func relayHead(name string, k int) string {
	const head = "POST / HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s-%d\r\nX-Service-Class: of no scheduler\r\n" +
		"X-Time-Left-Ms: 2000\r\nContent-Length: %d\r\n\r\n"
	return fmt.Sprintf(head, name, k, len(relayBody))
}

// Relay goes on with one connection to a scheduler until that ends it. The body of each of its requests comes with the head of the next one,
// so that at any time something of one has been read and has no answer. It writes down an end that left one so.
func Relay(addr string, scheduler int, name string, book *ledger.Book) {
	c, err := net.DialTimeout("tcp", addr, dialTime)
	if err != nil {
		return // it takes nobody any more
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(relayTime))
	var mu sync.Mutex // held while something is written, and for good once the end is seen: what is written behind that is reset
	asked := 0
	go func() {
		for text := relayHead(name, 0); ; time.Sleep(relayPause) {
			mu.Lock()
			_, err := io.WriteString(c, text)
			if err != nil {
				mu.Unlock()
				return // it has ended
			}
			asked++
			text = relayBody + relayHead(name, asked)
			mu.Unlock()
		}
	}()
	answered := 0
	for answers := bufio.NewReader(c); ; answered++ {
		if _, err := answers.Peek(1); err != nil {
			mu.Lock()
			defer mu.Unlock()
			if errors.Is(err, io.EOF) && asked > answered && closedOverRead(c) {
				book.Add(ledger.Event{Kind: ledger.Cut, Scheduler: scheduler, Text: ledger.ReadUnanswered})
			}
			c.Close() // before the writer goes on
			return
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return
		}
		io.Copy(io.Discard, resp.Body)
	}
}
