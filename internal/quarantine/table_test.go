package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const limit = 3

func run(number int, outcome Outcome) Run {
	return Run{ID: fmt.Sprint("r", number), Instance: fmt.Sprint("i", number), Outcome: outcome}
}

func TestVerdictByEndsUnderRequest(t *testing.T) {
	for _, test := range []struct {
		name     string
		outcomes []Outcome
		want     Verdict
	}{
		{"none", nil, Clear},
		{"one end", []Outcome{Ended}, Suspect},
		{"one run of a gateway that may have ended", []Outcome{Running}, Suspect},
		{"two ends", []Outcome{Ended, Ended}, Suspect},
		{"three ends", []Outcome{Ended, Ended, Ended}, Quarantined},
		{"two ends and a silent instance", []Outcome{Ended, Silent, Ended}, Withheld},
		{"two ends and a run in progress", []Outcome{Ended, Running, Ended}, Withheld},
		{"two ends and a survivor", []Outcome{Ended, Survived, Ended}, Suspect},
		{"survivors only", []Outcome{Survived, Survived, Survived}, Clear},
		{"three released ends", []Outcome{Released, Released, Released}, Clear},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable()
			for number, outcome := range test.outcomes {
				table.Merge(start, Key{1}, run(number, outcome))
			}
			require.Equal(t, test.want, table.Standing(start, Key{1}, "").Verdict(limit))
		})
	}
}

func TestUnresolvedRunsQuarantineOnceTheyCannotBeResolved(t *testing.T) {
	table := NewTable()
	for number := range limit {
		table.Merge(start, Key{1}, run(number, Silent))
	}
	require.Equal(t, Withheld, table.Standing(start.Add(openTTL-1), Key{1}, "").Verdict(limit))
	require.Equal(t, Quarantined, table.Standing(start.Add(openTTL), Key{1}, "").Verdict(limit))
}

func TestLostRunsCountUntilTheirOutcomeIsKnown(t *testing.T) {
	table := NewTable()
	lost := func(number int) Run {
		r := run(number, Running)
		r.Lost = true
		return r
	}
	table.Merge(start, Key{1}, run(0, Running))
	require.Len(t, table.Merge(start, Key{1}, lost(0)), 1, "the run is now known to be lost")
	table.Merge(start.Add(time.Second), Key{1}, lost(1))
	table.Merge(start.Add(2*time.Second), Key{1}, lost(2))
	at := start.Add(2 * time.Second)
	require.Equal(t, Withheld, table.Standing(at, Key{1}, "").Verdict(limit))
	require.Equal(t, lostTTL-2*time.Second, table.Standing(at, Key{1}, "").OpenFor, "until the first outcome")
	require.Empty(t, table.Merge(at, Key{1}, run(0, Running)), "a late message changes nothing")
	table.Merge(at, Key{1}, run(0, Survived))
	require.Equal(t, Suspect, table.Standing(at, Key{1}, "").Verdict(limit))
	table.Merge(at, Key{1}, run(0, Ended))
	require.Equal(t, Suspect, table.Standing(at, Key{1}, "").Verdict(limit), "it has outlived the run")
}

func TestRunsOfOneLifeMakeRoomForOthers(t *testing.T) {
	table := NewTable()
	for number := range maxRuns {
		table.Merge(start, Key{1}, Run{ID: fmt.Sprint(number), Instance: "i", Outcome: Running, Lost: true})
	}
	table.Merge(start, Key{1}, run(100, Ended))
	require.Equal(t, 1, table.Standing(start, Key{1}, "").Ended)
	require.Len(t, table.Runs(Key{1}), maxRuns)
}

func TestOneLifeOfAnInstanceEndsOnce(t *testing.T) {
	table := NewTable()
	for number := range limit {
		table.Merge(start, Key{1}, Run{ID: fmt.Sprint(number), Instance: "i", Born: 7, Outcome: Ended})
	}
	require.Equal(t, 1, table.Standing(start, Key{1}, "").Ended)
	table.Merge(start, Key{1}, Run{ID: "later", Instance: "i", Born: 8, Outcome: Ended})
	require.Equal(t, 2, table.Standing(start, Key{1}, "").Ended, "it has restarted in between")
	table.Merge(start, Key{1}, Run{ID: "unlisted", Instance: "i", Born: 8, Life: 2, Outcome: Ended})
	require.Equal(t, 3, table.Standing(start, Key{1}, "").Ended, "it was sent after the end, though the list lags behind")
}

func TestOwnRunIsLeftOut(t *testing.T) {
	table := NewTable()
	table.Merge(start, Key{1}, run(1, Ended), run(2, Running))
	require.Equal(t, Standing{Ended: 1}, table.Standing(start, Key{1}, "r2"))
}

