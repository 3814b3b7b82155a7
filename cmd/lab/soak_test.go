package main

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// Runs a short soak of real processes. SOAK_SEED sets another seed.
func TestAShortSoakFindsNoViolations(t *testing.T) {
	seed := os.Getenv("SOAK_SEED")
	if seed == "" {
		seed = "3"
	}
	out, errs, code := lab(t, programs(t), "soak", "--seed", seed, "--for", "12s", "--processes", "6", "--source", "../..")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	want := regexp.MustCompile(`^soak: seed=\d+ processes=6 requests=[1-9]\d* faults=[1-9]\d* kinds=[1-9]\d* violations=0 lost=0 duplicates=0 unanswered=0 recovered_ms=\d+$`)
	if code != 0 || !want.MatchString(lines[len(lines)-1]) {
		t.Errorf("seed %s: exit code %d\n%s\n%s", seed, code, out, errs)
	}
}

// Invalid arguments of a soak must be reported in a single line.
func TestASoakWithInvalidArgumentsIsRejectedInOneLine(t *testing.T) {
	dir := programs(t)
	for _, args := range [][]string{{"--for", "2s"}, {"--processes", "99"}, {"--seeds", "9..1"}, {"--bin", "/nowhere/woaddyke", "--for", "10s"}} {
		_, errs, code := lab(t, dir, append([]string{"soak"}, args...)...)
		if code != exitUnfit || strings.Count(errs, "lab: ") != 1 {
			t.Errorf("%v: exit code %d, %q", args, code, errs)
		}
	}
}
