package simulate

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// tracesFolder holds one recorded run for each failure that was found.
const tracesFolder = "../../testdata/traces"

func TestRecordedRunsShowTheirStatedOutcomes(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(tracesFolder, "*.jsonl"))
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			content, err := os.ReadFile(path)
			require.NoError(t, err)
			trace, err := ReadTrace(bytes.NewReader(content))
			require.NoError(t, err)
			stated, err := os.ReadFile(strings.TrimSuffix(path, "l"))
			require.NoError(t, err)
			var outcomes Outcomes
			require.NoError(t, json.Unmarshal(stated, &outcomes))
			require.NotEmpty(t, outcomes.Calls)
			report, err := Replay(trace)
			require.NoError(t, err)
			require.Empty(t, outcomes.Differences(report))
		})
	}
}

func TestReplayShowsDifferences(t *testing.T) {
	trace, report, err := Record(Options{Deployment: "luzon", Seed: 3, Duration: 3 * time.Minute, Load: 0.02})
	require.NoError(t, err)
	outcomes := StateOutcomes(trace, report)
	require.NotEmpty(t, outcomes.Calls)
	outcomes.Calls["lgbo/program-00001#1"] = "not_run"
	outcomes.Calls["lgbo/program-99999#1"] = "ran"
	again, err := Replay(trace)
	require.NoError(t, err)
	require.Equal(t, []string{
		"lgbo/program-00001#1: ran, stated was not_run",
		"lgbo/program-99999#1: no answer, stated was ran",
	}, outcomes.Differences(again))
}

func TestFaultyTracesNameTheLine(t *testing.T) {
	cases := map[string]string{
		`{"header":{"deployment":"riga"}}` + "\n" + `{"program":{"at":1},"tempo":3}`: "line 2",
		`{"fault":{"at":1,"fault":"kill"}}`:                                          "header",
		`{"header":{"deployment":"riga"}}` + "\n" + `{}`:                             "line 2",
		"not json": "line 1",
	}
	for content, wanted := range cases {
		_, err := ReadTrace(strings.NewReader(content))
		require.ErrorContains(t, err, wanted, content)
	}
	unknown := &Trace{Header: TraceHeader{Deployment: "riga", Duration: time.Minute}, Faults: []TimedFault{{FaultEvent: FaultEvent{Fault: FaultKill, Target: "node-999"}}}}
	_, err := Replay(unknown)
	require.ErrorContains(t, err, "node-999")
}

func FuzzReadTrace(f *testing.F) {
	f.Add([]byte(`{"header":{"deployment":"riga","seed":1,"duration":1000}}` + "\n" + `{"fault":{"at":5,"fault":"kill","target":"node-001"}}`))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, content []byte) {
		trace, err := ReadTrace(bytes.NewReader(content))
		if err != nil {
			return
		}
		var out bytes.Buffer
		require.NoError(t, trace.Write(&out))
		again, err := ReadTrace(&out)
		require.NoError(t, err)
		require.Equal(t, trace, again)
	})
}
