// Package codepolicy holds rules on this project's own code that no compiler checks: where the wall clock may be read, and who may write
// to a worker.
package codepolicy

import (
	"go/ast"
	"go/parser"
	"go/token"
	"slices"
	"strings"
	"testing"
)

// place is one use in one file.
type place struct {
	file, what string
	at         token.Position
}

// uses are all selectors of some names in the scheduler's own code.
func uses(t *testing.T, wanted func(on ast.Expr, name string) bool) (all []place) {
	t.Helper()
	for _, file := range sourceFiles(t, parser.SkipObjectResolution) {
		ast.Inspect(file.content, func(n ast.Node) bool {
			selector, ok := n.(*ast.SelectorExpr)
			if ok && wanted(selector.X, selector.Sel.Name) {
				all = append(all, place{file.name, selector.Sel.Name, file.position(selector)})
			}
			return true
		})
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
