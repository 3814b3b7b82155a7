package clientconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// memoryServer serves requests with bodies, and reports how each body ended by the path of its request.
type memoryServer struct {
	pool   *Pool
	bodies chan bodyRead
}

type bodyRead struct {
	path string
	err  error
}

func newMemoryServer(t *testing.T, limitBytes int64) *memoryServer {
	t.Helper()
	s := &memoryServer{pool: newListeningPool(t, 9), bodies: make(chan bodyRead, 9)}
	s.pool.SetRequestMemory(limitBytes)
	handle := func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		s.bodies <- bodyRead{r.URL.Path, err}
		if strings.HasPrefix(r.URL.Path, "/held") {
			<-r.Context().Done()
		}
	}
	server := &http.Server{ConnState: s.pool.Track, ConnContext: NewContext, Handler: http.HandlerFunc(handle)}
	go server.Serve(s.pool)
	t.Cleanup(func() { server.Close() })
	return s
}

// send sends the head of a request and a part of its body, and waits until the part counts.
func (s *memoryServer) send(t *testing.T, path string, length, sent int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.pool.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	before := s.held()
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, length, strings.Repeat("b", sent))
	for until := time.Now().Add(5 * time.Second); s.held() == before && sent > freeRequestBytes; {
		if time.Now().After(until) {
			t.Fatalf("%s: its bytes do not count", path)
		}
		time.Sleep(time.Millisecond)
	}
	return c
}

func (s *memoryServer) held() int64 {
	s.pool.requestMemory.mu.Lock()
	defer s.pool.requestMemory.mu.Unlock()
	return s.pool.requestMemory.held
}

// requireBodies waits until the bodies of requests have ended, each with the error of its path.
func (s *memoryServer) requireBodies(t *testing.T, want map[string]error) {
	t.Helper()
	for range want {
		select {
		case got := <-s.bodies:
			if wanted, ok := want[got.path]; !ok || !errors.Is(got.err, wanted) {
				t.Errorf("%s: %v, want one of %v", got.path, got.err, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("not all bodies have ended: %v", want)
		}
	}
}

func (s *memoryServer) requireBody(t *testing.T, path string, want error) {
	t.Helper()
	s.requireBodies(t, map[string]error{path: want})
}

// Above the limit the incomplete request that was begun first must be ended, however little it holds, and neither a
// complete one nor one of a few KiB. Otherwise clients that stop within their requests would fill the memory or keep
// others out.
func TestTheOldestIncompleteRequestGivesWay(t *testing.T) {
	s := newMemoryServer(t, 40<<10)
	s.send(t, "/held", 20_000, 20_000)
	s.requireBody(t, "/held", nil)
	s.send(t, "/small", 3000, 2000)
	s.send(t, "/oldest", 30_000, 9000)
	younger := s.send(t, "/younger", 30_000, 12_000)
	s.send(t, "/newest", 20_000, 20_000)
	s.requireBodies(t, map[string]error{"/oldest": ErrOutOfMemory, "/newest": nil})
	io.WriteString(younger, strings.Repeat("b", 18_000))
	s.requireBody(t, "/younger", nil)
}

// If complete requests hold all the memory, a further large request must be ended while it is read, and a small one
// be served.
func TestALargeRequestIsEndedWhereOthersHoldTheMemory(t *testing.T) {
	s := newMemoryServer(t, 40<<10)
	for k := range 3 {
		path := fmt.Sprint("/held-", k)
		s.send(t, path, 16_000, 16_000)
		s.requireBody(t, path, nil)
	}
	s.send(t, "/large", 30_000, 0).Write(make([]byte, 30_000))
	s.requireBody(t, "/large", ErrOutOfMemory)
	s.send(t, "/small", 3000, 3000)
	s.requireBody(t, "/small", nil)
}

// Whatever requests a connection carries, nothing counts for it once they are answered or it is closed. Otherwise the
// limit would be used up by nobody.
func TestAnsweredRequestsHoldNoMemory(t *testing.T) {
	s := newMemoryServer(t, 1<<30)
	go func() {
		for range s.bodies {
		}
	}()
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 71))
		c, err := net.Dial("tcp", s.pool.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		answers := bufio.NewReader(c)
		for range 1 + random.IntN(3) {
			requests := 1 + random.IntN(5)
			var text strings.Builder
			for range requests {
				body := strings.Repeat("b", random.IntN(20_000))
				if random.IntN(2) == 0 {
					fmt.Fprintf(&text, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				} else {
					fmt.Fprintf(&text, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%sb\r\n0\r\nT: u\r\n\r\n", len(body)+1, body)
				}
			}
			io.WriteString(c, text.String())
			for range requests {
				if _, err := http.ReadResponse(answers, nil); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
		}
		if random.IntN(2) == 0 {
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\n%s", strings.Repeat("h", random.IntN(40_000)))
		}
		c.Close()
	}
	for until := time.Now().Add(5 * time.Second); s.held() != 0 || s.pool.Count() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d bytes count although every connection is closed", s.held())
		}
	}
}
