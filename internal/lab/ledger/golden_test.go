package ledger

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"
	"time"

	"woaddyke/internal/testsupport/golden"
)

const goldenLedger = "testdata/ledger.jsonl"

// kinds returns all constants of type Kind. It reads them from the package's source so that the list is
// complete.
func kinds(t *testing.T) (all []Kind) {
	t.Helper()
	sources, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, source := range sources {
		file, err := parser.ParseFile(token.NewFileSet(), source, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if spec, ok := node.(*ast.ValueSpec); ok {
				all = append(all, kindsOf(t, spec)...)
			}
			return true
		})
	}
	if len(all) == 0 {
		t.Fatal("no kinds found")
	}
	return all
}

// kindsOf returns the kinds that a declaration defines.
func kindsOf(t *testing.T, spec *ast.ValueSpec) (all []Kind) {
	t.Helper()
	declared, ok := spec.Type.(*ast.Ident)
	if !ok || declared.Name != reflect.TypeFor[Kind]().Name() {
		return nil
	}
	for _, value := range spec.Values {
		literal, ok := value.(*ast.BasicLit)
		if !ok {
			t.Fatalf("the kind %v is not a literal", spec.Names)
		}
		text, err := strconv.Unquote(literal.Value)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, Kind(text))
	}
	return all
}

// fill sets every field of v to a value that differs from those of the fields set before.
func fill(t *testing.T, v reflect.Value, next *int) {
	t.Helper()
	*next++
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*next))
	case reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprint("text ", *next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem(), next)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i), next)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 2 {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			fill(t, key, next)
			fill(t, value, next)
			v.SetMapIndex(key, value)
		}
	default:
		t.Fatalf("a field of kind %v", v.Kind())
	}
}

// requireAllSet fails the test if a field is zero, or if two fields other than booleans are equal.
func requireAllSet(t *testing.T, path string, v reflect.Value, seen map[string]string) {
	t.Helper()
	if v.IsZero() {
		t.Fatalf("%s is not set", path)
	}
	switch v.Kind() {
	case reflect.Pointer:
		requireAllSet(t, path, v.Elem(), seen)
	case reflect.Struct:
		for i := range v.NumField() {
			requireAllSet(t, path+"."+v.Type().Field(i).Name, v.Field(i), seen)
		}
	case reflect.Map:
		for entries := v.MapRange(); entries.Next(); {
			at := fmt.Sprintf("%s[%v]", path, entries.Key())
			requireAllSet(t, at+" key", entries.Key(), seen)
			requireAllSet(t, at, entries.Value(), seen)
		}
	case reflect.Bool:
	default:
		value := fmt.Sprint(v)
		if before, twice := seen[value]; twice {
			t.Fatalf("%s and %s are both %s", before, path, value)
		}
		seen[value] = path
	}
}

// goldenEvents returns an event of each kind, with all fields set and distinct within the event.
func goldenEvents(t *testing.T) []Event {
	t.Helper()
	var events []Event
	next := 0
	for _, kind := range kinds(t) {
		var e Event
		fill(t, reflect.ValueOf(&e).Elem(), &next)
		e.Kind = kind
		requireAllSet(t, "Event", reflect.ValueOf(e), map[string]string{})
		events = append(events, e)
	}
	return events
}

// The names of fields and kinds in the file must not change, because later builds read ledgers of earlier
// builds.
func TestTheLedgerFormatIsStable(t *testing.T) {
	var text []byte
	for _, e := range goldenEvents(t) {
		line, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		text = append(append(text, line...), '\n')
	}
	golden.Compare(t, goldenLedger, text)
}

// Fields that are not set are omitted from the line.
func TestEmptyFieldsAreOmittedFromLedgerLines(t *testing.T) {
	var text []byte
	for _, e := range []Event{{}, {Kind: Finished}, {Kind: Header, Rules: &Rules{Categories: map[string]Category{"name": {}}}}} {
		line, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		text = append(append(text, line...), '\n')
	}
	golden.Compare(t, "testdata/shortest.jsonl", text)
}

// Reading a ledger of an earlier build must set every field.
func TestALedgerOfAnEarlierBuildIsRead(t *testing.T) {
	got, err := ReadFile(goldenLedger)
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenEvents(t); !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
}

// The writer must write the stable format. The time is taken from the writer, which sets it.
func TestAWrittenLedgerHasTheStableFormat(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger.jsonl")
	writer, err := Create(path, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	events := goldenEvents(t)
	var want []byte
	for _, e := range events {
		e.At = writer.Add(e)
		line, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		want = append(append(want, line...), '\n')
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("written %q, want %q", got, want)
	}
}

// Other programs read the values of ledger fields, so the constants for these values must not change.
func TestLedgerValuesAreStable(t *testing.T) {
	values := map[string][]string{
		"effects":  {Redeliverable, Deduplicated, AtMostOnce},
		"verdicts": {Acked, Nacked, Dead, Bad, Done, Failed, Returned, TurnedAway, Lost, ServerError},
		"behind":   {Behind},
	}
	text, err := json.MarshalIndent(values, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "testdata/words.json", append(text, '\n'))
}
