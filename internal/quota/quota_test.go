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

// lend borrows as many allowances as the lender has.
func lend(l *Lender, at time.Duration) int {
	loan, _ := l.Lend(start.Add(at), Borrow{Tenant: "t0", Waiting: 100_000})
	return loan.Waiting
}

const second = time.Second

func TestLenderLendsItsSharePerWindow(t *testing.T) {
	l := lenderOf(4, tenant.Limit{PerSecond: 40, Burst: 20})
	// A quarter of (40 x 5 + 20) x 1.05 + 10.
	require.Equal(t, 60, lend(l, 10*second))
	require.Zero(t, lend(l, 15*second+200*time.Millisecond))
	loan, _ := l.Lend(start.Add(12*second), Borrow{Tenant: "t0", Waiting: 1})
	require.Equal(t, 3250*time.Millisecond, loan.Wait, "one allowance life and one window after lending")
	require.Equal(t, 60, lend(l, 15*second+250*time.Millisecond))
}

// Earlier voters, or an earlier disk, may have lent everything within the window.
func TestNewVoterLendsInProportionToItsHistory(t *testing.T) {
	l := lenderOf(4, tenant.Limit{PerSecond: 40, Burst: 20})
	require.Zero(t, lend(l, 0))
	require.Equal(t, 12, lend(l, second))
	require.Equal(t, 12, lend(l, 2*second))
}

// A restarted voter must not lend again what it lent just before the restart.
func TestRestartedVoterCountsEarlierLendings(t *testing.T) {
	l := NewLender(policy)
	l.SetTenants(indexOf(tenant.Limit{PerSecond: 40, Burst: 20}, tenant.Limit{PerSecond: 40, Burst: 20}))
	l.Resume(start, 0, 4, map[string]int{"t0": 50})
	require.Zero(t, lend(l, 0), "limited to 48 by the share of a set with one more voter")
	loan, _ := l.Lend(start, Borrow{Tenant: "t1", Waiting: 1000})
	require.Equal(t, 48, loan.Waiting)
	require.Equal(t, map[string]int{"t0": 50, "t1": 48}, l.Outstanding(start))
	require.Equal(t, 10, lend(l, 5*second))
	require.Zero(t, lend(l, 5*second), "allowances lent ahead before the restart may still be used")
	require.Equal(t, 50, lend(l, 6*second))
	require.Empty(t, l.Outstanding(start.Add(time.Minute)))
}

// What a power failure may make a lender forget is bounded by a part of the slack.
func TestLendRequiresASyncOnceTheUnsyncedBoundIsReached(t *testing.T) {
	l := lenderOf(5, tenant.Limit{PerSecond: 40, Burst: 20})
	lendOne := func() bool {
		_, sync := l.Lend(start.Add(time.Minute), Borrow{Tenant: "t0", Waiting: 1})
		return sync
	}
	require.False(t, lendOne())
	require.True(t, lendOne())
	l.Synced("t0", 2)
	require.False(t, lendOne())
}

func TestLenderWithoutAShareIsUnable(t *testing.T) {
	l := NewLender(policy)
	lendTo := func(name string) Loan {
		loan, _ := l.Lend(start.Add(time.Minute), Borrow{Tenant: name, Waiting: 1})
		return loan
	}
	require.True(t, lendTo("t0").Unable, "no configuration has been loaded")
	l.SetTenants(indexOf(tenant.Limit{PerSecond: 1}, tenant.Limit{}))
	require.True(t, lendTo("t0").Unable, "it is not a voter")
	l.SetVoters(start, 0, 3)
	require.False(t, lendTo("t0").Unable)
	require.True(t, lendTo("t1").Unlimited)
	require.True(t, lendTo("unknown").Unable)
	l.SetVoters(start, -1, 3)
	l.SetVoters(start.Add(second), -1, 3)
	require.True(t, NewLender(policy).tenants.ByName("t0") == nil)
}

