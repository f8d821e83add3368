package quota

import (
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/tenant"
)

// Lender lends one voter's share of the limits of its cell's tenants. It counts what it lent
// in a sliding window, until nothing of it can have been used within the window any more. It
// is a pure state machine and not safe for concurrent use.
type Lender struct {
	policy  Policy
	tenants *tenant.Index
	counts  map[string]*count
	// programs are the accounts of the tenants whose home lender this is, learned what the
	// programs of all of them taught.
	programs map[string]*account
	learned  ratio
	// adopted is this voter's share of each limit by the newest set of voters. Until raiseAt
	// it lends no more than by any of its shares earlier.
	adopted share
	earlier []share
	raiseAt time.Time
	// votesSince is when this became a voter; remembers says that all that it lent as one
	// is counted here.
	votesSince time.Time
	remembers  bool
}

// count is what was lent of a tenant's limit.
type count struct {
	lent []lending
	// unsynced is how much of it would be forgotten in a loss of power now.
	unsynced int
}

// lending is a number of allowances that count until a time. first is the end of the first of
// them by itself.
type lending struct {
	count        int
	first, until time.Time
}

const (
	// countStep is how exactly the end of a count is kept: lendings whose ends lie within one
	// step of the first one's count until the last one's end, which bounds their number.
	countStep = 100 * time.Millisecond
	// aheadShare is the part of the credit that may be lent ahead at once: what one gateway
	// does not use, others miss until it counts no more. Returning it was weighed: a message
	// that comes twice would return it twice.
	aheadShare = 8
	// unsyncedShare is the part of the slack that may be forgotten in a loss of power.
	unsyncedShare = 4
)

// NewLender returns a lender without a share.
func NewLender(policy Policy) *Lender {
	return &Lender{policy: policy, counts: map[string]*count{}, programs: map[string]*account{}}
}

// SetTenants replaces the tenants and their limits. nil knows of none.
func (l *Lender) SetTenants(tenants *tenant.Index) { l.tenants = tenants }

// Resume makes a voter that was restarted go on with what its disk says that it lent. All of
// that may have been lent just now and not be used yet.
func (l *Lender) Resume(now time.Time, index, voters int, lent map[string]int) {
	l.SetVoters(now, index, voters)
	l.remembers = true
	// The set may have lost a voter a moment before: a larger share holds a window later.
	l.earlier, l.raiseAt = []share{{index: index, voters: voters + 1}}, now.Add(l.policy.Window)
	for name, allowances := range lent {
		l.countOf(name).add(allowances, now.Add(aheadLife+l.policy.Window))
	}
}

// share is one voter's part of each limit: the one at index of so many voters. The zero value
// is no part.
type share struct{ index, voters int }

// of returns how many of so many requests are this voter's. All voters together have exactly
// as many, and none differs from another one by more than one: rounding each part down would
// leave half a request a voter unlent, a twelfth of a small limit with ten voters.
func (s share) of(requests float64) int {
	if s.voters == 0 {
		return 0
	}
	total := int(requests)
	return total*(s.index+1)/s.voters - total*s.index/s.voters
}

// SetVoters says which of the cell's voters this is, in an order that all of them know; a
// negative index is none of them. A smaller share holds at once, a larger one a window later:
// by then the voters that were left out have heard of it or are gone.
func (l *Lender) SetVoters(now time.Time, index, voters int) {
	adopted := share{}
	if index >= 0 {
		adopted = share{index: index, voters: voters}
	}
	if adopted == l.adopted {
		return
	}
	if l.adopted == (share{}) {
		l.votesSince, l.remembers = now, false
	} else {
		l.settleShare(now)
		l.earlier, l.raiseAt = append(l.earlier, l.adopted), now.Add(l.policy.Window)
	}
	l.adopted = adopted
}

// settleShare lets the adopted share hold alone once its time has come.
func (l *Lender) settleShare(now time.Time) {
	if !now.Before(l.raiseAt) {
		l.earlier = nil
	}
}

