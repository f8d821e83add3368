package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

var begin = time.Unix(1000, 0)

// testSelector drives a Selector with a virtual clock.
type testSelector struct {
	*Selector
	now time.Time
}

func newTestSelector(delay time.Duration, candidates ...Upstream) *testSelector {
	c := &testSelector{now: begin, Selector: NewSelector(SelectorOptions{
		Zone: "z", ReadDelay: func(int, int) time.Duration { return delay },
	})}
	c.SetCandidates(c.now, candidates, 10)
	return c
}

// advance advances the clock in ticks.
func (c *testSelector) advance(total time.Duration) {
	for end := c.now.Add(total); c.now.Before(end); {
		c.now = c.now.Add(tickInterval)
		c.Tick(c.now)
	}
}

// advanceReplying advances the clock while the current upstream replies with the status.
func (c *testSelector) advanceReplying(total time.Duration, status Status) {
	for end := c.now.Add(total); c.now.Before(end); {
		c.now = c.now.Add(tickInterval)
		if follow := c.Decision().Follow; follow != nil {
			c.HandleReply(c.now, *follow, status, true)
		}
	}
}

func (c *testSelector) follows() string {
	if follow := c.Decision().Follow; follow != nil {
		return follow.Node
	}
	return ""
}

var (
	fresh = Status{Confirmed: true}
	lost  = Status{Confirmed: true, Lost: true}
	near  = Upstream{Node: "near", Address: "1", Zone: "z"}
	near2 = Upstream{Node: "near2", Address: "2", Zone: "z"}
	far   = Upstream{Node: "far", Address: "3", Zone: "y"}
)

func TestSelectorReadsStoreWithoutUpstreams(t *testing.T) {
	c := newTestSelector(0)
	require.True(t, c.Decision().Reading)
	c.advance(time.Minute)
	require.True(t, c.Decision().Reading)
}

func TestSelectorDoesNotReadWithFreshUpstream(t *testing.T) {
	c := newTestSelector(time.Second, near, far)
	require.Equal(t, "near", c.follows())
	c.advanceReplying(time.Minute, fresh)
	require.Equal(t, Decision{Follow: c.current, Reading: false}, c.Decision())
	require.Equal(t, "near", c.follows())
}

func TestSelectorLeavesFailedUpstreamAtOnce(t *testing.T) {
	c := newTestSelector(time.Second, near, near2, far)
	c.advanceReplying(time.Second, fresh)
	c.HandleFailure(c.now, near)
	require.Equal(t, "near2", c.follows())
	c.advanceReplying(10*time.Second, fresh)
	require.Equal(t, "near2", c.follows(), "it stays while the upstream is fresh")
	require.False(t, c.Decision().Reading)
}

func TestSelectorLeavesUpstreamThatLostStore(t *testing.T) {
	c := newTestSelector(time.Second, near, near2)
	c.advanceReplying(time.Second, fresh)
	c.advanceReplying(tickInterval, lost)
	require.Equal(t, "near2", c.follows())
}

// The status of the previous upstream must not count against the next one, which would
// otherwise be left with the next tick unless it replied sooner.
func TestSelectorGivesNextUpstreamItsOwnTrial(t *testing.T) {
	c := newTestSelector(time.Minute, near, near2, far)
	c.advanceReplying(time.Second, fresh)
	c.advanceReplying(tickInterval, lost)
	c.advance(trialTimeout / 2)
	require.Equal(t, "near2", c.follows())
}

func TestSelectorLeavesStaleUpstream(t *testing.T) {
	c := newTestSelector(time.Second, near, near2)
	c.advanceReplying(time.Second, fresh)
	c.advanceReplying(tickInterval, Status{Confirmed: true, Age: staleAfter + time.Millisecond})
	require.Equal(t, "near2", c.follows())
}

func TestSelectorLeavesSilentUpstreamAfterTrial(t *testing.T) {
	c := newTestSelector(time.Minute, near, near2)
	c.advance(trialTimeout - 2*tickInterval)
	require.Equal(t, "near", c.follows())
	c.advance(3 * tickInterval)
	require.Equal(t, "near2", c.follows())
	// An unconfirmed copy from a disk does not count as fresh either.
	c.advanceReplying(trialTimeout+tickInterval, Status{})
	require.Equal(t, "near", c.follows(), "its avoidance has ended")
}

func TestSelectorReadsStoreWhenNoUpstreamIsFresh(t *testing.T) {
	const delay = 1500 * time.Millisecond
	c := newTestSelector(delay, near, near2)
	c.advanceReplying(5*time.Second, fresh)
	since := c.now
	for !c.Decision().Reading {
		c.advanceReplying(tickInterval, lost)
		require.Less(t, c.now.Sub(since), 10*time.Second)
	}
	require.InDelta(t, delay.Seconds(), c.now.Sub(since).Seconds(), 0.25)
	c.advanceReplying(5*time.Second, lost)
	require.True(t, c.Decision().Reading)
	c.advanceReplying(stopReadingAfter/2, fresh)
	require.True(t, c.Decision().Reading, "one reply is not enough")
	c.advanceReplying(stopReadingAfter, fresh)
	require.False(t, c.Decision().Reading)
}

