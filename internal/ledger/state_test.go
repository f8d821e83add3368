package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"swiftbank.dev/swiftbank/internal/replicaset"
)

var start = time.Unix(1000, 0)

func turnNamed(id, previous string) *Turn {
	return &Turn{ID: id, Previous: previous, Input: []byte(id + "?"), Output: []byte(id + "!"), Retention: time.Minute, Instance: "engine-" + id}
}

func commit(s *State, now time.Time, turn *Turn) Output {
	return s.Step(now, Request{Commit: &Commit{Turn: turn}})
}

func history(s *State, now time.Time, id string) *ReserveReply {
	return s.Step(now, Request{Epoch: s.Set().Epoch, Reserve: &Reserve{History: id}}).Immediate[0].Reserve
}

func TestHistoryReturnsChainOldestFirst(t *testing.T) {
	s := NewState("disk", "boot")
	commit(s, start, turnNamed("a", ""))
	commit(s, start, turnNamed("b", "a"))
	commit(s, start, turnNamed("left", "b"))
	commit(s, start, turnNamed("right", "b"))
	require.Equal(t, "a?a!b?b!left?left!", string(history(s, start, "left").History))
	require.Equal(t, "a?a!b?b!right?right!", string(history(s, start, "right").History))
	require.Equal(t, "engine-right", history(s, start, "right").Instance)
	require.False(t, history(s, start, "unknown").Found)
}

func TestHistoryOfIncompleteChainIsNotFound(t *testing.T) {
	s := NewState("disk", "boot")
	commit(s, start, turnNamed("b", "a"))
	require.False(t, history(s, start, "b").Found)
	commit(s, start, turnNamed("a", ""))
	require.True(t, history(s, start, "b").Found)
}

func TestStoredTurnIsImmutable(t *testing.T) {
	s := NewState("disk", "boot")
	require.Len(t, commit(s, start, turnNamed("a", "")).Records, 1)
	other := turnNamed("a", "")
	other.Output = []byte("forged")
	require.Empty(t, commit(s, start, other).Records)
	require.Equal(t, "a?a!", string(history(s, start, "a").History))
}

func TestChainIsRetainedAsLongAsNewestTurn(t *testing.T) {
	s := NewState("disk", "boot")
	commit(s, start, turnNamed("a", ""))
	later := start.Add(70 * time.Second)
	commit(s, later, turnNamed("b", "a"))
	s.Purge(start.Add(80 * time.Second))
	require.True(t, history(s, start.Add(80*time.Second), "b").Found)
	s.Purge(start.Add(10 * time.Minute))
	require.False(t, history(s, start.Add(10*time.Minute), "b").Found)
	_, _, bytes := s.Size()
	require.Zero(t, bytes)
}

func TestMergeChargeIsCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		charges := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Charge {
			return Charge{
				Turn: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "turn"), Tokens: rapid.Int64Range(0, 5).Draw(t, "tokens"),
				Final: rapid.Bool().Draw(t, "final"),
			}
		}), 1, 12).Draw(t, "charges")
		merge := func(order []Charge) map[string]Charge {
			known := map[string]Charge{}
			for _, charge := range order {
				if merged, changed := MergeCharge(known, charge); changed {
					known[charge.Turn] = merged
				}
			}
			return known
		}
		shuffled := rapid.Permutation(charges).Draw(t, "shuffled")
		if fmt.Sprint(merge(charges)) != fmt.Sprint(merge(shuffled)) {
			t.Fatalf("%v and %v merge differently", charges, shuffled)
		}
	})
}

func TestReserveIsRejectedUnderStaleEpoch(t *testing.T) {
	s := NewState("disk", "boot")
	set := replicaset.Set{Epoch: 4, Voters: []replicaset.Voter{{Node: "n", Disk: "disk"}}}
	adopted := s.Step(start, Request{Adopt: &Adopt{Set: set}})
	require.Len(t, adopted.Records, 1)
	require.Empty(t, adopted.Immediate, "an adoption is confirmed only once it is durable")
	reserve := Request{Epoch: 3, Reserve: &Reserve{Program: "p", Charge: Charge{Turn: "t", Tokens: 5}}}
	refused := s.Step(start, reserve)
	require.Equal(t, uint64(4), refused.Immediate[0].Stale.Epoch)
	require.Empty(t, refused.Records)
	require.Empty(t, s.programCharges("p"))
	reserve.Epoch = 4
	accepted := s.Step(start, reserve)
	require.True(t, accepted.Immediate[0].Reserve.Recorded)
	require.False(t, accepted.Immediate[0].Durable)
	require.True(t, accepted.AfterSync[0].Durable)
}