func TestReleaseClearsAndIsNotUndoneByLateMessages(t *testing.T) {
	table := NewTable()
	ends := []Run{run(1, Ended), run(2, Ended), run(3, Ended)}
	table.Merge(start, Key{1}, ends...)
	require.Len(t, table.Merge(start, Key{1}, table.ReleasedRuns(Key{1})...), limit)
	require.Empty(t, table.Merge(start, Key{1}, ends...))
	require.Equal(t, Clear, table.Standing(start, Key{1}, "").Verdict(limit))
	require.Empty(t, table.List(start))
	table.Expire(start.Add(clearedTTL))
	require.Zero(t, table.Size())
}

func TestRecordsExpire(t *testing.T) {
	table := NewTable()
	table.Merge(start, Key{1}, run(1, Ended))
	table.Merge(start.Add(recordTTL-1), Key{1}, run(1, Ended))
	require.Equal(t, Suspect, table.Standing(start.Add(recordTTL-1), Key{1}, "").Verdict(limit))
	require.Equal(t, Clear, table.Standing(start.Add(recordTTL), Key{1}, "").Verdict(limit), "a repeated message renews nothing")
	table.Expire(start.Add(recordTTL))
	require.Zero(t, table.Size())
}

func TestUnknownRequestsThatNothingCountsAgainstAreIgnored(t *testing.T) {
	table := NewTable()
	require.Empty(t, table.Merge(start, Key{1}, run(1, Survived), run(2, Released)))
	require.Zero(t, table.Size())
}

func TestTableIsBoundedAndKeepsTheWorst(t *testing.T) {
	table := NewTable()
	worst := Key{255}
	table.Merge(start, worst, run(1, Ended), run(2, Ended), run(3, Ended))
	for number := range 3 * maxRecords {
		table.Merge(start.Add(time.Duration(number)), Key{1, byte(number >> 16), byte(number >> 8), byte(number)}, run(1, Ended))
		require.LessOrEqual(t, table.Size(), maxRecords)
	}
	require.Equal(t, Quarantined, table.Standing(start, worst, "").Verdict(limit))
	for number := range 2 * maxRuns {
		table.Merge(start, worst, run(number, Ended))
	}
	require.Len(t, table.Runs(worst), maxRuns)
}

func TestEndIsCountedAfterManyHarmlessRuns(t *testing.T) {
	table := NewTable()
	table.Merge(start, Key{1}, run(1, Ended), run(2, Ended))
	for number := range 2 * maxRuns {
		table.Merge(start, Key{1}, run(10+number, Running))
		table.Merge(start, Key{1}, run(10+number, Survived))
	}
	table.Merge(start, Key{1}, run(3, Ended))
	require.Equal(t, Quarantined, table.Standing(start, Key{1}, "").Verdict(limit))
	require.LessOrEqual(t, len(table.Runs(Key{1})), maxRuns)
}

func TestRecordsMergeToTheSameResultInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var runs []Run
		for range rapid.IntRange(1, 12).Draw(t, "runs") {
			number := rapid.IntRange(1, 4).Draw(t, "number")
			runs = append(runs, run(number, Outcome(rapid.IntRange(int(Running), int(Released)).Draw(t, "outcome"))))
		}
		merge := func(order []int) Verdict {
			table := NewTable()
			table.Merge(start, Key{1}, Run{ID: "first", Instance: "first", Outcome: Ended})
			for _, index := range order {
				table.Merge(start, Key{1}, runs[index])
			}
			return table.Standing(start, Key{1}, "").Verdict(limit)
		}
		seed := rapid.Uint64().Draw(t, "order")
		random := rand.New(rand.NewPCG(seed, 0))
		require.Equal(t, merge(random.Perm(len(runs))), merge(random.Perm(len(runs))))
	})
}

// The run of a gateway that was killed amid it is not recorded. The attempt that it belongs to never ends.
func TestUnsettledAttemptCountsOnceInstancesHaveEnded(t *testing.T) {
	table := NewTable()
	unsettled := []string{"a", "b"}
	require.Equal(t, Standing{}, table.StandingWithUnsettled(start, Key{1}, "", unsettled), "nothing has ended")
	table.Merge(start, Key{1}, Run{ID: RunIDOf("c", 1), Instance: "i-1", Outcome: Ended})
	require.Equal(t, Standing{Ended: 1, Possible: 1, OpenFor: maxUnsettledRetry}, table.StandingWithUnsettled(start, Key{1}, "", unsettled), "others of the program may be in progress")
	require.Equal(t, Standing{Ended: 1}, table.StandingWithUnsettled(start, Key{1}, "", []string{"c"}), "its run is known")
	table.Merge(start, Key{1}, Run{ID: RunIDOf("d", 1), Instance: "i-2", Outcome: Ended})
	require.Equal(t, Withheld, table.StandingWithUnsettled(start, Key{1}, "", unsettled).Verdict(limit))
	require.Equal(t, Suspect, table.StandingWithUnsettled(start, Key{1}, "", nil).Verdict(limit), "the others have ended")
	require.Equal(t, Quarantined, table.StandingWithUnsettled(start.Add(openTTL), Key{1}, "", unsettled).Verdict(limit))
}

