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
	l.SetVoters(start, 0, voters)
	return l
}

// lend asks for as many allowances as there are.
func lend(l *Lender, at time.Duration) int {
	lent, _ := l.Lend(start.Add(at), Borrow{Tenant: "t0", Waiting: 100_000})
	return lent.Waiting
}

const second = time.Second

func TestALenderLendsItsShareInAWindow(t *testing.T) {
	l := lenderOf(4, tenant.Limit{PerSecond: 40, Burst: 20})
	// (40 x 5 + 20) x 1.05 + 10, a quarter of it
	require.Equal(t, 60, lend(l, 10*second))
	require.Zero(t, lend(l, 15*second+200*time.Millisecond))
	lent, _ := l.Lend(start.Add(12*second), Borrow{Tenant: "t0", Waiting: 1})
	require.Equal(t, 3250*time.Millisecond, lent.Wait, "the life of an allowance and a window after it was lent")
	require.Equal(t, 60, lend(l, 15*second+250*time.Millisecond))
}

// Earlier voters, or an earlier disk, may have lent all of the window.
func TestANewVoterLendsMoreAsTheWindowPasses(t *testing.T) {
	l := lenderOf(4, tenant.Limit{PerSecond: 40, Burst: 20})
	require.Zero(t, lend(l, 0))
	require.Equal(t, 12, lend(l, second))
	require.Equal(t, 12, lend(l, 2*second))
}

// A restart must not lend again what was lent a moment before.
func TestARestartedVoterGoesOnWithWhatItLent(t *testing.T) {
	l := NewLender(policy)
	l.SetTenants(indexOf(tenant.Limit{PerSecond: 40, Burst: 20}, tenant.Limit{PerSecond: 40, Burst: 20}))
	l.Resume(start, 0, 4, map[string]int{"t0": 50})
	require.Zero(t, lend(l, 0), "48 by the share of a set with one voter more")
	other, _ := l.Lend(start, Borrow{Tenant: "t1", Waiting: 1000})
	require.Equal(t, 48, other.Waiting)
	require.Equal(t, map[string]int{"t0": 50, "t1": 48}, l.Outstanding(start))
	require.Equal(t, 10, lend(l, 5*second))
	require.Zero(t, lend(l, 5*second), "what was lent ahead before the restart may be used after it")
	require.Equal(t, 50, lend(l, 6*second))
	require.Empty(t, l.Outstanding(start.Add(time.Minute)))
}

// What a loss of power may make a lender forget is bounded by a share of the slack.
func TestALendingWaitsForTheDiskWhenMuchIsNotOnIt(t *testing.T) {
	l := lenderOf(5, tenant.Limit{PerSecond: 40, Burst: 20})
	ask := func() bool {
		_, sync := l.Lend(start.Add(time.Minute), Borrow{Tenant: "t0", Waiting: 1})
		return sync
	}
	require.False(t, ask())
	require.True(t, ask())
	l.Synced("t0", 2)
	require.False(t, ask())
}

func TestALenderWithoutAShareIsUnable(t *testing.T) {
	l := NewLender(policy)
	ask := func(name string) Loan {
		lent, _ := l.Lend(start.Add(time.Minute), Borrow{Tenant: name, Waiting: 1})
		return lent
	}
	require.True(t, ask("t0").Unable, "no configuration is known")
	l.SetTenants(indexOf(tenant.Limit{PerSecond: 1}, tenant.Limit{}))
	require.True(t, ask("t0").Unable, "it is no voter")
	l.SetVoters(start, 0, 3)
	require.False(t, ask("t0").Unable)
	require.True(t, ask("t1").Unlimited)
	require.True(t, ask("unknown").Unable)
	l.SetVoters(start, -1, 3)
	l.SetVoters(start.Add(second), -1, 3)
	require.True(t, NewLender(policy).tenants.ByName("t0") == nil)
}

