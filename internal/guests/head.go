package guests

import (
	"bytes"
	"context"
)

const lengthName = "content-length:"

// head follows one request's head, line by line, as its bytes are read: whether it names a length. The standard server
// drops that where the body is chunked, and then nobody can tell what a proxy before it took for the body.
type head struct {
	line   [len(lengthName)]byte // how the line begins, in small letters
	n      int                   // of it; the line may be longer
	named  bool                  // a length
	whole  bool                  // it has ended
	inside bool                  // its first line has begun
}

func (h *head) feed(b []byte) {
	for _, c := range b {
		switch {
		case h.whole:
			return
		case c == '\r':
		case c == '\n':
			h.whole = h.inside && h.n == 0
			h.n = 0
		case h.n == len(h.line):
		default:
			if c >= 'A' && c <= 'Z' {
				c += 'a' - 'A'
			}
			h.line[h.n], h.inside = c, true
			if h.n++; bytes.Equal(h.line[:h.n], []byte(lengthName)) {
				h.named = true
			}
		}
	}
}

// OnlyChunked tells of a chunked request that no length stands beside its chunks. What was not seen whole counts as one
// that has both.
func OnlyChunked(ctx context.Context) bool {
	c, ok := Of(ctx).(*conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.whole && !c.head.named
}
