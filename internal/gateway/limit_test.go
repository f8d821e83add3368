package gateway

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/quota"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/tenant"
)

// testLender is a voter that answers each request for allowances with the same loan, after a delay.
type testLender struct {
	loan  quota.Loan
	delay time.Duration
}

// addLenders connects the gateway to a cell with the given voters.
func addLenders(t *testing.T, s *Server, lenders map[string]testLender) {
	cell := 0
	set, nodes := replicaset.Set{Epoch: 1}, map[string]replicaset.Node{}
	for _, name := range slices.Sorted(maps.Keys(lenders)) {
		listener, err := peer.Listen(t.Context(), "127.0.0.1:0")
		require.NoError(t, err)
		server := peer.NewServer(listener, lenders[name].answer(name))
		go server.Run()
		t.Cleanup(server.Close)
		set.Voters = append(set.Voters, replicaset.Voter{Node: name, Disk: name})
		nodes[name] = replicaset.Node{Name: name, Role: replicaset.RoleReplica, Address: listener.Addr().String(), Zone: "z", Disk: name, Cell: &cell}
	}
	s.replicas.SetMembership(replicaset.Membership{HasLayout: true, Layout: replicaset.Layout{Cells: 1}, Sets: []replicaset.Set{set}, Replicas: nodes})
	require.Eventually(t, s.replicas.Reachable, 20*time.Second, time.Millisecond)
}

// answer returns the function that answers the messages to the lender.
func (l testLender) answer(name string) func(*peer.Connection[ledger.Reply], ledger.Request) {
	var mu sync.Mutex
	state := ledger.NewState(name, "life")
	return func(from *peer.Connection[ledger.Reply], request ledger.Request) {
		if request.Borrow != nil {
			loan := l.loan
			time.AfterFunc(l.delay, func() { from.Send(ledger.Reply{Number: request.Number, Disk: name, Epoch: 1, Loan: &loan}) })
			return
		}
		mu.Lock()
		defer mu.Unlock()
		output := state.Step(time.Now(), request)
		for _, reply := range append(output.Immediate, output.AfterSync...) {
			from.Send(reply)
		}
	}
}

// borrowFrom borrows an allowance at a cell of two lenders without credit and the given one.
func borrowFrom(t *testing.T, third testLender) *refusal {
	s := newTestGateway(t)
	exhausted := testLender{loan: quota.Loan{Wait: time.Minute}}
	addLenders(t, s, map[string]testLender{"a": exhausted, "b": exhausted, "c": third})
	r := &request{id: "id", deadline: time.Now().Add(10 * time.Second), tenant: &tenant.Tenant{Name: "t", Limit: tenant.Limit{PerSecond: 1}}, table: s.table.Load()}
	return s.borrow(t.Context(), r, quota.PartUnknown)
}

// A lender with a slow disk answered late: its credit was gone, and all requests were told that none is left.
func TestLoanThatComesLateIsUsed(t *testing.T) {
	require.Nil(t, borrowFrom(t, testLender{loan: quota.Loan{Waiting: 1, Life: time.Second}, delay: 2 * lenderTimeout}))
}

func TestRequestDoesNotWaitLongForALenderThatDoesNotAnswer(t *testing.T) {
	began := time.Now()
	refused := borrowFrom(t, testLender{delay: time.Hour})
	require.NotNil(t, refused)
	require.Equal(t, http.StatusTooManyRequests, refused.status)
	require.Less(t, time.Since(began), limitTimeout)
}
