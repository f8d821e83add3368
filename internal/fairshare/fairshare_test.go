package fairshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/tally"
)

var start = time.Unix(1000, 0)

func TestATenantAboveItsShareHasAnExcess(t *testing.T) {
	s := New()
	s.RecordUsage(start, "hot", 700*time.Millisecond)
	require.Zero(t, s.Excess(start, "hot"), "nobody else asks")
	s.RecordUsage(start, "calm", 100*time.Millisecond)
	s.ReplaceReport(start, tally.Source{Gateway: "g"}, Usage{KeyOf("calm"): 200})
	require.InDelta(t, 0.4, s.Excess(start, "hot"), 0.001, "700 of 1000 in place of 500")
	require.Zero(t, s.Excess(start, "calm"))
	require.Zero(t, s.Excess(start, "unknown"))
	s.SetWeights(map[string]float64{"hot": 3, "calm": 1})
	require.Zero(t, s.Excess(start, "hot"))
}

// A tenant that rested has no credit, and one that was heavy is forgiven after some windows.
func TestNothingIsSavedUp(t *testing.T) {
	s := New()
	s.RecordUsage(start, "hot", time.Second)
	later := start.Add(10 * window)
	s.RecordUsage(later, "hot", 100*time.Millisecond)
	s.RecordUsage(later, "rested", 100*time.Millisecond)
	require.InDelta(t, 0, s.Excess(later, "hot"), 0.001)
	require.Zero(t, s.Excess(later, "rested"))
}

func TestASilentGatewayStopsCounting(t *testing.T) {
	s := New()
	s.RecordUsage(start, "calm", time.Second)
	s.ReplaceReport(start, tally.Source{Gateway: "g"}, Usage{KeyOf("hot"): 3000})
	require.Positive(t, s.Excess(start, "hot"))
	require.Zero(t, s.Excess(start.Add(reportLife+time.Millisecond), "hot"))
}

// The heaviest tenants are told exactly, and nothing is lost of the sum.
func TestReportsAreBounded(t *testing.T) {
	s := New()
	for number := range 500 {
		s.RecordUsage(start, fmt.Sprint("t", number), time.Duration(number+1)*time.Millisecond)
	}
	told := s.LocalReport(start)
	require.Len(t, told, heaviest+1)
	require.Equal(t, 500.0, told[KeyOf("t499")])
	sum := 0.0
	for _, served := range told {
		sum += served
	}
	require.Equal(t, 125_250.0, sum)
	s.ReplaceReport(start, tally.Source{Gateway: "g"}, told)
	require.Len(t, s.ZoneReport(start), heaviest+1)
	require.Equal(t, 1000.0, s.ZoneReport(start)[KeyOf("t499")])
}

// contest is tenants whose programs compete for slots at several gateways. Reports between the
// gateways come late, twice or not at all.
type contest struct {
	random   *rand.Rand
	slots    int
	gateways []*Shares
	// rates are the programs of each tenant a second.
	rates map[string]float64
	// fair orders by excess; without it who came first goes first.
	fair    bool
	waiting []arrival
	ends    []time.Time
	flying  []reported
	delays  map[string][]time.Duration
}

type arrival struct {
	tenant  string
	gateway int
	at      time.Time
}

type reported struct {
	at       time.Time
	from, to int
	figures  Usage
}

const (
	slotTime    = 200 * time.Millisecond
	contestStep = 10 * time.Millisecond
	contestSpan = 30 * time.Second
)

func playContest(seed uint64, slots int, rates map[string]float64, fair bool) *contest {
	c := &contest{random: rand.New(rand.NewPCG(seed, 3)), slots: slots, rates: rates, fair: fair, delays: map[string][]time.Duration{}}
	for range 4 {
		c.gateways = append(c.gateways, New())
	}
	for at := start; at.Before(start.Add(contestSpan)); at = at.Add(contestStep) {
		c.arrive(at)
		c.report(at)
		c.ends = slices.DeleteFunc(c.ends, func(end time.Time) bool { return !end.After(at) })
		for len(c.ends) < c.slots && len(c.waiting) > 0 {
			c.begin(at)
		}
	}
	for _, left := range c.waiting {
		c.delays[left.tenant] = append(c.delays[left.tenant], start.Add(contestSpan).Sub(left.at))
	}
	return c
}

