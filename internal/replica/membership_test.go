package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/quota"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// Two voters that could reach all others, but not each other, removed each other and rejoined in
// turn without end.
func TestVoterReachableFromOthersIsNotRemoved(t *testing.T) {
	s := newLender(t, t.TempDir(), quota.Policy{Window: time.Second})
	s.options.Tolerate = 1
	now := time.Now()
	set := replicaset.Set{Epoch: 1, Voters: []replicaset.Voter{{Node: "r", Disk: s.state.Disk()}, {Node: "a", Disk: "disk-a"}, {Node: "b", Disk: "disk-b"}}}
	s.members.set = set
	s.observingSince = now.Add(-time.Minute)
	s.peers["a"] = &peerState{disk: "disk-a", connected: true, lastReplyAt: now, adoptedEpoch: 1}
	s.peers["b"] = &peerState{disk: "disk-b", lastReplyAt: now.Add(-time.Minute), adoptedEpoch: 1}
	require.Equal(t, []string{"disk-b"}, s.silentVoters(now), "reported to the other replicas")
	require.Equal(t, replicaset.None, replicaset.Plan(s.view(now)).Kind, "the other voter reaches it")
	s.peers["a"].silentVoters = []string{"disk-b"}
	change := replicaset.Plan(s.view(now))
	require.Equal(t, replicaset.Remove, change.Kind, "no voter reaches it")
	require.False(t, change.Next.Has("disk-b"))
}

// A machine that responds with another disk says nothing of the voter that it was.
func TestVoterWhoseMachineHasAnotherDiskIsUnreachable(t *testing.T) {
	s := newLender(t, t.TempDir(), quota.Policy{})
	now := s.started.Add(time.Hour)
	other := &peerState{server: s, node: replicaset.Node{Name: "b"}, connected: true, lastReplyAt: now, disk: "new"}
	s.peers["b"] = other
	require.Zero(t, s.unreachableFor(now, replicaset.Voter{Node: "b", Disk: "new"}))
	require.GreaterOrEqual(t, s.unreachableFor(now, replicaset.Voter{Node: "b", Disk: "old"}), replicaset.UnreachableTimeout)
}