// Lend answers a gateway. sync says that the answer must wait until the lending is on the
// disk.
func (l *Lender) Lend(now time.Time, asked Borrow) (lent Loan, sync bool) {
	listed := l.tenants.ByName(asked.Tenant)
	l.settleShare(now)
	switch {
	case listed == nil || l.adopted.voters == 0:
		return Loan{Unable: true}, false
	case !listed.Limit.Limited():
		return Loan{Unlimited: true}, false
	}
	if held, isHeld := l.holdBack(now, asked, listed.Limit); isHeld {
		return held, false
	}
	known := l.countOf(asked.Tenant)
	credit := l.credit(now, listed.Limit, known)
	lent = Loan{Life: l.policy.life(), AheadLife: aheadLife}
	lent.Waiting = max(0, min(asked.Waiting, credit))
	if l.mayLendAhead(asked, listed.Limit, credit) {
		lent.Ahead = max(0, min(asked.Ahead, (credit-lent.Waiting)/aheadShare))
	}
	known.add(lent.Waiting, now.Add(lent.Life+l.policy.Window))
	known.add(lent.Ahead, now.Add(lent.AheadLife+l.policy.Window))
	l.noteLent(now, asked, lent)
	if lent.Waiting == 0 {
		lent.Wait = l.nextCredit(now, known)
	}
	most := l.policy.Slack / unsyncedShare / float64(l.adopted.voters)
	return lent, lent.Waiting+lent.Ahead > 0 && float64(known.unsynced) > most
}

// Synced says that so many allowances lent of a tenant's limit are on the disk.
func (l *Lender) Synced(name string, allowances int) {
	if known := l.counts[name]; known != nil {
		known.unsynced = max(0, known.unsynced-allowances)
	}
}

// Outstanding returns what counts at present, for a log that is written anew.
func (l *Lender) Outstanding(now time.Time) map[string]int {
	counted := map[string]int{}
	for name, known := range l.counts {
		if sum := known.sum(now); sum > 0 {
			counted[name] = sum
		} else if known.unsynced == 0 {
			delete(l.counts, name)
		}
	}
	return counted
}

func (l *Lender) countOf(name string) *count {
	known := l.counts[name]
	if known == nil {
		known = &count{}
		l.counts[name] = known
	}
	return known
}

// most is what may count at once of a limit here: this voter's share of what is lendable.
func (l *Lender) most(limit tenant.Limit) int {
	requests := l.policy.lendable(limit)
	most := l.adopted.of(requests)
	for _, earlier := range l.earlier {
		most = min(most, earlier.of(requests))
	}
	return most
}

// credit returns how many allowances may be lent now.
func (l *Lender) credit(now time.Time, limit tenant.Limit, known *count) int {
	most := l.most(limit) * int(l.remembered(now)) / int(l.policy.Window)
	return most - known.sum(now)
}

// remembered returns the part of a window of which all lendings are known here: earlier voters,
// or an earlier disk of this one, may have lent all that was allowed before.
func (l *Lender) remembered(now time.Time) time.Duration {
	if l.remembers {
		return l.policy.Window
	}
	return max(0, min(l.policy.Window, now.Sub(l.votesSince)))
}

// nextCredit returns how long it takes until some of what was lent no longer counts.
func (l *Lender) nextCredit(now time.Time, known *count) time.Duration {
	wait := l.policy.Window
	for _, lent := range known.lent {
		wait = min(wait, lent.until.Sub(now))
	}
	if l.remembered(now) < l.policy.Window {
		wait = min(wait, countStep)
	}
	return max(wait, time.Millisecond)
}

// add counts allowances until a time.
func (c *count) add(allowances int, until time.Time) {
	if allowances == 0 {
		return
	}
	c.unsynced += allowances
	for i := range c.lent {
		known := &c.lent[i]
		if after := until.Sub(known.first); after >= 0 && after < countStep {
			known.count += allowances
			if until.After(known.until) {
				known.until = until
			}
			return
		}
	}
	c.lent = append(c.lent, lending{count: allowances, first: until, until: until})
}

// sum returns what counts now.
func (c *count) sum(now time.Time) int {
	c.lent = slices.DeleteFunc(c.lent, func(lent lending) bool { return !now.Before(lent.until) })
	sum := 0
	for _, lent := range c.lent {
		sum += lent.count
	}
	return sum
}
