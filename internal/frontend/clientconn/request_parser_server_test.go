package clientconn

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// randomRequest returns a request in one of the forms that the server accepts.
func randomRequest(r *rand.Rand, id int) string {
	pick := func(choices ...string) string { return choices[r.Intn(len(choices))] }
	end := pick("\r\n", "\r\n", "\r\n", "\n")
	var b strings.Builder
	b.WriteString(pick("POST", "POST", "POST", "GET", "HEAD") + " /" + fmt.Sprint(id) + " HTTP/1.1" + end)
	b.WriteString("Host: x" + end)
	for range r.Intn(3) {
		b.WriteString(pick("X-A: b", "x-long: "+strings.Repeat("y", 200), "Connection: keep-alive",
			"X-Folded: a"+end+" b", "Expect: 100-continue",
			"X-Content-Length: 9", "Content-Lengthy: 3") + end)
	}
	body := strings.Repeat("z", r.Intn(40))
	switch r.Intn(6) {
	case 0:
		b.WriteString(end)
	case 1, 2:
		b.WriteString(pick("Content-Length: ", "content-length:", "CONTENT-LENGTH:\t", "Content-Length:   ") +
			fmt.Sprint(len(body)) + pick("", " ") + end + end + body)
	case 3:
		b.WriteString(fmt.Sprintf("Content-Length: %d%sContent-Length: %d%s%s%s",
			len(body), end, len(body), end, end, body))
	default:
		b.WriteString(pick("Transfer-Encoding: chunked", "transfer-encoding:chunked",
			"Transfer-Encoding: Chunked") + end + end)
		for len(body) > 0 {
			k := 1 + r.Intn(len(body))
			b.WriteString(fmt.Sprintf(pick("%x", "%X", "0%x")+pick("", "", ";a=b", " ")+"\r\n%s\r\n",
				k, body[:k]))
			body = body[k:]
		}
		b.WriteString("0\r\n" + pick("", "", "X-Trailer: t\r\n") + "\r\n")
	}
	return b.String()
}

// The parser finds the same requests as the server: each is pending when the server handles it, and none is
// left once all are answered and the connection is idle. Streams of random requests are sent whole, in pieces
// and pipelined.
func TestTheParserAgreesWithTheServer(t *testing.T) {
	const streams = 400
	type handledRequest struct {
		path    string
		pending bool
	}
	var mu sync.Mutex
	handled := map[string][]handledRequest{}
	g := newListeningPool(t, 9999)
	unanswered := 0
	g.OnUnanswered = func(string) {
		mu.Lock()
		defer mu.Unlock()
		unanswered++
	}
	s := &http.Server{ConnState: g.Track, ConnContext: NewContext,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c := FromContext(r.Context()).(*conn)
			c.mu.Lock()
			x := handledRequest{r.URL.Path, len(c.parser.pending) > 0}
			c.mu.Unlock()
			mu.Lock()
			handled[c.RemoteAddr().String()] = append(handled[c.RemoteAddr().String()], x)
			mu.Unlock()
			io.Copy(io.Discard, r.Body)
		})}
	go s.Serve(g)
	t.Cleanup(func() { s.Close() })
	var clients sync.WaitGroup
	for seed := range int64(streams) {
		clients.Go(func() {
			r := rand.New(rand.NewSource(seed))
			n := 1 + r.Intn(6)
			var text strings.Builder
			for k := range n {
				text.WriteString(randomRequest(r, k))
			}
			nc, err := net.Dial("tcp", g.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			defer nc.Close()
			go func() {
				stream := text.String()
				for len(stream) > 0 {
					k := len(stream)
					if seed%3 > 0 {
						k = 1 + r.Intn(min(len(stream), 60))
					}
					io.WriteString(nc, stream[:k])
					if stream = stream[k:]; seed%3 == 2 {
						time.Sleep(time.Millisecond / 2)
					}
				}
			}()
			nc.SetReadDeadline(time.Now().Add(20 * time.Second))
			reader := bufio.NewReader(nc)
			for responses := 0; responses < n; {
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Errorf("seed %d: after %d responses: %v: %q", seed, responses, err, text.String())
					return
				}
				if resp.StatusCode != http.StatusContinue {
					responses++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			served := handled[nc.LocalAddr().String()]
			if len(served) != n {
				t.Errorf("seed %d: %d of %d requests were handled: %q", seed, len(served), n, text.String())
			}
			for k, x := range served {
				if !x.pending || x.path != fmt.Sprint("/", k) {
					t.Errorf("seed %d: request %d: %+v: %q", seed, k, x, text.String())
				}
			}
		})
	}
	clients.Wait()
	if unanswered > 0 {
		t.Errorf("%d connections are reported as closed with an unanswered request, want 0", unanswered)
	}
}
