package command

import (
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// The version that operators see must have an entry in the changelog.
func TestVersionIsNewestInChangelog(t *testing.T) {
	changelog, err := os.ReadFile("../../CHANGELOG.md")
	require.NoError(t, err)
	newest := regexp.MustCompile(`(?m)^## (\S+)$`).FindSubmatch(changelog)
	require.NotNil(t, newest)
	require.Equal(t, Version, string(newest[1]))
}