// outlived is a lost run that its instance outlived, and may still end of.
func outlived(number int) Run {
	r := run(number, Survived)
	r.Lost = true
	return r
}

func TestOutlivedRunsExposeTheirInstances(t *testing.T) {
	table := NewTable()
	open := func(number int) Run {
		return Run{ID: fmt.Sprint("r", number), Instance: fmt.Sprint("i", number), Outcome: Running, Lost: true}
	}
	table.Merge(start, Key{1}, open(1), open(2))
	table.Merge(start, Key{1}, outlived(1), outlived(2))
	standing := table.Standing(start, Key{1}, "")
	require.Equal(t, Standing{Exposed: 2}, standing)
	require.Equal(t, Suspect, standing.Verdict(limit))
	require.False(t, standing.IsConfined(limit), "a third instance may get it")
	table.Merge(start, Key{1}, open(3))
	require.True(t, table.Standing(start, Key{1}, "").IsConfined(limit))
	require.False(t, table.Standing(start, Key{1}, "r3").IsConfined(limit))
	require.Equal(t, []string{"i1", "i2"}, table.Exposed(start, Key{1}, ""), "an open run counts itself")
	table.Merge(start, Key{1}, outlived(3))
	require.True(t, table.Standing(start, Key{1}, "").IsConfined(limit))
	require.Equal(t, Suspect, table.Standing(start, Key{1}, "").Verdict(limit), "it may be sent to the three")
	require.Empty(t, table.Exposed(start.Add(ExposedTTL), Key{1}, ""))
}

func TestInstanceThatOutlivesManyRunsIsNotExposed(t *testing.T) {
	table := NewTable()
	table.Merge(start, Key{1}, run(9, Ended))
	for number := 0; time.Duration(number)*ExposedTTL/2 <= provenTTL; number++ {
		later := outlived(number)
		later.Instance = "i"
		at := start.Add(time.Duration(number) * ExposedTTL / 2)
		table.Merge(at, Key{1}, later)
		isProven := at.Sub(start) >= provenTTL
		require.Equal(t, !isProven, len(table.Exposed(at, Key{1}, "")) == 1, "after %s", at.Sub(start))
	}
}

func TestLateEndCountsThoughItsRunWasOutlived(t *testing.T) {
	table := NewTable()
	table.Merge(start, Key{1}, run(2, Ended), outlived(1))
	late := outlived(1).AsLate()
	late.Outcome, late.Lost = Ended, false
	require.Len(t, table.Merge(start, Key{1}, late), 1)
	require.Equal(t, 2, table.Standing(start, Key{1}, "").Ended)
	late = outlived(3).AsLate()
	late.Outcome, late.Unproven = Running, true
	table.Merge(start, Key{1}, late)
	require.Empty(t, table.UnprovenAt(Key{1}, late.Instance), "another life does not prove that this one lived on")
	require.Equal(t, Quarantined, table.Standing(start, Key{1}, "").Verdict(limit))
	table.Merge(start, Key{1}, table.ReleasedRuns(Key{1})...)
	require.Equal(t, Standing{}, table.Standing(start, Key{1}, ""))
}

func TestExposedInstancesStayKnownInAFullRecord(t *testing.T) {
	table := NewTable()
	table.Merge(start, Key{1}, run(0, Ended))
	for number := range 2 * maxRuns {
		table.Merge(start, Key{1}, run(100+number, Survived))
	}
	table.Merge(start, Key{1}, outlived(1), outlived(2))
	require.Equal(t, Standing{Ended: 1, Exposed: 2}, table.Standing(start, Key{1}, ""))
	for number := range maxRuns {
		table.Merge(start, Key{1}, run(200+number, Ended))
	}
	require.GreaterOrEqual(t, table.Standing(start, Key{1}, "").Ended, limit)
	require.Len(t, table.Runs(Key{1}), maxRuns)
}

