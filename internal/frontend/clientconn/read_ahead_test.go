package clientconn

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
)

// Only what the server needs is retained: complete requests, and so much of a request that is too large that the
// server rejects it. Otherwise a client could fill the memory with bodies that are never used.
func TestReadAheadRetainsWhatTheServerNeeds(t *testing.T) {
	const maxBodyBytes = 1000
	head := func(line string) string { return "POST / HTTP/1.1\r\nHost: x\r\n" + line + "\r\n\r\n" }
	small := head("Content-Length: 1000") + strings.Repeat("s", 1000)
	chunk := "3e8\r\n" + strings.Repeat("c", 1000) + "\r\n"
	largeHead := head("Content-Length: 1001")
	chunkedHead := head("Transfer-Encoding: chunked")
	for _, x := range []struct {
		name, sent, least, most string // least and most: what may be retained
		discarding              bool
	}{
		{"requests of the limit", small + small, small + small, small + small, false},
		{
			"a larger body",
			small + largeHead + strings.Repeat("l", 1001) + small, small + largeHead, small + largeHead, true,
		},
		{
			"chunks beyond the limit", chunkedHead + chunk + chunk + chunk,
			chunkedHead + chunk + "3e8\r\nc", chunkedHead + chunk + chunk + "3e8\r\n", true,
		},
		{
			"the limit counts for each request", chunkedHead + chunk + "0\r\n\r\n" + small,
			chunkedHead + chunk + "0\r\n\r\n" + small, chunkedHead + chunk + "0\r\n\r\n" + small, false,
		},
	} {
		for _, pieceBytes := range []int{1, 700, 1 << 20} {
			c := &conn{pool: &Pool{MaxBodyBytes: maxBodyBytes}}
			for rest := x.sent; rest != ""; {
				n := min(pieceBytes, len(rest))
				c.retain([]byte(rest[:n]))
				rest = rest[n:]
			}
			retained := bytesIn(c.ahead.retained)
			if !strings.HasPrefix(retained, x.least) || !strings.HasPrefix(x.most, retained) {
				t.Errorf("%s in pieces of %d: retained %d bytes, want %d to %d",
					x.name, pieceBytes, len(retained), len(x.least), len(x.most))
			}
			if c.ahead.discarding != x.discarding {
				t.Errorf("%s in pieces of %d: discarding %v", x.name, pieceBytes, c.ahead.discarding)
			}
			if got := c.ahead.retained.length; got != len(retained) {
				t.Errorf("%s: %d bytes are counted, %d retained", x.name, got, len(retained))
			}
			b := make([]byte, len(x.sent))
			n, _, _ := c.takeReadAhead(b)
			if string(b[:n]) != retained || c.ahead.retained.length != 0 {
				t.Errorf("%s: the server reads %d bytes", x.name, n)
			}
		}
	}
}

// bytesIn returns the bytes of a queue without reading them.
func bytesIn(q byteQueue) string { return string(bytes.Join(q.chunks, nil)) }

// Bytes leave the queue in their order, whatever the sizes of writes and reads are.
func TestAByteQueueKeepsTheOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var q byteQueue
	var written, read []byte
	for range 300 {
		piece := make([]byte, random.IntN(3*queueChunkBytes))
		for k := range piece {
			piece[k] = byte(random.Uint32())
		}
		written = append(written, piece...)
		q.write(piece)
		b := make([]byte, random.IntN(4*queueChunkBytes))
		read = append(read, b[:q.read(b)]...)
		if q.length != len(written)-len(read) {
			t.Fatalf("%d bytes are counted, want %d", q.length, len(written)-len(read))
		}
	}
	rest := make([]byte, q.length)
	if read = append(read, rest[:q.read(rest)]...); !bytes.Equal(read, written) {
		t.Error("the bytes that were read are not those that were written")
	}
}
