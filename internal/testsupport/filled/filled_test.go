package filled

import (
	"reflect"
	"slices"
	"testing"
)

type inner struct {
	Count   int
	Ignored string `json:"-"`
}

type outer struct {
	Name   string
	Parts  []inner
	ByName map[string]*inner
}

// A field with its zero value is found at any depth, unless JSON omits it.
func TestUnsetFieldsAreFound(t *testing.T) {
	value := outer{Name: "a", Parts: []inner{{Count: 1}, {Ignored: "b"}}, ByName: map[string]*inner{"c": nil}}
	want := []string{"v.Parts[1].Count", "v.ByName[c]"}
	if got := unset(reflect.ValueOf(value), "v"); !slices.Equal(got, want) {
		t.Errorf("%q are not set, want %q", got, want)
	}
	if got := unset(reflect.ValueOf(outer{}), "v"); !slices.Equal(got, []string{"v"}) {
		t.Errorf("%q are not set, want all", got)
	}
}

// Value sets every field, and two elements of a list differ.
func TestEveryFieldIsFilledWithItsOwnValue(t *testing.T) {
	value := Value[outer](t)
	if got := unset(reflect.ValueOf(value), "v"); len(got) > 0 {
		t.Errorf("%q are not set", got)
	}
	if len(value.Parts) != elementCount || len(value.ByName) != elementCount || value.Parts[0] == value.Parts[1] {
		t.Errorf("%+v", value)
	}
}
