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

// forbiddenImports lists packages that decision packages must not import: clocks, sockets, files, loggers,
// random sources and locks. The packages below them are forbidden as well.
var forbiddenImports = []string{
	"net", "os", "log", "math/rand", "crypto/rand", "sync", "io", "syscall", "runtime", "context",
	"github.com/hashicorp/go-hclog", "github.com/valyala/fasthttp", "storj.io/drpc",
	"github.com/rcrowley/go-metrics",
}

// allowedAtomic is exempt from the rule for sync: atomic counters on the path of a request are part of its snapshot.
const allowedAtomic = "sync/atomic"

// forbiddenTimeFuncs lists functions of package time that read the clock or start a timer.
var forbiddenTimeFuncs = map[string]bool{
	"Now": true, "Since": true, "Until": true, "After": true, "AfterFunc": true, "Sleep": true,
	"Tick": true, "NewTimer": true, "NewTicker": true,
}

// Checks that decision packages import no forbidden package, read no clock and start no goroutine.
func TestDecisionsArePure(t *testing.T) {
	fset := token.NewFileSet()
	checkedFiles := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		checkedFiles++
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
	if checkedFiles == 0 {
		t.Fatal("no file of a decision package was checked")
	}
}

// checkImports fails the test for every forbidden import of a file.
func checkImports(t *testing.T, fset *token.FileSet, file *ast.File) {
	for _, spec := range file.Imports {
		name := strings.Trim(spec.Path.Value, `"`)
		if name == allowedAtomic {
			continue
		}
		for _, forbidden := range forbiddenImports {
			if name == forbidden || strings.HasPrefix(name, forbidden+"/") {
				t.Errorf("%s imports %s", fset.Position(spec.Pos()), name)
			}
		}
	}
}

// checkCalls fails the test for every goroutine that a file starts and every forbidden function of package time.
func checkCalls(t *testing.T, fset *token.FileSet, file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		if g, ok := n.(*ast.GoStmt); ok {
			t.Errorf("%s starts a goroutine", fset.Position(g.Pos()))
		}
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if pkg, ok := sel.X.(*ast.Ident); ok && pkg.Name == "time" && forbiddenTimeFuncs[sel.Sel.Name] {
			t.Errorf("%s uses time.%s", fset.Position(sel.Pos()), sel.Sel.Name)
		}
		return true
	})
}
