package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/replicaset"
)

// chargeReader is a replica that reads the charges of another one.
type chargeReader struct {
	state    *State
	position HandoverPosition
	// read counts the charges that were received, pages the replies.
	read, pages int
}

// readAll sends adopt requests for an epoch until all charges have been read.
func (r *chargeReader) readAll(t *testing.T, from *State, epoch uint64, limit int) {
	for complete := false; !complete; {
		output := from.Step(start, Request{Adopt: &Adopt{Set: replicaset.Set{Epoch: epoch}, Charges: limit, After: r.position}})
		reply := output.AfterSync[0]
		require.LessOrEqual(t, len(reply.Charges), limit)
		r.state.MergeCharges(start, reply.Charges)
		r.read += len(reply.Charges)
		r.pages++
		r.position, complete = r.position.Advance(*reply.Handover)
	}
	require.Equal(t, withoutHints(from.allCharges()), withoutHints(r.state.allCharges()))
}

// withoutHints returns the charges by turn, without the placement hints.
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

// A joining replica requests the charges of the others for each epoch until it is a voter. When
// each reply carried all charges, and the request was repeated while a reply was in transit, the
// replies saturated the link between regions and exhausted the memory of the senders.
func TestChargesAreHandedOverOnceInPages(t *testing.T) {
	const charges, limit = 1000, 64
	from := NewState("old", "boot-1")
	addCharges(from, 0, charges, false)
	addCharges(from, 0, charges/2, true)
	joining := &chargeReader{state: NewState("new", "boot")}
	joining.readAll(t, from, 1, limit)
	require.Equal(t, charges, joining.read, "a charge that became final is read once")
	addCharges(from, charges/2, 10, true)
	joining.readAll(t, from, 2, limit)
	joining.readAll(t, from, 3, limit)
	require.Equal(t, charges+10, joining.read, "a later epoch reads only the changes")

	restarted := NewState("old", "boot-2")
	for _, record := range from.Snapshot() {
		restarted.Replay(start, record)
	}
	addCharges(restarted, 2*charges, 5, true)
	joining.readAll(t, restarted, 4, limit)

	expired := start.Add(minRetention + retentionMargin)
	restarted.Purge(expired)
	require.Empty(t, restarted.changeLog.entries, "entries are trimmed when their charges expire")
	addCharges(restarted, 3*charges, 5, true)
	other := &chargeReader{state: NewState("other", "boot")}
	other.readAll(t, restarted, 5, limit)
	require.Equal(t, 5, other.read)
}

// During a rolling upgrade, a replica of the previous version must not join without the charges
// of the others.
func TestPreviousVersionGetsAllChargesAtOnce(t *testing.T) {
	from := NewState("old", "boot")
	addCharges(from, 0, 100, true)
	reply := from.Step(start, Request{Adopt: &Adopt{Set: replicaset.Set{Epoch: 1}, WithCharges: true}}).AfterSync[0]
	require.Len(t, reply.Charges, 100)
	require.Nil(t, reply.Handover)
	require.Empty(t, from.Step(start, Request{Adopt: &Adopt{Set: replicaset.Set{Epoch: 2}}}).AfterSync[0].Charges)
}

func TestFetchReplyIsTruncatedAtSizeLimit(t *testing.T) {
	const turns, size = 100, 10_000
	s := NewState("disk", "boot")
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
