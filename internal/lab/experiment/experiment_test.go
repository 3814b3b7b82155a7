package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validFile = "[[workers]]\ncount = 2\n[[categories]]\nname = \"a\"\n"

// An invalid file must be rejected, not run with other values. The error is one line that says where and why.
func TestAnInvalidFileGivesAnErrorOfOneLine(t *testing.T) {
	for text, want := range map[string]string{
		"seed = ": "1:7:", "sed = 1\n" + validFile: "1:1: no such key: sed",
		validFile + "[arrivals]\nrat = 1\n":                                  "6:1: no such key: arrivals.rat",
		"[[workers]]\ncount = \"x\"\n":                                       "2:9:",
		"[[workers]]\ncount = 2\n":                                           "categories",
		"[[categories]]\nname = \"a\"\n":                                     "workers: 0 workers",
		validFile + "effect = \"twice\"\n":                                   "effect",
		validFile + "scope = \"zone\"\n":                                     "scope is only allowed with effect",
		validFile + "ttl_ms = -1\n":                                          "ttl_ms = -1 must be from",
		validFile + "work_ms = nan\n":                                        "work_ms = NaN",
		validFile + "[[faults]]\nkind = \"fire\"\n":                          "must be one of",
		validFile + "[[faults]]\nkind = \"slow\"\n":                          "size = 0",
		validFile + "[[faults]]\nkind = \"hang\"\nindices = [2]\n":           "must be from 0 to 1",
		validFile + "[[faults]]\nkind = \"cut\"\nzone = \"moon\"\n":          "is not a zone or region",
		validFile + "[arrivals]\nsteps = [[2, 1], [1, 1]]\n":                 "in order of time",
		validFile + "[arrivals]\nkind = \"trace\"\n":                         "a file must be set",
		validFile + "[schedulers]\ncount = 2\nshares = [1]\n":                "1 values for 2",
		"sizes = [0]\n" + validFile:                                          "sizes[0] = 0 must be from",
		"regions = [{ name = \"r\", zones = [\"moon\"] }]\n" + validFile:     "zone \"moon\" does not exist",
		"regions = [{ name = \"east\", zones = [\"west\"] }]\n" + validFile:  "must be a name that no zone has",
		validFile + "[[faults]]\nkind = \"region-cut\"\nzone = \"east\"\n":   "must be a region",
		validFile + "[[faults]]\nkind = \"restarts\"\n":                      "size = 0",
		validFile + "[[faults]]\nkind = \"settings-change\"\nevery_s = 1\n":  "needs members.on",
		"[members]\nhollow = 3\n" + validFile:                                "members.hollow = 3",
		"[members]\non = true\nhollow = 479\n" + validFile:                   "at most 480 members",
		"expect = [{ figure = \"acked\" }]\n" + validFile:                    "least or most",
		validFile + "[chaos]\nkinds = [\"slow\"]\nfor_s = [2, 1]\nevery_s=1": "a minimum and a maximum",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v; want %q", text, err, want)
		}
	}
	if e, err := Parse([]byte(validFile)); err != nil || e.Workers[0].Cores != 4 || e.LedgerRules().KillAfter != 37_000 {
		t.Errorf("a valid file: %+v, %v", e, err)
	}
}

// Scaling must leave the original unchanged. It must fail if a fault names a worker that the scaled
// experiment doesn't have.
func TestScalingMultipliesWorkersAndArrivalRate(t *testing.T) {
	e, err := Parse([]byte("zones = [\"a\", \"b\"]\nregions = [{ name = \"r\", zones = [\"b\"] }]\n" + strings.Replace(validFile, "count = 2", "count = 40", 1) +
		"[arrivals]\nrate = 100\n[[faults]]\nkind = \"hang\"\nindices = [30]\n"))
	if err != nil {
		t.Fatal(err)
	}
	s, err := e.Scaled(0.9)
	if err != nil || s.WorkerCount() != 36 || s.Arrivals.Rate != 90 || e.WorkerCount() != 40 || e.Arrivals.Rate != 100 {
		t.Errorf("%+v, %v; the original: %+v", s, err, e)
	}
	if _, err := e.Scaled(0.5); err == nil || !strings.Contains(err.Error(), "30 must be from 0 to 19") {
		t.Errorf("a fault of worker 30 with 20 workers: %v", err)
	}
	for _, c := range []struct {
		name, zone string
		in         bool
	}{{"", "a", true}, {"a", "a", true}, {"a", "b", false}, {"r", "b", true}, {"r", "a", false}} {
		if e.ZoneMatches(c.name, c.zone) != c.in {
			t.Errorf("zone %s in %q: %v", c.zone, c.name, !c.in)
		}
	}
}

// The lists of a file replace those of its base. A cycle of base files must give an error.
func TestAFileOverridesItsBase(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"base.toml": validFile + "[arrivals]\nrate = 7\n", "circle.toml": "base = \"circle.toml\"\n" + validFile,
		"over.toml": "base = \"base.toml\"\nseed = 9\n[[categories]]\nname = \"b\"\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	e, err := Read(filepath.Join(dir, "over.toml"))
	if err != nil || e.Name != "over" || e.Seed != 9 || e.Arrivals.Rate != 7 || len(e.Categories) != 1 || e.Categories[0].Name != "b" {
		t.Errorf("%+v, %v", e, err)
	}
	if _, err := Read(filepath.Join(dir, "circle.toml")); err == nil || !strings.Contains(err.Error(), "nested more than 4 deep") {
		t.Errorf("a cycle: %v", err)
	}
}

// The overload limit of a cold worker depends on the mean work of an op, weighted by the categories' shares
// and the ops' slots.
func TestMeanWorkIsWeightedBySharesAndSlots(t *testing.T) {
	e, err := Parse([]byte("[[workers]]\ncount = 1\n[[categories]]\nname = \"a\"\nshare = 3\nwork_ms = 100\n" +
		"[[categories]]\nname = \"b\"\nwork_ms = 200\nslots = [0.5, 0.25, 0.25]\n"))
	if err != nil {
		t.Fatal(err)
	}
	if m := e.LedgerRules().MeanWork; m != (3*100+200*2)/4.0 {
		t.Errorf("%.1f ms", m)
	}
}
