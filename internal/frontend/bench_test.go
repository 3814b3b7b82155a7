package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"woaddyke/internal/testsupport/fragmentpeer"
	"woaddyke/internal/workers/outcome"
	"woaddyke/internal/workers/workerconn"
)

// segment is what IPv4, and TCP with time stamps, put before the bytes of a segment.
const segment = 20 + 32

// countingConn counts what the connections of a pool send and receive on the wire: bytes and segments, as
// the kernel counts them when a connection is closed.
type countingConn struct {
	net.Conn
	to *traffic
}

type traffic struct {
	mu                sync.Mutex
	out, in, segments int64
	conns             int64
}

func (w countingConn) Close() error {
	raw, err := w.Conn.(*net.TCPConn).SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) {
			if x, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				w.to.mu.Lock()
				w.to.out += int64(x.Bytes_sent) + segment*int64(x.Segs_out)
				w.to.in += int64(x.Bytes_received) + segment*int64(x.Segs_in)
				w.to.segments += int64(x.Segs_out) + int64(x.Segs_in)
				w.to.conns++
				w.to.mu.Unlock()
			}
		})
	}
	return w.Conn.Close()
}

// SyscallConn is for the look at a connection before it is used.
func (w countingConn) SyscallConn() (syscall.RawConn, error) {
	return w.Conn.(*net.TCPConn).SyscallConn()
}

const load = `{"pending":0,"busy_reqs":2,"x0":2,"x1":8.5}`

// newBenchWorker is a worker that answers each probe with a load report and each push with two job lines,
// in the form of the lab's.
func newBenchWorker(b *testing.B) string {
	return fragmentpeer.Serve(b, func(c *net.TCPConn) {
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/load" {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(load), load)
				continue
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
			for _, state := range []string{"started", "done"} {
				text := fmt.Sprintf(`{"id":%q,"from":"worker-00001","state":%q}`+"\n", r.Header.Get(idHeader), state)
				fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
			}
			io.WriteString(c, "0\r\n\r\n")
		}
	})
}

// newCountingPool is a pool that counts.
func newCountingPool() (*workerconn.Pool, *traffic) {
	to := &traffic{}
	p := workerconn.New(workerconn.Bounds{MaxOpen: 100, DialTimeout: time.Second, IdleTimeout: 10 * time.Second})
	p.Connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countingConn{c, to}, nil
	}
	return p, to
}

// BenchmarkProbe is one probe on the wire, with all heads, both ways: over a connection of its own, as
// almost every one is among thousands of workers, and over one that is kept.
func BenchmarkProbe(b *testing.B) {
	addr := newBenchWorker(b)
	for _, kept := range []bool{false, true} {
		b.Run(fmt.Sprint("kept=", kept), func(b *testing.B) {
			p, to := newCountingPool()
			b.ReportAllocs()
			for range b.N {
				ends := make(chan workerconn.End, 1)
				p.Probe(addr, []byte(probeRequest), time.Now().Add(time.Second), func(e workerconn.End) { ends <- e })
				if e := <-ends; e.Ending != outcome.Done {
					b.Fatal(e.Ending)
				}
				for open, _ := p.Counts(); !kept && open > 0; open, _ = p.Counts() {
					p.Sweep(time.Now().Add(time.Minute)) // the last bytes are read after the end is told
				}
			}
			b.StopTimer()
			for open, _ := p.Counts(); open > 0; open, _ = p.Counts() {
				p.Sweep(time.Now().Add(time.Minute))
			}
			b.ReportMetric(float64(to.out)/float64(b.N), "B-out/probe")
			b.ReportMetric(float64(to.in)/float64(b.N), "B-in/probe")
			b.ReportMetric(float64(to.segments)/float64(b.N), "segments/probe")
			b.ReportMetric(float64(to.conns)/float64(b.N), "dials/probe")
		})
	}
}

// BenchmarkPush is a push on the wire, without its body and its result: what its heads and job lines take.
func BenchmarkPush(b *testing.B) {
	addr := newBenchWorker(b)
	p, to := newCountingPool()
	for n := range b.N {
		h := &pendingOp{requestTarget: "/api"}
		r, _ := http.NewRequest(http.MethodPost, "http://scheduler:9000/api", strings.NewReader(""))
		r.Header = http.Header{idHeader: {fmt.Sprintf("%016x", n)}, categoryHeader: {"render"}, workHeader: {"50000"}, factsHeader: {"slots=4,memory=2.5"}}
		request := workerconn.Request{Head: requestHead(r, h)}
		ends := make(chan workerconn.End, 1)
		p.Push(addr, r.Header.Get(idHeader), request.Bytes, time.Now().Add(time.Second), func() bool { return true }, func() {}, func(workerconn.JobLine) {},
			func(e workerconn.End) { ends <- e })
		if e := <-ends; e.Ending != outcome.Done {
			b.Fatal(e.Ending)
		}
		for open, _ := p.Counts(); open > 0; open, _ = p.Counts() {
			p.Sweep(time.Now().Add(time.Minute))
		}
	}
	b.ReportMetric(float64(to.out)/float64(b.N), "B-out/push")
	b.ReportMetric(float64(to.in)/float64(b.N), "B-in/push")
}