// Refusals of full instances are ordinary: a request with nothing else behind it is sent without a record.
func TestRefusalsAreToldApartFromLostRuns(t *testing.T) {
	table := NewTable()
	refused := func(number int) Run {
		run := run(number, Survived).AsRefused()
		run.Lost = true
		return run
	}
	require.True(t, refused(1).IsRefusal())
	require.False(t, outlived(1).IsRefusal())
	ended := refused(1)
	ended.Outcome = Ended
	require.False(t, ended.IsRefusal(), "an end is recorded")
	table.Merge(start, Key{1}, refused(1), refused(2))
	require.Equal(t, Standing{Exposed: 2, Refused: 2}, table.Standing(start, Key{1}, ""))
	require.True(t, table.Standing(start, Key{1}, "").IsOnlyRefused())
	table.Expire(start.Add(lostTTL))
	require.Zero(t, table.Size(), "refusals matter for a moment")
	table.Merge(start, Key{1}, refused(1), refused(2))
	table.Merge(start, Key{1}, outlived(2))
	require.Equal(t, Standing{Exposed: 2, Refused: 1}, table.Standing(start, Key{1}, ""))
	require.False(t, table.Standing(start, Key{1}, "").IsOnlyRefused())
	require.Equal(t, Standing{Exposed: 1}, table.Standing(start.Add(lostTTL), Key{1}, ""), "an end soon after the refusal is known by then")
	require.False(t, Standing{}.IsOnlyRefused())
}

// A gateway that was killed may have run a request for the first time, without a record.
func TestRequestThatBeginsSoonAfterAGatewayWasLostMayHaveAnotherRun(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	table.GatewayLost(now)
	table.Merge(now.Add(time.Second), Key{1}, Run{ID: "1#1", Instance: "i-1", Outcome: Survived, Lost: true})
	table.Merge(now.Add(time.Second), Key{1}, Run{ID: "1#2", Instance: "i-2", Outcome: Running, Lost: true})
	require.Zero(t, table.Standing(now.Add(time.Second), Key{1}, "").Missed, "single connections broke")
	table.Merge(now.Add(time.Second), Key{1}, Run{ID: "1#2", Instance: "i-2", Outcome: Running, Lost: true, Unproven: true})
	require.Equal(t, 1, table.Standing(now.Add(time.Second), Key{1}, "").Missed)
	table.Merge(now.Add(missedRunWindow), Key{2}, Run{ID: "2#1", Instance: "i-2", Outcome: Ended})
	require.Zero(t, table.Standing(now.Add(missedRunWindow), Key{2}, "").Missed, "long after")
	table.Merge(now.Add(missedRunWindow), Key{3}, Run{ID: "3#1", Instance: "i-3", Outcome: Ended})
	table.GatewayLost(now.Add(missedRunWindow + time.Second))
	require.Zero(t, table.Standing(now.Add(missedRunWindow+time.Second), Key{3}, "").Missed, "its runs were recorded before they were sent")
	require.Equal(t, 1, table.Standing(now.Add(missedRunWindow+time.Second), Key{1}, "").Missed, "it stays so")
	table.MergeRead(now.Add(missedRunWindow+2*time.Second), Key{4}, Run{ID: "4#1", Instance: "i-4", Outcome: Ended})
	require.Zero(t, table.Standing(now.Add(missedRunWindow+2*time.Second), Key{4}, "").Missed, "when it began is not known")
}

func TestUnsettledRunsAreThoseWhoseEndsMatter(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	runs := []Run{
		{ID: "1#1", Instance: "i-1", Outcome: Running, Lost: true},
		{ID: "1#2", Instance: "i-2", Outcome: Survived, Lost: true},
		{ID: "1#3", Instance: "i-3", Outcome: Silent},
		{ID: "1#4", Instance: "i-4", Outcome: Running},
		{ID: "1#5", Instance: "i-5", Outcome: Running, Lost: true, Unproven: true},
		{ID: "1#6", Instance: "i-6", Outcome: Ended},
		{ID: "1#7", Instance: "i-7", Outcome: Survived},
	}
	table.Merge(now, Key{1}, runs...)
	table.Merge(now, Key{2}, runs[5])
	require.Equal(t, []Record{{Key: Key{1}, Runs: runs[:3]}}, table.Unsettled(now))
	require.Empty(t, table.Unsettled(now.Add(ExposedTTL)))
}

// A gateway may have been killed amid the run of an instance that is back at its address at once: nothing shows its end.
func TestUnsettledAttemptCountsOnceAnInstanceClosedItsConnections(t *testing.T) {
	table := NewTable()
	table.Merge(start, Key{1}, Run{ID: "b#1", Instance: "i-1", Outcome: Running, Lost: true})
	require.Equal(t, Standing{Possible: 1, OpenFor: lostTTL}, table.StandingWithUnsettled(start, Key{1}, "", []string{"a"}), "single connections broke")
	table.Merge(start, Key{1}, Run{ID: "b#1", Instance: "i-1", Outcome: Running, Lost: true, Unproven: true})
	require.Equal(t, Standing{Possible: 2, OpenFor: maxUnsettledRetry}, table.StandingWithUnsettled(start, Key{1}, "", []string{"a"}))
	require.Equal(t, Standing{Possible: 1}, table.StandingWithUnsettled(start, Key{1}, "", []string{"b"}), "its run is known")
}