// Voters that do not know yet that one of them was left out lend by the old share.
func TestALargerShareHoldsAWindowLater(t *testing.T) {
	l := lenderOf(4, tenant.Limit{PerSecond: 40, Burst: 20})
	l.SetVoters(start.Add(60*second), 0, 3)
	require.Equal(t, 60, lend(l, 61*second))
	require.Equal(t, 80, lend(l, 67*second))
	l.SetVoters(start.Add(68*second), 0, 2)
	l.SetVoters(start.Add(69*second), 0, 1)
	require.Zero(t, lend(l, 70*second), "of two changes the later one does not lift the first one's bound")
	l.SetVoters(start.Add(70*second), 0, 5)
	require.Equal(t, 48, lend(l, 80*second), "a smaller share holds at once")
}

// Rounding each voter's part down would leave small limits partly unlent.
func TestTheSharesOfAllVotersAreTheWholeLimit(t *testing.T) {
	for _, total := range []int{1, 7, 48, 60, 1003} {
		for voters := 1; voters <= 11; voters++ {
			sum, least, most := 0, total, 0
			for index := range voters {
				part := share{index, voters}.of(float64(total) + 0.9)
				sum, least, most = sum+part, min(least, part), max(most, part)
			}
			require.Equal(t, total, sum)
			require.LessOrEqual(t, most-least, 1)
		}
	}
}

func TestALoweredLimitHoldsAtOnce(t *testing.T) {
	l := lenderOf(1, tenant.Limit{PerSecond: 1000, Burst: 1000})
	require.Equal(t, 6310, lend(l, 60*second))
	l.SetTenants(indexOf(tenant.Limit{PerSecond: 2, Burst: 1}))
	require.Zero(t, lend(l, 61*second))
	require.Equal(t, 21, lend(l, 66*second))
}

func TestWhatWasLentAheadIsBounded(t *testing.T) {
	l := lenderOf(1, tenant.Limit{PerSecond: 100, Burst: 100})
	lent, _ := l.Lend(start.Add(60*second), Borrow{Tenant: "t0", Ahead: 1000})
	require.Equal(t, 80, lent.Ahead, "an eighth of 640")
	require.Equal(t, 560, lend(l, 60*second))
	require.Zero(t, lend(l, 65*second+249*time.Millisecond))
	require.Equal(t, 560, lend(l, 65*second+250*time.Millisecond))
	require.Equal(t, 80, lend(l, 66*second), "what was lent ahead may be used for a second")
}

func TestABorrowerAsksTheNextLenderAndSaysWhenThereIsCredit(t *testing.T) {
	b := NewBorrower()
	lenders := []string{"a", "b"}
	b.Arrived(start, "t")
	require.False(t, b.Consume(start, "t"))
	require.Equal(t, NextStep{Lender: "a", Request: Borrow{Tenant: "t", Waiting: 1}}, b.Next(start, "t", lenders))
	b.Lent(start, start, "a", Borrow{Tenant: "t"}, Loan{Wait: 300 * time.Millisecond})
	require.Equal(t, "b", b.Next(start, "t", lenders).Lender)
	b.Lent(start, start, "b", Borrow{Tenant: "t"}, Loan{Wait: 200 * time.Millisecond})
	require.Equal(t, NextStep{Exhausted: 2, Wait: 150 * time.Millisecond}, b.Next(start.Add(50*time.Millisecond), "t", lenders))
	require.Equal(t, "b", b.Next(start.Add(250*time.Millisecond), "t", lenders).Lender)
	b.Lent(start, start, "b", Borrow{Tenant: "t"}, Loan{Waiting: 1, Life: time.Second})
	require.True(t, b.Consume(start, "t"))
	require.False(t, b.Consume(start, "t"))
}

// A gateway that slept, or an answer that took long, must not use what its lender counts as
// gone.
func TestAnAllowanceIsNotUsedAfterItsLife(t *testing.T) {
	b := NewBorrower()
	b.Lent(start.Add(240*time.Millisecond), start, "a", Borrow{Tenant: "t"}, Loan{Waiting: 1, Life: 250 * time.Millisecond})
	require.False(t, b.Consume(start.Add(260*time.Millisecond), "t"), "its life began when it was asked for")
	b.Lent(start.Add(240*time.Millisecond), start, "a", Borrow{Tenant: "t"}, Loan{Waiting: 1, Life: 250 * time.Millisecond, Ahead: 3, AheadLife: time.Second})
	require.True(t, b.Consume(start.Add(900*time.Millisecond), "t"))
	require.False(t, b.Consume(start.Add(time.Second), "t"))
}

