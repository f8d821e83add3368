package quorum

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/quota"
)

// Each lender lends its own share. A request sent to several lenders would be granted several
// times.
func TestBorrowAsksOnlyNamedLender(t *testing.T) {
	client, replicas := startThreeReplicas(t)
	asked := make(chan string, len(replicas))
	for _, replica := range replicas {
		replica.lend = func(request ledger.Request) ledger.Reply {
			asked <- replica.node.Name
			return ledger.Reply{Number: request.Number, Disk: replica.node.Disk, Loan: &quota.Loan{Waiting: request.Borrow.Waiting}}
		}
	}
	loan, err := client.Borrow(contextWithTimeout(t, 20*time.Second), "r1", quota.Borrow{Tenant: "t", Waiting: 2})
	require.NoError(t, err)
	require.Equal(t, 2, loan.Waiting)
	require.Equal(t, "r1", <-asked)
	require.Empty(t, asked)
}

func TestLendersOrdersSilentLenderLast(t *testing.T) {
	client, replicas := startThreeReplicas(t)
	require.Eventually(t, func() bool { return client.Lenders("t")[0] == "r0" }, 20*time.Second, time.Millisecond, "the nearest lender comes first once it is connected")
	require.ElementsMatch(t, []string{"r0", "r1", "r2"}, client.Lenders("t"))
	replicas[0].lend = func(ledger.Request) ledger.Reply { return ledger.Reply{Disk: "disk-r0"} } // answers another request
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := client.Borrow(ctx, "r0", quota.Borrow{Tenant: "t", Waiting: 1})
	require.ErrorIs(t, err, ErrNoQuorum)
	replicas[0].server.Close()
	require.Eventually(t, func() bool { lenders := client.Lenders("t"); return lenders[2] == "r0" }, 20*time.Second, time.Millisecond)
}

func TestLendersExcludesNonVoters(t *testing.T) {
	client, replicas := startThreeReplicas(t)
	client.SetReplicas(nodesOf(replicas...), setOf(2, replicas[0], replicas[1]))
	require.ElementsMatch(t, []string{"r0", "r1"}, client.Lenders("t"))
}
