package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A program that is late whatever happens must not make others late at an engine.
func TestTurnsOfLateProgramsComeAfterOthers(t *testing.T) {
	arrived := time.Unix(1000, 0)
	for left, expected := range map[string]string{
		"": defaultPriority, "soon": defaultPriority, "1500": defaultPriority, "0.5": defaultPriority, "0": latePriority, "-20": latePriority,
	} {
		r := &request{arrived: arrived, header: http.Header{"Left": {left}}}
		r.setProgramDeadline("Left")
		require.Equal(t, expected, r.enginePriority(arrived), left)
	}
	r := &request{arrived: arrived, header: http.Header{"Left": {"1500"}}}
	r.setProgramDeadline("Left")
	require.Equal(t, int64(1500), r.programLeftMS())
	require.Equal(t, latePriority, r.enginePriority(arrived.Add(1500*time.Millisecond)), "it waited until its time was over")
}
