package codepolicy

import (
	"go/ast"
	"go/parser"
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// qualifiedName matches the name of a declaration on the architecture page: the package, and a function, a
// type, or a method or field of a type.
var qualifiedName = regexp.MustCompile("`([a-z]+)\\.([A-Za-z]+(?:\\.[A-Za-z]+)?)`")

// Every name on the architecture page must be declared, so that readers find it in the code.
func TestArchitecturePageNamesWhatIsDeclared(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	declared := declaredNames(t)
	names := qualifiedName.FindAllStringSubmatch(string(page), -1)
	if len(names) == 0 {
		t.Fatal("the page names nothing: this test checks nothing")
	}
	for _, name := range names {
		if !declared[name[1]+"."+name[2]] {
			t.Errorf("the page names %s.%s, which is not declared", name[1], name[2])
		}
	}
}

// declaredNames returns the functions, types, methods and fields of the scheduler's packages, each qualified
// with the name of its package.
func declaredNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, file := range sourceFiles(t, parser.SkipObjectResolution) {
		for _, declaration := range file.content.Decls {
			collectNames(declaration, file.content.Name.Name, names)
		}
	}
	return names
}

// collectNames adds the names that a declaration declares.
func collectNames(declaration ast.Decl, pkg string, names map[string]bool) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		names[pkg+"."+receiverPrefix(declaration)+declaration.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			if typeSpec, ok := spec.(*ast.TypeSpec); ok {
				names[pkg+"."+typeSpec.Name.Name] = true
				collectMembers(typeSpec, pkg, names)
			}
		}
	}
}

// receiverPrefix returns the receiver type of a method and a dot, or nothing for a function.
func receiverPrefix(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

// collectMembers adds the fields of a struct and the methods of an interface.
func collectMembers(spec *ast.TypeSpec, pkg string, names map[string]bool) {
	var fields *ast.FieldList
	switch kind := spec.Type.(type) {
	case *ast.StructType:
		fields = kind.Fields
	case *ast.InterfaceType:
		fields = kind.Methods
	default:
		return
	}
	for _, field := range fields.List {
		for _, name := range field.Names {
			names[pkg+"."+spec.Name.Name+"."+name.Name] = true
		}
	}
}
