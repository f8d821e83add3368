package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/quarantine"
)

func quarantineRun(id string, outcome quarantine.Outcome) quarantine.Run {
	return quarantine.Run{ID: id, Instance: "i-" + id, Outcome: outcome}
}

func recordRun(s *State, now time.Time, key quarantine.Key, run quarantine.Run) []Record {
	return s.Step(now, Request{Reserve: &Reserve{Program: QuarantineProgram(key), Charge: RunCharge(run), Retention: quarantine.RecordTTL}}).Records
}

func readQuarantine(s *State, now time.Time) []quarantine.Record {
	return s.Step(now, Request{ReadQuarantine: &ReadQuarantine{MaxRuns: 100}}).Immediate[0].Quarantine.Records
}

func TestRecordedRunsOutliveARestartAndExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	key := quarantine.Key{1}
	s := NewState("d", "b")
	require.NotEmpty(t, recordRun(s, now, key, quarantineRun("1", quarantine.Running)))
	require.NotEmpty(t, recordRun(s, now, key, quarantineRun("1", quarantine.Ended)))
	require.Empty(t, recordRun(s, now, key, quarantineRun("1", quarantine.Silent)), "it knows less")
	restarted := NewState("", "c")
	for _, record := range s.Snapshot() {
		restarted.Replay(now, record)
	}
	require.Equal(t, []quarantine.Record{{Key: key, Runs: []quarantine.Run{quarantineRun("1", quarantine.Ended)}}}, readQuarantine(restarted, now))
	joined := NewState("e", "d")
	joined.MergeCharges(now, s.allCharges())
	require.Len(t, readQuarantine(joined, now), 1)
	restarted.Purge(now.Add(quarantine.RecordTTL + retentionMargin))
	require.Empty(t, readQuarantine(restarted, now))
	require.Empty(t, restarted.quarantine)
}

func TestRunsOfAProgramChargeNoTokens(t *testing.T) {
	s := NewState("d", "b")
	now := time.Unix(1000, 0)
	run := quarantineRun("1", quarantine.Ended)
	s.Step(now, Request{Commit: &Commit{Program: "p", Charge: ProgramRunCharge(quarantine.Key{1}, run), Retention: time.Minute}})
	charges := map[string]Charge{}
	for _, charge := range s.programCharges("p") {
		require.Zero(t, charge.Tokens)
		charges[charge.Turn] = charge
	}
	require.Equal(t, []quarantine.Run{run}, RunsOf(charges, func() quarantine.Key { return quarantine.Key{1} }))
	require.Empty(t, RunsOf(charges, func() quarantine.Key { return quarantine.Key{2} }))
	require.Empty(t, readQuarantine(s, now), "it is listed under its key only")
}
