// Package features reads the operator's own file: what this project offers beyond the platform's configuration, all of it off
// where the file does not name it. Each subsystem owns a table of it, with its defaults and its checks.
package features

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a duration as the file writes it: "250ms", "2s", "24h".
type Duration time.Duration

// UnmarshalText reads one.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no span of time such as \"250ms\"", text)
	}
	*s = Duration(d)
	return nil
}

// MarshalText is for those who show it.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// ConfigError is a mistake in one key of one table.
type ConfigError struct {
	Table, Key string
	Err        error
}

func (f *ConfigError) Error() string { return fmt.Sprintf("%s.%s: %v", f.Table, f.Key, f.Err) }

// Unwrap is for errors.Is.
func (f *ConfigError) Unwrap() error { return f.Err }

// ErrorFromCheck makes a fault of a check's error, which begins with the key's name, its words parted by dashes.
func ErrorFromCheck(table string, err error) *ConfigError {
	key, text, _ := strings.Cut(err.Error(), ": ")
	return &ConfigError{Table: table, Key: strings.ReplaceAll(key, "-", "_"), Err: errors.New(text)}
}

// Read reads the file over the tables, whose defaults stand in them already, and has them checked. What is wrong is one line with
// its place: a key that nobody knows is an error, as it is a slip of the pen.
func Read(path string, tables any, check func() error) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("operator's file: %w", err)
	}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(tables); err != nil {
		return fmt.Errorf("operator's file %s:%w", path, place(err))
	}
	if err := check(); err != nil {
		var f *ConfigError
		if errors.As(err, &f) {
			return fmt.Errorf("operator's file %s:%d: %w", path, line(string(text), f.Table, f.Key), err)
		}
		return fmt.Errorf("operator's file %s: %w", path, err)
	}
	return nil
}

// place puts a decoder's error into one line with its place.
func place(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		row, col := strict.Errors[0].Position()
		return fmt.Errorf("%d:%d: no such key: %s", row, col, strings.Join(strict.Errors[0].Key(), "."))
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		row, col := bad.Position()
		return fmt.Errorf("%d:%d: %s", row, col, strings.TrimPrefix(bad.Error(), "toml: "))
	}
	return fmt.Errorf(" %w", err)
}

var header = regexp.MustCompile(`^\s*\[\s*([^\]]+?)\s*\]`)

// line is where a key of a table stands, or the table where the key is left out; 1 where neither is there.
func line(text, table, key string) int {
	in, at := "", 1
	assigned := regexp.MustCompile(`^\s*"?` + regexp.QuoteMeta(key) + `"?\s*=`)
	for i, row := range strings.Split(text, "\n") {
		if m := header.FindStringSubmatch(row); m != nil {
			if in = m[1]; in == table {
				at = i + 1
			}
		} else if in == table && assigned.MatchString(row) {
			return i + 1
		}
	}
	return at
}
