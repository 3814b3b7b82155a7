package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Clients begin requests, a process stands still for longer than a header or a body may take, and the rest arrives
// meanwhile. Each request is complete in its socket when the process runs on, and must be answered. Formerly the
// connections of such requests were reset, and incomplete bodies were rejected.
func TestARequestThatArrivesInAStallIsAnswered(t *testing.T) {
	const seed, clients = 72, 12
	random := rand.New(rand.NewPCG(seed, 1))
	discovery, listen, received, free := startHoldingWorker(t)
	close(free)
	go func() {
		for range received { // discards the ids
		}
	}()
	p := startProcess(t, t.TempDir(), listen, discovery, 0)
	var conns []net.Conn
	var texts []string
	var cuts []int
	for k := range clients {
		c := dial(t, listen)
		c.SetDeadline(time.Now().Add(20 * time.Second))
		text := opWithBody(fmt.Sprint("op-", k), 20_000)
		if k%3 == 0 {
			io.WriteString(c, pipelinedOp(fmt.Sprint("first-", k), ""))
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, response.Body)
		}
		cut := 1 + random.IntN(len(text)-1)
		if k%2 == 0 {
			cut = 1 + random.IntN(100) // within the header
		}
		io.WriteString(c, text[:cut])
		conns, texts, cuts = append(conns, c), append(texts, text), append(cuts, cut)
	}
	time.Sleep(50 * time.Millisecond) // the process reads the first parts
	suspend(t, p)
	for k, c := range conns {
		io.WriteString(c, texts[k][cuts[k]:])
	}
	time.Sleep(1700*time.Millisecond + time.Duration(random.IntN(500))*time.Millisecond)
	p.cmd.Process.Signal(syscall.SIGCONT)
	for k, c := range conns {
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("seed %d, client %d, cut at byte %d of %d: %v, %v", seed, k, cuts[k], len(texts[k]), response, err)
		}
	}
}
