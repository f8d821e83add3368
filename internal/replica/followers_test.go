package replica

import (
	"encoding/gob"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/quarantine"
	"swiftbank.dev/swiftbank/internal/quota"
)

// testGateway collects the replies that a gateway is sent.
type testGateway struct {
	name    string
	replies []ledger.QuarantineReply
	// isFull is set if its connection takes no more replies.
	isFull bool
}

func (g *testGateway) Send(reply ledger.Reply) bool {
	if g.isFull {
		return false
	}
	g.replies = append(g.replies, *reply.Quarantine)
	return true
}

// take returns the replies since the last call.
func (g *testGateway) take() []ledger.QuarantineReply {
	taken := g.replies
	g.replies = nil
	return taken
}

func (g *testGateway) request(after ledger.QuarantinePosition) ledger.Request {
	return ledger.Request{ReadQuarantine: &ledger.ReadQuarantine{MaxRuns: 10, After: after, Follow: 3 * time.Second, Follower: g.name, Renewal: 7}}
}

// followedReplica is a replica whose time the test controls.
type followedReplica struct {
	*Server
	now time.Time
}

func newFollowedReplica(t testing.TB) *followedReplica {
	r := &followedReplica{Server: newLender(t, t.TempDir(), quota.Policy{Window: time.Hour}), now: time.Unix(1000, 0)}
	r.checkFollowers(r.now)
	return r
}

// record records a run of a request, as another gateway does.
func (r *followedReplica) record(key byte, outcome quarantine.Outcome) {
	run := quarantine.Run{ID: "1", Instance: "i", Outcome: outcome}
	r.state.Step(r.now, ledger.Request{Reserve: &ledger.Reserve{Program: ledger.QuarantineProgram(quarantine.Key{key}), Charge: ledger.RunCharge(run), Retention: time.Hour}})
	r.notifyFollowers(r.now)
}

// pass lets time pass, in the steps of the loop.
func (r *followedReplica) pass(total time.Duration) {
	for end := r.now.Add(total); r.now.Before(end); {
		r.now = r.now.Add(tickInterval)
		r.checkFollowers(r.now)
	}
}

func TestFollowersAreSentChangesAsTheyAreRecorded(t *testing.T) {
	r, g := newFollowedReplica(t), &testGateway{name: "g"}
	r.record(1, quarantine.Running)
	r.follow(r.now, g, g.request(ledger.QuarantinePosition{}))
	first := g.take()
	require.Len(t, first, 1)
	require.Len(t, first[0].Records, 1)
	require.EqualValues(t, 7, first[0].Renewal)
	r.pass(time.Second)
	require.Empty(t, g.take(), "nothing changed")
	r.record(2, quarantine.Ended)
	second := g.take()
	require.Len(t, second, 1, "at once")
	require.Equal(t, first[0].Next, second[0].After)
	for key := range byte(5) {
		r.record(3+key, quarantine.Ended)
	}
	require.Empty(t, g.take(), "several changes go into one message")
	r.pass(notifyInterval)
	third := g.take()
	require.Len(t, third, 1)
	require.Len(t, third[0].Records, 5)
}

func TestFollowerWhoseConnectionIsFullMissesNothing(t *testing.T) {
	r, g := newFollowedReplica(t), &testGateway{name: "g"}
	r.follow(r.now, g, g.request(ledger.QuarantinePosition{}))
	known := g.take()[0].Next
	g.isFull = true
	r.record(1, quarantine.Ended)
	r.pass(notifyInterval)
	g.isFull = false
	r.pass(time.Second)
	r.record(2, quarantine.Ended)
	replies := g.take()
	require.Len(t, replies, 1)
	require.Equal(t, known, replies[0].After)
	require.Len(t, replies[0].Records, 2)
}

func TestLostFollowerIsToldToTheOthersUntilItIsBack(t *testing.T) {
	r, lost, other := newFollowedReplica(t), &testGateway{name: "lost"}, &testGateway{name: "other"}
	r.follow(r.now, lost, lost.request(ledger.QuarantinePosition{}))
	r.pass(500 * time.Millisecond)
	r.follow(r.now, other, other.request(ledger.QuarantinePosition{}))
	require.False(t, other.take()[0].FollowerLost)
	r.loseFollower(r.now, lost, r.followers.present[lost])
	r.pass(notifyInterval)
	told := other.take()
	require.Len(t, told, 1)
	require.True(t, told[0].FollowerLost)
	require.GreaterOrEqual(t, told[0].FollowerLostFor, 500*time.Millisecond, "since its last request")
	r.follow(r.now, lost, lost.request(ledger.QuarantinePosition{}))
	require.False(t, lost.take()[0].FollowerLost, "the same process is back")
}

