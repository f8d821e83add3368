package quota

import (
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/tenant"
)

// Lender lends one voter's share of the limits of its cell's tenants. It counts what it lent in a
// sliding window until none of it can have been used within the window any more. It does no I/O and
// is not safe for concurrent use.
type Lender struct {
	policy  Policy
	tenants *tenant.Index
	counts  map[string]*windowCount
	// accounts holds the accounts of the tenants whose home lender this is. allPrograms is learned
	// from the programs of all of them.
	accounts    map[string]*account
	allPrograms ratio
	// share is this voter's share of each limit under the newest set of voters. Until raiseAt,
	// lending is also limited by all previousShares.
	share          share
	previousShares []share
	raiseAt        time.Time
	// voterSince is when this process became a voter. historyComplete is set if everything it lent
	// as a voter is counted here.
	voterSince      time.Time
	historyComplete bool
}

// windowCount counts the allowances of one tenant that are within the window.
type windowCount struct {
	entries []windowEntry
	// unsynced is how many of them a power failure would lose now.
	unsynced int
}

// windowEntry is a number of allowances that count until expiry. firstExpiry is the expiry of the
// first of them.
type windowEntry struct {
	count               int
	firstExpiry, expiry time.Time
}

const (
	// countStep is the resolution of expiries: allowances that expire within one step of the first
	// one of an entry are merged into it and count until the last one's expiry. This bounds the
	// number of entries.
	countStep = 100 * time.Millisecond
	// aheadDivisor limits what is lent in advance at once to this part of the credit: what one
	// gateway does not use is unavailable to others until it expires. Allowances are not returned,
	// because a duplicated message would return them twice.
	aheadDivisor = 8
	// unsyncedDivisor limits what a power failure may lose to this part of the slack.
	unsyncedDivisor = 4
)

// NewLender returns a lender without a share.
func NewLender(policy Policy) *Lender {
	return &Lender{policy: policy, counts: map[string]*windowCount{}, accounts: map[string]*account{}}
}

// SetTenants replaces the tenants and their limits; nil means that none are known.
func (l *Lender) SetTenants(tenants *tenant.Index) { l.tenants = tenants }

// Resume restores a restarted voter from the lendings in its log. All of them may have been lent
// just before the restart and not be used yet.
func (l *Lender) Resume(now time.Time, index, voters int, lent map[string]int) {
	l.SetVoters(now, index, voters)
	l.historyComplete = true
	// The set may have lost a voter just before the restart: a larger share takes effect after a
	// window.
	l.previousShares, l.raiseAt = []share{{index: index, voters: voters + 1}}, now.Add(l.policy.Window)
	for name, allowances := range lent {
		l.countOf(name).add(allowances, now.Add(aheadLife+l.policy.Window))
	}
}

// share is one voter's part of each limit, given its index and the number of voters. The zero value
// is no part.
type share struct{ index, voters int }

// portion returns this voter's portion of a number of requests. The portions of all voters add up
// to the whole and differ by at most one. Rounding each portion down would leave half a request per
// voter unlent, a twelfth of a small limit with ten voters.
func (s share) portion(requests float64) int {
	if s.voters == 0 {
		return 0
	}
	total := int(requests)
	return total*(s.index+1)/s.voters - total*s.index/s.voters
}

// SetVoters sets the index of this voter, in an order common to all voters, and the number of
// voters in the cell; a negative index means that it is not a voter. A smaller share takes effect
// at once, a larger one after a window: by then, voters that were removed have learned of it or
// have failed.
func (l *Lender) SetVoters(now time.Time, index, voters int) {
	updated := share{}
	if index >= 0 {
		updated = share{index: index, voters: voters}
	}
	if updated == l.share {
		return
	}
	if l.share == (share{}) {
		l.voterSince, l.historyComplete = now, false
	} else {
		l.dropPreviousShares(now)
		l.previousShares, l.raiseAt = append(l.previousShares, l.share), now.Add(l.policy.Window)
	}
	l.share = updated
}

// SetFoundingVoters is like SetVoters for the voters that founded the cell. None lent before them, so
// they lend their whole shares at once.
func (l *Lender) SetFoundingVoters(now time.Time, index, voters int) {
	joined := l.share == share{}
	l.SetVoters(now, index, voters)
	l.historyComplete = l.historyComplete || joined
}

// dropPreviousShares lifts the bound of previous shares once raiseAt has passed.
func (l *Lender) dropPreviousShares(now time.Time) {
	if !now.Before(l.raiseAt) {
		l.previousShares = nil
	}
}

