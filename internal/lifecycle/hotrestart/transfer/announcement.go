package transfer

import (
	"encoding/binary"
	"math"
	"time"
)

// An announcement is sent as the length of its key in one byte, the TTL in milliseconds in four bytes, big
// endian, and the key. An announcement without a key is the start marker, which a predecessor sends after all
// that it announced while it handed over, and a successor once it serves clients. Older builds discard all
// bytes after the state.
const announcementHeaderSize = 5

// Announcement states that a process has admitted an op.
type Announcement struct {
	Key string        // of the op, at most 255 bytes
	TTL time.Duration // time from the announcement until the op's TTL ends
}

// append appends the encoded announcement. The TTL is rounded up: a key is in use too long rather than too
// short.
func (a Announcement) append(to []byte) []byte {
	ms := max((a.TTL+time.Millisecond-1)/time.Millisecond, 0)
	to = append(to, byte(len(a.Key)))
	to = binary.BigEndian.AppendUint32(to, uint32(min(ms, math.MaxUint32)))
	return append(to, a.Key...)
}

var startMarker = Announcement{}

// decodeAnnouncement decodes the first announcement and returns its encoded length, which is 0 if it is not
// complete.
func decodeAnnouncement(from []byte) (a Announcement, length int) {
	if len(from) < announcementHeaderSize {
		return a, 0
	}
	length = announcementHeaderSize + int(from[0])
	if len(from) < length {
		return a, 0
	}
	ms := binary.BigEndian.Uint32(from[1:])
	a.Key = string(from[announcementHeaderSize:length])
	a.TTL = time.Duration(ms) * time.Millisecond
	return a, length
}
