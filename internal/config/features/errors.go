package features

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"woaddyke/internal/config/configerror"
)

// ErrUnknownKey is wrapped by the error for a key or a table that this build does not know.
var ErrUnknownKey = errors.New("no such key")

// ConfigError reports an invalid key of a table.
type ConfigError struct {
	Table string
	Key   string
	Line  int // line in the file, from 1; 0 until Read sets it
	Err   error
}

// Error returns a text of the form "table.key: cause". Read prepends the file and the line.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s: %v", strings.TrimPrefix(e.Table+"."+e.Key, "."), e.Err)
}

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// WrapCheckError adds a table's name to the error that the check of the table's parameters returned. It
// returns a *ConfigError if that error wraps a *configerror.Error.
func WrapCheckError(table string, err error) error {
	var invalid *configerror.Error
	if !errors.As(err, &invalid) {
		return fmt.Errorf("%s: %w", table, err)
	}
	cause := *invalid
	cause.Key = "" // the ConfigError has the key
	return &ConfigError{Table: table, Key: invalid.Key, Err: &cause}
}

// ParseError reports a position in the file that the decoder rejects, for invalid TOML syntax, a value of the
// wrong type or an unknown key.
type ParseError struct {
	Line, Column int // from 1
	Err          error
}

// Error returns a text of the form "line:column: cause".
func (e *ParseError) Error() string { return fmt.Sprintf("%d:%d: %v", e.Line, e.Column, e.Err) }

// Unwrap returns the cause.
func (e *ParseError) Unwrap() error { return e.Err }

// parseError converts the decoder's first error to a *ParseError with its position. It returns an error
// without a position unchanged.
func parseError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, column := first.Position()
		return &ParseError{line, column, fmt.Errorf("%w: %s", ErrUnknownKey, strings.Join(first.Key(), "."))}
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, column := decodeErr.Position()
		return &ParseError{line, column, errors.New(strings.TrimPrefix(decodeErr.Error(), "toml: "))}
	}
	return err
}
