package soak

import (
	"fmt"
	"testing"
	"time"

	"woaddyke/internal/lab/audit"
	"woaddyke/internal/lab/report"
	"woaddyke/internal/testsupport/golden"
)

// Scripts read the last line of a soak, so its format must not change. Each field of the verdict has a
// different value.
func TestTheSummaryLineFormatIsStable(t *testing.T) {
	v := &Verdict{Seed: 101, Processes: 102, Requests: 103, Faults: 104, Kinds: 105, FailedCalls: 106, Pipelined: 107, Violations: 108, Lost: 109,
		Duplicates: 110, Unanswered: 111, RecoveryTime: 1234567 * time.Microsecond}
	golden.Compare(t, "testdata/line.golden", fmt.Appendln(nil, v.SummaryLine()))
}

// Each rule must be counted under the same field of the verdict as in earlier builds. Each rule is broken a
// different number of times, so that an exchange of two fields is seen.
func TestTheCountsOfEachRuleAreStable(t *testing.T) {
	r := &report.Results{Figures: map[string]float64{"doubled": 1000}, Audit: audit.Judgement{Ops: 77, Answers: 66, Excused: 55, Unread: 44, Open: 33}}
	repeats := 1
	for _, rule := range []audit.Rule{audit.LostOp, audit.DuplicateEffect, audit.PushAfterDrain, audit.ColdOverload, audit.Fabricated, audit.Crashed, audit.ExcessDeadline} {
		for range repeats {
			r.Audit.Breaches = append(r.Audit.Breaches, audit.Breach{Rule: rule, Op: "op", Why: "why", Lines: []int{1, 2}})
		}
		repeats *= 2
	}
	v := &Verdict{Seed: 1, Processes: 12}
	v.countBreaches(r)
	text := fmt.Appendln(nil, v.SummaryLine())
	for _, finding := range v.Findings {
		text = fmt.Appendln(text, finding.Op, finding.Text)
	}
	golden.Compare(t, "testdata/counts.golden", text)
}