func (c *contest) arrive(at time.Time) {
	for _, tenant := range []string{"a", "b", "c", "hot"} {
		if c.random.Float64() < c.rates[tenant]*contestStep.Seconds() {
			c.waiting = append(c.waiting, arrival{tenant: tenant, gateway: c.random.IntN(len(c.gateways)), at: at})
		}
	}
}

// report lets each gateway tell another one each 100 ms; one report in ten is lost, another
// one comes twice, and each takes up to 300 ms.
func (c *contest) report(at time.Time) {
	if at.Sub(start)%(100*time.Millisecond) == 0 {
		for from, gateway := range c.gateways {
			copies := []int{0, 2, 1, 1, 1, 1, 1, 1, 1, 1}[c.random.IntN(10)]
			to := (from + 1 + c.random.IntN(len(c.gateways)-1)) % len(c.gateways)
			for range copies {
				late := time.Duration(c.random.IntN(300)) * time.Millisecond
				c.flying = append(c.flying, reported{at: at.Add(late), from: from, to: to, figures: gateway.LocalReport(at)})
			}
		}
	}
	c.flying = slices.DeleteFunc(c.flying, func(r reported) bool {
		if r.at.After(at) {
			return false
		}
		c.gateways[r.to].ReplaceReport(at, tally.Source{Gateway: fmt.Sprint(r.from)}, r.figures)
		return true
	})
}

// begin gives a free slot to the first in the order: within its share before above it, as its
// gateway believes, then by arrival.
func (c *contest) begin(at time.Time) {
	chosen := slices.IndexFunc(c.waiting, c.within(at))
	chosen = max(0, chosen)
	taken := c.waiting[chosen]
	c.waiting = slices.Delete(c.waiting, chosen, chosen+1)
	c.ends = append(c.ends, at.Add(slotTime))
	c.gateways[taken.gateway].RecordUsage(at, taken.tenant, slotTime)
	c.delays[taken.tenant] = append(c.delays[taken.tenant], at.Sub(taken.at))
}

// within returns whether a program's tenant is within its share, as its gateway believes now.
func (c *contest) within(at time.Time) func(arrival) bool {
	known := map[arrival]bool{}
	return func(waiting arrival) bool {
		asked := arrival{tenant: waiting.tenant, gateway: waiting.gateway}
		within, isKnown := known[asked]
		if !isKnown {
			within = !c.fair || c.gateways[waiting.gateway].Excess(at, waiting.tenant) == 0
			known[asked] = within
		}
		return within
	}
}

// ninety returns the delay that nine in ten of the tenant's programs stay below.
func (c *contest) ninety(tenant string) time.Duration {
	delays := slices.Sorted(slices.Values(c.delays[tenant]))
	return delays[len(delays)*9/10]
}

// The property: a burst of one tenant makes the programs of others no later than they are with
// that tenant absent and its share of the slots removed, but for the time that figures take:
// the way of a report to all gateways, and one program's time in a slot.
func TestABurstDelaysOthersNoMoreThanItsShare(t *testing.T) {
	const bound = 600*time.Millisecond + slotTime
	for seed := range uint64(10) {
		usual := map[string]float64{"a": 20, "b": 20, "c": 20}
		burst := map[string]float64{"a": 20, "b": 20, "c": 20, "hot": 99}
		present := playContest(seed, 20, burst, true)
		absent := playContest(seed, 15, usual, true)
		for tenant := range usual {
			require.LessOrEqual(t, present.ninety(tenant), absent.ninety(tenant)+bound, "seed %d tenant %s", seed, tenant)
		}
		require.Greater(t, playContest(seed, 20, burst, false).ninety("a"), 2*time.Second, "without shares all wait alike")
	}
}

// Slots are never left free for a share that is not used.
func TestABurstOfOneTenantAloneUsesAllSlots(t *testing.T) {
	for seed := range uint64(3) {
		alone := map[string]float64{"hot": 99, "a": 1}
		with, without := playContest(seed, 20, alone, true), playContest(seed, 20, alone, false)
		require.InDelta(t, without.ninety("hot").Seconds(), with.ninety("hot").Seconds(), 0.05)
	}
}