func TestManyRequestsBorrowAhead(t *testing.T) {
	b := NewBorrower()
	now := start
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		b.Arrived(now, "t")
	}
	require.InDelta(t, 87, b.Next(now, "t", []string{"a"}).Request.Ahead, 10, "100 a second came for two spans")
	require.Zero(t, b.Next(now.Add(time.Minute), "t", []string{"a"}).Request.Ahead)
}

// A voter whose machine is gone must not make each request beyond the limit wait for it.
func TestALenderThatDoesNotAnswerIsPassedOverOnceMostHaveNoneLeft(t *testing.T) {
	b := NewBorrower()
	lenders := []string{"a", "b", "c"}
	b.TimedOut(start, "a")
	require.Equal(t, "b", b.Next(start, "t", lenders).Lender)
	b.Lent(start, start, "b", Borrow{Tenant: "t"}, Loan{Wait: 300 * time.Millisecond})
	require.Equal(t, "c", b.Next(start, "t", lenders).Lender)
	b.TimedOut(start, "c")
	require.NotEmpty(t, b.Next(start, "t", lenders).Lender, "one of three does not speak for the limit")
	b.Lent(start, start, "c", Borrow{Tenant: "t"}, Loan{Wait: 200 * time.Millisecond})
	delete(b.unansweredUntil, "c")
	require.Equal(t, NextStep{Exhausted: 2, Wait: 200 * time.Millisecond}, b.Next(start, "t", lenders))
	require.Equal(t, "a", b.Next(start.Add(unansweredPause), "t", lenders).Lender)
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
	// told says that gateways tell the parts of programs.
	told bool
	// disks are the lenders' lendings that are on their disks.
	disks map[string][]diskLending
}

// diskLending is a lending on a disk.
type diskLending struct {
	at    time.Time
	count int
}

func newSchedule(seed uint64) *schedule {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &schedule{
		random: random, policy: Policy{Window: policy.Window, Overage: 0.1, Slack: 8}, lenders: map[string]*Lender{},
		disks:    map[string][]diskLending{},
		limit:    tenant.Limit{PerSecond: float64(1 + random.IntN(100)), Burst: float64(random.IntN(300))},
		gateways: make([]*Borrower, 1+random.IntN(6)),
	}
	s.sleeps = make([]time.Time, len(s.gateways))
	for number := range 1 + random.IntN(7) {
		s.names = append(s.names, fmt.Sprint(number))
	}
	for index, name := range s.names {
		s.lenders[name] = NewLender(s.policy)
		s.lenders[name].SetTenants(indexOf(s.limit))
		s.lenders[name].SetVoters(start, index, len(s.names))
	}
	for number := range s.gateways {
		s.gateways[number] = NewBorrower()
	}
	return s
}

// restart ends a lender without warning and starts it again from its disk. What was being
// written is lost.
func (s *schedule) restart(now time.Time, name string) {
	lent := 0
	for _, lending := range s.disks[name] {
		if now.Sub(lending.at) <= s.policy.Window+aheadLife {
			lent += lending.count
		}
	}
	s.lenders[name] = NewLender(s.policy)
	s.lenders[name].SetTenants(indexOf(s.limit))
	s.lenders[name].Resume(now, slices.Index(s.names, name), len(s.names), map[string]int{"t0": lent})
	s.disks[name] = []diskLending{{at: now, count: lent}}
}

