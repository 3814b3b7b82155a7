package workerconn

import (
	"errors"
	"io"
	"time"

	"woaddyke/internal/base/oserror"
)

// Limits on what a worker may send in one exchange. http.ReadResponse limits neither heads nor interim
// responses: an endless one would exhaust the memory within the duration of an attempt.
const (
	maxHeadBytes   = 64 << 10 // of the heads, including interim responses
	maxReportBytes = 64 << 10 // of the load report of a probe

	// maxResponseBytes limits a response. A job reports progress for as long as it runs, so
	// responseBytesPerSecond raises the limit over time.
	maxResponseBytes       = maxLineBytes + maxHeadBytes + 64<<10
	responseBytesPerSecond = 16 << 10

	// progressInterval is the minimum time between two reported job lines. The first "started" line is
	// always reported.
	progressInterval = 10 * time.Millisecond
)

var errResponseTooLong = errors.New("response exceeds its byte limit")

// limitedReader reads from a worker up to the byte limit of an exchange.
type limitedReader struct {
	source    io.Reader
	startedAt time.Time
	bytesRead int // bytes read since startedAt
	limit     int // bytes, without the increase over time
}

// reset prepares for a new exchange, whose limit is that of a response head until setLimit is called.
func (r *limitedReader) reset() { r.startedAt, r.bytesRead, r.limit = time.Now(), 0, maxHeadBytes }

// setLimit sets the limit in bytes.
func (r *limitedReader) setLimit(limit int) { r.limit = limit }

func (r *limitedReader) Read(b []byte) (int, error) {
	remaining := r.limit + int(time.Since(r.startedAt).Seconds()*responseBytesPerSecond) - r.bytesRead
	if remaining <= 0 {
		return 0, errResponseTooLong
	}
	n, err := oserror.Read(r.source.Read, b[:min(len(b), remaining)])
	r.bytesRead += n
	return n, err
}
