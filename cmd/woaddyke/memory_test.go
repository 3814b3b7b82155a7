package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	testMemoryMB       = 64 // as in the configuration of startProgram
	heavyClients       = 340
	heavyClientsTime   = 2 * time.Second
	maxSoundAnswerTime = time.Second
)

// heavyOp returns the head of an op, without its last line break, and with further fields.
func heavyOp(id, fields string) string {
	return "POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 4000\r\n" + fields
}

// shortFields returns header fields with distinct names, as many as fit a size.
func shortFields(bytes int) string {
	var b strings.Builder
	for n := 0; b.Len() < bytes; n++ {
		b.WriteString("a" + strconv.FormatInt(int64(n), 36) + ":\n")
	}
	return b.String()
}

// longFields returns a few header fields of a size altogether.
func longFields(bytes int) string {
	const fields = 50
	var b strings.Builder
	for n := range fields {
		fmt.Fprintf(&b, "long%d: %s\r\n", n, strings.Repeat("v", bytes/fields))
	}
	return b.String()
}

// writeSlowly writes a text in pieces with pauses between them.
func writeSlowly(c net.Conn, text string, pieceBytes int, pause time.Duration) {
	for text != "" {
		n := min(pieceBytes, len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(pause)
	}
}

// heavyRequests are forms of requests that cost a scheduler memory. Each writes one request to a new connection.
var heavyRequests = []struct {
	name  string
	write func(c net.Conn, id string)
}{
	{"many short fields", func(c net.Conn, id string) {
		io.WriteString(c, heavyOp(id, shortFields(15_000)+"Content-Length: 0\r\n\r\n"))
	}},
	{"many short fields in an endless head", func(c net.Conn, id string) {
		io.WriteString(c, heavyOp(id, shortFields(15_000)))
	}},
	{"half of a large body", func(c net.Conn, id string) {
		io.WriteString(c, heavyOp(id, "Content-Length: 65536\r\n\r\n")+strings.Repeat("h", 50_000))
	}},
	{"a large body in slow pieces", func(c net.Conn, id string) {
		writeSlowly(c, heavyOp(id, "Content-Length: 65000\r\n\r\n")+strings.Repeat("s", 65_000), 6_500, 60*time.Millisecond)
	}},
	{"a large body in chunks of one byte", func(c net.Conn, id string) {
		io.WriteString(c, heavyOp(id, "Transfer-Encoding: chunked\r\n\r\n")+strings.Repeat("1\r\nc\r\n", 65_000)+"0\r\n\r\n")
	}},
	{"large bodies with many fields", func(c net.Conn, id string) {
		writeSlowly(c, heavyOp(id, shortFields(15_000)+"Content-Length: 65000\r\n\r\n")+strings.Repeat("f", 65_000), 20_000, 50*time.Millisecond)
	}},
	{"large bodies with long fields", func(c net.Conn, id string) {
		io.WriteString(c, heavyOp(id, longFields(15_000)+"Content-Length: 65000\r\n\r\n")+strings.Repeat("v", 65_000))
	}},
	{"a large head in slow pieces", func(c net.Conn, id string) {
		writeSlowly(c, heavyOp(id, longFields(15_000)), 1000, 80*time.Millisecond)
	}},
	{pipelinedBodies, writePipelinedBodies},
}

const pipelinedBodies = "pipelined large bodies"

func writePipelinedBodies(c net.Conn, id string) {
	for k := range 6 {
		io.WriteString(c, heavyOp(fmt.Sprint(id, "-", k), "Content-Length: 60000\r\n\r\n")+strings.Repeat("p", 60_000))
	}
}

// sendHeavyRequests has many clients send requests of a form until the context ends.
func sendHeavyRequests(ctx context.Context, listen string, write func(net.Conn, string)) (wait func()) {
	var clients sync.WaitGroup
	for k := range heavyClients {
		clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c, err := net.DialTimeout("tcp", listen, time.Second)
				if err != nil {
					continue
				}
				stop := context.AfterFunc(ctx, func() { c.Close() })
				c.SetDeadline(time.Now().Add(5 * time.Second))
				go write(c, fmt.Sprintf("heavy-%d-%d", k, n))
				io.ReadFull(c, make([]byte, 64)) // an answer, or the end of the connection
				c.Close()
				stop()
			}
		})
	}
	return clients.Wait
}

// peakMemoryMB returns the highest resident memory of a process.
func peakMemoryMB(t *testing.T, p testProcess) float64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		t.Fatal(err)
	}
	return kb / 1024
}

