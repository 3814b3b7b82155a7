// Package configerror has the error for an invalid key of a configuration. It imports no other package of
// this module, so that any package can report an invalid parameter without depending on the package that
// reads the file.
package configerror

import (
	"fmt"
	"strings"
)

// Error reports an invalid or missing value of one key.
type Error struct {
	// Key is the path within the file, such as "limits.sockets"; empty if a wrapping error has the key.
	Key string
	// Problem says what the value must be, such as "must be between 1 and 65536"; empty if Err says it.
	Problem string
	// Value is the value that was read; nil if the key is missing or the value would not help to
	// correct the file.
	Value any
	// Err is the cause, or nil.
	Err error
}

// Invalid returns the error for a key with an invalid value. The format says what the value must be.
func Invalid(key string, value any, format string, args ...any) *Error {
	return &Error{Key: key, Problem: fmt.Sprintf(format, args...), Value: value}
}

// Error returns a text of the form "key: problem, got value: cause", without the parts that are empty.
func (e *Error) Error() string {
	var parts []string
	if e.Key != "" {
		parts = append(parts, e.Key)
	}
	if problem := e.problemAndValue(); problem != "" {
		parts = append(parts, problem)
	}
	if e.Err != nil {
		parts = append(parts, e.Err.Error())
	}
	return strings.Join(parts, ": ")
}

func (e *Error) problemAndValue() string {
	switch value := e.Value.(type) {
	case nil:
		return e.Problem
	case string:
		return fmt.Sprintf("%s, got %q", e.Problem, value)
	default:
		return fmt.Sprintf("%s, got %v", e.Problem, value)
	}
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
