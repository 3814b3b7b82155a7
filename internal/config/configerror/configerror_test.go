package configerror

import (
	"errors"
	"fmt"
	"testing"
)

// The text alone must be enough to correct a file: it has the key, the allowed values and the value that was
// read.
func TestErrorNamesKeyProblemAndValue(t *testing.T) {
	cause := errors.New("no port")
	for name, c := range map[string]struct {
		err  Error
		text string
	}{
		"number":  {Error{Key: "limits.sockets", Problem: "must be at least 64", Value: 3}, "limits.sockets: must be at least 64, got 3"},
		"text":    {Error{Key: "seed", Problem: "must be hexadecimal", Value: ""}, `seed: must be hexadecimal, got ""`},
		"missing": {Error{Key: "listen", Problem: "is missing"}, "listen: is missing"},
		"cause":   {Error{Key: "peers.listen", Err: cause}, "peers.listen: no port"},
		"no key":  {Error{Problem: "must be at least 64", Value: 3}, "must be at least 64, got 3"},
		"all": {Error{Key: "peers.listen", Problem: "must be an address", Value: "a", Err: cause},
			`peers.listen: must be an address, got "a": no port`},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.err.Error(); got != c.text {
				t.Errorf("text %q, want %q", got, c.text)
			}
		})
	}
	var found *Error
	wrapped := fmt.Errorf("configuration: %w", &Error{Key: "peers.listen", Err: cause})
	if !errors.As(wrapped, &found) || found.Key != "peers.listen" || !errors.Is(wrapped, cause) {
		t.Errorf("%v: the key and the cause are not found in the wrapped error", wrapped)
	}
}
