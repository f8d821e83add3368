package backend

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answers adds turns of an engine that reads a token in tokenMS to a service's speed.
func answers(p *serviceSpeed, random *rand.Rand, count int, tokenMS float64) {
	const baseMS = 20
	for range count {
		missing := random.IntN(12000)
		noise := 1 + 0.2*random.NormFloat64()
		first := time.Duration((baseMS + tokenMS*float64(missing)) * noise * float64(time.Millisecond))
		p.observe(Observation{Kind: "r", UncachedTokens: missing, TimeToFirstEvent: first, Duration: first + 300*time.Millisecond, Events: 10}, 16)
	}
}

func TestServiceSpeedTracksEngines(t *testing.T) {
	for _, tokenMS := range []float64{0.002, 0.006, 0.0154, 0.1} {
		p := newServiceSpeed()
		answers(p, rand.New(rand.NewPCG(1, 2)), 400, tokenMS)
		require.InEpsilon(t, tokenMS, p.tokenMS(), 0.3)
		answers(p, rand.New(rand.NewPCG(3, 4)), 800, 3*tokenMS)
		require.InEpsilon(t, 3*tokenMS, p.tokenMS(), 0.3, "engines may become slower")
	}
}

func TestServiceSpeedKeepsPriorWithoutEvidence(t *testing.T) {
	p := newServiceSpeed()
	require.InDelta(t, priorTokenMS, p.tokenMS(), 0)
	for range 100 {
		p.observe(Observation{Kind: "r", UncachedTokens: 600, TimeToFirstEvent: 50 * time.Millisecond, Duration: time.Second, Events: 5}, 16)
	}
	require.InDelta(t, priorTokenMS, p.tokenMS(), 0, "turns of equal length do not show the time per token")
	require.InDelta(t, 600, p.meanUncachedTokens(), 1)
	require.InDelta(t, 1000, p.durationMS(), 1)
	require.InDelta(t, 50, p.firstEventMS(), 1)
}

func TestTokenTimeIgnoresLoadedInstances(t *testing.T) {
	p := newServiceSpeed()
	random := rand.New(rand.NewPCG(5, 6))
	answers(p, random, 400, 0.006)
	for range 400 {
		p.observe(Observation{Kind: "r", UncachedTokens: random.IntN(12000), Load: 16, TimeToFirstEvent: 3 * time.Second, Duration: 4 * time.Second, Events: 9}, 16)
	}
	require.InEpsilon(t, 0.006, p.tokenMS(), 0.3)
}

// serve simulates requests to a plain service and returns how many each instance got. The durations
// of instance "e00" are multiplied by slow.
func serve(d *Directory, now *time.Time, random *rand.Rand, requests int, slow float64) map[string]int {
	counts := map[string]int{}
	for range requests {
		*now = now.Add(10 * time.Millisecond)
		choice, _ := d.Pick(*now, Demand{Service: "llm"})
		id := choice.Instance.ID
		counts[id]++
		took := 20 * random.ExpFloat64()
		if id == "e00" {
			took *= slow
		}
		d.End(*now, d.choiceOf(id), Answered)
		d.Observe(*now, d.choiceOf(id), Observation{Kind: "r", Duration: time.Duration(took * float64(time.Millisecond))})
	}
	return counts
}

func TestSlowInstanceGetsFewerRequestsAndRecovers(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(4), false)
	now, random := start, rand.New(rand.NewPCG(7, 8))
	const requests = 400
	even := serve(d, &now, random, requests, 1)
	for id, count := range even {
		require.Greater(t, count, requests/8, "%s has the same speed as the others", id)
	}
	during := serve(d, &now, random, requests, 6)
	require.Less(t, during["e00"], requests/8)
	require.Positive(t, during["e00"], "a slow instance is still tried")
	serve(d, &now, random, requests, 1)
	after := serve(d, &now, random, requests, 1)
	require.Greater(t, after["e00"], requests/8, "the instance has recovered")
}

func TestSessionFollowsPromptCachedByAnotherGateway(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(50), false)
	session := []PromptPart{{ID: "shared", Tokens: 12000}, {ID: "session", Tokens: 5000}}
	demand := Demand{Service: "llm", Generates: true, PromptParts: session, CachedPrompts: []CachedPrompt{
		{Instance: "e31", PartIndex: 1, Tokens: 2000}, {Instance: "e41", PartIndex: 1, Tokens: 4000}, {Instance: "gone", PartIndex: 1, Tokens: 5000},
	}}
	for i := range 3 {
		choice, found := d.Pick(start, demand)
		require.True(t, found)
		require.Equal(t, "e41", choice.Instance.ID, "pick %d: the instance with the fewest uncached tokens", i)
		require.Equal(t, 1000, choice.UncachedTokens)
		d.End(start, choice, Answered)
		d.members["e41"].cache = newPromptCache()
	}
}

func TestGrownPromptPartIsPartlyCached(t *testing.T) {
	cache := newPromptCache()
	cache.add(start, []PromptPart{{ID: "shared", Tokens: 1000}, {ID: "session", Tokens: 300}})
	require.Equal(t, 500, cache.uncachedTokens(start, []PromptPart{{ID: "shared", Tokens: 1000}, {ID: "session", Tokens: 800}}))
	behind := []PromptPart{{ID: "shared", Tokens: 1000}, {ID: "session", Tokens: 800}, {ID: "child", Tokens: 50}}
	cache.add(start, []PromptPart{{ID: "child", Tokens: 50}})
	require.Equal(t, 550, cache.uncachedTokens(start, behind), "parts after a gap do not count as cached")
	require.Equal(t, 1300, cache.uncachedTokens(start.Add(cacheTTL), []PromptPart{{ID: "shared", Tokens: 1000}, {ID: "session", Tokens: 300}}))
	require.Equal(t, 1000, cache.uncachedTokens(start, []PromptPart{{ID: "new", Tokens: 1000}}))
}
