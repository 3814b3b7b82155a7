// Package configerror has the error for one key of a configuration. It imports no other package of this
// module, so that a package that only decides can report a mistake in its parameters without knowing how
// the file with them is read.
package configerror

import (
	"fmt"
	"strings"
)

// Error is a mistake in the value of one key.
type Error struct {
	// Key is the path as the file has it, such as "limits.sockets"; empty where a wrapping error has it.
	Key string
	// Problem is what the value must be, such as "must be between 1 and 65536"; empty where Err says it.
	Problem string
	// Value is what was read; nil where the key is missing or its value says nothing.
	Value any
	// Err is the cause, nil without one.
	Err error
}

// Invalid returns the mistake of a key whose value must be otherwise; the format says what it must be.
func Invalid(key string, value any, format string, args ...any) *Error {
	return &Error{Key: key, Problem: fmt.Sprintf(format, args...), Value: value}
}

// Error has the form "key: problem, got value: cause", without the parts that are empty.
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
