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

func TestExcessOfATenantAboveItsShare(t *testing.T) {
	s := New()
	s.RecordUsage(start, "hot", 700*time.Millisecond)
	require.Zero(t, s.Excess(start, "hot"), "no other tenant has any usage")
	s.RecordUsage(start, "calm", 100*time.Millisecond)
	s.ReplaceReport(start, tally.Source{Gateway: "g"}, Usage{KeyOf("calm"): 200})
	require.InDelta(t, 0.4, s.Excess(start, "hot"), 0.001, "700 of 1000 instead of 500")
	require.Zero(t, s.Excess(start, "calm"))
	require.Zero(t, s.Excess(start, "unknown"))
	s.SetWeights(map[string]float64{"hot": 3, "calm": 1})
	require.Zero(t, s.Excess(start, "hot"))
}

// A tenant that was idle has no credit, and a heavy tenant is back within its share after a few
// windows.
func TestUnusedShareIsNotSavedUp(t *testing.T) {
	s := New()
	s.RecordUsage(start, "hot", time.Second)
	later := start.Add(10 * window)
	s.RecordUsage(later, "hot", 100*time.Millisecond)
	s.RecordUsage(later, "rested", 100*time.Millisecond)
	require.InDelta(t, 0, s.Excess(later, "hot"), 0.001)
	require.Zero(t, s.Excess(later, "rested"))
}

func TestReportsOfSilentGatewaysExpire(t *testing.T) {
	s := New()
	s.RecordUsage(start, "calm", time.Second)
	s.ReplaceReport(start, tally.Source{Gateway: "g"}, Usage{KeyOf("hot"): 3000})
	require.Positive(t, s.Excess(start, "hot"))
	require.Zero(t, s.Excess(start.Add(reportTTL+time.Millisecond), "hot"))
}

// Reports contain the heaviest tenants exactly, and the sum over all tenants.
func TestReportsAreBounded(t *testing.T) {
	s := New()
	for number := range 500 {
		s.RecordUsage(start, fmt.Sprint("t", number), time.Duration(number+1)*time.Millisecond)
	}
	report := s.LocalReport(start)
	require.Len(t, report, maxReportedTenants+1)
	require.Equal(t, 500.0, report[KeyOf("t499")])
	sum := 0.0
	for _, usage := range report {
		sum += usage
	}
	require.Equal(t, 125_250.0, sum)
	s.ReplaceReport(start, tally.Source{Gateway: "g"}, report)
	require.Len(t, s.ZoneReport(start), maxReportedTenants+1)
	require.Equal(t, 1000.0, s.ZoneReport(start)[KeyOf("t499")])
}

// simulation simulates tenants whose programs compete for slots at several gateways. Reports
// between the gateways are delayed, duplicated or lost.
type simulation struct {
	random   *rand.Rand
	slots    int
	gateways []*Shares
	// rates are the programs per second by tenant.
	rates map[string]float64
	// fair orders programs by excess; otherwise by arrival.
	fair     bool
	waiting  []arrival
	slotEnds []time.Time
	inFlight []delayedReport
	delays   map[string][]time.Duration
}

type arrival struct {
	tenant  string
	gateway int
	at      time.Time
}

type delayedReport struct {
	at       time.Time
	from, to int
	usage    Usage
}

const (
	slotTime    = 200 * time.Millisecond
	simStep     = 10 * time.Millisecond
	simDuration = 30 * time.Second
)

func simulate(seed uint64, slots int, rates map[string]float64, fair bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 3)), slots: slots, rates: rates, fair: fair, delays: map[string][]time.Duration{}}
	for range 4 {
		s.gateways = append(s.gateways, New())
	}
	for now := start; now.Before(start.Add(simDuration)); now = now.Add(simStep) {
		s.arrive(now)
		s.report(now)
		s.slotEnds = slices.DeleteFunc(s.slotEnds, func(end time.Time) bool { return !end.After(now) })
		for len(s.slotEnds) < s.slots && len(s.waiting) > 0 {
			s.startNext(now)
		}
	}
	for _, unserved := range s.waiting {
		s.delays[unserved.tenant] = append(s.delays[unserved.tenant], start.Add(simDuration).Sub(unserved.at))
	}
	return s
}

