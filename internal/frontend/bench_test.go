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

// segmentHeaderBytes is the number of header bytes of a segment: IPv4, and TCP with timestamps.
const segmentHeaderBytes = 20 + 32

// countingConn adds up the bytes and segments that the connections of a pool send and receive on the wire,
// as the kernel has counted them when a connection is closed.
type countingConn struct {
	net.Conn
	counts *traffic
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
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				w.counts.mu.Lock()
				w.counts.out += int64(info.Bytes_sent) + segmentHeaderBytes*int64(info.Segs_out)
				w.counts.in += int64(info.Bytes_received) + segmentHeaderBytes*int64(info.Segs_in)
				w.counts.segments += int64(info.Segs_out) + int64(info.Segs_in)
				w.counts.conns++
				w.counts.mu.Unlock()
			}
		})
	}
	return w.Conn.Close()
}

// SyscallConn lets the pool check the socket before it reuses a connection.
func (w countingConn) SyscallConn() (syscall.RawConn, error) {
	return w.Conn.(*net.TCPConn).SyscallConn()
}

const benchLoadReport = `{"pending":0,"busy_reqs":2,"x0":2,"x1":8.5}`

// newBenchWorker starts a worker that answers each probe with a load report, and each push with two job lines
// (JSON objects with the states started and done).
func newBenchWorker(b *testing.B) string {
	return fragmentpeer.Serve(b, func(c *net.TCPConn) {
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/load" {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(benchLoadReport), benchLoadReport)
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

// newCountingPool returns a pool whose connections count their traffic.
func newCountingPool() (*workerconn.Pool, *traffic) {
	counts := &traffic{}
	p := workerconn.New(workerconn.Bounds{MaxOpen: 100, DialTimeout: time.Second, IdleTimeout: 10 * time.Second})
	p.Connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countingConn{c, counts}, nil
	}
	return p, counts
}

// BenchmarkProbe measures the traffic of one probe in both directions, with all headers. It uses a new
// connection, as almost every probe does with thousands of workers, and then a reused connection.
func BenchmarkProbe(b *testing.B) {
	addr := newBenchWorker(b)
	for _, reused := range []bool{false, true} {
		b.Run(fmt.Sprint("kept=", reused), func(b *testing.B) {
			p, counts := newCountingPool()
			b.ReportAllocs()
			for range b.N {
				ends := make(chan workerconn.End, 1)
				p.Probe(addr, []byte(probeRequest), time.Now().Add(time.Second), func(e workerconn.End) { ends <- e })
				if e := <-ends; e.Ending != outcome.Done {
					b.Fatal(e.Ending)
				}
				for open, _ := p.Counts(); !reused && open > 0; open, _ = p.Counts() {
					p.Sweep(time.Now().Add(time.Minute)) // the connection may become idle only after e was sent
				}
			}
			b.StopTimer()
			for open, _ := p.Counts(); open > 0; open, _ = p.Counts() {
				p.Sweep(time.Now().Add(time.Minute))
			}
			b.ReportMetric(float64(counts.out)/float64(b.N), "B-out/probe")
			b.ReportMetric(float64(counts.in)/float64(b.N), "B-in/probe")
			b.ReportMetric(float64(counts.segments)/float64(b.N), "segments/probe")
			b.ReportMetric(float64(counts.conns)/float64(b.N), "dials/probe")
		})
	}
}

// BenchmarkPush measures the traffic of a push without a body and a result: its headers and job lines.
func BenchmarkPush(b *testing.B) {
	addr := newBenchWorker(b)
	p, counts := newCountingPool()
	for n := range b.N {
		op := &pendingOp{requestTarget: "/api"}
		r, _ := http.NewRequest(http.MethodPost, "http://scheduler:9000/api", strings.NewReader(""))
		r.Header = http.Header{idHeader: {fmt.Sprintf("%016x", n)}, categoryHeader: {"render"}, workHeader: {"50000"}, factsHeader: {"slots=4,memory=2.5"}}
		request := workerconn.Request{Head: requestHead(r, op)}
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
	b.ReportMetric(float64(counts.out)/float64(b.N), "B-out/push")
	b.ReportMetric(float64(counts.in)/float64(b.N), "B-in/push")
}
