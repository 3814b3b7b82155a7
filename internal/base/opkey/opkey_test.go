package opkey

import (
	"encoding/json"
	"strings"
	"testing"
)

// Different ids have different keys, JSON encodes a key without escapes, and PeerKey does not change a key.
func TestKeysAreShortAndDistinct(t *testing.T) {
	ids := []string{
		"", "9b1f03aa5c7e2d41", "a b",
		strings.Repeat("x", maxKeyBytes), strings.Repeat("x", maxKeyBytes+1), strings.Repeat("x", 9000),
		"caf\u00e9", "caf\xe9", "caf\xe8", "<", ">", "&", `"`, `\`, "\x7f", "\t",
		digestPrefix, FromID("caf\u00e9"),
	}
	seen := map[string]string{}
	for _, id := range ids {
		key := FromID(id)
		if other, known := seen[key]; known {
			t.Errorf("%q and %q have the same key", id, other)
		}
		seen[key] = id
		text, err := json.Marshal(key)
		if err != nil || len(key) > maxKeyBytes || len(text) != len(key)+2 {
			t.Errorf("%.20q: %q is %d bytes long, %s in JSON, %v", id, key, len(key), text, err)
		}
		if PeerKey(key) != key {
			t.Errorf("%.20q: key %q is read from a peer as %q", id, key, PeerKey(key))
		}
	}
	if FromID("9b1f03aa5c7e2d41") != "9b1f03aa5c7e2d41" {
		t.Error("a plain id is not its own key")
	}
	if long := strings.Repeat("x", 9000); PeerKey(long) != FromID(long) {
		t.Error("an id that an earlier build sent does not get its key")
	}
}

func BenchmarkFromID(b *testing.B) {
	for b.Loop() {
		FromID("9b1f03aa5c7e2d41")
	}
}
