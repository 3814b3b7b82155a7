package report

import (
	"fmt"
	"testing"

	"woaddyke/internal/lab/audit"
	"woaddyke/internal/testsupport/golden"
)

// goldenResults returns results in which each figure of the summary line has a different value.
func goldenResults(value func(place int) float64) *Results {
	r := &Results{Figures: map[string]float64{}, Unmet: []string{"a promise", "another"},
		Audit: audit.Judgement{Ops: 1201, Answers: 1198, Breaches: make([]audit.Breach, 3), Excused: 4, Unread: 5, Open: 6}}
	for place, name := range summaryFigures {
		r.Figures[name] = value(place)
	}
	return r
}

// Scripts read the last line of a run. The names of its figures, their order and the format of values must
// not change.
func TestTheSummaryLineFormatIsStable(t *testing.T) {
	var text []byte
	for _, value := range []func(place int) float64{
		func(place int) float64 { return float64(100 + place) },                      // integer
		func(place int) float64 { return float64(place) + 0.123456 },                 // not an integer
		func(place int) float64 { return 1e8 * float64(1+place) },                    // large integer
		func(place int) float64 { return -1 / float64(3+place*place*place*place*7) }, // small
	} {
		text = fmt.Appendln(text, goldenResults(value).SummaryLine())
	}
	bare := &Results{Figures: map[string]float64{}}
	golden.Compare(t, "testdata/line.golden", fmt.Appendln(text, bare.SummaryLine()))
}
