// Package opkey makes the key under which an op is known in memory and to other processes, from its client's
// id. An id may be as long as a request's head and hold any bytes; a key is short plain ASCII and takes no
// more bytes in JSON than its length.
package opkey

import (
	"crypto/sha256"
	"encoding/base64"
	"strings"
)

// maxKeyBytes is the length of the longest key.
const maxKeyBytes = 64

// digestPrefix begins the key of an id that is no key itself.
const digestPrefix = "sha256:"

// digestBytes is the length of such a key.
var digestBytes = len(digestPrefix) + base64.RawURLEncoding.EncodedLen(sha256.Size)

// FromID returns the key of an id: the id itself where it is short and plain, and its digest elsewhere.
func FromID(id string) string {
	if isPlain(id) && !strings.HasPrefix(id, digestPrefix) {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return digestPrefix + base64.RawURLEncoding.EncodeToString(sum[:])
}

// PeerKey returns the key for what another process sent as one. An earlier build sent ids as they were.
func PeerKey(key string) string {
	if strings.HasPrefix(key, digestPrefix) && len(key) == digestBytes {
		return key
	}
	return FromID(key)
}

// jsonEscaped are the printable ASCII characters that encoding/json escapes.
const jsonEscaped = `"\<>&`

// isPlain reports whether an id is short, and of printable ASCII that JSON does not escape.
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
