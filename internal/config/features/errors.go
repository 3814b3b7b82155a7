package features

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"woaddyke/internal/config/configerror"
)

// ErrUnknownKey is in the error for a key or a table that this build does not know.
var ErrUnknownKey = errors.New("no such key")

// ConfigError is a mistake in one key of one table.
type ConfigError struct {
	Table string
	Key   string
	Line  int // in the file, from 1; 0 until Read has found it
	Err   error
}

// Error has the form "table.key: cause". Read puts the file and the line before it.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s: %v", strings.TrimPrefix(e.Table+"."+e.Key, "."), e.Err)
}

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// WrapCheckError is the mistake of a table that the check of a package's parameters returned as a
// *configerror.Error.
func WrapCheckError(table string, err error) error {
	var mistake *configerror.Error
	if !errors.As(err, &mistake) {
		return fmt.Errorf("%s: %w", table, err)
	}
	cause := *mistake
	cause.Key = "" // it is the table's key
	return &ConfigError{Table: table, Key: mistake.Key, Err: &cause}
}

// ParseError is a place of the file that the decoder rejects: TOML syntax, a value of the wrong type, an
// unknown key.
type ParseError struct {
	Line, Column int // from 1
	Err          error
}

// Error has the form "line:column: cause".
func (e *ParseError) Error() string { return fmt.Sprintf("%d:%d: %v", e.Line, e.Column, e.Err) }

// Unwrap returns the cause.
func (e *ParseError) Unwrap() error { return e.Err }

// parseError returns the first mistake that the decoder found, with its place. An error without a place
// stays as it is.
func parseError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, column := first.Position()
		return &ParseError{line, column, fmt.Errorf("%w: %s", ErrUnknownKey, strings.Join(first.Key(), "."))}
	}
	var mistake *toml.DecodeError
	if errors.As(err, &mistake) {
		line, column := mistake.Position()
		return &ParseError{line, column, errors.New(strings.TrimPrefix(mistake.Error(), "toml: "))}
	}
	return err
}
