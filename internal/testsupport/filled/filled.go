// Package filled builds values in which every field is set, and finds fields that are not set. It is for
// tests only.
package filled

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"woaddyke/internal/testsupport/golden"
)

const elementCount = 2 // elements in each slice and each map

// Value returns a value in which every exported field that is encoded in JSON is set. Booleans are true, and
// all other fields have different values. It fails the test if a field can't be set.
func Value[T any](t testing.TB) T {
	t.Helper()
	var value T
	f := filler{t: t}
	f.fill(reflect.ValueOf(&value).Elem(), reflect.TypeFor[T]().String())
	RequireSet(t, value)
	return value
}

// CompareJSON fails the test unless the value is encoded as the content of the file, and the file is decoded
// as the value.
func CompareJSON[T any](t testing.TB, path string, value T) {
	t.Helper()
	var compact bytes.Buffer // without indents, as raw messages in the value have none
	if err := json.Compact(&compact, CompareWritten(t, path, value)); err != nil {
		t.Fatal(err)
	}
	var read T
	if err := json.Unmarshal(compact.Bytes(), &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, value) {
		t.Fatalf("%s was read as %+v, want %+v", path, read, value)
	}
}

// CompareWritten fails the test unless every field of the value is set, and the value is encoded as the
// content of the file. It returns the encoded value.
func CompareWritten(t testing.TB, path string, value any) []byte {
	t.Helper()
	RequireSet(t, value)
	text, err := json.MarshalIndent(value, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	text = append(text, '\n')
	golden.Compare(t, path, text)
	return text
}

// RequireSet fails the test for each exported field that is encoded in JSON and has its zero value.
func RequireSet(t testing.TB, value any) {
	t.Helper()
	for _, name := range unset(reflect.ValueOf(value), fmt.Sprintf("%T", value)) {
		t.Errorf("%s is not set", name)
	}
	if t.Failed() {
		t.FailNow()
	}
}

func isEncoded(field reflect.StructField) bool {
	return field.IsExported() && field.Tag.Get("json") != "-"
}

// unset returns the names of the fields that have their zero values.
func unset(value reflect.Value, name string) (names []string) {
	if !value.IsValid() || value.IsZero() {
		return []string{name}
	}
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		return unset(value.Elem(), name)
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); isEncoded(field) {
				names = append(names, unset(value.Field(i), name+"."+field.Name)...)
			}
		}
	case reflect.Slice, reflect.Array:
		if value.Len() == 0 {
			return []string{name}
		}
		for i := range value.Len() {
			names = append(names, unset(value.Index(i), fmt.Sprintf("%s[%d]", name, i))...)
		}
	case reflect.Map:
		if value.Len() == 0 {
			return []string{name}
		}
		for _, key := range value.MapKeys() {
			names = append(names, unset(value.MapIndex(key), fmt.Sprintf("%s[%v]", name, key))...)
		}
	}
	return names
}

// filler sets fields to values that count up, so that all differ.
type filler struct {
	t    testing.TB
	last int
}

func (f *filler) fill(value reflect.Value, name string) {
	f.t.Helper()
	if value.Type() == reflect.TypeFor[json.RawMessage]() {
		value.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, f.next()))
		return
	}
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.String:
		value.SetString(fmt.Sprintf("text %d", f.next()))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(f.next()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(f.next()))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(f.next()) + 0.5)
	case reflect.Interface:
		value.Set(reflect.ValueOf(fmt.Sprintf("text %d", f.next())))
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		f.fill(value.Elem(), name)
	case reflect.Struct:
		f.fillStruct(value, name)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), elementCount, elementCount))
		f.fillList(value, name)
	case reflect.Array:
		f.fillList(value, name)
	case reflect.Map:
		f.fillMap(value, name)
	default:
		f.t.Fatalf("%s: a %v can't be set", name, value.Type())
	}
}

func (f *filler) next() int {
	f.last++
	return f.last
}

func (f *filler) fillStruct(value reflect.Value, name string) {
	f.t.Helper()
	for i := range value.NumField() {
		if field := value.Type().Field(i); isEncoded(field) {
			f.fill(value.Field(i), name+"."+field.Name)
		}
	}
}

func (f *filler) fillList(value reflect.Value, name string) {
	f.t.Helper()
	for i := range value.Len() {
		f.fill(value.Index(i), name)
	}
}

func (f *filler) fillMap(value reflect.Value, name string) {
	f.t.Helper()
	value.Set(reflect.MakeMap(value.Type()))
	for range elementCount {
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		f.fill(key, name)
		f.fill(element, name)
		value.SetMapIndex(key, element)
	}
}

// RequireDiffers fails the test for each exported field that has the same value in two structs of the same
// type.
func RequireDiffers(t testing.TB, value, other any) {
	t.Helper()
	a, b := reflect.ValueOf(value), reflect.ValueOf(other)
	for i := range a.NumField() {
		field := a.Type().Field(i)
		if field.IsExported() && reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			t.Errorf("%T.%s is the same: %v", value, field.Name, a.Field(i).Interface())
		}
	}
}
