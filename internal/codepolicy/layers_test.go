package codepolicy

import (
	"go/parser"
	"path"
	"strconv"
	"strings"
	"testing"
)

const module = "woaddyke"

// layers are the scheduler's packages, from the lowest layer up, as in the drawing in docs/architecture.md.
var layers = [][]string{
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

// testsOnly are folders with packages that only tests import.
var testsOnly = []string{"internal/testsupport", "internal/codepolicy", "internal/cluster/membership/simulation", "internal/cluster/replication/simulation"}

// A package may import only packages of lower layers. Any other import would contradict the drawing of the
// architecture, and could lead to an import cycle.
func TestImportsPointToLowerLayers(t *testing.T) {
	layerOf := map[string]int{}
	for layer, packages := range layers {
		for _, name := range packages {
			layerOf[name] = layer + 1 // 0 is for packages without a layer
		}
	}
	seen := map[string]bool{}
	walkImports(t, func(importer, imported string) {
		seen[importer] = true
		switch {
		case layerOf[importer] == 0:
			t.Errorf("%s has no layer", importer)
		case imported != "" && layerOf[imported] == 0:
			t.Errorf("%s imports %s, which has no layer", importer, imported)
		case imported != "" && layerOf[imported] >= layerOf[importer]:
			t.Errorf("%s, layer %d, imports %s, layer %d", importer, layerOf[importer], imported, layerOf[imported])
		}
	})
	for name := range layerOf {
		if !seen[name] {
			t.Errorf("%s has a layer and does not exist", name)
		}
	}
}

// walkImports calls visit for each file of the scheduler with an empty import, and for each import from this
// module.
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
			if inModule, found := strings.CutPrefix(name, module+"/"); found {
				visit(importer, inModule)
			}
		}
	}
}
