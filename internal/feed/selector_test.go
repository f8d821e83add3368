package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

var begin = time.Unix(1000, 0)

// chooser drives a selector over a virtual clock.
type chooser struct {
	*Selector
	now time.Time
}

func newChooser(readAfter time.Duration, candidates ...Upstream) *chooser {
	c := &chooser{now: begin, Selector: NewSelector(SelectorOptions{
		Zone: "z", ReadAfter: func(int, int) time.Duration { return readAfter },
	})}
	c.SetCandidates(c.now, candidates, 10)
	return c
}

// pass lets time pass in ticks.
func (c *chooser) pass(total time.Duration) {
	for end := c.now.Add(total); c.now.Before(end); {
		c.now = c.now.Add(tickInterval)
		c.Tick(c.now)
	}
}

// hear lets time pass while the upstream answers.
func (c *chooser) hear(total time.Duration, status Status) {
	for end := c.now.Add(total); c.now.Before(end); {
		c.now = c.now.Add(tickInterval)
		if follow := c.Decision().Follow; follow != nil {
			c.Heard(c.now, *follow, status, true)
		}
	}
}

func (c *chooser) follows() string {
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

func TestWithoutUpstreamsTheStoreIsRead(t *testing.T) {
	c := newChooser(0)
	require.True(t, c.Decision().Reading)
	c.pass(time.Minute)
	require.True(t, c.Decision().Reading)
}

func TestAProcessWithAFreshUpstreamDoesNotRead(t *testing.T) {
	c := newChooser(time.Second, near, far)
	require.Equal(t, "near", c.follows())
	c.hear(time.Minute, fresh)
	require.Equal(t, Decision{Follow: c.current, Reading: false}, c.Decision())
	require.Equal(t, "near", c.follows())
}

func TestAnUpstreamThatFailsIsLeftAtOnce(t *testing.T) {
	c := newChooser(time.Second, near, near2, far)
	c.hear(time.Second, fresh)
	c.Failed(c.now, near)
	require.Equal(t, "near2", c.follows())
	c.hear(10*time.Second, fresh)
	require.Equal(t, "near2", c.follows(), "it stays while that is fresh")
	require.False(t, c.Decision().Reading)
}

func TestAnUpstreamThatLostTheStoreIsLeftAtOnce(t *testing.T) {
	c := newChooser(time.Second, near, near2)
	c.hear(time.Second, fresh)
	c.hear(tickInterval, lost)
	require.Equal(t, "near2", c.follows())
}

// What the upstream before said once counted against the next one, which was left with the
// next tick unless it answered sooner.
func TestTheNextUpstreamHasATrialOfItsOwn(t *testing.T) {
	c := newChooser(time.Minute, near, near2, far)
	c.hear(time.Second, fresh)
	c.hear(tickInterval, lost)
	c.pass(trialLimit / 2)
	require.Equal(t, "near2", c.follows())
}

func TestAnUpstreamWhoseKnowledgeIsOldIsLeft(t *testing.T) {
	c := newChooser(time.Second, near, near2)
	c.hear(time.Second, fresh)
	c.hear(tickInterval, Status{Confirmed: true, Age: staleAfter + time.Millisecond})
	require.Equal(t, "near2", c.follows())
}

func TestAnUpstreamThatSaysNothingHasATrial(t *testing.T) {
	c := newChooser(time.Minute, near, near2)
	c.pass(trialLimit - 2*tickInterval)
	require.Equal(t, "near", c.follows())
	c.pass(3 * tickInterval)
	require.Equal(t, "near2", c.follows())
	// A copy from a disk is not the store's word either.
	c.hear(trialLimit+tickInterval, Status{})
	require.Equal(t, "near", c.follows(), "it was passed over for long enough")
}

func TestTheStoreIsReadWhenNobodyIsFresh(t *testing.T) {
	const readAfter = 1500 * time.Millisecond
	c := newChooser(readAfter, near, near2)
	c.hear(5*time.Second, fresh)
	since := c.now
	for !c.Decision().Reading {
		c.hear(tickInterval, lost)
		require.Less(t, c.now.Sub(since), 10*time.Second)
	}
	require.InDelta(t, readAfter.Seconds(), c.now.Sub(since).Seconds(), 0.25)
	c.hear(5*time.Second, lost)
	require.True(t, c.Decision().Reading)
	c.hear(handBack/2, fresh)
	require.True(t, c.Decision().Reading, "a moment is not enough")
	c.hear(handBack, fresh)
	require.False(t, c.Decision().Reading)
}

// A store that is away for all is not asked for by connections without end: the pause
// before an upstream is tried again doubles.
func TestWhileNobodyIsFreshFewConnectionsAreMade(t *testing.T) {
	c := newChooser(time.Second, near, near2, far)
	changes, last := 0, c.follows()
	for range 600 {
		c.hear(tickInterval, lost)
		if c.follows() != last {
			changes, last = changes+1, c.follows()
		}
	}
	require.LessOrEqual(t, changes, 3*(mostDoublings+1), "in a minute: each pause is twice the one before")
	c.hear(2*time.Second, fresh)
	require.NotEmpty(t, c.follows(), "the one that is followed is fresh again")
}

// Seeds are one upstream with several addresses: left when nothing fresh comes, and tried
// again, for another one of them may be fresh.
func TestSeedsAreTriedAgain(t *testing.T) {
	c := newChooser(time.Minute, Upstream{Address: "1,2"})
	c.hear(trialLimit-2*tickInterval, Status{})
	require.NotNil(t, c.Decision().Follow)
	c.hear(3*tickInterval, Status{})
	require.Nil(t, c.Decision().Follow)
	c.pass(2 * tickInterval)
	require.NotNil(t, c.Decision().Follow)
}

func TestAnUpstreamOfTheOwnZoneIsPreferred(t *testing.T) {
	c := newChooser(time.Second, far)
	c.hear(time.Second, fresh)
	c.SetCandidates(c.now, []Upstream{near, far}, 10)
	require.Equal(t, "far", c.follows(), "not at once: the fleet may be starting")
	c.hear(moveHome, fresh)
	require.Equal(t, "near", c.follows())
	require.False(t, c.Decision().Reading)
}

func TestAnUpstreamThatIsNoCandidateAnyMoreIsLeft(t *testing.T) {
	c := newChooser(time.Second, near, near2)
	c.hear(time.Second, fresh)
	c.SetCandidates(c.now, []Upstream{near2}, 10)
	require.Equal(t, "near2", c.follows())
}

func TestWhoMayBeFollowed(t *testing.T) {
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
	require.Equal(t, "t1", names(GatewayUpstreams("g", "zone-r", regions, nodes, nil))[2], "the own region before another")
	// Gateways spread over the replicas of their zone.
	first := map[string]int{}
	for i := range 60 {
		first[GatewayUpstreams(string(rune('a'+i)), "zone-r", nil, nodes, nil)[0].Node]++
	}
	require.Greater(t, first["r1"], 15)
	require.Greater(t, first["r3"], 15)
}

func TestASlowProcessCostsOnePoll(t *testing.T) {
	cache := NewCache()
	cache.Apply(snapshotAt(1))
	poller := NewPoller[string]()
	var known Positions
	known[Instances] = Position{Known: true, At: 1}
	_, answered := poller.Ask(begin, "slow", Request{Positions: known}, cache)
	require.False(t, answered)
	for at := uint64(1); at < 5000; at++ {
		cache.Apply(changesTo(at, at+1, instance("a", at+1)))
		if answers := poller.Changed(cache); at > 1 {
			require.Empty(t, answers, "it has not asked again")
		}
	}
	require.Empty(t, poller.waiting)
	batches, answered := poller.Ask(begin, "slow", Request{Positions: known}, cache)
	require.True(t, answered)
	require.Equal(t, []Batch{changesTo(1, 5000, instance("a", 5000))}, batches, "what it lacks, each record once")
}

func TestAPollIsAnsweredWithoutNews(t *testing.T) {
	poller := NewPoller[string]()
	poller.Ask(begin, "a", Request{}, NewCache())
	require.Empty(t, poller.Due(begin.Add(pollInterval-1)))
	require.Equal(t, []string{"a"}, poller.Due(begin.Add(pollInterval)))
	require.Empty(t, poller.Due(begin.Add(2*pollInterval)), "once")
}