// schedulingTimes returns for how long the threads of a process have run, and waited for a core.
func schedulingTimes(t *testing.T, p testProcess) (ran, waited time.Duration) {
	t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range threads {
		text, _ := os.ReadFile(path) // fails if the thread has ended
		var threadRan, threadWaited time.Duration
		fmt.Sscan(string(text), &threadRan, &threadWaited)
		ran, waited = ran+threadRan, waited+threadWaited
	}
	return ran, waited
}

// maxAnswerTime returns the time in which nine of ten sound ops must be answered. It grows with the time for which
// the process waited for a core, because other processes ran.
func maxAnswerTime(t *testing.T, p testProcess) time.Duration {
	t.Helper()
	ran, waited := schedulingTimes(t, p)
	return time.Duration(float64(maxSoundAnswerTime) * float64(ran+waited) / float64(ran))
}

// Hundreds of clients at once send requests that cost memory. The process must stay within its memory, and serve
// other clients without delay.
func TestHeavyRequestsKeepWithinTheMemory(t *testing.T) {
	for _, form := range heavyRequests {
		t.Run(form.name, func(t *testing.T) {
			play := playHeavyRequests(t, form.write)
			play.requireMemory(t)
			if form.name != pipelinedBodies { // see TestPipelinedBodiesDelayNoOther
				play.requireAnswersInTime(t)
			}
		})
	}
}

// Hundreds of clients at once pipeline large bodies at full speed. Other clients must be served without delay.
func TestPipelinedBodiesDelayNoOther(t *testing.T) {
	playHeavyRequests(t, writePipelinedBodies).requireAnswersInTime(t)
}

// heavyPlay is what a process and its other clients did while many clients sent heavy requests.
type heavyPlay struct {
	peakMB float64
	times  []time.Duration // of the answers to others, in ascending order
	limit  time.Duration   // for nine of ten of them
}

func (h *heavyPlay) requireMemory(t *testing.T) {
	t.Helper()
	if h.peakMB > testMemoryMB {
		t.Errorf("the peak memory is %.1f MB, want at most %d", h.peakMB, testMemoryMB)
	}
}

func (h *heavyPlay) requireAnswersInTime(t *testing.T) {
	t.Helper()
	if late := h.times[len(h.times)*9/10]; late > h.limit {
		t.Errorf("one in ten answers to sound ops took %v or more, want at most %v", late, h.limit)
	}
}

// playHeavyRequests starts a process, has many clients send it heavy requests, and four others small ops.
func playHeavyRequests(t *testing.T, write func(net.Conn, string)) *heavyPlay {
	t.Helper()
	worker := httptest.NewServer(http.HandlerFunc(serveHeavyOp))
	t.Cleanup(worker.Close)
	list := fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"state":"SERVING"}]}`, worker.Listener.Addr())
	listen := uniqueAddr()
	p := startProcessWith(t, t.TempDir(), listen, startDiscovery(t, list), 0, 1024, paySettings(5*time.Second))
	ctx, cancel := context.WithTimeout(t.Context(), heavyClientsTime)
	defer cancel()
	wait := sendHeavyRequests(ctx, listen, write)
	var mu sync.Mutex
	var times []time.Duration
	failed := map[string]int{}
	var sound sync.WaitGroup
	for k := range 4 {
		sound.Go(func() {
			startedAt := time.Now()
			sendOps(listen, fmt.Sprint("sound-", k), ctx.Done(), func(_ string, status int, err error) {
				mu.Lock()
				times = append(times, time.Since(startedAt))
				if status != http.StatusOK {
					failed[fmt.Sprint(status, err)]++
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				startedAt = time.Now()
			})
		})
	}
	wait()
	sound.Wait()
	slices.Sort(times)
	play := &heavyPlay{peakMemoryMB(t, p), times, maxAnswerTime(t, p)}
	t.Logf("peak %.1f MB of %d; %d sound ops, median %v, slowest %v, failed %v",
		play.peakMB, testMemoryMB, len(times), times[len(times)/2], times[len(times)-1], failed)
	return play
}

// serveHeavyOp is a worker that takes a second for the ops of clients with heavy requests.
func serveHeavyOp(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		fmt.Fprintln(w, `{"waiting":0,"running":0}`)
		return
	}
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Correlation-Id")
	if strings.HasPrefix(id, "heavy") {
		select {
		case <-time.After(time.Second):
		case <-r.Context().Done():
			return
		}
	}
	fmt.Fprintf(w, `{"id":%q,"state":"done","result":%q}`+"\n", id, id)
}
