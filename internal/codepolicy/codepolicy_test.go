// Package codepolicy holds rules on this project's own code that no compiler checks: where the wall clock may be read, and who may write
// to a worker.
package codepolicy

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const root = "../.."

// place is one use in one file.
type place struct {
	file, what string
	at         token.Position
}

// notTheScheduler are folders whose code is not part of the scheduler: the lab, trials and examples.
var notTheScheduler = []string{"internal/lab", "spikes", "examples", "journal", ".git", "cmd/lab", "cmd/hollow"}

// skipForeign tells a walk over the project to leave out what is not part of the scheduler.
func skipForeign(folder string) error {
	if slices.Contains(notTheScheduler, filepath.ToSlash(folder)) {
		return filepath.SkipDir
	}
	return nil
}

// uses are all selectors of some names in the program's own code: tests, the lab and what is tried elsewhere are none of it.
func uses(t *testing.T, wanted func(on ast.Expr, name string) bool) (all []place) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, _ := filepath.Rel(root, path)
		if d.IsDir() {
			return skipForeign(rel)
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			s, ok := n.(*ast.SelectorExpr)
			if ok && wanted(s.X, s.Sel.Name) {
				all = append(all, place{filepath.ToSlash(rel), s.Sel.Name, files.Position(s.Pos())})
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(all) == 0 {
		t.Fatal("no use at all was found: this check looks at nothing")
	}
	return all
}

func isPackage(on ast.Expr, name string) bool {
	id, ok := on.(*ast.Ident)
	return ok && id.Name == name
}

// held tells of each use in a file that is none of those excepted, and of exceptions that nobody needs any more.
func held(t *testing.T, all []place, excepted map[string]string) {
	t.Helper()
	needed := map[string]bool{}
	for _, p := range all {
		key := p.file + " " + p.what
		if needed[key] = true; excepted[key] == "" {
			t.Errorf("%s:%d: %s", p.file, p.at.Line, p.what)
		}
	}
	for key := range excepted {
		if !needed[key] {
			t.Errorf("an exception that nobody needs: %s", key)
		}
	}
}

// The wall clock may be stepped at any time, so no moment of it may be compared with another or leave the process. What turns a time
// into such a moment, or takes its monotonic reading off, is listed here with its reason.
func TestWhereTheWallClockIsRead(t *testing.T) {
	wall := []string{"Unix", "UnixNano", "UnixMilli", "UnixMicro", "Round", "Truncate", "UTC", "Local", "GobEncode", "MarshalBinary"}
	held(t, uses(t, func(on ast.Expr, name string) bool {
		return slices.Contains(wall, name) && !isPackage(on, "math")
	}), map[string]string{
		"internal/workers/discovery/start_times.go UnixMilli": "boot_ms is discovery's Unix time; it is held against this machine's clock of the start, here alone",
		"internal/frontend/clientconn/clientconn.go Unix":     "a deadline long past, to end a wait; no clock is read",
		"internal/cluster/mesh/sockets.go Unix":               "the same",
		"internal/frontend/peers.go Unix":                     "the same",
	})
}

// One package alone owns the write to a worker, so that no push gets round its guards.
func TestWhoWritesToAWorker(t *testing.T) {
	held(t, uses(t, func(on ast.Expr, name string) bool {
		return isPackage(on, "syscall") && name == "Write" || name == "Dialer" || isPackage(on, "net") && strings.HasPrefix(name, "Dial")
	}), map[string]string{
		"internal/workers/workerconn/exchange.go Write":                  "the one write of a push or a probe",
		"internal/workers/workerconn/workerconn.go Dialer":               "the one dial of a worker",
		"internal/workers/discovery/unread_data.go Dialer":               "discovery",
		"internal/cluster/mesh/streams.go Dialer":                        "other members",
		"internal/testsupport/fragmentpeer/fragmentpeer.go Dial":         "peers of tests; the program does not have it",
		"internal/lifecycle/hotrestart/transfer/transfer.go DialTimeout": "the process before, on a Unix socket",
	})
}
