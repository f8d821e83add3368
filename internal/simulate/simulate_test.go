package simulate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestQuietRun(t *testing.T) {
	for _, deployment := range []string{"riga", "luzon"} {
		report, err := Run(Options{Deployment: deployment, Seed: 1, Duration: 3 * time.Minute, Load: 0.3})
		require.NoError(t, err)
		require.Empty(t, report.Violations)
		t.Logf("%+v", report)
	}
}
