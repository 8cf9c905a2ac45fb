package decide_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// What the pure core may not reach: clocks, sockets, files, loggers, random sources, locks.
var forbiddenImports = []string{
	"net", "os", "log", "math/rand", "crypto/rand", "sync", "io", "syscall", "runtime", "context",
	"github.com/hashicorp/go-hclog", "github.com/valyala/fasthttp", "storj.io/drpc",
	"github.com/rcrowley/go-metrics",
}

// sync/atomic is allowed: counters that a request's path reads are part of its snapshot.
const allowedAtomic = "sync/atomic"

var forbiddenTime = map[string]bool{
	"Now": true, "Since": true, "Until": true, "After": true, "AfterFunc": true, "Sleep": true,
	"Tick": true, "NewTimer": true, "NewTicker": true,
}

func TestDecisionsArePure(t *testing.T) {
	fset := token.NewFileSet()
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		file, err := parser.ParseFile(fset, path, nil, 0)
		if err != nil {
			return err
		}
		checkImports(t, fset, file)
		checkCalls(t, fset, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files == 0 {
		t.Fatal("no file of the core was checked")
	}
}

func checkImports(t *testing.T, fset *token.FileSet, file *ast.File) {
	for _, spec := range file.Imports {
		name := strings.Trim(spec.Path.Value, `"`)
		if name == allowedAtomic {
			continue
		}
		for _, bad := range forbiddenImports {
			if name == bad || strings.HasPrefix(name, bad+"/") {
				t.Errorf("%s imports %s", fset.Position(spec.Pos()), name)
			}
		}
	}
}

func checkCalls(t *testing.T, fset *token.FileSet, file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		if g, ok := n.(*ast.GoStmt); ok {
			t.Errorf("%s starts a goroutine", fset.Position(g.Pos()))
		}
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if pkg, ok := sel.X.(*ast.Ident); ok && pkg.Name == "time" && forbiddenTime[sel.Sel.Name] {
			t.Errorf("%s uses time.%s", fset.Position(sel.Pos()), sel.Sel.Name)
		}
		return true
	})
}
