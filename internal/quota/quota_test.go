package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/tenant"
)

var (
	start  = time.Unix(1000, 0)
	policy = Policy{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
)

func indexOf(limits ...tenant.Limit) *tenant.Index {
	var tenants []tenant.Tenant
	for number, limit := range limits {
		tenants = append(tenants, tenant.Tenant{Name: fmt.Sprintf("t%d", number), Limit: limit})
	}
	return tenant.NewIndex(tenants)
}

func lenderOf(voters int, limits ...tenant.Limit) *Lender {
	l := NewLender(policy)
	l.SetTenants(indexOf(limits...))
	l.SetVoters(start, voters, true)
	return l
}

func TestALenderLendsItsShare(t *testing.T) {
	l := lenderOf(4, tenant.Limit{PerSecond: 40, Burst: 20})
	lend := func(after time.Duration, asked int) Loan {
		return l.Lend(start.Add(after), Borrow{Tenant: "t0", Waiting: asked})
	}
	require.Equal(t, 2, lend(0, 100).Waiting, "at first a share of half the slack")
	empty := lend(0, 1)
	require.Zero(t, empty.Waiting)
	require.InDelta(t, 0.05, empty.Wait.Seconds(), 1e-3, "half a request is left, 10 a second come in")
	require.Equal(t, 5, lend(450*time.Millisecond, 100).Waiting)
	require.Equal(t, 7, lend(time.Minute, 100).Waiting, "a share of the burst and of half the slack")
}

// A tenant whose first request comes long after a voter started finds its whole burst.
func TestABucketFillsBeforeTheFirstRequest(t *testing.T) {
	l := lenderOf(4, tenant.Limit{PerSecond: 40, Burst: 20})
	require.Equal(t, 7, l.Lend(start.Add(time.Minute), Borrow{Tenant: "t0", Waiting: 100}).Waiting)
}

func TestALenderWithoutAShareIsUnable(t *testing.T) {
	l := NewLender(policy)
	require.True(t, l.Lend(start, Borrow{Tenant: "t0", Waiting: 1}).Unable, "no configuration is known")
	l.SetTenants(indexOf(tenant.Limit{PerSecond: 1}, tenant.Limit{}))
	require.True(t, l.Lend(start, Borrow{Tenant: "t0", Waiting: 1}).Unable, "it is no voter")
	l.SetVoters(start, 3, true)
	require.False(t, l.Lend(start, Borrow{Tenant: "t0", Waiting: 1}).Unable)
	require.True(t, l.Lend(start, Borrow{Tenant: "t1", Waiting: 1}).Unlimited)
	require.True(t, l.Lend(start, Borrow{Tenant: "unknown", Waiting: 1}).Unable)
	l.SetVoters(start, 3, false)
	require.True(t, l.Lend(start, Borrow{Tenant: "t0", Waiting: 1}).Unable)
}

// Voters that do not know yet that one of them was left out lend by the old share.
func TestALargerShareHoldsAWindowLater(t *testing.T) {
	l := lenderOf(4, tenant.Limit{PerSecond: 40, Burst: 400})
	l.SetVoters(start.Add(time.Minute), 3, true)
	most := func(at time.Duration) int { return l.Lend(start.Add(at), Borrow{Tenant: "t0", Waiting: 1000}).Waiting }
	most(time.Minute)
	require.Equal(t, 10, most(time.Minute+time.Second))
	most(time.Minute + 10*time.Second)
	require.Equal(t, 13, most(time.Minute+11*time.Second))
	l.SetVoters(start.Add(time.Minute+11*time.Second), 5, true)
	require.Equal(t, 8, most(time.Minute+12*time.Second), "a smaller share holds at once")
}

func TestALoweredLimitHoldsAtOnce(t *testing.T) {
	l := lenderOf(1, tenant.Limit{PerSecond: 1000, Burst: 1000})
	l.Lend(start, Borrow{Tenant: "t0"})
	l.SetTenants(indexOf(tenant.Limit{PerSecond: 2, Burst: 1}))
	require.Equal(t, 11, l.Lend(start.Add(time.Minute), Borrow{Tenant: "t0", Waiting: 1000}).Waiting)
}

func TestWhatWasLentAheadIsBoundedAndComesBack(t *testing.T) {
	l := lenderOf(1, tenant.Limit{PerSecond: 100, Burst: 100})
	at := start.Add(time.Minute)
	l.Lend(start, Borrow{Tenant: "t0"})
	first := l.Lend(at, Borrow{Tenant: "t0", Ahead: 1000})
	require.Equal(t, 30, first.Ahead, "half the overage of 600 in a window")
	require.Zero(t, l.Lend(at, Borrow{Tenant: "t0", Ahead: 1}).Ahead)
	require.Equal(t, 80, l.Lend(at, Borrow{Tenant: "t0", Waiting: 1000}).Waiting)
	require.Equal(t, 7, l.Lend(at, Borrow{Tenant: "t0", Waiting: 1000, Returned: 7}).Waiting)
}

func TestAShareBoundsWhatIsLentAhead(t *testing.T) {
	l := lenderOf(4, tenant.Limit{PerSecond: 100, Burst: 100})
	l.Lend(start, Borrow{Tenant: "t0"})
	require.Equal(t, 7, l.Lend(start.Add(time.Minute), Borrow{Tenant: "t0", Ahead: 1000}).Ahead, "a quarter of 30")
}

func TestABorrowerAsksTheNextLenderAndSaysWhenThereIsCredit(t *testing.T) {
	b := NewBorrower()
	lenders := []string{"a", "b"}
	b.Arrived(start, "t")
	require.False(t, b.Take(start, "t"))
	name, asked, _, found := b.Next(start, "t", lenders)
	require.True(t, found)
	require.Equal(t, "a", name)
	require.Equal(t, Borrow{Tenant: "t", Waiting: 1}, asked)
	b.Lent(start, start, "t", "a", Loan{Wait: 300 * time.Millisecond})
	name, _, _, _ = b.Next(start, "t", lenders)
	require.Equal(t, "b", name)
	b.Lent(start, start, "t", "b", Loan{Wait: 200 * time.Millisecond})
	_, _, wait, found := b.Next(start.Add(50*time.Millisecond), "t", lenders)
	require.False(t, found)
	require.Equal(t, 150*time.Millisecond, wait)
	name, _, _, _ = b.Next(start.Add(250*time.Millisecond), "t", lenders)
	require.Equal(t, "b", name)
	b.Lent(start, start, "t", "b", Loan{Waiting: 1, Life: time.Second})
	require.True(t, b.Take(start, "t"))
	require.False(t, b.Take(start, "t"))
}

// A gateway that slept, or an answer that took long, must not use what its lender counts as
// gone.
func TestAnAllowanceIsNotUsedAfterItsLife(t *testing.T) {
	b := NewBorrower()
	b.Lent(start.Add(240*time.Millisecond), start, "t", "a", Loan{Waiting: 1, Life: 250 * time.Millisecond})
	require.False(t, b.Take(start.Add(260*time.Millisecond), "t"), "its life began when it was asked for")
	b.Lent(start.Add(240*time.Millisecond), start, "t", "a", Loan{Waiting: 1, Life: 250 * time.Millisecond, Ahead: 3, AheadLife: time.Second})
	require.True(t, b.Take(start.Add(900*time.Millisecond), "t"))
	require.False(t, b.Take(start.Add(time.Second), "t"))
	_, asked, _, _ := b.Next(start.Add(time.Second), "t", []string{"a"})
	require.Equal(t, 2, asked.Returned)
	_, asked, _, _ = b.Next(start.Add(time.Second), "t", []string{"a"})
	require.Zero(t, asked.Returned, "it is returned once")
}

func TestManyRequestsBorrowAhead(t *testing.T) {
	b := NewBorrower()
	now := start
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		b.Arrived(now, "t")
	}
	_, asked, _, _ := b.Next(now, "t", []string{"a"})
	require.InDelta(t, 87, asked.Ahead, 10, "100 a second came for two spans")
	_, asked, _, _ = b.Next(now.Add(time.Minute), "t", []string{"a"})
	require.Zero(t, asked.Ahead)
}

