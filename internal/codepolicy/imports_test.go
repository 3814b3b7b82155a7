package codepolicy

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// The scheduler must not depend on the protocol of the clients, so that a frontend for another protocol can
// use the same scheduler loop. It must not import HTTP or a package of a frontend.
func TestSchedulerImportsNoClientProtocol(t *testing.T) {
	scheduler := filepath.Join(root, "internal", "scheduler")
	files := 0
	err := filepath.WalkDir(scheduler, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		files++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			if imported == "net/http" || strings.HasPrefix(imported, "net/http/") ||
				strings.HasPrefix(imported+"/", "woaddyke/internal/frontend/") {
				t.Errorf("%s imports %s", path, imported)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files == 0 {
		t.Fatal("no file was found: this test checks nothing")
	}
}