// A new voter counts a window in which others may have lent its share. No one lent before the voters
// that founded the cell: a tenant's requests were all refused in the first second of a fleet.
func TestFoundingVoterLendsItsWholeShareAtOnce(t *testing.T) {
	limit := tenant.Limit{PerSecond: 10, Burst: 10}
	l := NewLender(policy)
	l.SetTenants(indexOf(limit))
	l.SetFoundingVoters(start, 0, 3)
	l.SetFoundingVoters(start.Add(second), 0, 3)
	whole := lend(lenderOf(3, limit), 60*second)
	require.Positive(t, whole)
	require.Equal(t, whole, lend(l, second))

	joined := NewLender(policy)
	joined.SetTenants(indexOf(limit))
	joined.SetFoundingVoters(start, -1, 3)
	joined.SetVoters(start.Add(second), 0, 3)
	require.Zero(t, lend(joined, second), "it joined after the founding")
	require.Equal(t, whole, lend(joined, 60*second))
}

// Voters that do not know yet of the removal of a voter still lend by the old share.
func TestLargerShareTakesEffectAfterAWindow(t *testing.T) {
	l := lenderOf(4, tenant.Limit{PerSecond: 40, Burst: 20})
	l.SetVoters(start.Add(60*second), 0, 3)
	require.Equal(t, 60, lend(l, 61*second))
	require.Equal(t, 80, lend(l, 67*second))
	l.SetVoters(start.Add(68*second), 0, 2)
	l.SetVoters(start.Add(69*second), 0, 1)
	require.Zero(t, lend(l, 70*second), "the second change does not lift the bound of the first one")
	l.SetVoters(start.Add(70*second), 0, 5)
	require.Equal(t, 48, lend(l, 80*second), "a smaller share takes effect at once")
}

// Rounding each voter's portion down would leave a part of small limits unlent.
func TestVoterSharesAddUpToTheLimit(t *testing.T) {
	for _, total := range []int{1, 7, 48, 60, 1003} {
		for voters := 1; voters <= 11; voters++ {
			sum, smallest, largest := 0, total, 0
			for index := range voters {
				portion := share{index, voters}.portion(float64(total) + 0.9)
				sum, smallest, largest = sum+portion, min(smallest, portion), max(largest, portion)
			}
			require.Equal(t, total, sum)
			require.LessOrEqual(t, largest-smallest, 1)
		}
	}
}

func TestLoweredLimitTakesEffectAtOnce(t *testing.T) {
	l := lenderOf(1, tenant.Limit{PerSecond: 1000, Burst: 1000})
	require.Equal(t, 6310, lend(l, 60*second))
	l.SetTenants(indexOf(tenant.Limit{PerSecond: 2, Burst: 1}))
	require.Zero(t, lend(l, 61*second))
	require.Equal(t, 21, lend(l, 66*second))
}

func TestLendingAheadIsBounded(t *testing.T) {
	l := lenderOf(1, tenant.Limit{PerSecond: 100, Burst: 100})
	loan, _ := l.Lend(start.Add(60*second), Borrow{Tenant: "t0", Ahead: 1000})
	require.Equal(t, 80, loan.Ahead, "an eighth of 640")
	require.Equal(t, 560, lend(l, 60*second))
	require.Zero(t, lend(l, 65*second+249*time.Millisecond))
	require.Equal(t, 560, lend(l, 65*second+250*time.Millisecond))
	require.Equal(t, 80, lend(l, 66*second), "allowances lent ahead are valid for a second")
}

