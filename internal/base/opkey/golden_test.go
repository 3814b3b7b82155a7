package opkey

import (
	"strings"
	"testing"
)

// Guards the keys that FromID returns for ids, and those that PeerKey returns for texts of other processes.
func TestGoldenKeys(t *testing.T) {
	longest, zeroDigest := strings.Repeat("x", 64), "sha256:"+strings.Repeat("A", 43)
	const accentDigest = "sha256:hQ99xDkQ_4kPiHnA7Sb-aXyToGetk6fVD0ZqcCipv04"
	for _, c := range []struct{ id, key, peerKey string }{
		{"", "", ""},
		{" ", " ", " "},
		{"~", "~", "~"},
		{"a b", "a b", "a b"},
		{"9b1f03aa5c7e2d41", "9b1f03aa5c7e2d41", "9b1f03aa5c7e2d41"},
		{longest, longest, longest},
		{longest + "x", "sha256:lTfF_fEgSC99WNJentWD9SwCtOME6oFNsWM61WWu1-k", "sha256:lTfF_fEgSC99WNJentWD9SwCtOME6oFNsWM61WWu1-k"},
		{"caf\u00e9", accentDigest, accentDigest},
		{"caf\xe9", "sha256:2v1mwLmJZeaIvh_BKULAnwNQ5r4GhQF8PyNOl9CtyS4", "sha256:2v1mwLmJZeaIvh_BKULAnwNQ5r4GhQF8PyNOl9CtyS4"},
		{"<", "sha256:2r06_3afB-spZUAesCmXTrujQHr9ArJt21ZOpfjvrnI", "sha256:2r06_3afB-spZUAesCmXTrujQHr9ArJt21ZOpfjvrnI"},
		{">", "sha256:YrZ-H2hbf-9RECAF3d0nd0vj_uOMQpZcU6qwNdC2siE", "sha256:YrZ-H2hbf-9RECAF3d0nd0vj_uOMQpZcU6qwNdC2siE"},
		{"&", "sha256:lR3O46ek86rGfsdqLORGnMdt9lDxNL8lcr9gplyYIzg", "sha256:lR3O46ek86rGfsdqLORGnMdt9lDxNL8lcr9gplyYIzg"},
		{`"`, "sha256:ijMf3ecDLzOnHhsuJX2AFm40jgD8sXkU9IvbV6HGMAc", "sha256:ijMf3ecDLzOnHhsuJX2AFm40jgD8sXkU9IvbV6HGMAc"},
		{`\`, "sha256:qSU9yFKd0hTl8iOXiI540zkNqkdZPib2jBj5f9ejh2s", "sha256:qSU9yFKd0hTl8iOXiI540zkNqkdZPib2jBj5f9ejh2s"},
		{"\x7f", "sha256:Ygv9qjRrCI-0mZjZLxmn6va_wvsK7gFXU5ZtoQKMtzE", "sha256:Ygv9qjRrCI-0mZjZLxmn6va_wvsK7gFXU5ZtoQKMtzE"},
		{"\t", "sha256:K0w0L1Qz6-WRodp34BPRtyR1Vi1IV43Ki4S6xmUcPLk", "sha256:K0w0L1Qz6-WRodp34BPRtyR1Vi1IV43Ki4S6xmUcPLk"},
		{"sha256:", "sha256:n9cUzm9jw7MgyUS3DoCl0QX9Lz4tMK4vqBNw4iP1DQc", "sha256:n9cUzm9jw7MgyUS3DoCl0QX9Lz4tMK4vqBNw4iP1DQc"},
		{accentDigest, "sha256:Hfs8AFcmNI-y7hWph838BTEg9_3X43MeuuztIdO84To", accentDigest},
		{zeroDigest, "sha256:Qf6zepu0Rb-MWk_FL9EghzJCGfFwH5nmKfWZSIFk3iA", zeroDigest},
		{zeroDigest + "A", "sha256:fI9yWLCEgayauIXC8OaibhdUxQEw0D19XGTm39890mY", "sha256:fI9yWLCEgayauIXC8OaibhdUxQEw0D19XGTm39890mY"},
	} {
		if got := FromID(c.id); got != c.key {
			t.Errorf("the key of %q is %q, want %q", c.id, got, c.key)
		}
		if got := PeerKey(c.id); got != c.peerKey {
			t.Errorf("%q from another process gets the key %q, want %q", c.id, got, c.peerKey)
		}
	}
}