func (s *simulation) arrive(now time.Time) {
	for _, tenant := range []string{"a", "b", "c", "hot"} {
		if s.random.Float64() < s.rates[tenant]*simStep.Seconds() {
			s.waiting = append(s.waiting, arrival{tenant: tenant, gateway: s.random.IntN(len(s.gateways)), at: now})
		}
	}
}

// report makes each gateway report to another one every 100 ms. One report in ten is lost, one in
// ten is duplicated, and each takes up to 300 ms.
func (s *simulation) report(now time.Time) {
	if now.Sub(start)%(100*time.Millisecond) == 0 {
		for from, gateway := range s.gateways {
			copies := []int{0, 2, 1, 1, 1, 1, 1, 1, 1, 1}[s.random.IntN(10)]
			to := (from + 1 + s.random.IntN(len(s.gateways)-1)) % len(s.gateways)
			for range copies {
				delay := time.Duration(s.random.IntN(300)) * time.Millisecond
				s.inFlight = append(s.inFlight, delayedReport{at: now.Add(delay), from: from, to: to, usage: gateway.LocalReport(now)})
			}
		}
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(r delayedReport) bool {
		if r.at.After(now) {
			return false
		}
		s.gateways[r.to].ReplaceReport(now, tally.Source{Gateway: fmt.Sprint(r.from)}, r.usage)
		return true
	})
}

// startNext gives a free slot to the next program: programs of tenants within their share first, as
// their gateway knows it, then by arrival.
func (s *simulation) startNext(now time.Time) {
	next := slices.IndexFunc(s.waiting, s.withinShare(now))
	next = max(0, next)
	started := s.waiting[next]
	s.waiting = slices.Delete(s.waiting, next, next+1)
	s.slotEnds = append(s.slotEnds, now.Add(slotTime))
	s.gateways[started.gateway].RecordUsage(now, started.tenant, slotTime)
	s.delays[started.tenant] = append(s.delays[started.tenant], now.Sub(started.at))
}

// withinShare returns a function that reports whether a program's tenant is within its share, as
// its gateway knows it now.
func (s *simulation) withinShare(now time.Time) func(arrival) bool {
	cached := map[arrival]bool{}
	return func(waiting arrival) bool {
		key := arrival{tenant: waiting.tenant, gateway: waiting.gateway}
		within, found := cached[key]
		if !found {
			within = !s.fair || s.gateways[waiting.gateway].Excess(now, waiting.tenant) == 0
			cached[key] = within
		}
		return within
	}
}

// p90 returns the 90th percentile of the delays of the tenant's programs.
func (s *simulation) p90(tenant string) time.Duration {
	delays := slices.Sorted(slices.Values(s.delays[tenant]))
	return delays[len(delays)*9/10]
}

// A burst of one tenant must not delay the programs of others more than if that tenant were absent
// and its share of the slots removed. Allowed in addition are the propagation of a report to all
// gateways and one program's slot time.
func TestBurstDelaysOthersNoMoreThanItsShare(t *testing.T) {
	const maxDelay = 600*time.Millisecond + slotTime
	for seed := range uint64(10) {
		baseline := map[string]float64{"a": 20, "b": 20, "c": 20}
		burst := map[string]float64{"a": 20, "b": 20, "c": 20, "hot": 99}
		present := simulate(seed, 20, burst, true)
		absent := simulate(seed, 15, baseline, true)
		for tenant := range baseline {
			require.LessOrEqual(t, present.p90(tenant), absent.p90(tenant)+maxDelay, "seed %d tenant %s", seed, tenant)
		}
		require.Greater(t, simulate(seed, 20, burst, false).p90("a"), 2*time.Second, "without fair shares all tenants wait equally")
	}
}

// Slots are never left free for an unused share.
func TestBurstOfOneTenantUsesAllSlots(t *testing.T) {
	for seed := range uint64(3) {
		rates := map[string]float64{"hot": 99, "a": 1}
		with, without := simulate(seed, 20, rates, true), simulate(seed, 20, rates, false)
		require.InDelta(t, without.p90("hot").Seconds(), with.p90("hot").Seconds(), 0.05)
	}
}