// flight is a message of the random schedules.
type flight struct {
	at      time.Time
	deliver func(now time.Time)
}

// schedule is one random run of gateways and lenders.
type schedule struct {
	random   *rand.Rand
	policy   Policy
	limit    tenant.Limit
	names    []string
	lenders  map[string]*Lender
	gateways []*Borrower
	// sleeps is until when a gateway sleeps: what reaches it waits, its clock goes on.
	sleeps []time.Time
	flying []flight
	// used are the times at which requests went on.
	used []time.Time
}

func newSchedule(seed uint64) *schedule {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &schedule{
		random: random, policy: Policy{Window: policy.Window, Overage: 0.1, Slack: 8}, lenders: map[string]*Lender{},
		limit:    tenant.Limit{PerSecond: float64(1 + random.IntN(100)), Burst: float64(random.IntN(300))},
		gateways: make([]*Borrower, 1+random.IntN(6)),
	}
	s.sleeps = make([]time.Time, len(s.gateways))
	for number := range 1 + random.IntN(7) {
		s.names = append(s.names, fmt.Sprint(number))
	}
	for _, name := range s.names {
		s.restart(name)
	}
	for number := range s.gateways {
		s.gateways[number] = NewBorrower()
	}
	return s
}

func (s *schedule) restart(name string) {
	s.lenders[name] = NewLender(s.policy)
	s.lenders[name].SetTenants(indexOf(s.limit))
	s.lenders[name].SetVoters(start, len(s.names), true)
}

func (s *schedule) chance(share float64) bool { return s.random.Float64() < share }

// fly sends a message, which may be lost, doubled, late and overtaken.
func (s *schedule) fly(now time.Time, deliver func(time.Time)) {
	copies := 1
	if s.chance(0.05) {
		copies = 2
	}
	for range copies {
		if s.chance(0.05) {
			continue
		}
		delay := time.Duration(s.random.IntN(5)) * time.Millisecond
		if s.chance(0.1) {
			delay = time.Duration(s.random.IntN(2000)) * time.Millisecond
		}
		s.flying = append(s.flying, flight{at: now.Add(delay), deliver: deliver})
	}
}

