package declaration

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func parse(content string) *Set {
	set := &Set{Objects: map[Reference]Object{}, Places: map[Reference]Place{}}
	set.Parse("f.yaml", []byte(content))
	set.checkReferences()
	set.sortFaults()
	return set
}

func TestEveryFaultIsNamedWithFileLineAndField(t *testing.T) {
	set := parse(`kind: Tenant
name: Coop!
spec:
  keyDigest: short
  budgetTokens: -1
  priority: 12
---
kind: Template
name: t
spec:
  service: llm
  modle: m
  maxCompletionTokens: many
---
kind: Vehicle
name: v
spec: {}
---
kind: Instance
name: i
spec:
  template: nowhere
  tenant: nobody
`)
	var faults []string
	for _, fault := range set.Faults {
		faults = append(faults, fault.String())
	}
	all := strings.Join(faults, "\n")
	for _, wanted := range []string{
		"f.yaml:2: name:", "f.yaml:4: spec.keyDigest:", "f.yaml:5: spec.budgetTokens:", "f.yaml:6: spec.priority:",
		"f.yaml:12: spec.modle: is unknown", "f.yaml:13: spec.maxCompletionTokens:", "f.yaml:15: kind:",
		`template "nowhere" is not declared`, `tenant "nobody" is not declared`,
	} {
		require.Contains(t, all, wanted)
	}
}

func TestDurationsAndLimitsAreRead(t *testing.T) {
	set := parse("kind: Template\nname: t\nspec: {service: s, model: m, maxCompletionTokens: 5, limits: {turns: 3, wallTime: 90m}}\n")
	require.Empty(t, set.Faults)
	limits := set.Objects[Reference{KindTemplate, "t"}].Template.Limits
	require.Equal(t, Limits{Turns: 3, WallTime: 90 * time.Minute}, limits)
}

func TestNameDeclaredTwiceIsAFault(t *testing.T) {
	one := "kind: Template\nname: t\nspec: {service: s, model: m, maxCompletionTokens: 5}\n"
	set := parse(one + "---\n" + one)
	require.Len(t, set.Faults, 1)
	require.Contains(t, set.Faults[0].Problem, "already declared at f.yaml:1")
}

func TestMostSpecificLimitWins(t *testing.T) {
	merged := MergeLimits(Limits{Turns: 2}, Limits{Turns: 5, Tokens: 7}, Limits{Tokens: 9, WallTime: time.Hour})
	require.Equal(t, int64(2), merged.Turns)
	require.Equal(t, int64(7), merged.Tokens)
	require.Equal(t, time.Hour, merged.WallTime)
}

func TestExamplesHaveNoFaults(t *testing.T) {
	set, err := ReadPaths([]string{"../../examples/declarations"})
	require.NoError(t, err)
	require.Empty(t, set.Faults)
	require.Len(t, set.Objects, 8)
}

func TestEmptyFolderIsAnError(t *testing.T) {
	_, err := ReadPaths([]string{t.TempDir()})
	require.ErrorContains(t, err, "no .yaml file")
	_, err = ReadPaths([]string{filepath.Join(t.TempDir(), "missing")})
	require.ErrorIs(t, err, os.ErrNotExist)
}

func FuzzParse(f *testing.F) {
	f.Add("kind: Tenant\nname: a\nspec: {keyDigest: x}\n---\n")
	f.Add("kind: [1]\nspec: 3")
	f.Add("- a\n- b")
	f.Fuzz(func(_ *testing.T, content string) { parse(content) })
}
