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
	require.Empty(t, restarted.quarantine.positions)
	require.Empty(t, restarted.quarantine.changes)
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

// readAfter reads one page of at most two runs after a position.
func readAfter(s *State, now time.Time, after QuarantinePosition) QuarantineReply {
	return *s.Step(now, Request{ReadQuarantine: &ReadQuarantine{MaxRuns: 2, After: after}}).Immediate[0].Quarantine
}

func TestChangedRunsAreReadAfterAPosition(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewState("d", "b")
	for number := range byte(3) {
		recordRun(s, now, quarantine.Key{number}, quarantineRun("1", quarantine.Running))
	}
	first := readAfter(s, now, QuarantinePosition{})
	require.Len(t, first.Records, 2)
	require.True(t, first.More)
	second := readAfter(s, now, first.Next)
	require.Equal(t, quarantine.Key{2}, second.Records[0].Key)
	require.False(t, second.More)
	require.Equal(t, s.QuarantinePosition(), second.Next)
	require.Empty(t, readAfter(s, now, second.Next).Records)

	recordRun(s, now, quarantine.Key{0}, quarantineRun("1", quarantine.Running))
	require.Empty(t, readAfter(s, now, second.Next).Records, "nothing changed")
	recordRun(s, now, quarantine.Key{0}, quarantineRun("1", quarantine.Ended))
	third := readAfter(s, now, second.Next)
	require.Equal(t, []quarantine.Record{{Key: quarantine.Key{0}, Runs: []quarantine.Run{quarantineRun("1", quarantine.Ended)}}}, third.Records)
	require.True(t, first.Next.IsBefore(third.After))
	require.False(t, second.Next.IsBefore(third.After))

	other := readAfter(s, now, QuarantinePosition{Boot: "another run", Position: 99})
	require.Len(t, other.Records, 2, "positions of another run read from the start")
	require.False(t, QuarantinePosition{Boot: "another run", Position: 99}.IsBefore(other.After))
}

func TestChangesOfRunsTakeBoundedMemory(t *testing.T) {
	s := NewState("d", "b")
	for number := range 10000 {
		s.quarantine.add(QuarantineProgram(quarantine.Key{byte(number % 3)}))
	}
	require.LessOrEqual(t, len(s.quarantine.changes), minQuarantineChanges+2*3)
	require.Len(t, s.quarantine.after(0), 3)
}
