package clientconn

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
)

const (
	contentLengthPrefix    = "content-length:"
	transferEncodingPrefix = "transfer-encoding:"
	maxLinePrefix          = 64 // bytes of a line that are stored and parsed

	serverBufferBytes = 4 << 10 // the standard server reads a connection in pieces of at most this size
	minRequestBytes   = len("GET / HTTP/1.0\n\n")

	// maxPendingRequests limits the requests of one connection with a complete header and no answer. The
	// server reads on once it has taken all requests from its buffer, so no client can reach this limit.
	maxPendingRequests = serverBufferBytes/minRequestBytes + 2

	// maxFields limits the fields of a header, and those of a trailer. The server needs some hundred bytes of
	// memory for each, however short it is. Other proxies have the same default.
	maxFields = 100
)

// errTooManyFields is the error of a read from a connection with a request of more than maxFields fields. The
// standard server responds to it with 400.
var errTooManyFields = fmt.Errorf("a header or trailer has more than %d fields", maxFields)

// parseState is the part of a request that comes next on a connection. A connection becomes unparsable for good
// if too many requests are pending, or if the framing is invalid: such a request is rejected, and its
// connection closed.
type parseState int

const (
	inHeader parseState = iota
	inBody
	inChunkSize
	inChunkData
	afterChunkData
	inTrailer
	unparsable // request boundaries are unknown from here on
)

// framing is what a request's header says about the length of the body.
type framing struct {
	contentLength       int64 // negative if a Content-Length header is not a plain number
	hasContentLength    bool  // a Content-Length header is present
	hasTransferEncoding bool  // a Transfer-Encoding header is present; the server accepts only chunked
	headerEnd           int64 // offset in the connection's bytes at which the header ends
	heldBytes           int64 // read of the header and of the body, without the framing of chunks
}

// requestParser finds the boundaries of the requests on one connection as their bytes are read. The standard
// server does not expose them. It also drops a Content-Length header beside chunked encoding, and reports a
// connection as idle until the fourth byte of a request. The pending requests are those with a complete
// header and no answer, oldest first.
type requestParser struct {
	state              parseState
	line               [maxLinePrefix]byte // start of the current line, in lower case
	lineLen            int                 // including bytes that are not stored in line
	started            bool                // in a header: its first byte has been read
	requestLineStarted bool                // in a header: a byte other than a line break has been read
	header             framing
	remaining          int64 // unread bytes of the body or of the chunk's data
	fields             int   // complete lines of the current header or trailer
	tooManyFields      bool  // parsing ended behind the first field beyond maxFields
	offset             int64 // bytes read from the connection
	requestStart       int64 // offset at which the current request begins
	lastHeaderEnd      int64 // offset at which the newest complete header ends
	heldBytes          int64 // of the pending requests and of the current header
	untracked          bool  // complete headers are not added to pending
	pending            []framing
}

// feed parses bytes as they are read. It ends early if a request has too many fields.
func (f *requestParser) feed(b []byte) {
	for len(b) > 0 && !f.tooManyFields {
		switch f.state {
		case unparsable:
			f.offset += int64(len(b))
			return
		case inBody, inChunkData:
			k := min(int64(len(b)), f.remaining)
			f.offset += k
			f.holdBody(k)
			if b, f.remaining = b[k:], f.remaining-k; f.remaining == 0 {
				f.endBody()
			}
		default:
			piece := b
			if end := bytes.IndexByte(b, '\n'); end >= 0 {
				piece = b[:end+1]
			}
			f.offset += int64(len(piece))
			f.feedLine(piece)
			b = b[len(piece):]
		}
	}
}

// endBody enters the state after a body or after a chunk's data.
func (f *requestParser) endBody() {
	if f.state == inChunkData {
		f.state = afterChunkData
		return
	}
	f.reset()
}

// holdBody counts bytes of a body for the newest pending request. Its answer may precede its body.
func (f *requestParser) holdBody(bytes int64) {
	if n := len(f.pending); n > 0 {
		f.pending[n-1].heldBytes += bytes
		f.heldBytes += bytes
	}
}

// reset enters the header of the next request. Pending requests stay.
func (f *requestParser) reset() {
	*f = requestParser{
		pending:       f.pending,
		untracked:     f.untracked,
		offset:        f.offset,
		requestStart:  f.offset,
		lastHeaderEnd: f.lastHeaderEnd,
		heldBytes:     f.heldBytes,
	}
}

// feedLine parses a part of one line of a header, a chunk size, a trailer or the line break after a chunk's data. It
// ignores carriage returns.
func (f *requestParser) feedLine(piece []byte) {
	if f.state == inHeader {
		f.started = true
		f.header.heldBytes += int64(len(piece))
		f.heldBytes += int64(len(piece))
	}
	text, complete := bytes.CutSuffix(piece, []byte{'\n'})
	f.storePrefix(text)
	f.lineLen += len(text) - bytes.Count(text, []byte{'\r'})
	f.requestLineStarted = f.requestLineStarted || f.state == inHeader && f.lineLen > 0
	if complete {
		f.endLine()
		f.lineLen = 0
	}
}

// storePrefix appends text to the stored part of the current line, in lower case.
func (f *requestParser) storePrefix(text []byte) {
	stored := f.lineLen
	for _, c := range text {
		if stored >= len(f.line) {
			return
		}
		if c == '\r' {
			continue
		}
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		f.line[stored] = c
		stored++
	}
}

