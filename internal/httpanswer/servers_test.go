package httpanswer_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// moduleRoot is the module's folder, seen from this package's.
const moduleRoot = "../.."

// isSelector reports whether an expression is pkg.name.
func isSelector(e ast.Expr, pkg, name string) bool {
	s, ok := e.(*ast.SelectorExpr)
	if !ok || s.Sel.Name != name {
		return false
	}
	x, ok := s.X.(*ast.Ident)
	return ok && x.Name == pkg
}

// handlerOf returns the value of the field Handler of a composite literal, or nil.
func handlerOf(lit *ast.CompositeLit) ast.Expr {
	for _, e := range lit.Elts {
		if kv, ok := e.(*ast.KeyValueExpr); ok {
			if key, ok := kv.Key.(*ast.Ident); ok && key.Name == "Handler" {
				return kv.Value
			}
		}
	}
	return nil
}

// Guards against a new HTTP server whose handlers' silence is a success.
func TestServersSendOnlyExplicitAnswers(t *testing.T) {
	servers := 0
	err := filepath.WalkDir(moduleRoot, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && (d.Name() == "standin" || d.Name() == "testdata" || d.Name() == "review"):
			return fs.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		fset := token.NewFileSet()
		file, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			lit, ok := n.(*ast.CompositeLit)
			if !ok || !isSelector(lit.Type, "fasthttp", "Server") {
				return true
			}
			servers++
			call, ok := handlerOf(lit).(*ast.CallExpr)
			if !ok || !isSelector(call.Fun, "httpanswer", "Explicit") {
				t.Errorf("%s: Handler isn't httpanswer.Explicit(...)", fset.Position(lit.Pos()))
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if servers == 0 {
		t.Fatal("no server found")
	}
}
