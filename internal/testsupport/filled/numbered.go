package filled

import (
	"fmt"
	"reflect"
	"testing"
)

// Numbered returns a value in which every exported field is set, regardless of its tags. Numbers and texts
// count up in the order of the fields, and booleans are true. It fails the test if a field can't be set.
func Numbered[T any](t testing.TB) T {
	t.Helper()
	var value T
	new(numberer).fill(t, reflect.ValueOf(&value).Elem())
	RequireNonZero(t, reflect.TypeFor[T]().String(), value)
	return value
}

// RequireNonZero fails the test if an exported field, or an element of a list, has its zero value.
func RequireNonZero(t testing.TB, name string, value any) {
	t.Helper()
	requireNonZero(t, name, reflect.ValueOf(value))
}

// numberer sets fields to numbers and texts that all differ.
type numberer struct{ last int }

func (n *numberer) fill(t testing.TB, value reflect.Value) {
	t.Helper()
	n.last++
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				n.fill(t, value.Field(i))
			}
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), elementCount, elementCount))
		for i := range value.Len() {
			n.fill(t, value.Index(i))
		}
	case reflect.String:
		value.SetString(fmt.Sprintf("text-%d", n.last))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int64:
		value.SetInt(int64(n.last))
	case reflect.Uint8, reflect.Uint16, reflect.Uint64:
		if value.OverflowUint(uint64(n.last)) {
			t.Fatalf("%d is too large for %s", n.last, value.Type())
		}
		value.SetUint(uint64(n.last))
	default:
		t.Fatalf("%s can't be filled", value.Type())
	}
}

func requireNonZero(t testing.TB, name string, value reflect.Value) {
	t.Helper()
	if value.IsZero() {
		t.Fatalf("%s is zero", name)
	}
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() {
				requireNonZero(t, name+"."+field.Name, value.Field(i))
			}
		}
	case reflect.Slice:
		if value.Len() == 0 {
			t.Fatalf("%s is empty", name)
		}
		for i := range value.Len() {
			requireNonZero(t, fmt.Sprintf("%s[%d]", name, i), value.Index(i))
		}
	}
}