func TestReplayOfSnapshotRebuildsState(t *testing.T) {
	s := NewState("disk", "boot")
	commit(s, start, turnNamed("a", ""))
	commit(s, start, turnNamed("b", "a"))
	s.Step(start, Request{Reserve: &Reserve{Program: "p", Charge: Charge{Turn: "b", Tokens: 7}}})
	s.Step(start, Request{Adopt: &Adopt{Set: replicaset.Set{Epoch: 2}}})
	rebuilt := NewState("", "another boot")
	for _, record := range s.Snapshot() {
		rebuilt.Replay(start, record)
	}
	require.Equal(t, "disk", rebuilt.Disk())
	require.Equal(t, uint64(2), rebuilt.Set().Epoch)
	require.Equal(t, "a?a!b?b!", string(history(rebuilt, start, "b").History))
	require.Equal(t, s.allCharges(), rebuilt.allCharges())
}

func TestInventoryListsNewTurnsAndRecordsReaderPosition(t *testing.T) {
	s := NewState("disk", "boot")
	commit(s, start, turnNamed("a", ""))
	commit(s, start, turnNamed("b", "a"))
	ask := func(boot string, after int) *InventoryReply {
		return s.Step(start, Request{Inventory: &Inventory{Boot: boot, After: after, From: "reader"}}).Immediate[0].Inventory
	}
	all := ask("", 0)
	require.Equal(t, []string{"a", "b"}, all.IDs)
	require.Zero(t, s.PeerPosition("reader"))
	commit(s, start, turnNamed("c", "b"))
	require.Equal(t, []string{"c"}, ask(all.Boot, all.Position).IDs)
	require.Equal(t, 2, s.PeerPosition("reader"))
	require.Len(t, ask("an earlier boot", 2).IDs, 3, "positions of an earlier run are ignored")
}

// A program that is idle for as long as its route allows keeps its charges, also on a replica that
// was restarted or received them from another one.
func TestChargesAreRetainedForProgramRetention(t *testing.T) {
	const retention = 10 * time.Minute
	s := NewState("disk", "boot")
	s.Step(start, Request{Reserve: &Reserve{Program: "p", Charge: Charge{Turn: "t", Tokens: 7}, Retention: retention}})
	rebuilt, joined := NewState("", "another boot"), NewState("other", "boot")
	for _, record := range s.Snapshot() {
		rebuilt.Replay(start, record)
	}
	joined.MergeCharges(start, s.allCharges())
	for name, state := range map[string]*State{"original": s, "restarted": rebuilt, "joined": joined} {
		state.Purge(start.Add(retention))
		require.Len(t, state.programCharges("p"), 1, name)
		state.Purge(start.Add(2 * retention))
		require.Empty(t, state.programCharges("p"), name)
	}
}

func TestTurnIsContinuedByItsTenantOnly(t *testing.T) {
	s := NewState("disk", "boot")
	turn := turnNamed("a", "")
	turn.Tenant = "riga"
	commit(s, start, turn)
	ask := func(tenant string) *ReserveReply {
		return s.Step(start, Request{Reserve: &Reserve{History: "a", Tenant: tenant}}).Immediate[0].Reserve
	}
	require.True(t, ask("riga").Found)
	for _, other := range []string{"luzon", ""} {
		require.True(t, ask(other).Foreign)
		require.False(t, ask(other).Found)
		require.Empty(t, ask(other).History)
	}
	restarted := NewState("disk", "boot-2")
	for _, record := range s.Snapshot() {
		restarted.Replay(start, record)
	}
	s = restarted
	require.True(t, ask("luzon").Foreign, "a restart keeps the tenant of the turn")
}
