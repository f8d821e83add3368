package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// demandSpan is over which time a gateway averages how many requests of a tenant come.
	demandSpan = 2 * time.Second
	// restLimit is how long a tenant is remembered that sends nothing.
	restLimit = 30 * time.Second
)

// Borrower keeps a gateway's allowances. It is a pure state machine and not safe for
// concurrent use.
type Borrower struct {
	tenants map[string]*holdings
	// tidied is when tenants that rest were last dropped.
	tidied time.Time
}

// holdings are a tenant's allowances at this gateway.
type holdings struct {
	held []allowance
	// emptyUntil is when a lender that had nothing left has an allowance again.
	emptyUntil map[string]time.Time
	// demand counts the requests of late, which lose their weight over demandSpan.
	demand   float64
	demandAt time.Time
}

// allowance is a number of requests that may go on.
type allowance struct {
	count   int
	expires time.Time
}

// NewBorrower returns a borrower without allowances.
func NewBorrower() *Borrower { return &Borrower{tenants: map[string]*holdings{}} }

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

// Take uses an allowance of the tenant, and reports false if there is none.
func (b *Borrower) Take(now time.Time, tenant string) bool {
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

// Next returns the first of the lenders that may have an allowance, and what to ask it for
// on behalf of one request. It reports false if all said that they have none; wait is then
// when the first of them has one again.
func (b *Borrower) Next(now time.Time, tenant string, lenders []string) (lender string, asked Borrow, wait time.Duration, found bool) {
	known := b.of(now, tenant)
	for _, name := range lenders {
		empty := known.emptyUntil[name].Sub(now)
		if empty <= 0 {
			return name, Borrow{Tenant: tenant, Waiting: 1, Ahead: known.expected(now)}, 0, true
		}
		if wait == 0 || empty < wait {
			wait = empty
		}
	}
	return "", Borrow{}, wait, false
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
	if lent.Wait > 0 {
		known.emptyUntil[lender] = now.Add(lent.Wait)
	}
	if lent.Waiting > 0 {
		known.held = append(known.held, allowance{count: lent.Waiting, expires: sentAt.Add(lent.Life)})
	}
	if lent.Ahead > 0 {
		known.held = append(known.held, allowance{count: lent.Ahead, expires: sentAt.Add(lent.AheadLife)})
	}
}
