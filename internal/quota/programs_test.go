package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/tenant"
)

// programLoad describes programs of one tenant whose requests arrive at several gateways.
type programLoad struct {
	limit tenant.Limit
	// times is the request rate of the programs as a multiple of the limit.
	times float64
	// lengths are the numbers of requests of the kinds of programs, pause is the mean delay between
	// two requests.
	lengths []int
	pause   time.Duration
	// reportParts lets gateways report parts and usage. lossRate is the fraction of lost answers,
	// silentLender a lender that never answers.
	reportParts  bool
	lossRate     float64
	silentLender string
}

const (
	loadDuration = 60 * time.Second
	// maxRetryTime is how long a caller retries one request before it gives up.
	maxRetryTime = 2 * time.Second
)

// programRun replays a load. Each request of a program may arrive at a different gateway.
type programRun struct {
	programLoad
	random   *rand.Rand
	names    []string
	lenders  map[string]*Lender
	gateways []*Borrower
	queue    arrivalQueue
	// completed counts programs that ran to the end, neverStarted those whose first request was
	// never granted, and unfinished those that ended early.
	completed, neverStarted, unfinished int
}

// arrival is the arrival of a request of a program.
type arrival struct {
	at             time.Time
	number         int
	length         int
	done           int
	firstAttemptAt time.Time
}

// arrivalQueue is a priority queue by time.
type arrivalQueue []arrival

func (m arrivalQueue) Len() int           { return len(m) }
func (m arrivalQueue) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m arrivalQueue) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *arrivalQueue) Push(next any)     { *m = append(*m, next.(arrival)) }
func (m *arrivalQueue) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

func runPrograms(load programLoad, seed uint64) *programRun {
	run := &programRun{programLoad: load, random: rand.New(rand.NewPCG(seed, 7)), lenders: map[string]*Lender{}}
	const voters, gateways = 5, 6
	for number := range voters {
		name := fmt.Sprint("r", number)
		lender := NewLender(policy)
		lender.SetTenants(indexOf(load.limit))
		lender.Resume(start.Add(-time.Minute), number, voters, nil)
		run.names, run.lenders[name] = append(run.names, name), lender
	}
	for range gateways {
		run.gateways = append(run.gateways, NewBorrower())
	}
	total := 0
	for _, length := range load.lengths {
		total += length
	}
	perSecond := load.times * load.limit.PerSecond * float64(len(load.lengths)) / float64(total)
	for at := start; at.Before(start.Add(loadDuration)); at = at.Add(time.Duration(run.random.ExpFloat64() / perSecond * float64(time.Second))) {
		length := load.lengths[run.random.IntN(len(load.lengths))]
		heap.Push(&run.queue, arrival{at: at, firstAttemptAt: at, length: length, number: run.queue.Len()})
	}
	for run.queue.Len() > 0 {
		run.step(heap.Pop(&run.queue).(arrival))
	}
	return run
}

// step handles one attempt of a request: it proceeds, is retried, or ends the program.
func (r *programRun) step(request arrival) {
	wait, granted := r.borrow(request)
	switch {
	case granted:
		request.done++
		if request.done == request.length {
			r.completed++
			return
		}
		request.at = request.at.Add(time.Duration((0.5 + r.random.Float64()) * float64(r.pause)))
		request.firstAttemptAt = request.at
	case request.at.Add(wait).Sub(request.firstAttemptAt) > maxRetryTime && request.done == 0:
		r.neverStarted++
		return
	case request.at.Add(wait).Sub(request.firstAttemptAt) > maxRetryTime:
		r.unfinished++
		return
	default:
		request.at = request.at.Add(wait + time.Duration(r.random.IntN(20))*time.Millisecond)
	}
	heap.Push(&r.queue, request)
}

