package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// demandSpan is over which time a gateway averages how many requests of a tenant come.
	demandSpan = 2 * time.Second
	// restLimit is how long a tenant is remembered that sends nothing.
	restLimit = 30 * time.Second
	// unansweredPause is how long a lender that did not answer is asked last: long beside
	// the wait for an answer, short beside the time in which a machine is replaced.
	unansweredPause = time.Second
)

// Borrower keeps a gateway's allowances. It is a pure state machine and not safe for
// concurrent use.
type Borrower struct {
	tenants map[string]*holdings
	// tidied is when tenants that rest were last dropped.
	tidied time.Time
	// unansweredUntil is until when a lender that did not answer is asked last.
	unansweredUntil map[string]time.Time
}

// holdings are a tenant's allowances at this gateway.
type holdings struct {
	held []allowance
	// emptyUntil is when a lender that had nothing left has an allowance again.
	emptyUntil map[string]time.Time
	// demand counts the requests of late, which lose their weight over demandSpan.
	demand   float64
	demandAt time.Time
	// home is the tenant's home lender, untold what it does not know of. That is below zero for
	// requests that it lent to and that have not gone on yet.
	home   string
	untold Usage
}

// allowance is a number of requests that may go on.
type allowance struct {
	count   int
	expires time.Time
}

// NewBorrower returns a borrower without allowances.
func NewBorrower() *Borrower {
	return &Borrower{tenants: map[string]*holdings{}, unansweredUntil: map[string]time.Time{}}
}

func (b *Borrower) of(now time.Time, tenant string) *holdings {
	b.tidy(now)
	known := b.tenants[tenant]
	if known == nil {
		known = &holdings{emptyUntil: map[string]time.Time{}, demandAt: now}
		b.tenants[tenant] = known
	}
	return known
}

// tidy drops tenants that send nothing.
func (b *Borrower) tidy(now time.Time) {
	if now.Sub(b.tidied) < restLimit {
		return
	}
	b.tidied = now
	maps.DeleteFunc(b.unansweredUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	for name, known := range b.tenants {
		if now.Sub(known.demandAt) >= restLimit {
			delete(b.tenants, name)
		}
	}
}

// Arrived counts a request of the tenant.
func (b *Borrower) Arrived(now time.Time, tenant string) {
	known := b.of(now, tenant)
	known.demand = known.present(now) + 1
	known.demandAt = now
}

// present returns the count of requests of late.
func (h *holdings) present(now time.Time) float64 {
	return h.demand * math.Exp(-now.Sub(h.demandAt).Seconds()/demandSpan.Seconds())
}

// Consume uses an allowance of the tenant, and reports false if there is none.
func (b *Borrower) Consume(now time.Time, tenant string) bool {
	known := b.of(now, tenant)
	known.expire(now)
	if len(known.held) == 0 {
		return false
	}
	first := &known.held[0]
	first.count--
	if first.count == 0 {
		known.held = known.held[1:]
	}
	return true
}

// expire drops what is no longer good. The holder may not use it even if nobody else does:
// its lender counts on that.
func (h *holdings) expire(now time.Time) {
	h.held = slices.DeleteFunc(h.held, func(held allowance) bool { return !now.Before(held.expires) })
}

// NextStep is what a request without an allowance does.
type NextStep struct {
	// Lender is to be asked for Asked; "" if nobody is.
	Lender  string
	Request Borrow
	// Exhausted is how many lenders said that they have no allowance, Wait when the first of
	// these has one again.
	Exhausted int
	Wait      time.Duration
}

// Next returns the first of the lenders that may have an allowance, and what to ask it for
// on behalf of one request. A lender that did not answer of late comes last, and is passed
// over where most lenders have said that they have none.
func (b *Borrower) Next(now time.Time, tenant string, lenders []string) NextStep {
	known := b.of(now, tenant)
	ask := func(name string) NextStep {
		return NextStep{Lender: name, Request: Borrow{Tenant: tenant, Waiting: 1, Ahead: known.expected(now)}}
	}
	var step NextStep
	unanswered := ""
	for _, name := range lenders {
		empty := known.emptyUntil[name].Sub(now)
		switch {
		case now.Before(b.unansweredUntil[name]):
			unanswered = name
			continue
		case empty <= 0:
			return ask(name)
		case step.Exhausted == 0 || empty < step.Wait:
			step.Wait = empty
		}
		step.Exhausted++
	}
	if unanswered != "" && 2*step.Exhausted <= len(lenders) {
		return ask(unanswered)
	}
	return step
}

// TimedOut notes that a lender did not answer in time: each request beyond the others'
// credit would wait for it again.
func (b *Borrower) TimedOut(now time.Time, lender string) {
	b.unansweredUntil[lender] = now.Add(unansweredPause)
}

// expected returns how many requests will come while an allowance lent ahead is good,
// besides the one that asks.
func (h *holdings) expected(now time.Time) int {
	return max(0, int(h.present(now)*aheadLife.Seconds()/demandSpan.Seconds())-1)
}

// Lent adds a loan. sentAt is when it was asked for: its life counts from then on, for it may
// have been lent at that moment.
func (b *Borrower) Lent(now, sentAt time.Time, lender string, asked Borrow, lent Loan) {
	known := b.of(now, asked.Tenant)
	// It answers again: while it is taken for silent, what it says of its credit does not count,
	// and requests beyond the limit would ask it again and again.
	delete(b.unansweredUntil, lender)
	if lent.Wait > 0 && !lent.Held {
		known.emptyUntil[lender] = now.Add(lent.Wait)
	}
	if lender == known.home {
		known.untold.add(asked.Part, -lent.Waiting)
	} else {
		known.untold.Lent += lent.Waiting + lent.Ahead
	}
	if lent.Waiting > 0 {
		known.held = append(known.held, allowance{count: lent.Waiting, expires: sentAt.Add(lent.Life)})
	}
	if lent.Ahead > 0 {
		known.held = append(known.held, allowance{count: lent.Ahead, expires: sentAt.Add(lent.AheadLife)})
	}
}
