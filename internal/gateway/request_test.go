package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A program that is late in any case must not delay others at an engine.
func TestLateProgramsHaveLowerEnginePriority(t *testing.T) {
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
	require.Equal(t, latePriority, r.enginePriority(arrived.Add(1500*time.Millisecond)), "the program's time passed while it waited")
}

// A request without an id was sent again and again until its deadline, because every instance refuses it.
func TestRequestWithoutIDIsRefusedAtOnce(t *testing.T) {
	s := newTestGateway(t)
	instance := newBusyInstance("i", 0, 0)
	instance.refuse = func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadRequest) }
	listBusyInstances(t, s, nil, instance)
	for _, prefix := range []string{"/unsafe/", "/safe/", "/stream/"} {
		require.Equal(t, http.StatusBadRequest, postTo(s, prefix, "").Code)
	}
	require.Zero(t, instance.refusalsSoFar())
}