func (f *requestParser) endLine() {
	line := f.line[:min(f.lineLen, len(f.line))]
	switch f.state {
	case inHeader:
		if f.lineLen > 0 {
			f.parseHeaderLine(line)
			f.countField()
		} else if f.requestLineStarted {
			f.endHeader()
		}
	case inChunkSize:
		f.parseChunkSize(line)
	case afterChunkData:
		f.state = inChunkSize
	case inTrailer:
		if f.countField(); f.lineLen == 0 {
			f.reset()
		}
	}
}

// countField counts a line of a header or trailer, and ends parsing if there are too many. The request line and
// the empty line of a trailer count too, hence the one line more.
func (f *requestParser) countField() {
	if f.fields++; f.fields > maxFields+1 {
		f.state = unparsable
		f.tooManyFields = true
	}
}

// parseHeaderLine records what a header line says about the body.
func (f *requestParser) parseHeaderLine(line []byte) {
	if rest, ok := bytes.CutPrefix(line, []byte(contentLengthPrefix)); ok {
		f.header.hasContentLength = true
		f.header.contentLength = f.parseContentLength(rest)
	}
	if bytes.HasPrefix(line, []byte(transferEncodingPrefix)) {
		f.header.hasTransferEncoding = true
	}
}

// parseContentLength returns the value of a Content-Length header, or a negative number if it is invalid, its
// line is longer than the stored prefix, or it is continued on the next line. The server accepts some of these,
// so the connection must end with such a request: its body would be parsed as further requests here.
func (f *requestParser) parseContentLength(value []byte) int64 {
	if f.lineLen > len(f.line) {
		return -1
	}
	length, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil || length < 0 {
		return -1
	}
	return length
}

func (f *requestParser) endHeader() {
	header := f.header
	header.headerEnd = f.offset
	f.lastHeaderEnd = f.offset
	if len(f.pending) == maxPendingRequests {
		f.state = unparsable
		return
	}
	if !f.untracked {
		f.pending = append(f.pending, header)
	}
	f.started, f.requestLineStarted, f.fields = false, false, 0
	switch {
	case header.hasTransferEncoding:
		f.state = inChunkSize
	case header.contentLength < 0:
		f.state = unparsable
	case header.contentLength > 0:
		f.state, f.remaining = inBody, header.contentLength
	default:
		f.reset()
	}
}

// parseChunkSize enters the chunk's data, or the trailer after the last chunk.
func (f *requestParser) parseChunkSize(line []byte) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseInt(string(bytes.TrimSpace(digits)), 16, 64)
	switch {
	case err != nil || size < 0:
		f.state = unparsable
	case size == 0:
		f.state = inTrailer
	default:
		f.state, f.remaining = inChunkData, size
	}
}

// requestDone removes the oldest pending request. If none is pending, the server has found a request that
// this parser has not, and the connection is unparsable: the parser can't tell where the next request begins.
func (f *requestParser) requestDone() {
	if len(f.pending) == 0 {
		*f = requestParser{offset: f.offset, state: unparsable}
		return
	}
	f.heldBytes -= f.pending[0].heldBytes
	f.pending = f.pending[1:]
}

// answeredOffset returns the offset below which receive times are no longer needed. It is the offset of the
// last byte in the header of the oldest pending request, or of the next byte to be read if none is pending.
func (f *requestParser) answeredOffset() int64 {
	if len(f.pending) > 0 {
		return f.pending[0].headerEnd - 1
	}
	return f.offset
}

// inBodyPart reports whether the header of the current request is complete, and the request's end not reached.
func (f *requestParser) inBodyPart() bool { return f.state != inHeader && f.state != unparsable }

// readingOnlyRequest reports whether the one unanswered request is incomplete.
func (f *requestParser) readingOnlyRequest() bool {
	if len(f.pending) == 0 {
		return f.started
	}
	return len(f.pending) == 1 && f.inBodyPart()
}

// pipelined reports whether part of a further request has been read behind an unanswered one.
func (f *requestParser) pipelined() bool {
	return len(f.pending) > 1 || len(f.pending) == 1 && f.started
}

// inRequest reports whether a request has started and is not answered yet.
func (f *requestParser) inRequest() bool { return f.started || len(f.pending) > 0 }

// BodyFraming says which headers determine the end of a request's body.
type BodyFraming int

// All framings of a body.
const (
	// FramingUnknown means that the request's header was not found in the connection's bytes.
	FramingUnknown BodyFraming = iota
	// FramingAmbiguous means that other servers may find the end of the body elsewhere.
	FramingAmbiguous
	// FramingLength means that Content-Length alone applies, or that there is no body.
	FramingLength
	// FramingTransferEncoding means that Transfer-Encoding alone applies.
	FramingTransferEncoding
)

// FramingOf returns the framing of the oldest pending request on the connection of a context. The standard
// server does not tell it: beside a Transfer-Encoding header it drops the Content-Length header, and from a
// request of HTTP/1.0 it drops the Transfer-Encoding header. In both cases a proxy in front of this server may
// have used the dropped one.
func FramingOf(ctx context.Context) BodyFraming {
	c, ok := FromContext(ctx).(*conn)
	if !ok {
		return FramingUnknown
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.parser.pending) == 0 {
		return FramingUnknown
	}
	return c.parser.pending[0].bodyFraming()
}

func (f framing) bodyFraming() BodyFraming {
	switch {
	case f.hasContentLength && f.hasTransferEncoding, f.contentLength < 0:
		return FramingAmbiguous
	case f.hasTransferEncoding:
		return FramingTransferEncoding
	}
	return FramingLength
}
