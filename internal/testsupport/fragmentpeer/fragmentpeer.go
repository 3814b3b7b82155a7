// Package fragmentpeer simulates peers that write a text in fragments, or close the connection or its write
// side before the text is complete. It is for tests of code that reads from a connection.
package fragmentpeer

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// Script is a script for a peer: a sequence of writes to a connection, one for each part, and the action after
// them.
type Script struct {
	Name   string
	Parts  []string
	Ending Ending
}

// Ending is the action of a peer after its last write.
type Ending int

// The actions after the last write, in order: leave the connection open, close it, close its write side only.
const (
	StayOpen Ending = iota
	CloseConnection
	CloseWrite
)

// CompleteScripts returns scripts that write a complete text: in one write, a byte at a time, and split at each
// position.
func CompleteScripts(text string) []Script {
	scripts := []Script{
		{Name: "at once", Parts: []string{text}}, {Name: "a byte at a time", Parts: strings.Split(text, "")},
	}
	for k := 1; k < len(text); k++ {
		scripts = append(scripts, Script{Name: fmt.Sprintf("split at %d", k), Parts: []string{text[:k], text[k:]}})
	}
	return scripts
}

// TruncatedScripts returns scripts that write only the start of a text. For each byte there are two scripts, which
// stop before that byte: one closes the connection, the other closes its write side.
func TruncatedScripts(text string) (scripts []Script) {
	for k := range len(text) {
		scripts = append(scripts, Script{fmt.Sprintf("cut at %d", k), []string{text[:k]}, CloseConnection},
			Script{fmt.Sprintf("ended at %d", k), []string{text[:k]}, CloseWrite})
	}
	return scripts
}

// Text returns the complete text of the script.
func (w Script) Text() string { return strings.Join(w.Parts, "") }

// Write plays the script on a connection. It ignores errors of writes after the other side has closed.
func (w Script) Write(c *net.TCPConn) {
	c.SetNoDelay(true) // sends each part as a separate segment
	for _, p := range w.Parts {
		if _, err := io.WriteString(c, p); err != nil {
			return
		}
	}
	switch w.Ending {
	case CloseConnection:
		c.Close()
	case CloseWrite:
		c.CloseWrite()
	}
}

// Serve calls handle for each accepted connection, and closes the connection afterwards.
func Serve(t testing.TB, handle func(*net.TCPConn)) (addr string) {
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
				handle(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// ServeScripts starts a server that reads the head of a request on each connection and then plays the script that
// next returns.
func ServeScripts(t *testing.T, next func() Script) (addr string) {
	return Serve(t, func(c *net.TCPConn) {
		head, b := "", make([]byte, 1)
		for !strings.HasSuffix(head, "\r\n\r\n") {
			if _, err := c.Read(b); err != nil {
				return
			}
			head += string(b)
		}
		next().Write(c)
		io.Copy(io.Discard, c) // until the other side closes the connection
	})
}

// Dial returns a connection to a server under test.
func Dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}
