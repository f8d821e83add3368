package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"swiftbank.dev/swiftbank/internal/verdict"
)

var key = SessionKey{Tenant: "coop", Session: "s"}

func begin(sequence uint64, change func(*Begin)) Begin {
	command := Begin{
		Request: Request{ID: CallID{Key: key, Sequence: sequence}, IdempotencyKey: string(rune('a' + sequence)), Kind: EngineCall, Ask: "1"},
		BackEnd: "engine", Dispatcher: "a#1",
	}
	if change != nil {
		change(&command)
	}
	return command
}

func finishWith(sequence uint64, attempt int, v verdict.Verdict) Finish {
	return Finish{Attempt: AttemptID{Call: CallID{Key: key, Sequence: sequence}, Attempt: attempt}, Outcome: Outcome{Verdict: v, Body: []byte("x")}}
}

func TestOlderConfigurationIsRefused(t *testing.T) {
	s := NewState(1)
	require.NotNil(t, s.Apply(begin(1, func(b *Begin) { b.ConfigRevision = 7 })).(BeginResult).Begun)
	s.Apply(finishWith(1, 1, verdict.Ran))
	refused := s.Apply(begin(2, func(b *Begin) { b.ConfigRevision = 6 })).(BeginResult)
	require.Equal(t, verdict.CodeStaleConfig, refused.Refusal.Code)
	retry := s.Apply(Retry{ID: CallID{Key: key, Sequence: 1}, Attempt: 2, ConfigRevision: 6}).(BeginResult)
	require.Equal(t, verdict.CodeStaleConfig, retry.Refusal.Code)
}

func TestFirstOutcomeStands(t *testing.T) {
	s := NewState(1)
	s.Apply(begin(1, nil))
	require.NotNil(t, s.Apply(finishWith(1, 1, verdict.Ran)).(FinishResult).Call)
	require.Nil(t, s.Apply(finishWith(1, 1, verdict.MayHaveRun)).(FinishResult).Call)
	require.Equal(t, verdict.Ran, s.Sessions[key].Calls[0].Outcome.Verdict)
}

func TestOnlyAnotherTryRunsAgain(t *testing.T) {
	cases := []struct {
		name         string
		outcome      verdict.Verdict
		unrepeatable bool
		ask          string
		wanted       Disposition
	}{
		{"not run, late copy of the same try", verdict.NotRun, true, "1", Recorded},
		{"not run, another try", verdict.NotRun, true, "2", Fresh},
		{"may have run, unrepeatable", verdict.MayHaveRun, true, "2", Recorded},
		{"may have run, repeatable", verdict.MayHaveRun, false, "2", Fresh},
		{"ran", verdict.Ran, false, "2", Recorded},
	}
	for _, c := range cases {
		s := NewState(1)
		command := begin(1, func(b *Begin) { b.Request.Unrepeatable = c.unrepeatable })
		s.Apply(command)
		s.Apply(finishWith(1, 1, c.outcome))
		again := command.Request
		again.Ask = c.ask
		disposition, _, _ := s.Classify(&again)
		require.Equal(t, c.wanted, disposition, c.name)
	}
}

func TestForgottenSessionStaysClosed(t *testing.T) {
	s := NewState(1)
	s.Apply(begin(1, nil))
	s.Apply(finishWith(1, 1, verdict.Ran))
	ended := time.Unix(100, 0)
	s.Apply(EndSession{Key: key, At: ended})
	require.False(t, s.Purgeable(ended.Add(time.Hour)), "an engine still holds it")
	s.Apply(ReleaseDone{Release: Release{Key: key, Engine: "engine"}})
	require.True(t, s.Purgeable(ended.Add(time.Hour)))
	s.Apply(Purge{EndedBefore: ended.Add(time.Hour)})
	require.Empty(t, s.Sessions)
	late := begin(1, nil).Request
	_, _, refusal := s.Classify(&late)
	require.Equal(t, verdict.CodeSessionEnded, refusal.Code)
	s.Apply(Purge{TombstonesBefore: ended.Add(time.Hour)})
	require.Empty(t, s.Tombstones)
}

