package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The gateway's clock is two seconds ahead of the replica's; the anchors show it.
const recorded = `
  12.100 gateway-1 {"time":102000,"node":"gateway-1","event":"configuration_changed","version":4}
{"time":100000,"node":"replica-1","event":"set_changed","cell":0,"epoch":2,"voters":3}
{"time":102000,"node":"gateway-1","event":"set_changed","cell":0,"epoch":2,"voters":3}
{"time":103000,"node":"gateway-1","event":"dependency_lost","dependency":"store","error":"status 503"}
{"time":101205,"node":"replica-1","event":"history_missing","id":"r1","previous":"r0"}
not json at all
{"broken
{"time":103300,"node":"gateway-1","event":"request","id":"r1","status":503,"result":"unavailable","reason":"the previous turn is not to be found now","took_ms":110,"sends":0,"load":0,"config":4,"route":"chat","instance":""}
{"time":103400,"node":"gateway-1","event":"request","id":"r2","status":200,"result":"answered","took_ms":5}
{"time":90000,"node":"gateway-1","event":"log_dropped","lines":7}
`

func TestExplainOrdersSteps(t *testing.T) {
	var log Log
	require.NoError(t, log.Read(strings.NewReader(recorded)))
	report := log.Explain("r1")
	require.True(t, report.Found)
	var events []string
	for _, step := range report.Steps {
		events = append(events, step.Node+" "+step.Event)
	}
	require.Equal(t, []string{
		"gateway-1 configuration_changed", "replica-1 set_changed", "gateway-1 set_changed", "gateway-1 dependency_lost",
		"replica-1 history_missing", "gateway-1 request",
	}, events)
	require.Equal(t, int64(1205), report.Steps[4].AtMS, "the replica's clock is corrected")
	require.Contains(t, report.Steps[5].Description, "answered 503 (unavailable) after 110 ms")
	require.Equal(t, []string{
		"gateway-1 dropped 7 lines", "the clock of gateway-1 went back 1 times: its lines are kept in logged order", "1 lines could not be read",
	}, report.Warnings)
}

func TestExplainReportsUnknownID(t *testing.T) {
	var log Log
	require.NoError(t, log.Read(strings.NewReader(recorded)))
	report := log.Explain("nobody")
	require.False(t, report.Found)
	require.Contains(t, report.Warnings[len(report.Warnings)-1], "no line names this id")
}

func TestExplainDescribesRateLimit(t *testing.T) {
	const line = `{"time":90000,"node":"gateway-1","event":"limit_reached","id":"r9","tenant":"riga","lender":"replica-2","limit_per_s":12.5,"limit_burst":6,"wait":740,"config":4}`
	var log Log
	require.NoError(t, log.Read(strings.NewReader(line)))
	require.Equal(t, "tenant riga exceeds its limit of 12.5/s with a burst of 6 under configuration 4: replica-2, the last lender asked, has an allowance in 740 ms",
		log.Explain("r9").Steps[0].Description)
}

func TestExplainDescribesPlacementAndMemoryLimit(t *testing.T) {
	for line, about := range map[string]string{
		`{"time":1,"node":"g","event":"request","id":"r1","status":200,"result":"answered","took_ms":80,"route":"chat","config":4,"sends":1,"instance":"i-1","load":7,"expected_load":2.5,"reports_age_ms":480,"missing":310,"reason":""}`: "answered 200 (answered) after 80 ms on route chat under configuration 4: 1 sends, last to i-1 with 7 requests there (2.5 expected, as reports were 480 ms old) and 310 prompt tokens to read; none",
		`{"time":1,"node":"g","event":"memory_bound","id":"r1","tenant":"riga","bound":"tenant","ran":false,"held_bytes":4096,"in_flight":3}`:                                                                                              "memory limit for callers reached, bound \"tenant\", with 4096 bytes held by 3 requests; it may have run: false",
	} {
		var log Log
		require.NoError(t, log.Read(strings.NewReader(line)))
		require.Equal(t, about, log.Explain("r1").Steps[0].Description)
	}
}