func TestBorrowerTriesTheNextLenderAndReturnsTheShortestWait(t *testing.T) {
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

// After a pause of the gateway or a slow answer, an allowance must not be used once its lender no
// longer counts it.
func TestExpiredAllowancesAreNotUsed(t *testing.T) {
	b := NewBorrower()
	b.Lent(start.Add(240*time.Millisecond), start, "a", Borrow{Tenant: "t"}, Loan{Waiting: 1, Life: 250 * time.Millisecond})
	require.False(t, b.Consume(start.Add(260*time.Millisecond), "t"), "its life starts when it is requested")
	b.Lent(start.Add(240*time.Millisecond), start, "a", Borrow{Tenant: "t"}, Loan{Waiting: 1, Life: 250 * time.Millisecond, Ahead: 3, AheadLife: time.Second})
	require.True(t, b.Consume(start.Add(900*time.Millisecond), "t"))
	require.False(t, b.Consume(start.Add(time.Second), "t"))
}

// A loan that waited for a slow disk had expired when it arrived: its credit was gone, and nobody could use it.
func TestLoanThatWaitedForTheDiskCanBeUsed(t *testing.T) {
	l, b := lenderOf(4, tenant.Limit{PerSecond: 40, Burst: 20}), NewBorrower()
	at := start.Add(10 * second)
	request := Borrow{Tenant: "t0", Waiting: 60}
	loan, sync := l.Lend(at, request)
	require.True(t, sync)
	const delay = 400 * time.Millisecond
	sent := loan.HeldBack(delay)
	l.Postpone(at, "t0", loan, sent)
	b.Lent(at.Add(delay), at, "a", request, sent)
	require.True(t, b.Consume(at.Add(delay+policy.life()-1), "t0"))
	require.False(t, b.Consume(at.Add(delay+policy.life()), "t0"))
	require.Zero(t, lend(l, 10*second+policy.Window+delay+policy.life()-1))
	require.Equal(t, 60, lend(l, 10*second+policy.Window+delay+policy.life()))
	require.Equal(t, loan.AheadLife, loan.HeldBack(time.Minute).Life)
}

func TestHighDemandBorrowsAhead(t *testing.T) {
	b := NewBorrower()
	now := start
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		b.Arrived(now, "t")
	}
	require.InDelta(t, 87, b.Next(now, "t", []string{"a"}).Request.Ahead, 10, "100 per second arrived for two time constants")
	require.Zero(t, b.Next(now.Add(time.Minute), "t", []string{"a"}).Request.Ahead)
}

// A failed voter must not make each request beyond the limit wait for its answer.
func TestTimedOutLenderIsSkippedOnceMostLendersAreExhausted(t *testing.T) {
	b := NewBorrower()
	lenders := []string{"a", "b", "c"}
	b.TimedOut(start, "a")
	require.Equal(t, "b", b.Next(start, "t", lenders).Lender)
	b.Lent(start, start, "b", Borrow{Tenant: "t"}, Loan{Wait: 300 * time.Millisecond})
	require.Equal(t, "c", b.Next(start, "t", lenders).Lender)
	b.TimedOut(start, "c")
	require.NotEmpty(t, b.Next(start, "t", lenders).Lender, "one of three lenders is not a majority")
	b.Lent(start, start, "c", Borrow{Tenant: "t"}, Loan{Wait: 200 * time.Millisecond})
	delete(b.unansweredUntil, "c")
	require.Equal(t, NextStep{Exhausted: 2, Wait: 200 * time.Millisecond}, b.Next(start, "t", lenders))
	require.Equal(t, "a", b.Next(start.Add(unansweredPenalty), "t", lenders).Lender)
}

// message is a message in flight.
type message struct {
	at      time.Time
	deliver func(now time.Time)
}

// simulation is one random run of gateways and lenders.
type simulation struct {
	random   *rand.Rand
	policy   Policy
	limit    tenant.Limit
	names    []string
	lenders  map[string]*Lender
	gateways []*Borrower
	// pausedUntil is the time until which a gateway is paused: messages to it wait, while its clock
	// advances.
	pausedUntil []time.Time
	inFlight    []message
	// servedAt holds the times at which requests proceeded.
	servedAt []time.Time
	// reportParts lets gateways report parts and usage.
	reportParts bool
	// synced holds the lendings on the disks of the lenders.
	synced map[string][]syncedLending
}

// syncedLending is a lending on disk.
type syncedLending struct {
	at    time.Time
	count int
}