func TestFollowerThatDoesNotRenewIsLost(t *testing.T) {
	r, silent, other := newFollowedReplica(t), &testGateway{name: "silent"}, &testGateway{name: "other"}
	r.follow(r.now, silent, silent.request(ledger.QuarantinePosition{}))
	for range 4 {
		r.follow(r.now, other, other.request(ledger.QuarantinePosition{}))
		r.pass(time.Second)
	}
	told := other.take()
	require.True(t, told[len(told)-1].FollowerLost)
	require.NotContains(t, r.followers.present, replySender(silent))
}

func TestFollowerThatLeavesIsNotLost(t *testing.T) {
	r, leaving, other := newFollowedReplica(t), &testGateway{name: "leaving"}, &testGateway{name: "other"}
	r.follow(r.now, leaving, leaving.request(ledger.QuarantinePosition{}))
	r.follow(r.now, other, other.request(ledger.QuarantinePosition{}))
	r.follow(r.now, leaving, ledger.Request{ReadQuarantine: &ledger.ReadQuarantine{Follower: "leaving", Leave: true}})
	r.followerDisconnected(leaving)
	r.record(1, quarantine.Ended)
	replies := other.take()
	require.False(t, replies[len(replies)-1].FollowerLost)
}

// A replica that was suspended has not read what its followers sent meanwhile.
func TestSuspendedReplicaLosesNoFollowers(t *testing.T) {
	r, g := newFollowedReplica(t), &testGateway{name: "g"}
	r.follow(r.now, g, g.request(ledger.QuarantinePosition{}))
	r.now = r.now.Add(time.Minute)
	r.checkFollowers(r.now)
	require.Empty(t, r.followers.lost)
}

// encodingGateway encodes what it is sent, as a connection does.
type encodingGateway struct {
	encoder *gob.Encoder
	written *countingWriter
}

func newEncodingGateway() *encodingGateway {
	written := &countingWriter{}
	return &encodingGateway{encoder: gob.NewEncoder(written), written: written}
}

// countingWriter counts the bytes that it drops.
type countingWriter struct{ bytes int }

func (w *countingWriter) Write(content []byte) (int, error) {
	w.bytes += len(content)
	return len(content), nil
}

func (g *encodingGateway) Send(reply ledger.Reply) bool { return g.encoder.Encode(reply) == nil }

// BenchmarkNotifyFollowers measures what one recorded run costs a voter that all gateways follow, and the bytes that each of them
// gets.
func BenchmarkNotifyFollowers(b *testing.B) {
	const gateways = 890
	r := newFollowedReplica(b)
	request := (&testGateway{name: "gateway-890/dnck5c9pvb99"}).request(ledger.QuarantinePosition{})
	var sent []*encodingGateway
	for range gateways {
		g := newEncodingGateway()
		sent = append(sent, g)
		r.follow(r.now, g, request)
	}
	before := sent[0].written.bytes
	number := 0
	for b.Loop() {
		number++
		r.now = r.now.Add(notifyInterval)
		key := quarantine.Key{byte(number), byte(number >> 8), byte(number >> 16)}
		run := quarantine.Run{ID: quarantine.RunIDOf("9c41d07be2a35f68", 1), Instance: "i-7f3a91c2aa", Born: 1796448207908, Life: 1796448207908000000, Outcome: quarantine.Ended}
		r.state.Step(r.now, ledger.Request{Reserve: &ledger.Reserve{Program: ledger.QuarantineProgram(key), Charge: ledger.RunCharge(run), Retention: time.Hour}})
		r.notifyFollowers(r.now)
	}
	b.ReportMetric(float64(sent[0].written.bytes-before)/float64(number), "bytes/gateway")
}

// BenchmarkRenewal measures what a renewal without news costs a voter, and its bytes both ways.
func BenchmarkRenewal(b *testing.B) {
	r, g := newFollowedReplica(b), newEncodingGateway()
	asked := &countingWriter{}
	requests := gob.NewEncoder(asked)
	request := (&testGateway{name: "gateway-890/dnck5c9pvb99"}).request(r.state.QuarantinePosition())
	require.NoError(b, requests.Encode(request))
	r.follow(r.now, g, request)
	askedBefore, sentBefore, number := asked.bytes, g.written.bytes, 0
	for b.Loop() {
		number++
		require.NoError(b, requests.Encode(request))
		r.follow(r.now, g, request)
	}
	b.ReportMetric(float64(asked.bytes-askedBefore)/float64(number), "request-bytes")
	b.ReportMetric(float64(g.written.bytes-sentBefore)/float64(number), "reply-bytes")
}
