package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// holdConnections keeps count idle connections open at an address until the test ends. Each sends a text
// first, and is opened again when it is closed.
func holdConnections(t *testing.T, addr, text string, count int) {
	t.Helper()
	done := make(chan struct{})
	var all sync.WaitGroup
	for range count {
		all.Go(func() {
			for {
				if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
					io.WriteString(c, text)
					go func() {
						<-done
						c.Close()
					}()
					c.Read(make([]byte, 1))
					c.Close()
				}
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		})
	}
	t.Cleanup(func() {
		close(done)
		all.Wait()
	})
	time.Sleep(500 * time.Millisecond) // for the connections to be opened
}

const halfBody = "POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: half\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 5000\r\nContent-Length: 999\r\n\r\nhalf"

// countAnswered sends ops on new connections and returns how many get any answer.
func countAnswered(listen string, ops int) (n int) {
	for k := range ops {
		c, err := net.DialTimeout("tcp", listen, 5*time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprint(c, pipelinedOp(fmt.Sprint("op", k), ""))
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			n++
		}
		c.Close()
	}
	return n
}

// Connections with incomplete bodies use every slot. They must be closed in favour of clients with complete
// requests, as silent connections and connections with incomplete headers are.
func TestHalfBodiesGiveWay(t *testing.T) {
	discovery, listen, received, free := startHoldingWorker(t)
	close(free)
	go func() {
		for range received { // discards the ids
		}
	}()
	startProcess(t, t.TempDir(), listen, discovery, 0)
	const ops = 20
	holdConnections(t, listen, halfBody, 200)
	if n := countAnswered(listen, ops); n < ops {
		t.Errorf("%d of %d ops were answered", n, ops)
	}
}

// Many idle connections to the console must not affect clients, and the console must still answer.
func TestIdleConsoleConnectionsDontDelayClients(t *testing.T) {
	for name, text := range map[string]string{"silent": "", "half heads": "GET /api/ready HTTP/1.1\r\nHo"} {
		t.Run(name, func(t *testing.T) {
			discovery, listen, received, free := startHoldingWorker(t)
			close(free)
			go func() {
				for range received { // discards the ids
				}
			}()
			p := startProcess(t, t.TempDir(), listen, discovery, 0)
			const ops = 20
			holdConnections(t, p.console, text, 400)
			if n := countAnswered(listen, ops); n < ops {
				t.Errorf("%d of %d ops were answered", n, ops)
			}
			client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Get("http://" + p.console + "/api/ready")
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Error(resp.Status)
			}
		})
	}
}

// A member must become ready in time although one of the members that it contacts first is stopped.
func TestAMemberStartsBesideAStoppedOne(t *testing.T) {
	t.Parallel()
	const maxStart = 6 * time.Second // ten seconds are allowed
	c, _ := startReplicas(t, 4, true)
	c.Nodes[3].Kill()
	c.Nodes[0].Signal(syscall.SIGSTOP)
	began := time.Now()
	c.Start(c.Nodes[3])
	c.Await("the member is ready", func() bool { return c.Nodes[3].Get("/api/ready", nil) })
	took := time.Since(began)
	c.Nodes[0].Signal(syscall.SIGCONT)
	if took > maxStart {
		t.Errorf("ready after %v", took)
	}
}
