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

// programLoad is programs of one tenant that come to several gateways.
type programLoad struct {
	limit tenant.Limit
	// times is how many times the limit the programs' requests are.
	times float64
	// lengths are the kinds of programs by their number of requests; one pause lies between two.
	lengths []int
	pause   time.Duration
	// told says that gateways tell the parts of programs; lost is the share of answers that are
	// lost, deaf a lender that never answers.
	told bool
	lost float64
	deaf string
}

const (
	playSpan = 60 * time.Second
	// patience is how long a caller repeats one request before it gives up.
	patience = 2 * time.Second
)

// programRun plays a load. Each request may come to another gateway than the one before.
type programRun struct {
	programLoad
	random   *rand.Rand
	names    []string
	lenders  map[string]*Lender
	gateways []*Borrower
	waiting  moments
	// whole are programs that ended, turnedAway those that never began, cut those that ended
	// unfinished.
	whole, turnedAway, cut int
}

// moment is a request of a program that comes at a time.
type moment struct {
	at      time.Time
	number  int
	length  int
	done    int
	firstAt time.Time
}

// moments is a queue by time.
type moments []moment

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(next any)     { *m = append(*m, next.(moment)) }
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

func playPrograms(load programLoad, seed uint64) *programRun {
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
	for at := start; at.Before(start.Add(playSpan)); at = at.Add(time.Duration(run.random.ExpFloat64() / perSecond * float64(time.Second))) {
		length := load.lengths[run.random.IntN(len(load.lengths))]
		heap.Push(&run.waiting, moment{at: at, firstAt: at, length: length, number: run.waiting.Len()})
	}
	for run.waiting.Len() > 0 {
		run.step(heap.Pop(&run.waiting).(moment))
	}
	return run
}

// step is one request of a program: it goes on, is repeated, or ends the program.
func (r *programRun) step(request moment) {
	wait, granted := r.ask(request)
	switch {
	case granted:
		request.done++
		if request.done == request.length {
			r.whole++
			return
		}
		request.at = request.at.Add(time.Duration((0.5 + r.random.Float64()) * float64(r.pause)))
		request.firstAt = request.at
	case request.at.Add(wait).Sub(request.firstAt) > patience && request.done == 0:
		r.turnedAway++
		return
	case request.at.Add(wait).Sub(request.firstAt) > patience:
		r.cut++
		return
	default:
		request.at = request.at.Add(wait + time.Duration(r.random.IntN(20))*time.Millisecond)
	}
	heap.Push(&r.waiting, request)
}

// ask lets a gateway borrow for a request as Server.borrow does.
func (r *programRun) ask(request moment) (wait time.Duration, granted bool) {
	gateway, now := r.gateways[r.random.IntN(len(r.gateways))], request.at
	part := PartUnknown
	if r.told {
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
		next := gateway.NextForPart(now, "t0", r.names, part, admitted)
		if next.Lender == "" {
			if part == PartLater {
				gateway.Rejected(now, "t0")
			}
			return max(next.Wait, 20*time.Millisecond), false
		}
		lent, _ := r.lenders[next.Lender].Lend(now, next.Request)
		if next.Lender == r.deaf || r.random.Float64() < r.lost {
			gateway.TimedOut(now, next.Lender)
			continue
		}
		admitted = admitted || next.Request.Part == PartFirst
		gateway.Lent(now, now, next.Lender, next.Request, lent)
		if lent.Held {
			return lent.Wait, false
		}
		if gateway.Consume(now, "t0") {
			gateway.Served(now, "t0", part)
			return 0, true
		}
	}
}

// lost returns the programs that did not end whole.
func (r *programRun) lostPrograms() int { return r.turnedAway + r.cut }

// playBoth plays a load with parts untold and told, over several seeds.
func playBoth(load programLoad) (untold, told programRun) {
	for seed := range uint64(2) {
		load.told = false
		untold.add(playPrograms(load, seed))
		load.told = true
		told.add(playPrograms(load, seed))
	}
	return untold, told
}

func (r *programRun) add(other *programRun) {
	r.whole += other.whole
	r.turnedAway += other.turnedAway
	r.cut += other.cut
}

// The load: programs begin while their tenant's limit has no credit left for their later
// requests. Beyond the limit, at least half of the programs that were cut short are refused at
// their first request instead, and no fewer end whole than a tenth below what did; a fifth
// where a window holds fewer than four programs, for then a burst of two or three is held back.
func TestProgramsBeyondALimitEndWholeOrDoNotBegin(t *testing.T) {
	small, large := tenant.Limit{PerSecond: 8, Burst: 8}, tenant.Limit{PerSecond: 60, Burst: 60}
	for _, lengths := range [][]int{{3}, {6}, {6, 31}, {31}} {
		for _, limit := range []tenant.Limit{small, large} {
			for _, times := range []float64{1, 1.5, 2, 3} {
				t.Run(fmt.Sprint(lengths, limit.PerSecond, times), func(t *testing.T) {
					untold, told := playBoth(programLoad{limit: limit, times: times, lengths: lengths, pause: 200 * time.Millisecond})
					t.Logf("whole, turned away, cut: untold %d %d %d, told %d %d %d",
						untold.whole, untold.turnedAway, untold.cut, told.whole, told.turnedAway, told.cut)
					least := 0.9
					if limit == small && slices.Max(lengths) > 14 {
						least = 0.8
					}
					require.GreaterOrEqual(t, float64(told.whole), least*float64(untold.whole))
					if times >= 2 {
						require.LessOrEqual(t, told.cut, untold.cut/2)
					}
				})
			}
		}
	}
}

