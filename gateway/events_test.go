package gateway

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// emittedEvents parses the code of the package, and of the one that follows the store for it, for calls of a logger. It returns the level of each event
// and the names of all fields.
func emittedEvents(t *testing.T) (levels map[string]string, fields map[string]bool) {
	t.Helper()
	levels, fields = map[string]string{}, map[string]bool{}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	moved, err := filepath.Glob("storewatch/*.go")
	if err != nil || len(moved) == 0 {
		t.Fatal("no code of storewatch: ", err)
	}
	for _, path := range append(files, moved...) {
		if strings.HasSuffix(path, "_test.go") || path == "events.go" {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			selector, ok := call.Fun.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			on, _ := selector.X.(*ast.Ident)
			if on != nil && on.Name == "eventlog" && selector.Sel.Name == "Error" {
				fields["error"] = true
			}
			if len(call.Args) == 0 {
				return true
			}
			literal, ok := call.Args[0].(*ast.BasicLit)
			if !ok || literal.Kind != token.STRING {
				return true
			}
			text, _ := strconv.Unquote(literal.Value)
			switch {
			case on != nil && on.Name == "zap":
				fields[text] = true
			case isLogger(selector.X):
				levels[text] = map[string]string{"Add": "info", "Info": "info", "Warn": "warn", "Error": "error"}[selector.Sel.Name]
			}
			return true
		})
	}
	return levels, fields
}

// isLogger reports whether an expression is a logger: a variable or field named log, or Logger.
func isLogger(x ast.Expr) bool {
	switch x := x.(type) {
	case *ast.SelectorExpr:
		return x.Sel.Name == "log" || x.Sel.Name == "Logger"
	case *ast.Ident:
		return x.Name == "log"
	}
	return false
}

func TestTheEventTableMatchesTheCode(t *testing.T) {
	is := is.New(t)
	levels, fields := emittedEvents(t)
	is.True(len(levels) > 20)
	known := map[string]bool{}
	for _, e := range events {
		if levels[e.Name] != e.Level {
			t.Errorf("event %q: the table has level %q, the code %q", e.Name, e.Level, levels[e.Name])
		}
		delete(levels, e.Name)
		for _, f := range e.Fields {
			known[f.Name] = true
			if !fields[f.Name] {
				t.Errorf("field %q of %q is never written", f.Name, e.Name)
			}
		}
	}
	for name := range levels {
		t.Errorf("event %q is not in the table", name)
	}
	for name := range fields {
		if !known[name] {
			t.Errorf("field %q is not in the table", name)
		}
	}
}

func TestDocsContainTheEventTable(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/LOGS.md")
	is.NoErr(err)
	is.Equal(string(page), EventsMarkdown()) // run: aspenyard version --logs > docs/LOGS.md
}