func newSimulation(seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &simulation{
		random: random, policy: Policy{Window: policy.Window, Overage: 0.1, Slack: 8}, lenders: map[string]*Lender{},
		synced:   map[string][]syncedLending{},
		limit:    tenant.Limit{PerSecond: float64(1 + random.IntN(100)), Burst: float64(random.IntN(300))},
		gateways: make([]*Borrower, 1+random.IntN(6)),
	}
	s.pausedUntil = make([]time.Time, len(s.gateways))
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

// restart kills a lender and restarts it from its disk. Writes in progress are lost.
func (s *simulation) restart(now time.Time, name string) {
	lent := 0
	for _, lending := range s.synced[name] {
		if now.Sub(lending.at) <= s.policy.Window+aheadLife {
			lent += lending.count
		}
	}
	s.lenders[name] = NewLender(s.policy)
	s.lenders[name].SetTenants(indexOf(s.limit))
	s.lenders[name].Resume(now, slices.Index(s.names, name), len(s.names), map[string]int{"t0": lent})
	s.synced[name] = []syncedLending{{at: now, count: lent}}
}

// lend answers a gateway, after the disk write if the lender requires it.
func (s *simulation) lend(now time.Time, name string, request Borrow, reply func(time.Time, Loan)) {
	lender := s.lenders[name]
	loan, sync := lender.Lend(now, request)
	allowances := loan.Waiting + loan.Ahead
	writeTime := time.Duration(s.random.IntN(80)) * time.Millisecond
	if s.chance(0.2) { // a disk under load
		writeTime = time.Duration(s.random.IntN(1500)) * time.Millisecond
	}
	s.inFlight = append(s.inFlight, message{at: now.Add(writeTime), deliver: func(then time.Time) {
		if s.lenders[name] != lender {
			return
		}
		s.synced[name] = append(s.synced[name], syncedLending{at: now, count: allowances})
		lender.Synced("t0", allowances)
		if sync {
			sent := loan.HeldBack(then.Sub(now))
			lender.Postpone(now, "t0", loan, sent)
			reply(then, sent)
		}
	}})
	if !sync {
		reply(now, loan)
	}
}

func (s *simulation) chance(probability float64) bool { return s.random.Float64() < probability }

// send sends a message, which may be lost, duplicated, delayed and reordered.
func (s *simulation) send(now time.Time, deliver func(time.Time)) {
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
		s.inFlight = append(s.inFlight, message{at: now.Add(delay), deliver: deliver})
	}
}

// deliver delivers the messages that are due.
func (s *simulation) deliver(now time.Time) {
	messages := s.inFlight
	s.inFlight = nil
	for _, m := range messages {
		if m.at.After(now) {
			s.inFlight = append(s.inFlight, m)
			continue
		}
		m.deliver(now)
	}
}

// request simulates one request of the tenant at a gateway.
func (s *simulation) request(now time.Time, gateway int) {
	borrower := s.gateways[gateway]
	borrower.Arrived(now, "t0")
	if borrower.Consume(now, "t0") {
		s.servedAt = append(s.servedAt, now)
		return
	}
	step := borrower.NextForPart(now, "t0", s.names, s.part(), s.reportParts && s.chance(0.3))
	lender, request := step.Lender, step.Request
	if lender == "" {
		return
	}
	answered := false // a connection delivers only the first answer to a request
	s.send(now, func(then time.Time) {
		s.lend(then, lender, request, func(answeredAt time.Time, loan Loan) {
			s.send(answeredAt, func(receivedAt time.Time) {
				if !answered {
					answered = true
					s.handleLoan(receivedAt, now, gateway, lender, request, loan)
				}
			})
		})
	})
}

// part returns a random part for a request.
func (s *simulation) part() Part {
	switch {
	case !s.reportParts:
		return PartUnknown
	case s.chance(0.2):
		return PartFirst
	default:
		return PartLater
	}
}

func (s *simulation) handleLoan(now, sentAt time.Time, gateway int, lender string, request Borrow, loan Loan) {
	if now.Before(s.pausedUntil[gateway]) {
		s.inFlight = append(s.inFlight, message{at: s.pausedUntil[gateway], deliver: func(then time.Time) { s.handleLoan(then, sentAt, gateway, lender, request, loan) }})
		return
	}
	s.gateways[gateway].Lent(now, sentAt, lender, request, loan)
	if s.gateways[gateway].Consume(now, "t0") {
		s.servedAt = append(s.servedAt, now)
	}
}

