package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time constant of the average demand of a tenant.
	demandTime = 2 * time.Second
	// idleTimeout is how long a tenant without requests is kept.
	idleTimeout = 30 * time.Second
	// unansweredPenalty is how long a lender that did not answer is tried last: long compared to
	// the timeout for an answer, short compared to the time in which a machine is replaced.
	unansweredPenalty = time.Second
)

// Borrower holds the allowances of a gateway. It does no I/O and is not safe for concurrent use.
type Borrower struct {
	tenants map[string]*tenantState
	// cleanedAt is when idle tenants were last dropped.
	cleanedAt time.Time
	// unansweredUntil is the time until which a lender that did not answer is tried last.
	unansweredUntil map[string]time.Time
}

// tenantState holds the allowances and the demand of one tenant at this gateway.
type tenantState struct {
	allowances []allowance
	// exhaustedUntil is the time at which a lender without credit has credit again.
	exhaustedUntil map[string]time.Time
	// demand is a count of requests that decays with the time constant demandTime, as of demandAt.
	demand   float64
	demandAt time.Time
	// homeLender is the home lender of the tenant, unreported the usage that it does not know of.
	// Counts are negative for requests that it lent allowances to and that have not proceeded yet.
	homeLender string
	unreported Usage
}

// allowance is a number of requests that may proceed until it expires.
type allowance struct {
	count   int
	expires time.Time
}

// NewBorrower returns a borrower without allowances.
func NewBorrower() *Borrower {
	return &Borrower{tenants: map[string]*tenantState{}, unansweredUntil: map[string]time.Time{}}
}

func (b *Borrower) state(now time.Time, tenant string) *tenantState {
	b.cleanup(now)
	state := b.tenants[tenant]
	if state == nil {
		state = &tenantState{exhaustedUntil: map[string]time.Time{}, demandAt: now}
		b.tenants[tenant] = state
	}
	return state
}

// cleanup drops idle tenants and expired penalties.
func (b *Borrower) cleanup(now time.Time) {
	if now.Sub(b.cleanedAt) < idleTimeout {
		return
	}
	b.cleanedAt = now
	maps.DeleteFunc(b.unansweredUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	for name, state := range b.tenants {
		if now.Sub(state.demandAt) >= idleTimeout {
			delete(b.tenants, name)
		}
	}
}

// Arrived records a request of the tenant.
func (b *Borrower) Arrived(now time.Time, tenant string) {
	state := b.state(now, tenant)
	state.demand = state.currentDemand(now) + 1
	state.demandAt = now
}

// currentDemand returns the demand decayed to now.
func (s *tenantState) currentDemand(now time.Time) float64 {
	return s.demand * math.Exp(-now.Sub(s.demandAt).Seconds()/demandTime.Seconds())
}

// Consume uses one allowance of the tenant. It returns false if there is none.
func (b *Borrower) Consume(now time.Time, tenant string) bool {
	state := b.state(now, tenant)
	state.expire(now)
	if len(state.allowances) == 0 {
		return false
	}
	first := &state.allowances[0]
	first.count--
	if first.count == 0 {
		state.allowances = state.allowances[1:]
	}
	return true
}

// expire drops expired allowances. A gateway must not use them even if no other gateway does: the
// lender relies on it.
func (s *tenantState) expire(now time.Time) {
	s.allowances = slices.DeleteFunc(s.allowances, func(a allowance) bool { return !now.Before(a.expires) })
}

// NextStep is the next step for a request without an allowance.
type NextStep struct {
	// Lender is the lender to send Request to; "" if no lender should be asked.
	Lender  string
	Request Borrow
	// Exhausted is how many lenders have no credit, Wait the time until the first of them has
	// credit again.
	Exhausted int
	Wait      time.Duration
}

// Next returns the first lender that may have credit, and the request to send to it on behalf of
// one waiting request. A lender that recently did not answer is tried last, and is skipped if most
// lenders have no credit.
func (b *Borrower) Next(now time.Time, tenant string, lenders []string) NextStep {
	state := b.state(now, tenant)
	borrowFrom := func(name string) NextStep {
		return NextStep{Lender: name, Request: Borrow{Tenant: tenant, Waiting: 1, Ahead: state.expectedRequests(now)}}
	}
	var step NextStep
	fallback := ""
	for _, name := range lenders {
		exhaustedFor := state.exhaustedUntil[name].Sub(now)
		switch {
		case now.Before(b.unansweredUntil[name]):
			fallback = name
			continue
		case exhaustedFor <= 0:
			return borrowFrom(name)
		case step.Exhausted == 0 || exhaustedFor < step.Wait:
			step.Wait = exhaustedFor
		}
		step.Exhausted++
	}
	if fallback != "" && 2*step.Exhausted <= len(lenders) {
		return borrowFrom(fallback)
	}
	return step
}

// TimedOut records that a lender did not answer in time. Otherwise each request beyond the credit
// of the other lenders would wait for it again.
func (b *Borrower) TimedOut(now time.Time, lender string) {
	b.unansweredUntil[lender] = now.Add(unansweredPenalty)
}

// expectedRequests returns how many requests besides the current one are expected within the life
// of an allowance lent in advance.
func (s *tenantState) expectedRequests(now time.Time) int {
	return max(0, int(s.currentDemand(now)*aheadLife.Seconds()/demandTime.Seconds())-1)
}

// Lent adds a loan. sentAt is when the request was sent: the life of the loan is counted from then,
// because it may have been lent at that moment.
func (b *Borrower) Lent(now, sentAt time.Time, lender string, request Borrow, loan Loan) {
	state := b.state(now, request.Tenant)
	// The lender answers again. While it counts as not answering, its exhaustion is ignored and
	// requests beyond the limit would ask it repeatedly.
	delete(b.unansweredUntil, lender)
	if loan.Wait > 0 && !loan.Held {
		state.exhaustedUntil[lender] = now.Add(loan.Wait)
	}
	if lender == state.homeLender {
		state.unreported.add(request.Part, -loan.Waiting)
	} else {
		state.unreported.Lent += loan.Waiting + loan.Ahead
	}
	if loan.Waiting > 0 {
		state.allowances = append(state.allowances, allowance{count: loan.Waiting, expires: sentAt.Add(loan.Life)})
	}
	if loan.Ahead > 0 {
		state.allowances = append(state.allowances, allowance{count: loan.Ahead, expires: sentAt.Add(loan.AheadLife)})
	}
}
