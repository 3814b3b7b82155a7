// Package opkey derives the key of an op from the id that its client sent. The key identifies the op in
// memory and to other processes. An id may be as long as a request's head and have any bytes. A key is short
// plain ASCII, which JSON encodes without escapes.
package opkey

import (
	"crypto/sha256"
	"encoding/base64"
	"strings"
)

// maxKeyBytes is the length of the longest key.
const maxKeyBytes = 64

// digestPrefix is the prefix of a key that is the digest of an id.
const digestPrefix = "sha256:"

// digestKeyLength is the length of a key that is a digest, with its prefix.
var digestKeyLength = len(digestPrefix) + base64.RawURLEncoding.EncodedLen(sha256.Size)

// FromID returns the key of an id. It is the id itself if the id is short and plain and does not begin with
// digestPrefix. Otherwise it is the id's digest.
func FromID(id string) string {
	if isPlain(id) && !strings.HasPrefix(id, digestPrefix) {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return digestPrefix + base64.RawURLEncoding.EncodeToString(sum[:])
}

// PeerKey returns the key for a key or an id that another process sent. Earlier builds sent the id of an
// op in place of its key.
func PeerKey(key string) string {
	if strings.HasPrefix(key, digestPrefix) && len(key) == digestKeyLength {
		return key
	}
	return FromID(key)
}

// jsonEscaped are the printable ASCII characters that encoding/json escapes.
const jsonEscaped = `"\<>&`

// isPlain reports whether an id is short and has only printable ASCII characters that JSON does not escape.
func isPlain(id string) bool {
	if len(id) > maxKeyBytes {
		return false
	}
	for i := range len(id) {
		c := id[i]
		if c < ' ' || c > '~' || strings.IndexByte(jsonEscaped, c) >= 0 {
			return false
		}
	}
	return true
}
