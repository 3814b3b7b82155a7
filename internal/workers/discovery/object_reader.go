package discovery

import (
	"bytes"
	"fmt"
	"io"
)

// maxObjectBytes bounds the memory of one object.
const maxObjectBytes = 8 << 20

var errObjectTooLarge = fmt.Errorf("object exceeds %d bytes", maxObjectBytes)

// objectReader reads JSON objects, with empty lines between them as heartbeats. Between objects, each byte
// resets the idle timer. A started object must be complete within the idle timeout after its first byte, and
// within maxObjectBytes: a partial object counts as silence, even if empty lines follow it.
type objectReader struct {
	source      io.Reader
	remaining   int    // bytes that the object may still take
	inObject    bool   // an object has started and is not complete
	alive       bool   // an empty line or a complete object was received
	onActivity  func() // called when the idle timer must be reset
	onHeartbeat func() // called for each empty line
}

// Read skips the whitespace between objects, which the decoder would buffer until the next object.
func (r *objectReader) Read(b []byte) (int, error) {
	for {
		if r.remaining <= 0 {
			return 0, errObjectTooLarge
		}
		n, err := r.source.Read(b[:min(len(b), r.remaining)])
		if n == 0 {
			return 0, err
		}
		r.consume(b[:n])
		if r.inObject {
			return n, err
		}
		if err != nil {
			return 0, err
		}
	}
}

// consume updates the reader's state for the bytes that were read.
func (r *objectReader) consume(b []byte) {
	if !r.inObject {
		r.onActivity()
		if len(bytes.TrimSpace(b)) == 0 {
			r.alive = true
			r.onHeartbeat()
			return
		}
		r.inObject = true
	}
	r.remaining -= len(b)
}

// endObject records that an object is complete. rest is the data that the decoder has read beyond it.
func (r *objectReader) endObject(rest io.Reader) {
	r.inObject = false
	r.remaining = maxObjectBytes
	r.alive = true
	r.onActivity()
	if b, err := io.ReadAll(rest); err == nil && len(bytes.TrimSpace(b)) > 0 {
		r.consume(b)
	}
}
