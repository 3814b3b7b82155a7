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

// notTheScheduler are folders whose code is not part of the scheduler: the lab, trials and examples.
var notTheScheduler = []string{"internal/lab", "spikes", "examples", "journal", ".git", "cmd/lab", "cmd/hollow"}

// sourceFile is one parsed file of the scheduler, without its tests.
type sourceFile struct {
	name    string // from the project's root, with slashes
	set     *token.FileSet
	content *ast.File
}

// position returns where a node stands.
func (f sourceFile) position(node ast.Node) token.Position { return f.set.Position(node.Pos()) }

// sourceFiles parses the scheduler's own code, but for the folders that are to be skipped beside the foreign ones.
func sourceFiles(t *testing.T, mode parser.Mode, skipped ...string) (files []sourceFile) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, _ := filepath.Rel(root, path)
		name := filepath.ToSlash(rel)
		if entry.IsDir() {
			if slices.Contains(notTheScheduler, name) || slices.Contains(skipped, name) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		set := token.NewFileSet()
		content, err := parser.ParseFile(set, path, nil, mode)
		files = append(files, sourceFile{name, set, content})
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(files) == 0 {
		t.Fatal("no file was found: this check looks at nothing")
	}
	return files
}
