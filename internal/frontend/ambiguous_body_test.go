package frontend

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// smugglingStream builds what one client sends. A request whose id starts with "sound" has one meaning. The ids
// of all others, which are ambiguous or hidden in a body, start with "unsound".
type smugglingStream struct {
	random *rand.Rand
	text   strings.Builder
	ids    int
}

func (s *smugglingStream) pick(choices ...string) string { return choices[s.random.IntN(len(choices))] }

func (s *smugglingStream) id(kind string) string {
	s.ids++
	return fmt.Sprintf("%s-%d", kind, s.ids)
}

// head returns the head of a request without its last line break. The connection of HTTP/1.0 is kept.
func (s *smugglingStream) head(version, id string) string {
	return fmt.Sprintf("POST /api HTTP/%s\r\nHost: x\r\nConnection: keep-alive\r\n%s: %s\r\n%s: look\r\n%s: 9000\r\n",
		version, idHeader, id, categoryHeader, timeLeftHeader)
}

// addSound adds a request that every server reads alike.
func (s *smugglingStream) addSound() {
	body := strings.Repeat("b", s.random.IntN(30))
	version := s.pick("1.0", "1.1")
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	if version == "1.1" && s.random.IntN(2) == 0 {
		framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body)+1, body+"b")
	}
	s.text.WriteString(s.head(version, s.id("sound")) + framing)
}

// addHealthChecks adds more requests than a connection's parser may ever have pending.
func (s *smugglingStream) addHealthChecks() {
	const healthChecks = 700
	s.text.WriteString(strings.Repeat("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", healthChecks))
}

// addUnsound adds a request that hides another one from servers that read its length in another way.
func (s *smugglingStream) addUnsound() {
	hidden := s.head("1.1", s.id("unsound")) + "Content-Length: 0\r\n\r\n"
	length := fmt.Sprint(len(hidden))
	afterChunks := fmt.Sprint(len(hidden) + len("0\r\n\r\n"))
	framing := s.pick(
		"Content-Length: "+afterChunks+"\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: "+afterChunks+"\r\n\r\n0\r\n\r\n",
		"Content-Length: "+strings.Repeat("0", 60)+length+"\r\n\r\n",
		"Content-Length:"+strings.Repeat(" ", 60)+length+"\r\n\r\n",
		"Content-Length:\r\n "+length+"\r\n\r\n",
		"Content-Length: 0\r\nContent-Length: "+length+"\r\n\r\n",
		"Content-Length: +"+length+"\r\n\r\n",
		"Transfer-Encoding: identity\r\nContent-Length: "+afterChunks+"\r\n\r\n0\r\n\r\n",
	)
	version := s.pick("1.0", "1.1")
	if version == "1.0" && s.random.IntN(4) == 0 {
		framing = "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	}
	s.text.WriteString(s.head(version, s.id("unsound")) + framing + hidden)
}

// No request whose length can be read in two ways may reach a worker, nor one that is hidden in its body, behind
// any other requests of the same connection. Formerly a request of HTTP/1.0 with both lengths was pushed; behind
// it, behind a Content-Length that only net/http could read, or behind many pipelined requests, one of HTTP/1.1
// was pushed too, and so was the request hidden in its body.
func TestNoRequestHiddenByAnAmbiguousLengthIsPushed(t *testing.T) {
	var mu sync.Mutex
	var pushed []string
	addr, _, _ := startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		pushed = append(pushed, r.Header.Get(idHeader))
		mu.Unlock()
		writeDone(w, r.Header.Get(idHeader))
	})
	for seed := range uint64(150) {
		stream := &smugglingStream{random: rand.New(rand.NewPCG(seed, 71))}
		for range stream.random.IntN(3) {
			stream.addSound()
		}
		if stream.random.IntN(8) == 0 {
			stream.addHealthChecks()
		}
		for range 3 {
			stream.addUnsound()
		}
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(10 * time.Second))
		pieces := stream.text.String()
		go func() { // the scheduler may close the connection before it has read all
			for pieces != "" {
				n := 1 + stream.random.IntN(min(len(pieces), 5000))
				io.WriteString(c, pieces[:n])
				pieces = pieces[n:]
			}
		}()
		io.Copy(io.Discard, c)
		c.Close()
		mu.Lock()
		for _, id := range pushed {
			if strings.HasPrefix(id, "unsound") {
				t.Errorf("seed %d: %s was pushed to the worker", seed, id)
			}
		}
		pushed = nil
		mu.Unlock()
	}
}

// A client that uses HTTP/1.0 and keeps its connection must be served when it sends a Content-Length alone, also
// in pieces of one byte, and be rejected with 411 and the end of its connection otherwise.
func TestAnAmbiguousLengthInHTTP10IsRejected(t *testing.T) {
	addr, _, _ := startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
		writeDone(w, r.Header.Get(idHeader))
	})
	stream := &smugglingStream{random: rand.New(rand.NewPCG(1, 1))}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	answers := bufio.NewReader(c)
	for _, x := range []struct {
		framing string
		status  int
	}{
		{"Content-Length: 3\r\n\r\nabc", http.StatusOK},
		{"\r\n", http.StatusOK},
		{"Content-Length: 8\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", http.StatusLengthRequired},
	} {
		for _, b := range []byte(stream.head("1.0", stream.id("op")) + x.framing) {
			c.Write([]byte{b})
		}
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		response, err := http.ReadResponse(answers, nil)
		if err != nil || response.StatusCode != x.status {
			t.Fatalf("%q: %v, %v, want %d", x.framing, response, err, x.status)
		}
		io.Copy(io.Discard, response.Body)
	}
	if _, err := answers.ReadByte(); err != io.EOF {
		t.Errorf("the connection is still open: %v", err)
	}
}
