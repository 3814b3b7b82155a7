package workerconn

import (
	"errors"
	"io"
	"time"

	"woaddyke/internal/base/oserror"
)

// What a worker may send in one exchange. http.ReadResponse bounds neither heads nor interim answers: one
// that never ends would fill the memory within the time of an attempt.
const (
	maxHeadBytes   = 64 << 10 // of heads, with those of interim answers
	maxReportBytes = 64 << 10 // of a probe's load report

	// maxAnswerBytes is for a complete answer at its start. A job reports progress as long as it runs, so
	// that answerBytesPerSecond are added.
	maxAnswerBytes       = maxLineBytes + maxHeadBytes + 64<<10
	answerBytesPerSecond = 16 << 10

	// progressInterval is the least time between two job lines that are passed on. A start is always
	// passed on.
	progressInterval = 10 * time.Millisecond
)

var errAnswerTooLong = errors.New("an answer that does not end")

// limitedReader reads from a worker as much as an exchange may bring.
type limitedReader struct {
	from      io.Reader
	startedAt time.Time
	read      int // bytes, since then
	limit     int // of them, without those that time adds
}

// reset starts an exchange, whose answer begins with a head.
func (g *limitedReader) reset() { g.startedAt, g.read, g.limit = time.Now(), 0, maxHeadBytes }

// allow sets the limit.
func (g *limitedReader) allow(limit int) { g.limit = limit }

func (g *limitedReader) Read(b []byte) (int, error) {
	left := g.limit + int(time.Since(g.startedAt).Seconds()*answerBytesPerSecond) - g.read
	if left <= 0 {
		return 0, errAnswerTooLong
	}
	n, err := oserror.Read(g.from.Read, b[:min(len(b), left)])
	g.read += n
	return n, err
}