// land delivers what is due.
func (s *schedule) land(now time.Time) {
	flying := s.flying
	s.flying = nil
	for _, message := range flying {
		if message.at.After(now) {
			s.flying = append(s.flying, message)
			continue
		}
		message.deliver(now)
	}
}

// request is one request of the tenant at a gateway.
func (s *schedule) request(now time.Time, gateway int) {
	holder := s.gateways[gateway]
	holder.Arrived(now, "t0")
	if holder.Take(now, "t0") {
		s.used = append(s.used, now)
		return
	}
	lender, asked, _, found := holder.Next(now, "t0", s.names)
	if !found {
		return
	}
	s.fly(now, func(then time.Time) {
		lent := s.lenders[lender].Lend(then, asked)
		s.fly(then, func(back time.Time) { s.lent(back, now, gateway, lender, lent) })
	})
}

func (s *schedule) lent(now, sentAt time.Time, gateway int, lender string, lent Loan) {
	if now.Before(s.sleeps[gateway]) {
		s.flying = append(s.flying, flight{at: s.sleeps[gateway], deliver: func(then time.Time) { s.lent(then, sentAt, gateway, lender, lent) }})
		return
	}
	s.gateways[gateway].Lent(now, sentAt, "t0", lender, lent)
	if s.gateways[gateway].Take(now, "t0") {
		s.used = append(s.used, now)
	}
}

// play runs for 20 s. Callers rest, send a little, and send many at once, by turns.
func (s *schedule) play() {
	const step, steps = 20 * time.Millisecond, 900
	restarted, intensity, phaseEnd := 0, 0, 0
	for number := range steps {
		now := start.Add(time.Duration(number) * step)
		s.land(now)
		if number >= phaseEnd {
			intensity = []int{0, 1, 12, 12}[s.random.IntN(4)]
			phaseEnd = number + s.random.IntN(400)
		}
		if restarted < len(s.names) && s.chance(0.01) {
			s.restart(s.names[restarted])
			restarted++
		}
		for gateway := range s.gateways {
			if now.Before(s.sleeps[gateway]) {
				continue
			}
			if s.chance(0.002) {
				s.sleeps[gateway] = now.Add(time.Duration(s.random.IntN(3000)) * time.Millisecond)
				continue
			}
			for range s.random.IntN(intensity + 1) {
				s.request(now, gateway)
			}
		}
	}
}

// mostInASpan returns the largest number of requests in any span of a window, counted from
// the times alone.
func (s *schedule) mostInASpan() int {
	slices.SortFunc(s.used, time.Time.Compare)
	most, first := 0, 0
	for last, at := range s.used {
		for at.Sub(s.used[first]) > s.policy.Window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestNoSpanExceedsTheLimit plays gateways and lenders under lost, doubled, late and
// reordered messages, restarted lenders and sleeping gateways, with callers that ask for
// more than the limit, and counts each span from outside.
func TestNoSpanExceedsTheLimit(t *testing.T) {
	for seed := range uint64(200) {
		s := newSchedule(seed)
		s.play()
		allowed := int(math.Floor(s.policy.inWindow(s.limit)*(1+s.policy.Overage) + s.policy.Slack))
		require.LessOrEqual(t, s.mostInASpan(), allowed, "seed %d", seed)
	}
}

// What lies within the limit is served, wherever it arrives: a small limit by one gateway.
func TestASmallLimitIsServedInFull(t *testing.T) {
	limit := tenant.Limit{PerSecond: 3, Burst: 3}
	lenders := map[string]*Lender{}
	var names []string
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		names = append(names, name)
		lenders[name] = lenderOf(6, limit)
		lenders[name].Lend(start, Borrow{Tenant: "t0"})
	}
	holder := NewBorrower()
	served, asked := 0, 0
	const requests, pause = 150, 400 * time.Millisecond // 2.5 a second
	for number := range requests {
		now := start.Add(2*time.Second + time.Duration(number)*pause)
		holder.Arrived(now, "t0")
		asked++
		for !holder.Take(now, "t0") {
			name, borrow, _, found := holder.Next(now, "t0", names)
			if !found {
				served--
				break
			}
			holder.Lent(now, now, "t0", name, lenders[name].Lend(now, borrow))
		}
		served++
	}
	require.Equal(t, asked, served)
}

func BenchmarkAdmission(b *testing.B) {
	const tenants = 10_000
	holder := NewBorrower()
	names := make([]string, tenants)
	now := start
	for number := range names {
		names[number] = fmt.Sprint("tenant-", number)
		holder.Lent(now, now, names[number], "a", Loan{Ahead: math.MaxInt32, AheadLife: time.Hour})
	}
	b.ResetTimer()
	for number := range b.N {
		name := names[number%tenants]
		holder.Arrived(now, name)
		if !holder.Take(now, name) {
			b.Fatal("no allowance")
		}
	}
}
