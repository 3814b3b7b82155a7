package features

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a duration as the file has it: "250ms", "2s", "24h"; 0 needs no unit.
type Duration time.Duration

// UnmarshalText reads a duration in the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText returns the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// ErrNoUnit is in the error for a duration that is a number without a unit.
var ErrNoUnit = errors.New("a duration needs a unit")

// checkDurations returns a *ConfigError for the first field of type Duration whose value is a number other
// than 0: the decoder would take it for nanoseconds. A text that is no TOML is left to the decoder.
func checkDurations(text []byte, tables any) error {
	var document map[string]any
	if err := toml.Unmarshal(text, &document); err != nil {
		return nil
	}
	return checkTable("", document, reflect.TypeOf(tables))
}

// checkTable checks the values of a table, and of those inside it, that go into a type.
func checkTable(name string, table map[string]any, into reflect.Type) error {
	for into.Kind() == reflect.Pointer {
		into = into.Elem()
	}
	if into.Kind() != reflect.Struct {
		return nil
	}
	for i := range into.NumField() {
		field := into.Field(i)
		key, value := lookUp(table, field)
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
			return noUnit(table, key, value)
		}
	case float64:
		return noUnit(table, key, value)
	}
	return nil
}

func noUnit(table, key string, value any) error {
	const format = "%w: got %v, write for example \"%vms\" or \"%vs\""
	return &ConfigError{Table: table, Key: key, Err: fmt.Errorf(format, ErrNoUnit, value, value, value)}
}

// lookUp returns the value that the decoder puts into a field, and its key as the file has it. The decoder
// compares keys without regard to case.
func lookUp(table map[string]any, field reflect.StructField) (key string, value any) {
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