// run runs the simulation for 18 s. Callers alternate between idle, low load and bursts.
func (s *simulation) run() {
	const step, steps = 20 * time.Millisecond, 900
	restarted, intensity, phaseEnd := 0, 0, 0
	for number := range steps {
		now := start.Add(time.Duration(number) * step)
		s.deliver(now)
		if number >= phaseEnd {
			intensity = []int{0, 1, 12, 12}[s.random.IntN(4)]
			phaseEnd = number + s.random.IntN(400)
		}
		if restarted < len(s.names) && s.chance(0.01) {
			s.restart(now, s.names[restarted])
			restarted++
		}
		for gateway := range s.gateways {
			if now.Before(s.pausedUntil[gateway]) {
				continue
			}
			if s.chance(0.002) {
				s.pausedUntil[gateway] = now.Add(time.Duration(s.random.IntN(3000)) * time.Millisecond)
				continue
			}
			for range s.random.IntN(intensity + 1) {
				s.request(now, gateway)
			}
		}
	}
}

// maxInWindow returns the largest number of requests in any window, computed from the times alone.
func (s *simulation) maxInWindow() int {
	slices.SortFunc(s.servedAt, time.Time.Compare)
	highest, first := 0, 0
	for last, at := range s.servedAt {
		for at.Sub(s.servedAt[first]) > s.policy.Window {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

// TestNoSpanExceedsTheLimit simulates gateways and lenders with lost, duplicated, delayed and
// reordered messages, restarted lenders and paused gateways, and callers that exceed the limit. It
// counts the requests in each window independently of the package.
func TestNoSpanExceedsTheLimit(t *testing.T) {
	for seed := range uint64(200) {
		s := newSimulation(seed)
		s.run()
		allowed := int(math.Floor(s.policy.windowLimit(s.limit)*(1+s.policy.Overage) + s.policy.Slack))
		require.LessOrEqual(t, s.maxInWindow(), allowed, "seed %d", seed)
	}
}

// The parts of programs change which requests get credit, but not how much is lent.
func TestNoSpanExceedsTheLimitWithReportedParts(t *testing.T) {
	for seed := range uint64(100) {
		s := newSimulation(seed)
		s.reportParts = true
		s.run()
		allowed := int(math.Floor(s.policy.windowLimit(s.limit)*(1+s.policy.Overage) + s.policy.Slack))
		require.LessOrEqual(t, s.maxInWindow(), allowed, "seed %d", seed)
	}
}

// All requests within a small limit are served if they arrive at one gateway, even all at once.
func TestSmallLimitIsServedInFull(t *testing.T) {
	limit := tenant.Limit{PerSecond: 3, Burst: 3}
	lenders := map[string]*Lender{}
	names := []string{"a", "b", "c", "d", "e", "f"}
	for _, name := range names {
		lenders[name] = lenderOf(6, limit)
	}
	borrower := NewBorrower()
	for round := range 5 {
		now := start.Add(10*second + time.Duration(round)*6*second)
		for range 18 {
			borrower.Arrived(now, "t0")
			for !borrower.Consume(now, "t0") {
				step := borrower.Next(now, "t0", names)
				require.NotEmpty(t, step.Lender)
				loan, _ := lenders[step.Lender].Lend(now, step.Request)
				borrower.Lent(now, now, step.Lender, step.Request, loan)
			}
		}
	}
}

func BenchmarkAdmission(b *testing.B) {
	const tenants = 10_000
	borrower := NewBorrower()
	names := make([]string, tenants)
	now := start
	for number := range names {
		names[number] = fmt.Sprint("tenant-", number)
		borrower.Lent(now, now, "a", Borrow{Tenant: names[number]}, Loan{Ahead: math.MaxInt32, AheadLife: time.Hour})
	}
	b.ResetTimer()
	for number := range b.N {
		name := names[number%tenants]
		borrower.Arrived(now, name)
		if !borrower.Consume(now, name) {
			b.Fatal("no allowance")
		}
	}
}

// BenchmarkLend lends to a tenant that borrows a thousand times per second.
func BenchmarkLend(b *testing.B) {
	l := lenderOf(4, tenant.Limit{PerSecond: 4000, Burst: 4000})
	now := start.Add(time.Minute)
	b.ResetTimer()
	for range b.N {
		now = now.Add(time.Millisecond)
		l.Lend(now, Borrow{Tenant: "t0", Waiting: 1})
	}
}
