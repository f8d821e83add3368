package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/replicaset"
)

// reader is a replica that reads another one's charges.
type reader struct {
	state *State
	place HandoverPosition
	// read counts the charges that came, pages the replies.
	read, pages int
}

// readAll reads until it has all charges of an epoch.
func (r *reader) readAll(t *testing.T, from *State, epoch uint64, most int) {
	for complete := false; !complete; {
		output := from.Step(start, Request{Adopt: &Adopt{Set: replicaset.Set{Epoch: epoch}, Charges: most, After: r.place}})
		reply := output.AfterSync[0]
		require.LessOrEqual(t, len(reply.Charges), most)
		r.state.MergeCharges(start, reply.Charges)
		r.read += len(reply.Charges)
		r.pages++
		r.place, complete = r.place.Advance(*reply.Handover)
	}
	require.Equal(t, withoutHints(from.allCharges()), withoutHints(r.state.allCharges()))
}

// withoutHints returns the charges by turn, without what only placement reads.
func withoutHints(charges []ProgramCharge) map[string]ProgramCharge {
	byTurn := map[string]ProgramCharge{}
	for _, charge := range charges {
		charge.Charge.Cached = CachedPrompt{}
		byTurn[charge.Charge.Turn] = charge
	}
	return byTurn
}

func addCharges(s *State, first, count int, final bool) {
	for number := first; number < first+count; number++ {
		s.MergeCharges(start, []ProgramCharge{{
			Program: fmt.Sprint("p", number%7), Charge: Charge{Turn: fmt.Sprint("t", number), Tokens: 10, Final: final}, Retention: time.Minute,
		}})
	}
}

// A replica that joins reads the charges of the others for each epoch on its way into the set.
// All of them in one reply for each epoch, asked again while that was on its way, filled the way
// between regions and the memory of those who answered.
func TestChargesAreHandedOverOnceInPieces(t *testing.T) {
	const charges, most = 1000, 64
	from := NewState("old", "life-1")
	addCharges(from, 0, charges, false)
	addCharges(from, 0, charges/2, true)
	joining := &reader{state: NewState("new", "life")}
	joining.readAll(t, from, 1, most)
	require.Equal(t, charges, joining.read, "a charge that became final is read once")
	addCharges(from, charges/2, 10, true)
	joining.readAll(t, from, 2, most)
	joining.readAll(t, from, 3, most)
	require.Equal(t, charges+10, joining.read, "a later epoch takes what changed")

	restarted := NewState("old", "life-2")
	for _, record := range from.Snapshot() {
		restarted.Replay(start, record)
	}
	addCharges(restarted, 2*charges, 5, true)
	joining.readAll(t, restarted, 4, most)

	late := start.Add(leastRetention + retentionMargin)
	restarted.Purge(late)
	require.Empty(t, restarted.chargeOrder.changed, "the order goes with the charges")
	addCharges(restarted, 3*charges, 5, true)
	other := &reader{state: NewState("other", "life")}
	other.readAll(t, restarted, 5, most)
	require.Equal(t, 5, other.read)
}

// A replica that is updated after others must not join without their charges.
func TestAReplicaOfTheVersionBeforeGetsAllCharges(t *testing.T) {
	from := NewState("old", "life")
	addCharges(from, 0, 100, true)
	reply := from.Step(start, Request{Adopt: &Adopt{Set: replicaset.Set{Epoch: 1}, WithCharges: true}}).AfterSync[0]
	require.Len(t, reply.Charges, 100)
	require.Nil(t, reply.Handover)
	require.Empty(t, from.Step(start, Request{Adopt: &Adopt{Set: replicaset.Set{Epoch: 2}}}).AfterSync[0].Charges)
}

func TestAFetchIsCutBeforeItIsLarge(t *testing.T) {
	const turns, size = 100, 10_000
	s := NewState("disk", "life")
	var ids []string
	for number := range turns {
		turn := Turn{ID: fmt.Sprint(number), Input: make([]byte, size), Retention: time.Minute}
		ids = append(ids, turn.ID)
		s.StoreTurns(start, []Turn{turn})
	}
	reply := s.Step(start, Request{Fetch: &Fetch{IDs: ids}}).Immediate[0]
	require.True(t, reply.Cut)
	require.LessOrEqual(t, len(reply.Turns)*size, fetchBytes+2*size)
	rest := s.Step(start, Request{Fetch: &Fetch{IDs: ids[turns-3:]}}).Immediate[0]
	require.False(t, rest.Cut)
	require.Len(t, rest.Turns, 3)
}
