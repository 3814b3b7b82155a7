package discovery

import (
	"bytes"
	"fmt"
	"io"
)

// maxObjectBytes bounds the memory of one object.
const maxObjectBytes = 8 << 20

var errObjectTooLarge = fmt.Errorf("an object is longer than %d bytes", maxObjectBytes)

// objectReader reads objects with empty lines between them. Between objects each byte is a sign of life.
// An object that has begun must be complete within the timeout that one byte sets, and within
// maxObjectBytes: half an object that stops counts as silence, also where empty lines follow it.
type objectReader struct {
	source      io.Reader
	remaining   int    // bytes that the object may still have
	inObject    bool   // an object has begun and is not complete
	alive       bool   // an empty line or a complete object has come
	onActivity  func() // called for each sign of life
	onHeartbeat func() // called for each empty line
}

// Read leaves out the blank between objects: the decoder would keep it until the next object.
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

// consume accounts for bytes that were read.
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

// objectComplete ends an object. rest is what the decoder has read beyond it.
func (r *objectReader) objectComplete(rest io.Reader) {
	r.inObject = false
	r.remaining = maxObjectBytes
	r.alive = true
	r.onActivity()
	if b, err := io.ReadAll(rest); err == nil && len(bytes.TrimSpace(b)) > 0 {
		r.consume(b)
	}
}
