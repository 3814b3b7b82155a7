// Package features reads the features file, the operator's own: what this project offers beyond the
// platform's configuration. Each table is a feature, which is off where the file does not have the table;
// the subsystem that offers it owns its defaults and its checks.
package features

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Read decodes the file into the tables, which have their defaults already, and calls check. A key that
// no table has is an error, since it is a misspelled one. Its error is one line with the file, the place
// and the reason, and wraps a *ParseError or what check returned.
func Read(path string, tables any, check func() error) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("operator's file: %w", err)
	}
	err = Decode(text, tables)
	if err == nil {
		err = check()
	}
	var place *ParseError
	var mistake *ConfigError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &place):
		return fmt.Errorf("operator's file %s:%w", path, err)
	case errors.As(err, &mistake):
		mistake.Line = lineOf(string(text), mistake.Table, mistake.Key)
		return fmt.Errorf("operator's file %s:%d: %w", path, mistake.Line, err)
	}
	return fmt.Errorf("operator's file %s: %w", path, err)
}

// Decode decodes a text into tables, as Read does. It returns a *ParseError where the decoder knows the place,
// and a *ConfigError for a duration without a unit.
func Decode(text []byte, tables any) error {
	if err := checkDurations(text, tables); err != nil {
		return err
	}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(tables); err != nil {
		return parseError(err)
	}
	return nil
}

// tableHeader matches a line that begins a table.
var tableHeader = regexp.MustCompile(`^\s*\[\s*([^\]]+?)\s*\]`)

// lineOf returns the line of a key of a table, the line of the table where the file leaves the key out,
// and 1 where it has neither.
func lineOf(text, table, key string) int {
	assignment := regexp.MustCompile(`(?i)^\s*"?` + regexp.QuoteMeta(key) + `"?\s*=`)
	current, found := "", 1
	for i, line := range strings.Split(text, "\n") {
		if header := tableHeader.FindStringSubmatch(line); header != nil {
			current = header[1]
			if current == table {
				found = i + 1
			}
			continue
		}
		if current == table && assignment.MatchString(line) {
			return i + 1
		}
	}
	return found
}
