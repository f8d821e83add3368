package ledger

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/quota"
)

// A request of a tenant with a limit causes at most one Borrow and one Loan. Their encoded size is
// the network overhead of the limits.
func TestBorrowAndLoanAreSmallOnWire(t *testing.T) {
	size := func(first, second any) int {
		var wire bytes.Buffer
		encoder := gob.NewEncoder(&wire)
		require.NoError(t, encoder.Encode(first)) // gob describes the types once per connection
		described := wire.Len()
		require.NoError(t, encoder.Encode(second))
		return wire.Len() - described
	}
	request := Request{Number: 123456, Epoch: 7, Borrow: &quota.Borrow{Tenant: "tenant-of-twenty-bytes", Waiting: 1, Ahead: 2}}
	reply := Reply{Number: 123456, Disk: "6c1f0c9e-3f63-4a55-9f0c-0a1b2c3d4e5f", Epoch: 7, Loan: &quota.Loan{
		Waiting: 1, Ahead: 2, Life: 250 * time.Millisecond, AheadLife: time.Second,
	}}
	require.LessOrEqual(t, size(request, request), 60)
	require.LessOrEqual(t, size(reply, reply), 90)
	usageRequest, heldReply := request, reply
	usageRequest.Borrow = &quota.Borrow{
		Tenant: "tenant-of-twenty-bytes", Waiting: 1, Ahead: 2, Part: quota.PartLater, Told: quota.Usage{First: 1, Later: 9, Short: 3, Lent: 12},
	}
	heldReply.Loan = &quota.Loan{Held: true, Wait: 2 * time.Second, Forecast: quota.Forecast{Credit: 9, Begun: 12, PerProgram: 18.25}}
	require.LessOrEqual(t, size(request, usageRequest), 80)
	require.LessOrEqual(t, size(reply, heldReply), 110)
	t.Logf("request with usage %d bytes, held reply %d bytes", size(request, usageRequest), size(reply, heldReply))
	t.Logf("request %d bytes, reply %d bytes", size(request, request), size(reply, reply))
}
