package workerconn

import (
	"errors"
	"io"
	"time"

	"woaddyke/internal/base/oserror"
)

// What a worker may say in one exchange. The standard reader of answers bounds neither a head nor interim answers: one that never
// ends filled the memory in less time than a push has.
const (
	maxHeadBytes         = 64 << 10                             // bytes of heads, with those of interim answers
	maxReportBytes       = 64 << 10                             // of a probe's report
	maxAnswerBytes       = maxLineBytes + maxHeadBytes + 64<<10 // of a whole answer at its begin
	answerBytesPerSecond = 16 << 10                             // and so many more for each second: a job tells of itself as long as it runs
	progressInterval     = 10 * time.Millisecond                // between two notes that are passed on; but for the first word of a start
)

var errAnswerTooLong = errors.New("an answer that does not end")

// limitedReader reads from a worker as much as an exchange may bring.
type limitedReader struct {
	from      io.Reader
	startedAt time.Time
	read      int
	limit     int
}

// reset starts an exchange, whose head comes first.
func (g *limitedReader) reset() { g.startedAt, g.read, g.limit = time.Now(), 0, maxHeadBytes }

// allow lets so many bytes come in all, and as many more as time brings.
func (g *limitedReader) allow(most int) { g.limit = most }

func (g *limitedReader) Read(b []byte) (int, error) {
	left := g.limit + int(time.Since(g.startedAt).Seconds()*answerBytesPerSecond) - g.read
	if left <= 0 {
		return 0, errAnswerTooLong
	}
	n, err := oserror.Read(g.from.Read, b[:min(len(b), left)])
	g.read += n
	return n, err
}
