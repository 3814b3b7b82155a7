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

// excludedFolders are folders with code that is not part of the scheduler: the lab, trials and examples.
var excludedFolders = []string{"internal/lab", "spikes", "examples", "journal", ".git", "cmd/lab", "cmd/hollow"}

// sourceFile is one parsed file of the scheduler, without its tests.
type sourceFile struct {
	name    string // path from the root of the module, with slashes
	set     *token.FileSet
	content *ast.File
}

// position returns the position of a node.
func (f sourceFile) position(node ast.Node) token.Position { return f.set.Position(node.Pos()) }

// sourceFiles parses the scheduler's code, without excludedFolders and the skipped folders.
func sourceFiles(t *testing.T, mode parser.Mode, skipped ...string) (files []sourceFile) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, _ := filepath.Rel(root, path)
		name := filepath.ToSlash(rel)
		if entry.IsDir() {
			if slices.Contains(excludedFolders, name) || slices.Contains(skipped, name) {
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
		t.Fatal("no file was found: this test checks nothing")
	}
	return files
}