// borrow borrows an allowance for a request in the same way as the gateway's Server.borrow.
func (r *programRun) borrow(request arrival) (wait time.Duration, granted bool) {
	gateway, now := r.gateways[r.random.IntN(len(r.gateways))], request.at
	part := PartUnknown
	if r.reportParts {
		part = PartLater
		if request.done == 0 {
			part = PartFirst
		}
	}
	if part != PartFirst {
		gateway.Arrived(now, "t0")
		if gateway.Consume(now, "t0") {
			gateway.Served(now, "t0", part)
			return 0, true
		}
	}
	for admitted := false; ; {
		step := gateway.NextForPart(now, "t0", r.names, part, admitted)
		if step.Lender == "" {
			if part == PartLater {
				gateway.Rejected(now, "t0")
			}
			return max(step.Wait, 20*time.Millisecond), false
		}
		loan, _ := r.lenders[step.Lender].Lend(now, step.Request)
		if step.Lender == r.silentLender || r.random.Float64() < r.lossRate {
			gateway.TimedOut(now, step.Lender)
			continue
		}
		admitted = admitted || step.Request.Part == PartFirst
		gateway.Lent(now, now, step.Lender, step.Request, loan)
		if loan.Held {
			return loan.Wait, false
		}
		if gateway.Consume(now, "t0") {
			gateway.Served(now, "t0", part)
			return 0, true
		}
	}
}

// failed returns how many programs did not complete.
func (r *programRun) failed() int { return r.neverStarted + r.unfinished }

// runWithAndWithoutParts runs a load with and without reported parts, over several seeds.
func runWithAndWithoutParts(load programLoad) (without, with programRun) {
	for seed := range uint64(2) {
		load.reportParts = false
		without.add(runPrograms(load, seed))
		load.reportParts = true
		with.add(runPrograms(load, seed))
	}
	return without, with
}

func (r *programRun) add(other *programRun) {
	r.completed += other.completed
	r.neverStarted += other.neverStarted
	r.unfinished += other.unfinished
}

// Programs used to start while their tenant's limit had no credit left for their later requests.
// With reported parts, at load beyond the limit, at least half of the unfinished programs are
// refused at their first request instead, and at most a tenth fewer programs complete; a fifth if a
// window holds fewer than four programs, because a burst of two or three is then held.
func TestProgramsBeyondALimitCompleteOrDoNotStart(t *testing.T) {
	small, large := tenant.Limit{PerSecond: 8, Burst: 8}, tenant.Limit{PerSecond: 60, Burst: 60}
	for _, lengths := range [][]int{{3}, {6}, {6, 31}, {31}} {
		for _, limit := range []tenant.Limit{small, large} {
			for _, times := range []float64{1, 1.5, 2, 3} {
				t.Run(fmt.Sprint(lengths, limit.PerSecond, times), func(t *testing.T) {
					without, with := runWithAndWithoutParts(programLoad{limit: limit, times: times, lengths: lengths, pause: 200 * time.Millisecond})
					t.Logf("completed, never started, unfinished: without parts %d %d %d, with parts %d %d %d",
						without.completed, without.neverStarted, without.unfinished, with.completed, with.neverStarted, with.unfinished)
					minRatio := 0.9
					if limit == small && slices.Max(lengths) > 14 {
						minRatio = 0.8
					}
					require.GreaterOrEqual(t, float64(with.completed), minRatio*float64(without.completed))
					if times >= 2 {
						require.LessOrEqual(t, with.unfinished, without.unfinished/2)
					}
				})
			}
		}
	}
}

// If all programs are short and of the same length, reserving credit makes none of them fail,
// within one in a hundred, which is due to the order of lenders.
func TestReservationsCostShortProgramsNothing(t *testing.T) {
	for _, length := range []int{1, 2, 3} {
		for _, times := range []float64{0.7, 1, 1.5, 2, 3} {
			load := programLoad{limit: tenant.Limit{PerSecond: 8, Burst: 8}, times: times, lengths: []int{length}, pause: 200 * time.Millisecond}
			without, with := runWithAndWithoutParts(load)
			offered := without.completed + without.failed()
			require.LessOrEqual(t, with.failed(), without.failed()+offered/100, "%d requests at %v times the limit", length, times)
		}
	}
}

