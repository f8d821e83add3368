package wiretest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Literals returns the string literals and struct tags of a folder's Go files without its tests.
func Literals(folder string) (map[string]bool, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	found := map[string]bool{}
	for _, entry := range entries {
		name := entry.Name()
		if entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			continue
		}
		if err := addLiterals(found, filepath.Join(folder, name)); err != nil {
			return nil, err
		}
	}
	return found, nil
}

func addLiterals(found map[string]bool, path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	var malformed error
	ast.Inspect(file, func(node ast.Node) bool {
		if _, isImport := node.(*ast.ImportSpec); isImport {
			return false
		}
		literal, isLiteral := node.(*ast.BasicLit)
		if !isLiteral || literal.Kind != token.STRING {
			return true
		}
		text, err := strconv.Unquote(literal.Value)
		if err != nil {
			malformed = err
			return false
		}
		found[text] = true
		return true
	})
	return malformed
}
