package soak

import (
	"fmt"
	"testing"
	"time"

	"woaddyke/internal/lab/audit"
	"woaddyke/internal/lab/report"
	"woaddyke/internal/testsupport/golden"
)

// Scripts read the last line of a soak, so its form must not change. Every number of a verdict has a value of its own here.
func TestTheLastLineOfASoakStays(t *testing.T) {
	v := &Verdict{Seed: 101, Processes: 102, Requests: 103, Faults: 104, Kinds: 105, Calls: 106, Behind: 107, Violations: 108, Lost: 109,
		Duplicates: 110, Unanswered: 111, Recovered: 1234567 * time.Microsecond}
	golden.Compare(t, "testdata/line.golden", fmt.Appendln(nil, v.Line()))
}

// Which count a broken rule goes to must not change either. Each rule is broken another number of times.
func TestWhatASoakCountsStays(t *testing.T) {
	r := &report.Results{Figures: map[string]float64{"doubled": 1000}, Audit: audit.Judgement{Ops: 77, Answers: 66, Excused: 55, Unread: 44, Open: 33}}
	times := 1
	for _, rule := range []audit.Rule{audit.Lost, audit.Twice, audit.Drain, audit.Cold, audit.Forged, audit.Crashed, audit.Told} {
		for range times {
			r.Audit.Breaches = append(r.Audit.Breaches, audit.Breach{Rule: rule, Op: "op", Why: "why", Lines: []int{1, 2}})
		}
		times *= 2
	}
	v := &Verdict{Seed: 1, Processes: 12}
	v.judge(r)
	text := fmt.Appendln(nil, v.Line())
	for _, found := range v.Found {
		text = fmt.Appendln(text, found.Op, found.What)
	}
	golden.Compare(t, "testdata/counts.golden", text)
}
