// Package quota holds a fleet to the limits of its tenants. Each voter of a tenant's cell
// lends a fixed share of the tenant's limit: its Lender is a token bucket for each tenant,
// with an equal part of rate and burst. A gateway's Borrower asks lenders for allowances,
// one for each request, and some ahead where many requests come. No lender needs to know of
// the others, so cuts, restarts and losses make the fleet lend less, never more.
//
// What a fleet lends in any span W is at most rate x W + burst + slack/2 by the buckets.
// What is used in the span was lent in it, or is one of the allowances lent before it that
// were still good: those for requests that wait are good for overage x W / 2 only, and those
// lent ahead are bounded to overage/2 of the limit in W. So at most
// (rate x W + burst) x (1 + overage) + slack/2 requests go on; the other half of the slack is
// kept for lenders that were restarted and for changes of the cell.
//
// Both types are pure state machines: time comes in with each call.
package quota

import (
	"time"

	"swiftbank.dev/swiftbank/internal/tenant"
)

// Policy is how exactly limits must hold.
type Policy struct {
	// Window is the span in which requests are counted.
	Window time.Duration
	// Overage is the share by which a span's count may exceed its limit, Slack a number of
	// requests on top of that.
	Overage float64
	Slack   float64
}

// DefaultPolicy holds where the settings name none.
var DefaultPolicy = Policy{Window: 5 * time.Second, Overage: 0.1}

const (
	// leastLife is how long an allowance is good at least: an answer of a lender in another
	// zone takes a few milliseconds, one by way of another gateway some tens.
	leastLife = 100 * time.Millisecond
	// aheadLife is how long an allowance is good that was lent ahead.
	aheadLife = time.Second
)

// inWindow returns what the limit allows in one window.
func (p Policy) inWindow(limit tenant.Limit) float64 {
	return limit.PerSecond*p.Window.Seconds() + limit.Burst
}

// life is how long an allowance is good that was lent to a request that waits.
func (p Policy) life() time.Duration {
	return max(leastLife, time.Duration(p.Overage/2*float64(p.Window)))
}

// Borrow asks a lender for allowances.
type Borrow struct {
	Tenant string
	// Waiting is how many requests wait for an allowance, Ahead how many more are expected
	// soon.
	Waiting int
	Ahead   int
	// Returned is how many allowances that this lender lent ahead were not used in time.
	Returned int
}

// Loan answers a Borrow.
type Loan struct {
	// Waiting and Ahead are the allowances lent, Life and AheadLife how long they are good
	// from the moment at which the Borrow was sent.
	Waiting, Ahead  int
	Life, AheadLife time.Duration
	// Wait is when there will be an allowance again; zero if one was lent.
	Wait time.Duration
	// Unlimited says that the tenant has no limit as far as the lender knows.
	Unlimited bool
	// Unable says that the lender cannot tell: it does not know the tenant, or has no share.
	Unable bool
}