func TestExplainDescribesHeldBackProgram(t *testing.T) {
	const line = `{"time":90000,"node":"gateway-1","event":"limit_reached","id":"r9","tenant":"riga","lender":"replica-2","limit_per_s":12.5,"limit_burst":6,"wait":740,"part":"first","held":true,"credit":31,"begun":4,"per_program":17.5,"config":4}`
	var log Log
	require.NoError(t, log.Read(strings.NewReader(line)))
	require.Equal(t, "tenant riga holds back new programs: 4 started within the window, at 17.5 requests each, and its limit of 12.5/s with a burst of 6 has credit for 31; replica-2, its home lender, expects credit for a whole program in 740 ms",
		log.Explain("r9").Steps[0].Description)
}

// The gateway of the first attempt may be killed before it writes a line.
func TestExplainFindsAllAttemptsAtStream(t *testing.T) {
	const lines = `{"time":100,"node":"g1","event":"request","id":"a","status":200,"result":"broken_off","instance":"i-1","instance_version":"v1","stream_version":"v1","version_source":"placement","resumes":""}
{"time":200,"node":"g2","event":"stream_continuation","id":"b","resumes":"a","last_event":"2","service":"llm","stream_version":"v1","version_source":"record","result":"continued"}
{"time":300,"node":"g3","event":"stream_continuation","id":"c","resumes":"a","last_event":"3","service":"llm","stream_version":"v1","version_source":"record","result":"stream_version_gone"}
{"time":400,"node":"g3","event":"request","id":"other","status":200,"resumes":""}
`
	for _, id := range []string{"a", "b", "c"} {
		var log Log
		require.NoError(t, log.Read(strings.NewReader(lines)))
		report := log.Explain(id)
		require.Len(t, report.Steps, 3, id)
		require.Contains(t, report.Steps[0].Description, "whose software version is v1; the stream began at version v1 (known from: placement)")
		require.Equal(t, `resumes the stream of a after event "2", which began at software version v1 of llm (known from: record): continued`, report.Steps[1].Description)
	}
}

func TestExplainFindsAllAttemptsAtRequestThatEndsInstances(t *testing.T) {
	const lines = `{"time":100,"node":"g1","event":"run_lost","id":"a","request_key":"k","instance":"i-1","cause":"connection_broke","contact":"refused","entry":"listed","outcome":"ended","ran_ms":40,"known_after_ms":2}
{"time":101,"node":"g1","event":"request","id":"a","request_key":"k","status":502,"result":"outcome_unknown"}
{"time":150,"node":"g1","event":"run_lost","id":"beside","request_key":"other","instance":"i-1","outcome":"ended"}
{"time":200,"node":"g2","event":"suspect_sent","id":"b","request_key":"k","instance":"i-2","ended":1,"possible":0,"recorded":true,"load":0}
{"time":300,"node":"g3","event":"request_contained","id":"c","request_key":"k","verdict":"quarantined","ended":3,"possible":0,"retry_after":0}
{"time":301,"node":"g3","event":"request","id":"unrelated","request_key":"","status":200}
`
	for _, id := range []string{"a", "b", "c"} {
		var log Log
		require.NoError(t, log.Read(strings.NewReader(lines)))
		report := log.Explain(id)
		require.Len(t, report.Steps, 4, id)
		require.Contains(t, report.Steps[0].Description, "connection attempt refused, so the instance has ended; request key k")
		require.Contains(t, report.Steps[2].Description, "although 1 instances ended under it")
		require.Contains(t, report.Steps[3].Description, "not sent (quarantined): 3 instances ended")
	}
	var log Log
	require.NoError(t, log.Read(strings.NewReader(lines)))
	require.Len(t, log.Explain("unrelated").Steps, 1)
}

func TestExplainTellsRunsWhoseOutcomeIsNotKnown(t *testing.T) {
	const lines = `{"time":100,"node":"g1","event":"run_lost","id":"a","request_key":"k","instance":"i-1","cause":"answer_invalid","contact":"","entry":"listed","outcome":"unresolved","ran_ms":40,"known_after_ms":0}
{"time":101,"node":"g1","event":"request_withheld","id":"a","request_key":"k","ended":1,"possible":2,"open_for":1800}
`
	var log Log
	require.NoError(t, log.Read(strings.NewReader(lines)))
	report := log.Explain("a")
	require.Len(t, report.Steps, 2)
	require.Contains(t, report.Steps[0].Description, "so the instance may yet end; request key k")
	require.Contains(t, report.Steps[1].Description, "waits for 1800 ms at most: 1 instances ended under it, and of 2 more")
}