func TestLoweredBudgetVoidsOlderAllowance(t *testing.T) {
	s := NewState(1)
	s.Apply(AddAllowance{Tenant: "coop", Number: 1, Amount: 1000, Version: 3})
	refused := s.Apply(begin(1, func(b *Begin) { b.Reserve, b.BudgetVersion = 10, 4 })).(BeginResult)
	require.Equal(t, verdict.CodeBudgetExhausted, refused.Refusal.Code)
	_, amount, pending := s.Allowances["coop"].OldestReturn()
	require.True(t, pending)
	require.Equal(t, int64(1000), amount, "the old allowance goes back to the ledger")
}

// TestBudgetIsNeverExceeded applies random grants, repeated and out of order,
// reservations, settlements, budget changes and returns to shards with one ledger.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledgerShard := NewState(0)
		shards := []*State{NewState(1), NewState(2), NewState(3)}
		limit, version := rapid.Int64Range(0, 1000).Draw(t, "limit"), uint64(1)
		highest := limit
		type grant struct {
			to     int
			record GrantRecord
		}
		var sent []grant
		type reservation struct {
			on      int
			amount  int64
			version uint64
		}
		var open []reservation
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			on := rapid.IntRange(0, 2).Draw(t, "shard")
			state := shards[on]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				command := Grant{Tenant: "t", Shard: uint32(on), Number: state.NextGrant("t"), Want: rapid.Int64Range(1, 400).Draw(t, "want"), Limit: limit, Version: version}
				if result := ledgerShard.Apply(command).(GrantResult); result.Record.Amount > 0 {
					sent = append(sent, grant{on, result.Record})
				}
			case 1:
				if len(sent) > 0 {
					g := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "grant")]
					shards[g.to].Apply(AddAllowance{Tenant: "t", Number: g.record.Number, Amount: g.record.Amount, Version: g.record.Version})
				}
			case 2:
				amount := rapid.Int64Range(1, 300).Draw(t, "amount")
				if state.allowance("t").reserve(amount, version) == nil {
					open = append(open, reservation{on, amount, version})
				}
			case 3:
				if len(open) > 0 {
					r := open[0]
					open = open[1:]
					shards[r.on].allowance("t").settle(r.amount, rapid.Int64Range(0, r.amount).Draw(t, "used"), r.version)
				}
			case 4:
				limit, version = rapid.Int64Range(0, 1000).Draw(t, "limit"), version+1
				highest = max(highest, limit)
			case 5:
				state.Apply(ReturnAllowance{Tenant: "t", Version: version})
			case 6:
				if number, amount, pending := state.allowance("t").OldestReturn(); pending {
					credit := CreditReturn{Tenant: "t", Shard: uint32(on), Number: number, Amount: amount}
					ledgerShard.Apply(credit)
					ledgerShard.Apply(credit) // repeated on the way
					state.Apply(ReturnDone{Tenant: "t", Number: number})
				}
			}
			total := int64(0)
			for _, s := range shards {
				a := s.allowance("t")
				if a.Available < 0 || a.Reserved < 0 {
					t.Fatalf("negative allowance %+v", a)
				}
				total += a.Spent + a.Reserved
			}
			if total > highest {
				t.Fatalf("spent and reserved %d of at most %d", total, highest)
			}
		}
	})
}

func TestCloneIsIndependent(t *testing.T) {
	s := NewState(1)
	s.Apply(begin(1, nil))
	clone := s.Clone()
	s.Apply(finishWith(1, 1, verdict.Ran))
	s.Apply(begin(2, nil))
	require.Len(t, clone.Sessions[key].Calls, 1)
	require.Nil(t, clone.Sessions[key].Calls[0].Outcome)
	require.True(t, clone.Open[key])
}
