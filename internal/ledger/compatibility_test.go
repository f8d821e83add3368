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

// recorded returns a reader of messages that the released version 0.7 wrote.
func recorded(t *testing.T, name string) *gob.Decoder {
	file, err := os.Open("testdata/" + name)
	require.NoError(t, err)
	t.Cleanup(func() { _ = file.Close() })
	return gob.NewDecoder(file)
}

// Gateways and replicas of two versions run side by side while a fleet is upgraded.
func TestMessagesOfTheVersionBeforeAreRead(t *testing.T) {
	final := Charge{Turn: "t", Tokens: 4, Final: true, Cached: CachedPrompt{Instance: "e", Part: "x", Tokens: 9}}
	requests := recorded(t, "requests-0.7.gob")
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
	require.NoError(t, recorded(t, "reply-0.7.gob").Decode(&reply))
	require.Equal(t, Reply{Number: 7, Disk: "d", Reserve: &ReserveReply{
		Recorded: true, Found: true, History: []byte("h"), Instance: "e", Charges: []Charge{final},
	}}, reply)
}

// cachedPrompt07 is a CachedPrompt as version 0.7 knows it.
type cachedPrompt07 struct {
	Instance string
	Part     string
	Tokens   int
}

// What the version before does not know must not keep it from reading the rest.
func TestTheVersionBeforeReadsWhatIsNew(t *testing.T) {
	var message bytes.Buffer
	require.NoError(t, gob.NewEncoder(&message).Encode(CachedPrompt{Instance: "e", Born: 5, Part: "x", Tokens: 9}))
	var read cachedPrompt07
	require.NoError(t, gob.NewDecoder(&message).Decode(&read))
	require.Equal(t, cachedPrompt07{Instance: "e", Part: "x", Tokens: 9}, read)
}

// borrow07 and loan07 are a Borrow and a Loan as version 0.7 knows them.
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

// A lender of the version before lends to whoever asks; one that is held back has to wait in
// its words as well.
func TestLendersAndGatewaysOfTwoVersionsUnderstandEachOther(t *testing.T) {
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
