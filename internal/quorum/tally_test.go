package quorum

import (
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// A replica that loses power may accept a reservation again, beside others that it accepted meanwhile. The charges that it
// reported before do not count for the later confirmation.
func TestReservationIsDurableOnlyInTheLifeThatAcceptedIt(t *testing.T) {
	set := replicaset.Set{Epoch: 1, Voters: []replicaset.Voter{{Node: "a", Disk: "a"}}}
	accepted := ledger.Reply{Disk: "a", Epoch: 1, Life: 1, Reserve: &ledger.ReserveReply{Recorded: true}}
	durable := ledger.Reply{Disk: "a", Epoch: 1, Life: 2, Durable: true}
	tally := NewTally()
	tally.Add(accepted)
	tally.Add(durable)
	require.True(t, tally.Accepted(set))
	require.False(t, tally.Durable(set))
	require.False(t, tally.DurableWithCopies(set, 1))
	accepted.Life = 2
	tally.Add(accepted)
	require.True(t, tally.Durable(set))
	require.True(t, tally.DurableWithCopies(set, 1))
}

// A confirmation without the charges that the replica holds does not count for a reservation; other requests have only that.
func TestReservationIsDurableOnlyWhereItIsAccepted(t *testing.T) {
	set := replicaset.Set{Epoch: 1, Voters: []replicaset.Voter{{Node: "a", Disk: "a"}, {Node: "b", Disk: "b"}, {Node: "c", Disk: "c"}}}
	reservation, commit := NewTally(), NewTally()
	for _, disk := range []string{"a", "b"} {
		reservation.Add(ledger.Reply{Disk: disk, Epoch: 1, Reserve: &ledger.ReserveReply{Recorded: true}})
	}
	for _, disk := range []string{"b", "c"} {
		confirmed := ledger.Reply{Disk: disk, Epoch: 1, Durable: true}
		reservation.Add(confirmed)
		commit.Add(confirmed)
	}
	require.False(t, reservation.Durable(set))
	require.True(t, commit.Durable(set))
}
