// Package layout checks which packages of the module import which others.
package layout

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
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
