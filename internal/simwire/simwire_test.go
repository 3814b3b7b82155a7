package simwire

import (
	"strings"
	"testing"
)

const startedScheduler = `{"wallNs":5000000,"groups":[{"schedulerId":"scheduler/0","items":[{"m":"PowerOn","prng":9,` +
	`"setup":{"bounds":{"maxPushes":3,"probes":true},"stepNs":1000000,"categories":[{"effect":"fragile",` +
	`"ttlNs":900000000,"targetLatencyNs":100000000}],"report":{"fields":["pending","busy_reqs","x0"]},` +
	`"extra":{"reportX0":"free slots",` +
	`"tellsStart":true},"later":{"key":1}}},{"m":"Topology","scope":"remembered","version":1,"records":[` +
	`{"worker":"worker_a","availability":"ready","later":1}]}]}]}` + "\n"

func batchOf(wall, body string) string {
	return `{"wallNs":` + wall + `,"groups":[{"schedulerId":"scheduler/0","items":[` + body + `]}]}` + "\n"
}

func serve(in string) (string, error) {
	var out strings.Builder
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestEveryBatchHasOneReply(t *testing.T) {
	in := `{"wallNs":1,"groups":[]}` + "\n" + startedScheduler +
		batchOf("6000000", `{"m":"WorkItem","req":"r","lane":0,"validUntilNs":800000000}`) +
		batchOf("7000000",
			`{"m":"StatusBack","worker":"worker_a","elapsedNs":1000000,"how":10,"healthInfo":[0,0,4]}`) +
		batchOf("8000000",
			`{"m":"Settled","req":"r","leg":0,"worker":"worker_a","how":99,"elapsedNs":1000000},`+
				`{"m":"New"}`) +
		batchOf("9000000",
			`{"m":"Settled","req":"r","leg":0,"worker":"worker_a","how":10,"over":true},{"m":"Exit"}`)
	out, err := serve(in)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if err != nil || len(lines) != 6 {
		t.Fatalf("%d replies, error %v", len(lines), err)
	}
	for i, want := range []string{`{"groups":[]}`, `[]`, `"Test","worker":"worker_a"`,
		`"Send","req":"r","worker":"worker_a"`,
		`"Surrender"`, `[]`} { // after an unknown code the op may have run: no nack for an at-most-once op
		if !strings.Contains(lines[i], want) {
			t.Errorf("reply %d: %s, want %s", i, lines[i], want)
		}
	}
}

func TestInvalidInputIsReported(t *testing.T) {
	for in, want := range map[string]string{
		"{\n":                       "malformed",
		`{"groups":[]}` + "\n":      "no wallNs",
		batchOf("1", `{"m":"Exit`):  "malformed",
		batchOf("1", `{"req":"r"}`): "without m",
		batchOf("1", `{"m":"WorkItem","req":"r"}`):                                                   "not powered on",
		startedScheduler + batchOf("6", `{"m":"WorkItem","req":"r","lane":7}`):                       "lane 7",
		startedScheduler + batchOf("6", `{"m":"StatusBack","worker":"nobody"}`):                      `"nobody"`,
		batchOf("1", `{"m":"PowerOn","setup":{"a":1}}`):                                              "prng",
		startedScheduler + batchOf("6", `{"m":"Topology","records":[{"a":"b"}]}`):                    "record without worker",
		startedScheduler + batchOf("6", `{"m":"Topology","records":[{"worker":"w","locality":-1}]}`): "locality -1",
	} {
		if _, err := serve(in); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", in, err, want)
		}
	}
}
