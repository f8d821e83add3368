package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validSettings = `id: a
callerAddress: 127.0.0.1:7101
operatorAddress: 127.0.0.1:7201
platformAddress: http://127.0.0.1:7000
nodes:
  - {id: a, zone: z, address: "127.0.0.1:7301"}
`

func load(t *testing.T, content string, overrides ...string) (Node, error) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return Load(path, overrides)
}

func TestFlagsOverrideFileAndFileOverridesDefaults(t *testing.T) {
	node, err := load(t, validSettings+"limits: {bodyBytes: 77}\n", "timeouts.tool=3s", "logLevel=debug")
	require.NoError(t, err)
	require.Equal(t, int64(77), node.Limits.BodyBytes)
	require.Equal(t, 3*time.Second, node.Timeouts.Tool)
	require.Equal(t, "debug", node.LogLevel)
	require.Equal(t, Default().Limits.OpenCalls, node.Limits.OpenCalls)
}

func TestInvalidSettingsErrorsSayHowToCorrect(t *testing.T) {
	cases := map[string]string{
		validSettings + "colour: red\n":                                          "unknown key colour; known keys are id, callerAddress",
		strings.Replace(validSettings, "127.0.0.1:7101", "here", 1):              "callerAddress: \"here\" is not an address; write host:port",
		strings.Replace(validSettings, "id: a\n", "id: b\n", 1):                  "not in the list of nodes",
		strings.Replace(validSettings, "http://127.0.0.1:7000", "somewhere", 1):  "platformAddress",
		validSettings + "logLevel: loud\n":                                       "must be one of debug info warn error",
		validSettings + "timeouts: {drain: 0s}\n":                                "timeouts.drain",
		strings.Replace(validSettings, "operatorAddress: 127.0.0.1:7201", "", 1): "operatorAddress: is missing",
		"id: [": "yaml",
	}
	for content, wanted := range cases {
		_, err := load(t, content)
		require.ErrorContains(t, err, wanted)
	}
	_, err := load(t, validSettings, "logLevel")
	require.ErrorContains(t, err, "key=value")
}

func TestExampleSettingsAreValid(t *testing.T) {
	for _, folder := range []string{"riga", "luzon"} {
		paths, err := filepath.Glob("../../examples/" + folder + "/*.yaml")
		require.NoError(t, err)
		require.NotEmpty(t, paths)
		for _, path := range paths {
			_, err := Load(path, nil)
			require.NoError(t, err, path)
		}
	}
}

func TestCellPlacesDependOnTolerateRegions(t *testing.T) {
	member := Member{Zones: map[string]string{"a": "east", "b": "west"}}
	require.Equal(t, member.Places(), member.CellPlaces())
	member.TolerateRegions = 1
	require.Nil(t, member.CellPlaces())
}
