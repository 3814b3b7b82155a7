package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const sound = "[[workers]]\ncount = 2\n[[categories]]\nname = \"a\"\n"

// A file that is wrong must not be played as something else: one line says where and why.
func TestWhatIsWrongWithAFileIsOneLineWithItsPlace(t *testing.T) {
	for text, want := range map[string]string{
		"seed = ": "1:7:", "sed = 1\n" + sound: "1:1: no such key: sed",
		sound + "[arrivals]\nrat = 1\n":                                  "6:1: no such key: arrivals.rat",
		"[[workers]]\ncount = \"x\"\n":                                   "2:9:",
		"[[workers]]\ncount = 2\n":                                       "categories",
		"[[categories]]\nname = \"a\"\n":                                 "workers: 0",
		sound + "effect = \"twice\"\n":                                   "effect",
		sound + "scope = \"zone\"\n":                                     "scope goes with",
		sound + "ttl_ms = -1\n":                                          "ttl_ms = -1 lies outside",
		sound + "work_ms = nan\n":                                        "work_ms = NaN",
		sound + "[[faults]]\nkind = \"fire\"\n":                          "none of",
		sound + "[[faults]]\nkind = \"slow\"\n":                          "size = 0",
		sound + "[[faults]]\nkind = \"hang\"\nindices = [2]\n":           "none of 0 to 1",
		sound + "[[faults]]\nkind = \"cut\"\nzone = \"moon\"\n":          "no zone",
		sound + "[arrivals]\nsteps = [[2, 1], [1, 1]]\n":                 "in order of time",
		sound + "[arrivals]\nkind = \"trace\"\n":                         "a file is wanted",
		sound + "[schedulers]\ncount = 2\nshares = [1]\n":                "1 for 2",
		"sizes = [0]\n" + sound:                                          "sizes[0] = 0 lies outside",
		"regions = [{ name = \"r\", zones = [\"moon\"] }]\n" + sound:     "is no zone",
		"regions = [{ name = \"east\", zones = [\"west\"] }]\n" + sound:  "a name that is no zone's",
		sound + "[[faults]]\nkind = \"region-cut\"\nzone = \"east\"\n":   "a region is wanted",
		sound + "[[faults]]\nkind = \"restarts\"\n":                      "size = 0",
		sound + "[[faults]]\nkind = \"settings-change\"\nevery_s = 1\n":  "members.on is wanted",
		"[members]\nhollow = 3\n" + sound:                                "members.hollow = 3",
		"[members]\non = true\nhollow = 479\n" + sound:                   "480 members at most",
		"expect = [{ figure = \"acked\" }]\n" + sound:                    "least or most",
		sound + "[chaos]\nkinds = [\"slow\"]\nfor_s = [2, 1]\nevery_s=1": "least and most",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v; want %q", text, err, want)
		}
	}
	if e, err := Parse([]byte(sound)); err != nil || e.Workers[0].Cores != 4 || e.Judged().KillAfter != 37_000 {
		t.Errorf("a sound file: %+v, %v", e, err)
	}
}

// A share of an experiment must leave the whole as it was, and may not drop the worker that a trouble is about.
func TestASizeIsAShareOfWorkersAndArrivals(t *testing.T) {
	e, err := Parse([]byte("zones = [\"a\", \"b\"]\nregions = [{ name = \"r\", zones = [\"b\"] }]\n" + strings.Replace(sound, "count = 2", "count = 40", 1) +
		"[arrivals]\nrate = 100\n[[faults]]\nkind = \"hang\"\nindices = [30]\n"))
	if err != nil {
		t.Fatal(err)
	}
	s, err := e.Sized(0.9)
	if err != nil || s.WorkerCount() != 36 || s.Arrivals.Rate != 90 || e.WorkerCount() != 40 || e.Arrivals.Rate != 100 {
		t.Errorf("%+v, %v; the whole: %+v", s, err, e)
	}
	if _, err := e.Sized(0.5); err == nil || !strings.Contains(err.Error(), "30 is none of 0 to 19") {
		t.Errorf("worker 30 of 20: %v", err)
	}
	for _, c := range []struct {
		name, zone string
		in         bool
	}{{"", "a", true}, {"a", "a", true}, {"a", "b", false}, {"r", "b", true}, {"r", "a", false}} {
		if e.In(c.name, c.zone) != c.in {
			t.Errorf("zone %s in %q: %v", c.zone, c.name, !c.in)
		}
	}
}

// Lists of a file stand in place of its base's; a circle of bases ends.
func TestAFileStandsOverItsBase(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"base.toml": sound + "[arrivals]\nrate = 7\n", "circle.toml": "base = \"circle.toml\"\n" + sound,
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
	if _, err := Read(filepath.Join(dir, "circle.toml")); err == nil || !strings.Contains(err.Error(), "files deep") {
		t.Errorf("a circle: %v", err)
	}
}

// A cold worker's bound counts in ops of mean work: by the shares of the categories, and by how wide their ops are.
func TestMeanWorkIsThatOfAllOps(t *testing.T) {
	e, err := Parse([]byte("[[workers]]\ncount = 1\n[[categories]]\nname = \"a\"\nshare = 3\nwork_ms = 100\n" +
		"[[categories]]\nname = \"b\"\nwork_ms = 200\nslots = [0.5, 0.25, 0.25]\n"))
	if err != nil {
		t.Fatal(err)
	}
	if m := e.Judged().MeanWork; m != (3*100+200*2)/4.0 {
		t.Errorf("%.1f ms", m)
	}
}