// An unreachable home lender, or lost answers, must cost no more than not asking it.
func TestProgramsAreServedWhileTheirHomeLenderIsUnreachable(t *testing.T) {
	load := programLoad{limit: tenant.Limit{PerSecond: 60, Burst: 60}, times: 1.5, lengths: []int{6}, pause: 200 * time.Millisecond}
	load.silentLender = HomeLender("t0", []string{"r0", "r1", "r2", "r3", "r4"})
	without, with := runWithAndWithoutParts(load)
	require.InEpsilon(t, without.completed, with.completed, 0.1)
	load.silentLender, load.lossRate = "", 0.05
	without, with = runWithAndWithoutParts(load)
	require.GreaterOrEqual(t, float64(with.completed), 0.9*float64(without.completed))
}

// However wrong the forecast is, a new program starts once none has started for a window.
func TestWrongForecastHoldsANewProgramForAtMostOneWindow(t *testing.T) {
	l := lenderOf(1, tenant.Limit{PerSecond: 40, Burst: 20})
	lendFirst := func(at time.Duration, usage Usage) Loan {
		loan, _ := l.Lend(start.Add(at), Borrow{Tenant: "t0", Waiting: 1, Part: PartFirst, Told: usage})
		return loan
	}
	require.False(t, lendFirst(60*second, Usage{}).Held)
	held := lendFirst(61*second, Usage{Later: 100_000})
	require.True(t, held.Held)
	require.Equal(t, 4*second, held.Wait)
	require.Equal(t, Forecast{Credit: 240, Begun: 1, PerProgram: 241}, held.Forecast)
	require.Equal(t, 1, lendFirst(65*second, Usage{}).Waiting)
}

// Later requests are served as long as there is any credit.
func TestLaterRequestsAreNeverHeld(t *testing.T) {
	l := lenderOf(1, tenant.Limit{PerSecond: 2, Burst: 0})
	for range 21 { // (2 x 5) x 1.05 + 10, rounded down, plus one
		loan, _ := l.Lend(start.Add(60*second), Borrow{Tenant: "t0", Waiting: 1, Part: PartLater})
		require.False(t, loan.Held)
	}
}

func TestUsageIsReportedToTheHomeLenderOnce(t *testing.T) {
	b := NewBorrower()
	lenders := []string{"a", "b", "c"}
	home := HomeLender("t", lenders)
	for range 3 {
		b.Served(start, "t", PartLater)
	}
	b.Rejected(start, "t")
	require.Equal(t, NextStep{Lender: home, Request: Borrow{Tenant: "t", Waiting: 1, Part: PartFirst, Told: Usage{Later: 3, Short: 1}}},
		b.NextForPart(start, "t", lenders, PartFirst, false))
	step := b.NextForPart(start, "t", lenders, PartLater, false)
	require.Equal(t, NextStep{Lender: home, Request: Borrow{Tenant: "t", Waiting: 1, Part: PartLater}}, step)
	b.Lent(start, start, home, step.Request, Loan{Waiting: 1, Life: second})
	require.True(t, b.Consume(start, "t"))
	b.Served(start, "t", PartLater) // already known to the home lender, which lent the allowance
	require.Equal(t, Usage{}, b.NextForPart(start, "t", lenders, PartFirst, false).Request.Told)
	b.TimedOut(start, home)
	require.NotEqual(t, home, b.NextForPart(start, "t", lenders, PartFirst, false).Lender)
}

// Most lenders were not answering and now answer that they have no credit: a request must not keep
// asking them.
func TestLenderThatAnswersAgainIsNotAskedRepeatedly(t *testing.T) {
	b := NewBorrower()
	lenders := []string{"a", "b"}
	for _, name := range lenders {
		b.TimedOut(start, name)
	}
	for range lenders {
		step := b.Next(start, "t", lenders)
		require.NotEmpty(t, step.Lender)
		b.Lent(start, start, step.Lender, step.Request, Loan{Wait: second})
	}
	require.Equal(t, NextStep{Exhausted: 2, Wait: second}, b.Next(start, "t", lenders))
}
