// Package layout checks which packages of the module import which others.
package layout

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	moduleRoot   = "../.."
	modulePrefix = "egretline.example/egretline/"
)

// importDecl is one import of a source file other than a test.
type importDecl struct {
	File       string
	ImportPath string
}

// Guards against queries that change state through a command, and against decision packages that do I/O, take locks or
// depend on an encoding.
func TestImports(t *testing.T) {
	t.Run("queries import no commands", func(t *testing.T) {
		assertImports(t, importsOf(t, func(dir string) bool { return strings.HasSuffix(dir, "query") }), func(path string) bool {
			return !strings.HasPrefix(path, modulePrefix) || !strings.HasSuffix(path, "cmd")
		})
	})
	t.Run("decisions import only types, decisions and pure libraries", func(t *testing.T) {
		assertImports(t, importsOf(t, func(dir string) bool { return strings.Contains(dir, "/decide/") }), func(path string) bool {
			if rest, inModule := strings.CutPrefix(path, modulePrefix); inModule {
				return rest == "pkg/fleet" || strings.HasPrefix(rest, "pkg/decide/") || strings.HasPrefix(rest, "internal/decide/")
			}
			for _, forbidden := range []string{"context", "encoding", "io", "net", "os", "sync"} {
				if path == forbidden || strings.HasPrefix(path, forbidden+"/") {
					return false
				}
			}
			return true
		})
	})
}

// importsOf returns the imports of all source files, except tests, in the selected directories.
func importsOf(t *testing.T, selected func(dir string) bool) []importDecl {
	t.Helper()
	var decls []importDecl
	err := filepath.WalkDir(moduleRoot, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || !selected(filepath.Dir(path)) {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			importPath, _ := strconv.Unquote(spec.Path.Value)
			decls = append(decls, importDecl{File: path, ImportPath: importPath})
		}
		return nil
	})
	is.New(t).NoErr(err)
	is.New(t).True(len(decls) > 0)
	return decls
}

func assertImports(t *testing.T, decls []importDecl, allowed func(path string) bool) {
	t.Helper()
	for _, i := range decls {
		if !allowed(i.ImportPath) {
			t.Errorf("%s imports %s", i.File, i.ImportPath)
		}
	}
}

// productDirs are the directories whose packages read responses of other programs for callers and operators.
var productDirs = []string{"cmd", "internal", "pkg", "platform", "service"}

// Guards against an HTTP client that takes a broken response for a whole one because it does not use internal/http/strict.
func TestClientsAreStrict(t *testing.T) {
	const strictDir = moduleRoot + "/internal/http/strict"
	for _, dir := range productDirs {
		err := filepath.WalkDir(filepath.Join(moduleRoot, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || filepath.Dir(path) == strictDir {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err == nil {
				assertStrictClients(t, path, file)
			}
			return err
		})
		is.New(t).NoErr(err)
	}
}

// assertStrictClients checks that the file passes each http.Transport to strict.NewTransport, gives each http.Client a
// transport, and does not use the default ones.
func assertStrictClients(t *testing.T, path string, file *ast.File) {
	t.Helper()
	wrapped := map[ast.Node]bool{}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			if isSelector(n.Fun, "strict", "NewTransport") && len(n.Args) == 1 {
				if address, ok := n.Args[0].(*ast.UnaryExpr); ok {
					wrapped[address.X] = true
				}
			}
		case *ast.CompositeLit:
			if isSelector(n.Type, "http", "Transport") && !wrapped[n] || isSelector(n.Type, "http", "Client") && !hasField(n, "Transport") {
				t.Errorf("%s has an HTTP client that does not use internal/http/strict", path)
			}
		case *ast.SelectorExpr:
			for _, name := range []string{"DefaultClient", "DefaultTransport", "Get", "Head", "Post", "PostForm"} {
				if isSelector(n, "http", name) {
					t.Errorf("%s uses http.%s, which does not use internal/http/strict", path, name)
				}
			}
		}
		return true
	})
}

func isSelector(e ast.Expr, pkg, name string) bool {
	s, ok := e.(*ast.SelectorExpr)
	if !ok || s.Sel.Name != name {
		return false
	}
	x, ok := s.X.(*ast.Ident)
	return ok && x.Name == pkg
}

func hasField(l *ast.CompositeLit, name string) bool {
	return slices.ContainsFunc(l.Elts, func(e ast.Expr) bool {
		field, ok := e.(*ast.KeyValueExpr)
		if !ok {
			return false
		}
		key, ok := field.Key.(*ast.Ident)
		return ok && key.Name == name
	})
}
