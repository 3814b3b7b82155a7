package codepolicy

import (
	"go/parser"
	"path"
	"strconv"
	"strings"
	"testing"
)

const module = "woaddyke"

// floors are the scheduler's packages from the lowest floor up, as docs/architecture.md draws them.
var floors = [][]string{
	{"internal/config/configerror"},
	{
		"internal/base/deadlines", "internal/base/opkey", "internal/base/oserror", "internal/base/spillqueue", "internal/base/stats",
		"internal/cluster/membership", "internal/cluster/operatorstate", "internal/cluster/peerload",
		"internal/lifecycle/boottime", "internal/lifecycle/clientdrain", "internal/lifecycle/hotrestart",
		"internal/observe/invariant", "internal/observe/logsink", "internal/observe/metrics",
	},
	{
		"internal/base/sprt", "internal/cluster/drainstate", "internal/cluster/replicaset", "internal/config/features",
		"internal/lifecycle/clock", "internal/lifecycle/hotrestart/transfer",
	},
	{"dispatch", "internal/cluster/replication"},
	{"internal/cluster/mesh", "internal/cluster/store", "internal/workers/loadreport", "internal/workers/outcome"},
	{"internal/cluster/replica", "internal/config", "internal/workers/workerconn"},
	{"internal/frontend/clientconn", "internal/scheduler/reducer", "internal/simwire"},
	{"internal/observe/console", "internal/scheduler", "internal/workers/discovery", "cmd/simhost"},
	{"internal/frontend"},
	{"cmd/woaddyke"},
}

// testsOnly are folders whose packages only tests import.
var testsOnly = []string{"internal/testsupport", "internal/codepolicy", "internal/cluster/membership/simulation", "internal/cluster/replication/simulation"}

// A package that imports one of its own floor or of a higher one makes the drawing of the architecture wrong, and is the first step to an
// import cycle.
func TestImportsGoDown(t *testing.T) {
	floorOf := map[string]int{}
	for floor, packages := range floors {
		for _, name := range packages {
			floorOf[name] = floor + 1 // 0 is for packages without one
		}
	}
	seen := map[string]bool{}
	walkImports(t, func(importer, imported string) {
		seen[importer] = true
		switch {
		case floorOf[importer] == 0:
			t.Errorf("%s has no floor", importer)
		case imported != "" && floorOf[imported] == 0:
			t.Errorf("%s imports %s, which has no floor", importer, imported)
		case imported != "" && floorOf[imported] >= floorOf[importer]:
			t.Errorf("%s, floor %d, imports %s, floor %d", importer, floorOf[importer], imported, floorOf[imported])
		}
	})
	for name := range floorOf {
		if !seen[name] {
			t.Errorf("%s has a floor and does not exist", name)
		}
	}
}

// walkImports visits each package of the scheduler, with an empty import, and each of its imports from this module.
func walkImports(t *testing.T, visit func(importer, imported string)) {
	t.Helper()
	for _, file := range sourceFiles(t, parser.ImportsOnly, testsOnly...) {
		importer := path.Dir(file.name)
		visit(importer, "")
		for _, spec := range file.content.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			if own, found := strings.CutPrefix(name, module+"/"); found {
				visit(importer, own)
			}
		}
	}
}