// Where all programs are of one short kind, setting credit aside costs none of them: within
// one in a hundred, which is what the order of lenders makes of them.
func TestProgramsOfOneShortKindLoseNothing(t *testing.T) {
	for _, length := range []int{1, 2, 3} {
		for _, times := range []float64{0.7, 1, 1.5, 2, 3} {
			load := programLoad{limit: tenant.Limit{PerSecond: 8, Burst: 8}, times: times, lengths: []int{length}, pause: 200 * time.Millisecond}
			untold, told := playBoth(load)
			offered := untold.whole + untold.lostPrograms()
			require.LessOrEqual(t, told.lostPrograms(), untold.lostPrograms()+offered/100, "%d requests at %v times the limit", length, times)
		}
	}
}

// A home lender that is gone, or answers that get lost, must cost no more than not to be asked.
func TestProgramsAreServedWithoutTheirHomeLender(t *testing.T) {
	load := programLoad{limit: tenant.Limit{PerSecond: 60, Burst: 60}, times: 1.5, lengths: []int{6}, pause: 200 * time.Millisecond}
	load.deaf = HomeLender("t0", []string{"r0", "r1", "r2", "r3", "r4"})
	untold, told := playBoth(load)
	require.InEpsilon(t, untold.whole, told.whole, 0.1)
	load.deaf, load.lost = "", 0.05
	untold, told = playBoth(load)
	require.GreaterOrEqual(t, float64(told.whole), 0.9*float64(untold.whole))
}

// However wrong the forecast is, a new program begins once none began for a window.
func TestAWrongForecastHoldsANewProgramBackForAWindowAtMost(t *testing.T) {
	l := lenderOf(1, tenant.Limit{PerSecond: 40, Burst: 20})
	first := func(at time.Duration, told Usage) Loan {
		lent, _ := l.Lend(start.Add(at), Borrow{Tenant: "t0", Waiting: 1, Part: PartFirst, Told: told})
		return lent
	}
	require.False(t, first(60*second, Usage{}).Held)
	held := first(61*second, Usage{Later: 100_000})
	require.True(t, held.Held)
	require.Equal(t, 4*second, held.Wait)
	require.Equal(t, Forecast{Credit: 240, Begun: 1, PerProgram: 241}, held.Forecast)
	require.Equal(t, 1, first(65*second, Usage{}).Waiting)
}

// A begun program is served as long as there is any credit.
func TestBegunProgramsAreNotHeldBack(t *testing.T) {
	l := lenderOf(1, tenant.Limit{PerSecond: 2, Burst: 0})
	for range 21 { // (2 x 5) x 1.05 + 10, rounded down, and one first
		lent, _ := l.Lend(start.Add(60*second), Borrow{Tenant: "t0", Waiting: 1, Part: PartLater})
		require.False(t, lent.Held)
	}
}

func TestAHomeLenderIsToldOnce(t *testing.T) {
	b := NewBorrower()
	lenders := []string{"a", "b", "c"}
	home := HomeLender("t", lenders)
	for range 3 {
		b.Served(start, "t", PartLater)
	}
	b.Rejected(start, "t")
	require.Equal(t, NextStep{Lender: home, Request: Borrow{Tenant: "t", Waiting: 1, Part: PartFirst, Told: Usage{Later: 3, Short: 1}}},
		b.NextForPart(start, "t", lenders, PartFirst, false))
	asked := b.NextForPart(start, "t", lenders, PartLater, false)
	require.Equal(t, NextStep{Lender: home, Request: Borrow{Tenant: "t", Waiting: 1, Part: PartLater}}, asked)
	b.Lent(start, start, home, asked.Request, Loan{Waiting: 1, Life: second})
	require.True(t, b.Consume(start, "t"))
	b.Served(start, "t", PartLater) // the home lender knows of it: it lent the allowance
	require.Equal(t, Usage{}, b.NextForPart(start, "t", lenders, PartFirst, false).Request.Told)
	b.TimedOut(start, home)
	require.NotEqual(t, home, b.NextForPart(start, "t", lenders, PartFirst, false).Lender)
}

// Most lenders were silent a moment ago and now say that they have nothing left: a request
// must not go on asking them.
func TestALenderThatAnswersAgainIsNotAskedInVain(t *testing.T) {
	b := NewBorrower()
	lenders := []string{"a", "b"}
	for _, name := range lenders {
		b.TimedOut(start, name)
	}
	for range lenders {
		asked := b.Next(start, "t", lenders)
		require.NotEmpty(t, asked.Lender)
		b.Lent(start, start, asked.Lender, asked.Request, Loan{Wait: second})
	}
	require.Equal(t, NextStep{Exhausted: 2, Wait: second}, b.Next(start, "t", lenders))
}
