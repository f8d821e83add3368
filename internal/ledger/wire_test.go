package ledger

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/quota"
)

// A request of a tenant with a limit costs one question and one answer at most: what they
// weigh is what the limits cost between the processes.
func TestAQuestionForAnAllowanceIsSmall(t *testing.T) {
	size := func(first, second any) int {
		var wire bytes.Buffer
		encoder := gob.NewEncoder(&wire)
		require.NoError(t, encoder.Encode(first)) // types are described once a connection
		described := wire.Len()
		require.NoError(t, encoder.Encode(second))
		return wire.Len() - described
	}
	question := Request{Number: 123456, Epoch: 7, Borrow: &quota.Borrow{Tenant: "tenant-of-twenty-bytes", Waiting: 1, Ahead: 2}}
	answer := Reply{Number: 123456, Disk: "6c1f0c9e-3f63-4a55-9f0c-0a1b2c3d4e5f", Epoch: 7, Loan: &quota.Loan{
		Waiting: 1, Ahead: 2, Life: 250 * time.Millisecond, AheadLife: time.Second,
	}}
	require.LessOrEqual(t, size(question, question), 60)
	require.LessOrEqual(t, size(answer, answer), 90)
	told, held := question, answer
	told.Borrow = &quota.Borrow{
		Tenant: "tenant-of-twenty-bytes", Waiting: 1, Ahead: 2, Part: quota.PartLater, Told: quota.Usage{First: 1, Later: 9, Short: 3, Lent: 12},
	}
	held.Loan = &quota.Loan{Held: true, Wait: 2 * time.Second, Forecast: quota.Forecast{Credit: 9, Begun: 12, PerProgram: 18.25}}
	require.LessOrEqual(t, size(question, told), 80)
	require.LessOrEqual(t, size(answer, held), 110)
	t.Logf("told %d bytes, held %d bytes", size(question, told), size(answer, held))
	t.Logf("question %d bytes, answer %d bytes", size(question, question), size(answer, answer))
}
