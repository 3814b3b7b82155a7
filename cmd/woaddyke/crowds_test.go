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

// idleCrowd keeps so many idle connections open at an address, each begun with a text, until the test ends. One that is closed comes again.
func idleCrowd(t *testing.T, addr, text string, count int) {
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
	time.Sleep(500 * time.Millisecond) // the crowd's: it has come
}

const halfBody = "POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: half\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 5000\r\nContent-Length: 999\r\n\r\nhalf"

// answered counts how many of some ops, each on a new connection, get any answer.
func answered(listen string, ops int) (n int) {
	for k := range ops {
		c, err := net.DialTimeout("tcp", listen, 5*time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprint(c, piped(fmt.Sprint("op", k), ""))
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			n++
		}
		c.Close()
	}
	return n
}

// A crowd of half bodies holds every place: it must give way to clients with whole requests, as silent connections and half heads do.
func TestHalfBodiesGiveWay(t *testing.T) {
	discovery, listen, at, free := holding(t)
	close(free)
	go func() {
		for range at { // nobody counts them
		}
	}()
	startProcess(t, t.TempDir(), listen, discovery, 0)
	const ops = 20
	idleCrowd(t, listen, halfBody, 200)
	if n := answered(listen, ops); n < ops {
		t.Errorf("%d of %d ops were answered", n, ops)
	}
}

// A crowd at the console takes nothing from clients, and the console itself answers.
func TestACrowdAtTheConsoleTakesNothingFromClients(t *testing.T) {
	for name, text := range map[string]string{"silent": "", "half heads": "GET /api/ready HTTP/1.1\r\nHo"} {
		t.Run(name, func(t *testing.T) {
			discovery, listen, at, free := holding(t)
			close(free)
			go func() {
				for range at { // nobody counts them
				}
			}()
			p := startProcess(t, t.TempDir(), listen, discovery, 0)
			const ops = 20
			idleCrowd(t, p.console, text, 400)
			if n := answered(listen, ops); n < ops {
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

// A member that starts while one of those that it tries first is stopped is ready in time all the same.
func TestAMemberStartsBesideAStoppedOne(t *testing.T) {
	t.Parallel()
	const most = 6 * time.Second // of ten that are allowed
	c, _ := guarded(t, 4, true)
	c.Places[3].Kill()
	c.Places[0].Signal(syscall.SIGSTOP)
	began := time.Now()
	c.Start(c.Places[3])
	c.Await("it is ready", func() bool { return c.Places[3].Get("/api/ready", nil) })
	took := time.Since(began)
	c.Places[0].Signal(syscall.SIGCONT)
	if took > most {
		t.Errorf("ready after %v", took)
	}
}
