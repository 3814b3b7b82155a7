// Package fragmentpeer is a stand-in for peers that write in pieces, leave in the middle or end their sending, for the tests of all
// that reads from a connection.
package fragmentpeer

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// Way is one way to write a text: its parts, each a write of its own, and how the peer goes on.
type Way struct {
	Name  string
	Parts []string
	Then  Then
}

// Then is what a peer does once it has written.
type Then int

// Cut is to leave; with Ends it sends no more but reads on.
const (
	Stays Then = iota
	Cut
	Ends
)

// Whole are the ways that bring all of a text: at once, a byte at a time, and split at each place.
func Whole(text string) []Way {
	ways := []Way{{Name: "at once", Parts: []string{text}}, {Name: "a byte at a time", Parts: strings.Split(text, "")}}
	for k := 1; k < len(text); k++ {
		ways = append(ways, Way{Name: fmt.Sprintf("split at %d", k), Parts: []string{text[:k], text[k:]}})
	}
	return ways
}

// Cuts are the ways that leave a text off: before each of its bytes, by leaving or by ending the sending.
func Cuts(text string) (ways []Way) {
	for k := range len(text) {
		ways = append(ways, Way{fmt.Sprintf("cut at %d", k), []string{text[:k]}, Cut},
			Way{fmt.Sprintf("ended at %d", k), []string{text[:k]}, Ends})
	}
	return ways
}

// Text is all that a way brings.
func (w Way) Text() string { return strings.Join(w.Parts, "") }

// Write writes to a connection in this way. What is written after the other side has closed is of no interest.
func (w Way) Write(c *net.TCPConn) {
	c.SetNoDelay(true) // each part a segment of its own
	for _, p := range w.Parts {
		if _, err := io.WriteString(c, p); err != nil {
			return
		}
	}
	switch w.Then {
	case Cut:
		c.Close()
	case Ends:
		c.CloseWrite()
	}
}

// Serve hands each connection that it accepts to a function, and closes it after that.
func Serve(t testing.TB, with func(*net.TCPConn)) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				with(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// Answer is a server that waits for the end of a request's head on each connection and then writes in the way that next
// tells.
func Answer(t *testing.T, next func() Way) (addr string) {
	return Serve(t, func(c *net.TCPConn) {
		head, b := "", make([]byte, 1)
		for !strings.HasSuffix(head, "\r\n\r\n") {
			if _, err := c.Read(b); err != nil {
				return
			}
			head += string(b)
		}
		next().Write(c)
		io.Copy(io.Discard, c) // until the other side is done with it
	})
}

// Dial is a connection to a server under test.
func Dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}
