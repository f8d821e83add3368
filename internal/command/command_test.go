package command

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/standin"
)

func run(t *testing.T, arguments ...string) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = Run(arguments, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func writeFile(t *testing.T, name, content string) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestDeclarationsAreValidatedAndApplied(t *testing.T) {
	server := httptest.NewServer(standin.NewPlatform().Handler())
	defer server.Close()
	platform := "--platform=" + server.URL
	examples := "../../examples/declarations"

	code, out, _ := run(t, "validate", examples)
	require.Equal(t, ExitSuccess, code)
	require.Contains(t, out, "8 declarations, no faults")

	code, out, _ = run(t, "diff", platform, examples)
	require.Equal(t, ExitDifferences, code)
	require.Contains(t, out, "create Tenant/lgbo")

	code, out, _ = run(t, "apply", platform, "-m", "first", examples)
	require.Equal(t, ExitSuccess, code, out)
	require.Contains(t, out, "applied 8 edits as revision 1")

	code, out, _ = run(t, "apply", platform, examples)
	require.Equal(t, ExitSuccess, code)
	require.Contains(t, out, "nothing to change at revision 1")

	code, _, _ = run(t, "diff", platform, examples)
	require.Equal(t, ExitSuccess, code)

	code, out, _ = run(t, "get", "Tenant", "lgbo", platform, "-o", "json")
	require.Equal(t, ExitSuccess, code)
	require.Contains(t, out, `"budgetTokens": 20000000`)

	code, _, errOut := run(t, "get", "Tenant", "nobody", platform)
	require.Equal(t, ExitFailure, code)
	require.Contains(t, errOut, "not in force")

	code, out, _ = run(t, "history", platform)
	require.Equal(t, ExitSuccess, code)
	require.Contains(t, out, "first")
}

func TestFaultyDeclarationsAreListed(t *testing.T) {
	path := writeFile(t, "bad.yaml", "kind: Tenant\nname: a\nspec: {keyDigest: x, budgetTokens: -1}\n")
	code, out, _ := run(t, "validate", path)
	require.Equal(t, ExitFaults, code)
	require.Contains(t, out, path+":3: spec.budgetTokens:")
	code, out, _ = run(t, "validate", "-o", "json", path)
	require.Equal(t, ExitFaults, code)
	var parsed struct {
		Faults []struct{ File, Field string }
	}
	require.NoError(t, json.Unmarshal([]byte(out), &parsed))
	require.Len(t, parsed.Faults, 2)
}

func TestUsageErrorsNameExpectedInput(t *testing.T) {
	cases := map[string][]string{
		"unknown fault":    {"simulate", "--faults", "meteor"},
		"write 7, 1-200":   {"simulate", "--seed", "x"},
		"unknown policy":   {"experiment", "--policies", "luck"},
		"write text or":    {"validate", "-o", "xml", "."},
		"unknown command":  {"fly"},
		"write tenant=key": {"load", "--nodes", "127.0.0.1:1", "--key", "x"},
		"deployment":       {"simulate", "--deployment", "atlantis", "--duration", "1s"},
	}
	for wanted, arguments := range cases {
		code, _, errOut := run(t, arguments...)
		require.Equal(t, ExitUsage, code, wanted)
		require.Contains(t, errOut, wanted)
	}
}

func TestSimulateReportHasAllFields(t *testing.T) {
	code, out, _ := run(t, "simulate", "--deployment", "luzon", "--seed", "7", "--duration", "3m", "--faults", "kill", "-o", "json")
	require.Equal(t, ExitSuccess, code)
	var report map[string]any
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	for _, field := range []string{
		"seed", "digest", "events", "violations", "requests", "budget_overshoot_tokens", "memory_held_after_end_token_seconds",
		"recovery_seconds", "program_latency_seconds", "wasted_cache_share", "control",
	} {
		require.Contains(t, report, field)
	}
}

func TestRecordedRunCanBeReplayed(t *testing.T) {
	folder := t.TempDir()
	trace, outcomes := filepath.Join(folder, "t.jsonl"), filepath.Join(folder, "o.json")
	code, _, errOut := run(t, "record", "--deployment", "luzon", "--duration", "2m", "--faults", "none", "--load", "0.01", "--outcomes", outcomes, trace)
	require.Equal(t, ExitSuccess, code, errOut)
	code, out, _ := run(t, "replay", trace, "--expect", outcomes)
	require.Equal(t, ExitSuccess, code, out)
	content, err := os.ReadFile(outcomes)
	require.NoError(t, err)
	changed := writeFile(t, "changed.json", strings.Replace(string(content), `"ran"`, `"not_run"`, 1))
	code, out, _ = run(t, "replay", trace, "--expect", changed)
	require.Equal(t, ExitFailure, code)
	require.Contains(t, out, "stated was not_run")
}

func TestEveryCommandHasAnExample(t *testing.T) {
	for _, command := range newRoot().Commands() {
		if command.Name() != "help" {
			require.NotEmpty(t, command.Example, command.Name())
		}
	}
}
