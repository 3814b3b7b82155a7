// Package opkey makes the key by which an op is remembered and told to other processes from its client's id. An id may be as long as a
// request's head and hold any bytes; a key is short, plain ASCII, and takes no more room in JSON than its length.
package opkey

import (
	"crypto/sha256"
	"encoding/base64"
	"strings"
)

// Longest is the length of the longest key.
const Longest = 64

// digestPrefix begins the key of an id that is no key itself.
const digestPrefix = "sha256:"

var digestLength = len(digestPrefix) + base64.RawURLEncoding.EncodedLen(sha256.Size)

// FromID is an id's key: the id itself where it is short and plain, and its digest where it is not.
func FromID(id string) string {
	if plain(id) && !strings.HasPrefix(id, digestPrefix) {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return digestPrefix + base64.RawURLEncoding.EncodeToString(sum[:])
}

// PeerKey is the key for what another process has told as one: an earlier build told ids as they were.
func PeerKey(key string) string {
	if strings.HasPrefix(key, digestPrefix) && len(key) == digestLength {
		return key
	}
	return FromID(key)
}

// plain tells whether an id is short, and of characters that JSON takes as they are.
func plain(id string) bool {
	if len(id) > Longest {
		return false
	}
	for i := range len(id) {
		if c := id[i]; c < ' ' || c > '~' || strings.IndexByte(`"\<>&`, c) >= 0 {
			return false
		}
	}
	return true
}
