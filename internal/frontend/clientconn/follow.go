package clientconn

import (
	"bytes"
	"context"
	"strconv"
)

const (
	lengthName  = "content-length:"
	codingName  = "transfer-encoding:"
	mostOfLine  = 64 // bytes of a line that are looked at
	mostAwaited = 64 // heads that came whole and whose requests are not served yet, of one connection
)

// part is what of a request comes next on a connection.
type part int

const (
	inHead part = iota
	inBody
	inChunkSize
	inChunk
	afterChunk
	inTrailer
	unknown // what comes can't be told apart any more: the server refuses such a request, and closes
)

// framing is what a request's head says of its body.
type framing struct {
	length  int64
	named   bool // a length stands there
	chunked bool
	headEnd int64 // offset in the connection's bytes at which the head has ended
}

// follower follows the requests on one connection as their bytes are read, so that it is known where one ends and the next begins. The
// standard server does not tell: it drops a length beside chunks, and takes a connection for resting until the fourth byte of a request.
type follower struct {
	at      part
	line    [mostOfLine]byte // how the line begins, in small letters
	n       int              // bytes of the line, also those that are not looked at
	begun   bool             // something of the next head has come, if it is in one
	inside  bool             // its first line has begun
	head    framing
	left    int64 // bytes of the body or the chunk
	offset  int64 // bytes of the connection that were read
	awaited []framing
}

// feed follows bytes as they are read.
func (f *follower) feed(b []byte) {
	for len(b) > 0 {
		switch f.at {
		case unknown:
			f.offset += int64(len(b))
			return
		case inBody, inChunk:
			k := min(int64(len(b)), f.left)
			f.offset += k
			if b, f.left = b[k:], f.left-k; f.left == 0 {
				f.bodyEnded()
			}
		default:
			f.offset++
			f.byte(b[0])
			b = b[1:]
		}
	}
}

// bodyEnded goes on after a body, or the data of a chunk.
func (f *follower) bodyEnded() {
	if f.at == inChunk {
		f.at = afterChunk
		return
	}
	f.next()
}

// next goes on with another request.
func (f *follower) next() {
	*f = follower{awaited: f.awaited, offset: f.offset}
}

// byte follows one byte of what comes in lines.
func (f *follower) byte(c byte) {
	if f.at == inHead {
		f.begun = true
	}
	switch {
	case c == '\n':
		f.lineEnded()
		f.n = 0
	case c == '\r':
	default:
		if f.n < len(f.line) {
			if c >= 'A' && c <= 'Z' {
				c += 'a' - 'A'
			}
			f.line[f.n] = c
		}
		f.n++
		f.inside = f.inside || f.at == inHead
	}
}

func (f *follower) lineEnded() {
	line := f.line[:min(f.n, len(f.line))]
	switch f.at {
	case inHead:
		if f.n > 0 {
			f.headLine(line)
		} else if f.inside {
			f.headEnded()
		}
	case inChunkSize:
		f.chunkSize(line)
	case afterChunk:
		f.at = inChunkSize
	case inTrailer:
		if f.n == 0 {
			f.next()
		}
	}
}

// headLine notes what a line of a head says of the body.
func (f *follower) headLine(line []byte) {
	if rest, ok := bytes.CutPrefix(line, []byte(lengthName)); ok {
		f.head.named = true
		length, err := strconv.ParseInt(string(bytes.TrimSpace(rest)), 10, 64)
		if err != nil || length < 0 {
			length = -1
		}
		f.head.length = length
	}
	if bytes.HasPrefix(line, []byte(codingName)) {
		f.head.chunked = true
	}
}

func (f *follower) headEnded() {
	head := f.head
	head.headEnd = f.offset
	if len(f.awaited) == mostAwaited {
		f.at = unknown
		return
	}
	f.awaited = append(f.awaited, head)
	f.begun, f.inside = false, false
	switch {
	case head.chunked:
		f.at = inChunkSize
	case head.length < 0:
		f.at = unknown
	case head.length > 0:
		f.at, f.left = inBody, head.length
	default:
		f.next()
	}
}

// chunkSize goes on with a chunk's data, or after the last one with the trailer.
func (f *follower) chunkSize(line []byte) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseInt(string(bytes.TrimSpace(digits)), 16, 64)
	switch {
	case err != nil || size < 0:
		f.at = unknown
	case size == 0:
		f.at = inTrailer
	default:
		f.at, f.left = inChunk, size
	}
}

// served takes note that the request whose head came first is over. Where none has come whole the server has seen another request than
// this follower, which begins anew.
func (f *follower) served() {
	if len(f.awaited) == 0 {
		*f = follower{offset: f.offset}
		return
	}
	f.awaited = f.awaited[1:]
}

// answeredUpTo is an offset below which nothing belongs to a request that waits for its answer, but for the beginning of the first of them.
func (f *follower) answeredUpTo() int64 {
	if len(f.awaited) > 0 {
		return f.awaited[0].headEnd - 1
	}
	return f.offset
}

// several tells whether something of a further request has come behind one that is not over.
func (f *follower) several() bool { return len(f.awaited) > 1 || len(f.awaited) == 1 && f.begun }

// busy tells whether there is a request that has begun and is not over.
func (f *follower) busy() bool { return f.begun || len(f.awaited) > 0 }

// OnlyChunked tells of a chunked request that no length stands beside its chunks. The standard server drops that, and then nobody can
// tell what a proxy before it took for the body. What was not seen whole counts as one that has both.
func OnlyChunked(ctx context.Context) bool {
	c, ok := FromContext(ctx).(*conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests.awaited) > 0 && !c.requests.awaited[0].named
}
