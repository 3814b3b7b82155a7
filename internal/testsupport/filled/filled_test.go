package filled

import (
	"reflect"
	"slices"
	"testing"
)

type inner struct {
	Count int
	Left  string `json:"-"`
}

type whole struct {
	Name   string
	Parts  []inner
	ByName map[string]*inner
}

// Guards that a field with its zero value is found at any depth, and that one which JSON leaves out is not.
func TestUnsetFieldsAreFound(t *testing.T) {
	value := whole{Name: "a", Parts: []inner{{Count: 1}, {Left: "b"}}, ByName: map[string]*inner{"c": nil}}
	want := []string{"v.Parts[1].Count", "v.ByName[c]"}
	if got := unset(reflect.ValueOf(value), "v"); !slices.Equal(got, want) {
		t.Errorf("%q are not set, want %q", got, want)
	}
	if got := unset(reflect.ValueOf(whole{}), "v"); !slices.Equal(got, []string{"v"}) {
		t.Errorf("%q are not set, want all", got)
	}
}

// Guards that a value is filled whole and that no two numbers or texts in it are the same.
func TestValuesAreFilled(t *testing.T) {
	value := Value[whole](t)
	if got := unset(reflect.ValueOf(value), "v"); len(got) > 0 {
		t.Errorf("%q are not set", got)
	}
	if len(value.Parts) != elements || len(value.ByName) != elements || value.Parts[0] == value.Parts[1] {
		t.Errorf("%+v", value)
	}
}
