// Package features reads the features file, which operators write. The file configures the features that the
// platform's configuration does not have. Each table is a feature, which is off if the file does not have the
// table. The subsystem of a feature defines its defaults and checks.
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

// Read decodes the file into tables, which already hold the defaults, and calls check. An unknown key is an
// error, since it is probably misspelled. The error is one line with the file, the position and the reason,
// and wraps a *ParseError or the error of check.
func Read(path string, tables any, check func() error) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("operator's file: %w", err)
	}
	err = Decode(text, tables)
	if err == nil {
		err = check()
	}
	var parseErr *ParseError
	var configErr *ConfigError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &parseErr):
		return fmt.Errorf("operator's file %s:%w", path, err)
	case errors.As(err, &configErr):
		configErr.Line = lineOf(string(text), configErr.Table, configErr.Key)
		return fmt.Errorf("operator's file %s:%d: %w", path, configErr.Line, err)
	}
	return fmt.Errorf("operator's file %s: %w", path, err)
}

// Decode decodes a text into tables, as Read does. It returns a *ParseError if the decoder reports a
// position, and a *ConfigError for a duration without a unit.
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

// tableHeader matches the header line of a table.
var tableHeader = regexp.MustCompile(`^\s*\[\s*([^\]]+?)\s*\]`)

// lineOf returns the line of a key of a table. It returns the line of the table if the file does not have
// the key, and 1 if it does not have the table either.
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
