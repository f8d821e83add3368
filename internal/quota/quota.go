// Package quota enforces the rate limits of tenants across a fleet: in any window of W seconds, at
// most rate x W + burst requests of a tenant proceed, plus the overage and the slack that the
// operator configures. Each voter of a tenant's cell lends a fixed share of the limit: its Lender
// counts what it lent in a sliding window. A gateway's Borrower borrows allowances from lenders,
// one for each request, and some in advance while demand is high. Lenders need no knowledge of each
// other, so partitions and lost messages make the fleet lend less, never more.
//
// An allowance is valid for a short life, and counts from the time it is lent until one window
// after the end of that life. Everything used within a window therefore still counts at the end of
// the window, and what counts is bounded by the limit plus half the overage and half the slack. A
// quarter of the slack covers what lenders may lose in a power failure; the rest is kept for
// membership changes of the cell.
//
// Borrower and Lender do no I/O and read no clock: the time is passed to each call.
package quota

import (
	"time"

	"swiftbank.dev/swiftbank/internal/tenant"
)

// Policy sets how strictly limits are enforced.
type Policy struct {
	// Window is the length of the sliding window in which requests are counted.
	Window time.Duration
	// Overage is the fraction by which the count in a window may exceed the limit, Slack a number
	// of requests on top of that.
	Overage float64
	Slack   float64
}

// DefaultPolicy applies if the settings configure none.
var DefaultPolicy = Policy{Window: 5 * time.Second, Overage: 0.1}

const (
	// minLife is the minimum life of an allowance: an answer of a lender in another zone takes a
	// few milliseconds, one relayed by another gateway some tens.
	minLife = 100 * time.Millisecond
	// aheadLife is the life of an allowance lent in advance.
	aheadLife = time.Second
)

// windowLimit returns how many requests the limit allows in one window.
func (p Policy) windowLimit(limit tenant.Limit) float64 {
	return limit.PerSecond*p.Window.Seconds() + limit.Burst
}

// lendable returns how many allowances of a limit all voters together may have outstanding: the
// limit plus half the overage and half the slack, and at least one, because otherwise the smallest
// limits could not be lent at all.
func (p Policy) lendable(limit tenant.Limit) float64 {
	return max(1, p.windowLimit(limit)*(1+p.Overage/2)+p.Slack/2)
}

// life returns the life of an allowance lent to a waiting request.
func (p Policy) life() time.Duration {
	return max(minLife, time.Duration(p.Overage/2*float64(p.Window)))
}

// Borrow is a request to a lender for allowances.
type Borrow struct {
	Tenant string
	// Waiting is how many requests wait for an allowance, Ahead how many more are expected soon.
	Waiting int
	Ahead   int
	// Part is the part of a program that the waiting request is, Told the usage at this gateway
	// since it last asked the tenant's home lender. Both are set only in requests to the home
	// lender.
	Part Part
	Told Usage
}

// Loan is the answer to a Borrow.
type Loan struct {
	// Waiting and Ahead are the numbers of allowances lent, Life and AheadLife how long they are
	// valid, counted from the time the Borrow was sent.
	Waiting, Ahead  int
	Life, AheadLife time.Duration
	// Wait is the time until an allowance is available again; 0 if one was lent.
	Wait time.Duration
	// Unlimited is set if the tenant has no limit as far as the lender knows.
	Unlimited bool
	// Unable is set if the lender cannot decide: it does not know the tenant, or has no share.
	Unable bool
	// Held is set if a new program is refused because credit is reserved for active ones. Wait is
	// then the time until there is credit for a whole program, and Forecast holds the figures of
	// the decision. Lenders of versions without this field never set it.
	Held     bool
	Forecast Forecast
}

// HeldBack returns the loan as it is sent after it was held back until it was on disk. Its life begins then, and
// ends at the latest with that of allowances lent in advance, which a restarted lender accounts for.
func (l Loan) HeldBack(delay time.Duration) Loan {
	l.Life = max(l.Life, min(l.Life+delay, l.AheadLife))
	return l
}