// lend answers a gateway, after the disk where the lender wants that.
func (s *schedule) lend(now time.Time, name string, asked Borrow, answer func(time.Time, Loan)) {
	lender := s.lenders[name]
	lent, sync := lender.Lend(now, asked)
	allowances := lent.Waiting + lent.Ahead
	s.flying = append(s.flying, flight{at: now.Add(time.Duration(s.random.IntN(80)) * time.Millisecond), deliver: func(then time.Time) {
		if s.lenders[name] != lender {
			return
		}
		s.disks[name] = append(s.disks[name], diskLending{at: now, count: allowances})
		lender.Synced("t0", allowances)
		if sync {
			answer(then, lent)
		}
	}})
	if !sync {
		answer(now, lent)
	}
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
	if holder.Consume(now, "t0") {
		s.used = append(s.used, now)
		return
	}
	step := holder.NextForPart(now, "t0", s.names, s.part(), s.told && s.chance(0.3))
	lender, asked := step.Lender, step.Request
	if lender == "" {
		return
	}
	answered := false // the connection's owner takes the first answer to a question
	s.fly(now, func(then time.Time) {
		s.lend(then, lender, asked, func(answeredAt time.Time, lent Loan) {
			s.fly(answeredAt, func(back time.Time) {
				if !answered {
					answered = true
					s.lent(back, now, gateway, lender, asked, lent)
				}
			})
		})
	})
}

// part returns the part of a program that a request is.
func (s *schedule) part() Part {
	switch {
	case !s.told:
		return PartUnknown
	case s.chance(0.2):
		return PartFirst
	default:
		return PartLater
	}
}

func (s *schedule) lent(now, sentAt time.Time, gateway int, lender string, asked Borrow, lent Loan) {
	if now.Before(s.sleeps[gateway]) {
		s.flying = append(s.flying, flight{at: s.sleeps[gateway], deliver: func(then time.Time) { s.lent(then, sentAt, gateway, lender, asked, lent) }})
		return
	}
	s.gateways[gateway].Lent(now, sentAt, lender, asked, lent)
	if s.gateways[gateway].Consume(now, "t0") {
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
			s.restart(now, s.names[restarted])
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

// The parts of programs change who is lent to, and never how much.
func TestNoSpanExceedsTheLimitWherePartsAreTold(t *testing.T) {
	for seed := range uint64(100) {
		s := newSchedule(seed)
		s.told = true
		s.play()
		allowed := int(math.Floor(s.policy.inWindow(s.limit)*(1+s.policy.Overage) + s.policy.Slack))
		require.LessOrEqual(t, s.mostInASpan(), allowed, "seed %d", seed)
	}
}

// What lies within the limit is served, wherever it arrives: a small limit by one gateway,
// also where it all comes at once.
func TestASmallLimitIsServedInFull(t *testing.T) {
	limit := tenant.Limit{PerSecond: 3, Burst: 3}
	lenders := map[string]*Lender{}
	names := []string{"a", "b", "c", "d", "e", "f"}
	for _, name := range names {
		lenders[name] = lenderOf(6, limit)
	}
	holder := NewBorrower()
	for round := range 5 {
		now := start.Add(10*second + time.Duration(round)*6*second)
		for range 18 {
			holder.Arrived(now, "t0")
			for !holder.Consume(now, "t0") {
				step := holder.Next(now, "t0", names)
				require.NotEmpty(t, step.Lender)
				lent, _ := lenders[step.Lender].Lend(now, step.Request)
				holder.Lent(now, now, step.Lender, step.Request, lent)
			}
		}
	}
}

func BenchmarkAdmission(b *testing.B) {
	const tenants = 10_000
	holder := NewBorrower()
	names := make([]string, tenants)
	now := start
	for number := range names {
		names[number] = fmt.Sprint("tenant-", number)
		holder.Lent(now, now, "a", Borrow{Tenant: names[number]}, Loan{Ahead: math.MaxInt32, AheadLife: time.Hour})
	}
	b.ResetTimer()
	for number := range b.N {
		name := names[number%tenants]
		holder.Arrived(now, name)
		if !holder.Consume(now, name) {
			b.Fatal("no allowance")
		}
	}
}

// BenchmarkLend lends to a tenant that asks a thousand times a second all the time.
func BenchmarkLend(b *testing.B) {
	l := lenderOf(4, tenant.Limit{PerSecond: 4000, Burst: 4000})
	now := start.Add(time.Minute)
	b.ResetTimer()
	for range b.N {
		now = now.Add(time.Millisecond)
		l.Lend(now, Borrow{Tenant: "t0", Waiting: 1})
	}
}
