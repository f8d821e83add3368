package command

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/gateway"
	"swiftbank.dev/swiftbank/internal/replica"
)

// operationsPage documents log events, log fields and metrics for on-call engineers.
const operationsPage = "../../docs/OPERATIONS.md"

// fieldMethods are the logger's methods that write a named field.
var fieldMethods = map[string]bool{
	"Str": true, "Strs": true, "Int": true, "Int64": true, "Uint64": true, "Float64": true, "Bool": true, "Dur": true, "AnErr": true,
}

// loggedNames returns the events and fields that gateways and replicas log.
func loggedNames(t *testing.T) (events, fields map[string]bool) {
	events, fields = map[string]bool{}, map[string]bool{}
	folders := []string{"../gateway", "../quorum", "../replica", "../feed", "../eventlog", "../learned", "../../platform"}
	files := []string{"fleet.go", "gateway.go", "replica.go"}
	for _, folder := range folders {
		found, err := filepath.Glob(filepath.Join(folder, "*.go"))
		require.NoError(t, err)
		files = append(files, found...)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		require.NoError(t, err)
		ast.Inspect(parsed, func(node ast.Node) bool {
			collectLogged(node, events, fields)
			return true
		})
	}
	return events, fields
}

// collectLogged records the event or field name of a logger call.
func collectLogged(node ast.Node, events, fields map[string]bool) {
	call, isCall := node.(*ast.CallExpr)
	if !isCall || len(call.Args) != 2 {
		return
	}
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	name, isName := literal(call.Args[0])
	if !isMethod || !isName || !fieldMethods[method.Sel.Name] {
		return
	}
	if value, isConstant := literal(call.Args[1]); name == "event" && isConstant {
		events[value] = true
		return
	}
	fields[name] = true
}

func literal(expression ast.Expr) (string, bool) {
	basic, isBasic := expression.(*ast.BasicLit)
	if !isBasic || basic.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(basic.Value)
	return value, err == nil
}

// section returns the part of the page under a heading, up to the next one.
func section(t *testing.T, heading string) string {
	content, err := os.ReadFile(operationsPage)
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(content), "\n"+heading+"\n")
	require.True(t, found, heading)
	part, _, _ := strings.Cut(rest, "\n#")
	return part
}

// firstCells returns the names in backquotes of the first cells of a section's table.
func firstCells(part string) map[string]bool {
	quoted := regexp.MustCompile("`([a-z_]+)`")
	names := map[string]bool{}
	for line := range strings.SplitSeq(part, "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		for _, match := range quoted.FindAllStringSubmatch(strings.Split(line, "|")[1], -1) {
			names[match[1]] = true
		}
	}
	return names
}

func TestLogVocabularyIsDocumented(t *testing.T) {
	events, fields := loggedNames(t)
	events["log_dropped"] = true // written by the log queue itself
	for _, name := range []string{"time", "level", "node", "event", "lines", "error"} {
		fields[name] = true // on every line, of log_dropped, and of Err
	}
	documentedEvents := firstCells(section(t, "### The log"))
	documentedFields := firstCells(section(t, "### Fields of the log"))
	delete(documentedFields, "event")
	delete(fields, "event")
	require.Equal(t, documentedEvents, events)
	require.Equal(t, documentedFields, fields)
}

// metricNames returns the names of the metrics that a process serves.
func metricNames(t *testing.T, registry *prometheus.Registry) []string {
	families, err := registry.Gather()
	require.NoError(t, err)
	var names []string
	for _, family := range families {
		names = append(names, family.GetName())
	}
	return names
}

func TestAlertsNameServedMetrics(t *testing.T) {
	gateways, replicas := gateway.NewMetrics("n"), replica.NewMetrics("n")
	gateways.StoreCall("GET", 200)
	served := append(metricNames(t, gateways.Registry), metricNames(t, replicas.Registry)...)
	// A counter vector exports nothing before its first increment.
	served = append(served, "swiftbank_requests_total")
	alerts := regexp.MustCompile(`swiftbank_[a-z_]+`).FindAllString(section(t, "### Alerts worth having"), -1)
	require.NotEmpty(t, alerts)
	for _, name := range alerts {
		require.Contains(t, served, strings.TrimSuffix(name, "_bucket"))
	}
}
