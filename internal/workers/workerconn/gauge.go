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
	mostHead = 64 << 10                        // bytes of heads, with those of interim answers
	mostLoad = 64 << 10                        // of a probe's report
	mostSaid = longestLine + mostHead + 64<<10 // of a whole answer at its begin
	moreSaid = 16 << 10                        // and so many more for each second: a job tells of itself as long as it runs
	noteRest = 10 * time.Millisecond           // between two notes that are passed on; but for the first word of a start
)

var errEndless = errors.New("an answer that does not end")

// gauge reads from a worker as much as an exchange may bring.
type gauge struct {
	from  io.Reader
	since time.Time
	used  int
	most  int
}

// begin starts an exchange, whose head comes first.
func (g *gauge) begin() { g.since, g.used, g.most = time.Now(), 0, mostHead }

// allow lets so many bytes come in all, and as many more as time brings.
func (g *gauge) allow(most int) { g.most = most }

func (g *gauge) Read(b []byte) (int, error) {
	left := g.most + int(time.Since(g.since).Seconds()*moreSaid) - g.used
	if left <= 0 {
		return 0, errEndless
	}
	n, err := oserror.Read(g.from.Read, b[:min(len(b), left)])
	g.used += n
	return n, err
}
