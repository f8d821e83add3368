// Package quota holds a fleet to the limits of its tenants: in any window of W seconds at most
// rate x W + burst requests of a tenant go on, with the overage and the slack that the
// operator grants. Each voter of a tenant's cell lends a fixed share of that: its Lender counts
// what it lent in a sliding window. A gateway's Borrower asks lenders for allowances, one for
// each request, and some ahead where many requests come. No lender needs to know of the others,
// so cuts and losses make the fleet lend less, never more.
//
// An allowance is good for a short life and counts from its lending until a window after the
// end of that life. What is used in a window therefore counts at its end, and what counts is
// bounded by the limit, half the overage and half the slack. A quarter of the slack is what
// lenders may forget in a loss of power; the rest is kept for changes of the cell.
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

// lendable returns what all voters together may lend at once of a limit: the limit, half the
// overage and half the slack, and one request at least, or the smallest limits could not be
// lent at all.
func (p Policy) lendable(limit tenant.Limit) float64 {
	return max(1, p.inWindow(limit)*(1+p.Overage/2)+p.Slack/2)
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
	// Part is which part of a program the waiting request is, and Told what went on at this
	// gateway since it last asked the tenant's home lender; both are for that lender only.
	Part Part
	Told Usage
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
	// Held says that a new program is refused because credit is set aside for begun ones; Wait
	// is then when there is credit for a whole one, and Forecast what that rests on. Lenders that
	// do not know this field never say so.
	Held     bool
	Forecast Forecast
}
