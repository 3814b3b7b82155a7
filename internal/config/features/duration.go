package features

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a duration that is written as "250ms", "2s" or "24h" in the file. 0 needs no unit.
type Duration time.Duration

// UnmarshalText parses a duration with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText returns a text that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// ErrNoUnit is wrapped by the error for a duration that is a number without a unit.
var ErrNoUnit = errors.New("a duration needs a unit")

// checkDurations returns a *ConfigError for the first field of type Duration whose value is a number other
// than 0, which the decoder would interpret as nanoseconds. It returns nil if the text is not valid TOML: the
// decoder reports that.
func checkDurations(text []byte, tables any) error {
	var document map[string]any
	if err := toml.Unmarshal(text, &document); err != nil {
		return nil
	}
	return checkTable("", document, reflect.TypeOf(tables))
}

// checkTable checks the durations of a table that is decoded into a type, and those of its nested tables.
func checkTable(name string, table map[string]any, into reflect.Type) error {
	for into.Kind() == reflect.Pointer {
		into = into.Elem()
	}
	if into.Kind() != reflect.Struct {
		return nil
	}
	for i := range into.NumField() {
		field := into.Field(i)
		key, value := lookupField(table, field)
		if err := checkValue(name, key, value, field.Type); err != nil {
			return err
		}
	}
	return nil
}

func checkValue(table, key string, value any, into reflect.Type) error {
	if inner, ok := value.(map[string]any); ok {
		return checkTable(strings.TrimPrefix(table+"."+key, "."), inner, into)
	}
	if into != reflect.TypeFor[Duration]() {
		return nil
	}
	switch value := value.(type) {
	case int64:
		if value != 0 {
			return missingUnit(table, key, value)
		}
	case float64:
		return missingUnit(table, key, value)
	}
	return nil
}

func missingUnit(table, key string, value any) error {
	const format = "%w: got %v, write for example \"%vms\" or \"%vs\""
	return &ConfigError{Table: table, Key: key, Err: fmt.Errorf(format, ErrNoUnit, value, value, value)}
}

// lookupField returns the value that the decoder puts into a field, and its key as it stands in the file.
// Like the decoder it ignores the case of keys.
func lookupField(table map[string]any, field reflect.StructField) (key string, value any) {
	name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
	if name == "" {
		name = field.Name
	}
	for key, value := range table {
		if strings.EqualFold(key, name) {
			return key, value
		}
	}
	return name, nil
}
