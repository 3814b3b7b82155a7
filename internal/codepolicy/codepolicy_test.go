// Package codepolicy has tests of rules for this module's code that the compiler can't check, for example
// which files may read the wall clock and which may write to a worker.
package codepolicy

import (
	"go/ast"
	"go/parser"
	"go/token"
	"slices"
	"strings"
	"testing"
)

// use is a use of a name in a file.
type use struct {
	file, name string
	position   token.Position
}

// selectorUses returns the selector expressions in the scheduler's code for which wanted returns true.
func selectorUses(t *testing.T, wanted func(qualifier ast.Expr, name string) bool) (found []use) {
	t.Helper()
	for _, file := range sourceFiles(t, parser.SkipObjectResolution) {
		ast.Inspect(file.content, func(n ast.Node) bool {
			selector, ok := n.(*ast.SelectorExpr)
			if ok && wanted(selector.X, selector.Sel.Name) {
				found = append(found, use{file.name, selector.Sel.Name, file.position(selector)})
			}
			return true
		})
	}
	if len(found) == 0 {
		t.Fatal("no use was found: this test checks nothing")
	}
	return found
}

func isPackage(qualifier ast.Expr, name string) bool {
	id, ok := qualifier.(*ast.Ident)
	return ok && id.Name == name
}

// checkExceptions reports each use that is not among the exceptions, and each exception that has no use. The
// keys of exceptions are a file and a name; the values are reasons.
func checkExceptions(t *testing.T, found []use, exceptions map[string]string) {
	t.Helper()
	used := map[string]bool{}
	for _, u := range found {
		key := u.file + " " + u.name
		if used[key] = true; exceptions[key] == "" {
			t.Errorf("%s:%d: %s", u.file, u.position.Line, u.name)
		}
	}
	for key := range exceptions {
		if !used[key] {
			t.Errorf("exception without a use: %s", key)
		}
	}
}

// The wall clock may be stepped at any time, so its times must not be compared with each other or leave the
// process. Each use of a method that returns a wall clock time, or removes the monotonic reading of a time,
// is listed here with its reason.
func TestWallClockIsReadOnlyInListedFiles(t *testing.T) {
	wallClockMethods := []string{"Unix", "UnixNano", "UnixMilli", "UnixMicro", "Round", "Truncate", "UTC", "Local", "GobEncode", "MarshalBinary"}
	checkExceptions(t, selectorUses(t, func(qualifier ast.Expr, name string) bool {
		return slices.Contains(wallClockMethods, name) && !isPackage(qualifier, "math")
	}), map[string]string{
		"internal/workers/discovery/start_times.go UnixMilli": "boot_ms is a Unix time of discovery; only this file compares it with this machine's wall clock",
		"internal/frontend/clientconn/conn.go Unix":           "a deadline long past, to end a wait; no clock is read",
		"internal/cluster/mesh/sockets.go Unix":               "a deadline long past, to end a wait; no clock is read",
		"internal/frontend/peers.go Unix":                     "a deadline long past, to end a wait; no clock is read",
	})
}

// Only the package workerconn may write to workers, so that every push passes the checks of that package.
func TestOnlyListedFilesWriteToAWorker(t *testing.T) {
	checkExceptions(t, selectorUses(t, func(qualifier ast.Expr, name string) bool {
		return isPackage(qualifier, "syscall") && name == "Write" || name == "Dialer" || isPackage(qualifier, "net") && strings.HasPrefix(name, "Dial")
	}), map[string]string{
		"internal/workers/workerconn/exchange.go Write":                  "the one write of a push or a probe",
		"internal/workers/workerconn/workerconn.go Dialer":               "the one dial of a worker",
		"internal/workers/discovery/unread_data.go Dialer":               "discovery",
		"internal/cluster/mesh/streams.go Dialer":                        "other members",
		"internal/testsupport/fragmentpeer/fragmentpeer.go Dial":         "peers of tests; the program does not have it",
		"internal/lifecycle/hotrestart/transfer/transfer.go DialTimeout": "the predecessor, on a Unix socket",
	})
}
