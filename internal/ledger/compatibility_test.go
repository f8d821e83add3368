package ledger

import (
	"bytes"
	"encoding/gob"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/quota"
)

// openRecording returns a decoder of messages that were written by the released version 0.7.
func openRecording(t *testing.T, name string) *gob.Decoder {
	file, err := os.Open("testdata/" + name)
	require.NoError(t, err)
	t.Cleanup(func() { _ = file.Close() })
	return gob.NewDecoder(file)
}

// Gateways and replicas of two versions run side by side during a rolling upgrade.
func TestDecodeMessagesOfPreviousVersion(t *testing.T) {
	final := Charge{Turn: "t", Tokens: 4, Final: true, Cached: CachedPrompt{Instance: "e", Part: "x", Tokens: 9}}
	requests := openRecording(t, "requests-0.7.gob")
	var reserve, commit Request
	require.NoError(t, requests.Decode(&reserve))
	require.Equal(t, Request{Number: 7, Epoch: 3, Reserve: &Reserve{
		Program: "p", Charge: Charge{Turn: "t", Tokens: 5}, Retention: time.Minute, History: "s",
	}}, reserve)
	require.NoError(t, requests.Decode(&commit))
	require.Equal(t, Request{Number: 8, Epoch: 3, Commit: &Commit{Program: "p", Charge: final, Turn: &Turn{
		ID: "t", Tenant: "a", Previous: "s", Input: []byte("in"), Output: []byte("out"), Instance: "e", Retention: time.Minute,
	}}}, commit)
	var reply Reply
	require.NoError(t, openRecording(t, "reply-0.7.gob").Decode(&reply))
	require.Equal(t, Reply{Number: 7, Disk: "d", Reserve: &ReserveReply{
		Recorded: true, Found: true, History: []byte("h"), Instance: "e", Charges: []Charge{final},
	}}, reply)
}

// cachedPrompt07 has the fields of CachedPrompt in version 0.7.
type cachedPrompt07 struct {
	Instance string
	Part     string
	Tokens   int
}

// A field that was added later must not keep the previous version from decoding the message.
func TestPreviousVersionIgnoresNewFields(t *testing.T) {
	var message bytes.Buffer
	require.NoError(t, gob.NewEncoder(&message).Encode(CachedPrompt{Instance: "e", Born: 5, Part: "x", Tokens: 9}))
	var read cachedPrompt07
	require.NoError(t, gob.NewDecoder(&message).Decode(&read))
	require.Equal(t, cachedPrompt07{Instance: "e", Part: "x", Tokens: 9}, read)
}

// borrow07 and loan07 have the fields of Borrow and Loan in version 0.7.
type borrow07 struct {
	Tenant         string
	Waiting, Ahead int
}

type loan07 struct {
	Waiting, Ahead        int
	Life, AheadLife, Wait time.Duration
	Unlimited, Unable     bool
}

func recode(t *testing.T, from, to any) {
	var message bytes.Buffer
	require.NoError(t, gob.NewEncoder(&message).Encode(from))
	require.NoError(t, gob.NewDecoder(&message).Decode(to))
}

// A lender of the previous version lends to every program. A gateway of the previous version does
// not know Held, so a held loan must also carry a wait.
func TestLoanMessagesAreCompatibleAcrossVersions(t *testing.T) {
	var old borrow07
	recode(t, quota.Borrow{Tenant: "t", Waiting: 1, Ahead: 2, Part: quota.PartFirst, Told: quota.Usage{First: 1, Later: 9}}, &old)
	require.Equal(t, borrow07{Tenant: "t", Waiting: 1, Ahead: 2}, old)
	var asked quota.Borrow
	recode(t, old, &asked)
	require.Equal(t, quota.Borrow{Tenant: "t", Waiting: 1, Ahead: 2}, asked)
	var oldLoan loan07
	recode(t, quota.Loan{Held: true, Wait: time.Second, Forecast: quota.Forecast{Begun: 3, PerProgram: 6.5}}, &oldLoan)
	require.Equal(t, loan07{Wait: time.Second}, oldLoan)
	var loan quota.Loan
	recode(t, oldLoan, &loan)
	require.Equal(t, quota.Loan{Wait: time.Second}, loan)
}