// While the store is unavailable to all, the time before an upstream is tried again doubles,
// which bounds the number of connections.
func TestSelectorBacksOffWhenNoUpstreamIsFresh(t *testing.T) {
	c := newTestSelector(time.Second, near, near2, far)
	changes, last := 0, c.follows()
	for range 600 {
		c.advanceReplying(tickInterval, lost)
		if c.follows() != last {
			changes, last = changes+1, c.follows()
		}
	}
	require.LessOrEqual(t, changes, 3*(maxDoublings+1), "in a minute: each avoidance is twice the previous one")
	c.advanceReplying(2*time.Second, fresh)
	require.NotEmpty(t, c.follows(), "the current upstream is fresh again")
}

// Seeds form one upstream with several addresses. It is left when it sends no fresh data, and
// tried again, because another seed may be fresh.
func TestSelectorRetriesSeeds(t *testing.T) {
	c := newTestSelector(time.Minute, Upstream{Address: "1,2"})
	c.advanceReplying(trialTimeout-2*tickInterval, Status{})
	require.NotNil(t, c.Decision().Follow)
	c.advanceReplying(3*tickInterval, Status{})
	require.Nil(t, c.Decision().Follow)
	c.advance(2 * tickInterval)
	require.NotNil(t, c.Decision().Follow)
}

func TestSelectorPrefersOwnZone(t *testing.T) {
	c := newTestSelector(time.Second, far)
	c.advanceReplying(time.Second, fresh)
	c.SetCandidates(c.now, []Upstream{near, far}, 10)
	require.Equal(t, "far", c.follows(), "not at once, because the fleet may be starting")
	c.advanceReplying(ownZoneReturnDelay, fresh)
	require.Equal(t, "near", c.follows())
	require.False(t, c.Decision().Reading)
}

func TestSelectorLeavesRemovedCandidate(t *testing.T) {
	c := newTestSelector(time.Second, near, near2)
	c.advanceReplying(time.Second, fresh)
	c.SetCandidates(c.now, []Upstream{near2}, 10)
	require.Equal(t, "near2", c.follows())
}

func TestUpstreamsOfReplicasAndGateways(t *testing.T) {
	nodes := map[string]replicaset.Node{}
	for _, name := range []string{"r1", "r2", "r3", "s1", "s2", "t1"} {
		zone := map[byte]string{'r': "zone-r", 's': "zone-s", 't': "zone-t"}[name[0]]
		nodes[name] = replicaset.Node{Name: name, Zone: zone, Feed: name + ":1"}
	}
	names := func(upstreams []Upstream) (all []string) {
		for _, upstream := range upstreams {
			all = append(all, upstream.Node)
		}
		return all
	}
	require.Empty(t, ReplicaUpstreams("r1", "zone-r", nodes))
	require.Equal(t, []string{"r1", "r2"}, names(ReplicaUpstreams("r3", "zone-r", nodes)))
	upstreams := names(GatewayUpstreams("g", "zone-r", nil, nodes, []string{"seed:1"}))
	require.Len(t, upstreams, 6)
	require.ElementsMatch(t, []string{"r1", "r2", "r3"}, upstreams[:3])
	leaving := nodes["r2"]
	leaving.Leaving = true
	nodes["r2"] = leaving
	require.NotContains(t, names(GatewayUpstreams("g", "zone-r", nil, nodes, nil)), "r2")
	require.Equal(t, []Upstream{{Address: "seed:1,seed:2"}}, GatewayUpstreams("g", "zone-r", nil, nil, []string{"seed:1", "seed:2"}))
	require.Empty(t, GatewayUpstreams("g", "zone-r", nil, nil, nil))
	regions := place.Map{"zone-r": "east", "zone-s": "west", "zone-t": "east"}
	require.Equal(t, "t1", names(GatewayUpstreams("g", "zone-r", regions, nodes, nil))[2], "the own region before other regions")
	// Gateways spread over the replicas of their zone.
	first := map[string]int{}
	for i := range 60 {
		first[GatewayUpstreams(string(rune('a'+i)), "zone-r", nil, nodes, nil)[0].Node]++
	}
	require.Greater(t, first["r1"], 15)
	require.Greater(t, first["r3"], 15)
}

func TestPendingPollsHoldOnePollPerFollower(t *testing.T) {
	cache := NewCache()
	cache.Apply(snapshotAt(1))
	poller := NewPendingPolls[string]()
	var known Positions
	known[Instances] = Position{Known: true, At: 1}
	_, answered := poller.Add(begin, "slow", Request{Positions: known}, cache)
	require.False(t, answered)
	for at := uint64(1); at < 5000; at++ {
		cache.Apply(changesTo(at, at+1, instance("a", at+1)))
		if answers := poller.TakeAll(cache); at > 1 {
			require.Empty(t, answers, "it has not polled again")
		}
	}
	require.Empty(t, poller.waiting)
	batches, answered := poller.Add(begin, "slow", Request{Positions: known}, cache)
	require.True(t, answered)
	require.Equal(t, []Batch{changesTo(1, 5000, instance("a", 5000))}, batches, "all missing changes, each record once")
}

func TestPendingPollsExpire(t *testing.T) {
	poller := NewPendingPolls[string]()
	poller.Add(begin, "a", Request{}, NewCache())
	require.Empty(t, poller.TakeExpired(begin.Add(pollInterval-1)))
	require.Equal(t, []string{"a"}, poller.TakeExpired(begin.Add(pollInterval)))
	require.Empty(t, poller.TakeExpired(begin.Add(2*pollInterval)), "once")
}