// Lend answers the request of a gateway. sync is set if the answer must wait until the lending is
// on disk.
func (l *Lender) Lend(now time.Time, request Borrow) (loan Loan, sync bool) {
	configured := l.tenants.ByName(request.Tenant)
	l.dropPreviousShares(now)
	switch {
	case configured == nil || l.share.voters == 0:
		return Loan{Unable: true}, false
	case !configured.Limit.Limited():
		return Loan{Unlimited: true}, false
	}
	if held, isHeld := l.holdNewProgram(now, request, configured.Limit); isHeld {
		return held, false
	}
	count := l.countOf(request.Tenant)
	credit := l.credit(now, configured.Limit, count)
	loan = Loan{Life: l.policy.life(), AheadLife: aheadLife}
	loan.Waiting = max(0, min(request.Waiting, credit))
	if l.mayLendAhead(request, configured.Limit, credit) {
		loan.Ahead = max(0, min(request.Ahead, (credit-loan.Waiting)/aheadDivisor))
	}
	count.add(loan.Waiting, now.Add(loan.Life+l.policy.Window))
	count.add(loan.Ahead, now.Add(loan.AheadLife+l.policy.Window))
	l.recordLoan(now, request, loan)
	if loan.Waiting == 0 {
		loan.Wait = l.nextCredit(now, count)
	}
	maxUnsynced := l.policy.Slack / unsyncedDivisor / float64(l.share.voters)
	return loan, loan.Waiting+loan.Ahead > 0 && float64(count.unsynced) > maxUnsynced
}

// Postpone records that a loan of the given time was held back, and sent with a longer life. It counts for that
// much longer.
func (l *Lender) Postpone(lentAt time.Time, name string, lent, sent Loan) {
	l.countOf(name).postpone(lent.Waiting, lentAt.Add(lent.Life+l.policy.Window), sent.Life-lent.Life)
}

// Synced records that the given number of allowances lent to a tenant is on disk.
func (l *Lender) Synced(name string, allowances int) {
	if count := l.counts[name]; count != nil {
		count.unsynced = max(0, count.unsynced-allowances)
	}
}

// Outstanding returns the allowances that count now, by tenant, for a compacted log.
func (l *Lender) Outstanding(now time.Time) map[string]int {
	outstanding := map[string]int{}
	for name, count := range l.counts {
		if sum := count.sum(now); sum > 0 {
			outstanding[name] = sum
		} else if count.unsynced == 0 {
			delete(l.counts, name)
		}
	}
	return outstanding
}

func (l *Lender) countOf(name string) *windowCount {
	count := l.counts[name]
	if count == nil {
		count = &windowCount{}
		l.counts[name] = count
	}
	return count
}

// maxOutstanding returns how many allowances of a limit may count at once at this voter.
func (l *Lender) maxOutstanding(limit tenant.Limit) int {
	lendable := l.policy.lendable(limit)
	maximum := l.share.portion(lendable)
	for _, previous := range l.previousShares {
		maximum = min(maximum, previous.portion(lendable))
	}
	return maximum
}

// credit returns how many allowances may be lent now.
func (l *Lender) credit(now time.Time, limit tenant.Limit, count *windowCount) int {
	maximum := l.maxOutstanding(limit) * int(l.knownHistory(now)) / int(l.policy.Window)
	return maximum - count.sum(now)
}

// knownHistory returns the part of the last window of which all lendings are known here. Earlier
// voters, or an earlier disk of this one, may have lent everything allowed before.
func (l *Lender) knownHistory(now time.Time) time.Duration {
	if l.historyComplete {
		return l.policy.Window
	}
	return max(0, min(l.policy.Window, now.Sub(l.voterSince)))
}

// nextCredit returns the time until some allowances no longer count.
func (l *Lender) nextCredit(now time.Time, count *windowCount) time.Duration {
	wait := l.policy.Window
	for _, entry := range count.entries {
		wait = min(wait, entry.expiry.Sub(now))
	}
	if l.knownHistory(now) < l.policy.Window {
		wait = min(wait, countStep)
	}
	return max(wait, time.Millisecond)
}

// add counts allowances until the given time.
func (c *windowCount) add(allowances int, until time.Time) {
	if allowances == 0 {
		return
	}
	c.unsynced += allowances
	c.insert(allowances, until)
}

// insert adds allowances to the entry that covers the given expiry.
func (c *windowCount) insert(allowances int, until time.Time) {
	entry := c.entryOf(until)
	if entry == nil {
		c.entries = append(c.entries, windowEntry{count: allowances, firstExpiry: until, expiry: until})
		return
	}
	entry.count += allowances
	if until.After(entry.expiry) {
		entry.expiry = until
	}
}

// entryOf returns the entry that covers an expiry, nil if there is none.
func (c *windowCount) entryOf(until time.Time) *windowEntry {
	for i := range c.entries {
		if offset := until.Sub(c.entries[i].firstExpiry); offset >= 0 && offset < countStep {
			return &c.entries[i]
		}
	}
	return nil
}

// postpone moves the expiry of allowances, which may have passed.
func (c *windowCount) postpone(allowances int, until time.Time, delay time.Duration) {
	if allowances == 0 {
		return
	}
	if entry := c.entryOf(until); entry != nil {
		entry.count -= allowances
	}
	c.entries = slices.DeleteFunc(c.entries, func(entry windowEntry) bool { return entry.count == 0 })
	c.insert(allowances, until.Add(delay))
}

// sum drops expired entries and returns the number of allowances that count.
func (c *windowCount) sum(now time.Time) int {
	c.entries = slices.DeleteFunc(c.entries, func(entry windowEntry) bool { return !now.Before(entry.expiry) })
	sum := 0
	for _, entry := range c.entries {
		sum += entry.count
	}
	return sum
}
