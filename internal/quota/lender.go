package quota

import (
	"math"
	"time"

	"swiftbank.dev/swiftbank/internal/tenant"
)

// Lender lends one voter's share of the limits of its cell's tenants. It is a pure state
// machine and not safe for concurrent use.
type Lender struct {
	policy  Policy
	tenants *tenant.Index
	buckets map[string]*bucket
	// share is the part of each limit that is lent here. A larger one that was adopted
	// counts from raiseAt on.
	share   float64
	adopted float64
	raiseAt time.Time
	// votesSince is when this became a voter, as far as this process knows.
	votesSince time.Time
}

// bucket is a tenant's tokens.
type bucket struct {
	tokens float64
	at     time.Time
	ahead  []loan
}

// loan is what was lent ahead and may still be used.
type loan struct {
	count   int
	expires time.Time
}

// NewLender returns a lender without a share.
func NewLender(policy Policy) *Lender {
	return &Lender{policy: policy, buckets: map[string]*bucket{}}
}

// SetTenants replaces the tenants and their limits. nil knows of none.
func (l *Lender) SetTenants(tenants *tenant.Index) {
	l.tenants = tenants
	for name := range l.buckets {
		if listed := tenants.Named(name); listed == nil || !listed.Limit.Limited() {
			delete(l.buckets, name)
		}
	}
}

// SetVoters says how many voters the cell has and whether this is one of them. A smaller
// share holds at once, a larger one a window later: by then the voters that were left out
// have heard of it or are gone.
func (l *Lender) SetVoters(now time.Time, voters int, isVoter bool) {
	adopted := 0.0
	if isVoter && voters > 0 {
		adopted = 1 / float64(voters)
	}
	if adopted == l.adopted {
		return
	}
	l.adopted = adopted
	switch {
	case l.share == 0: // a voter that was none begins with empty buckets
		l.share = adopted
		l.votesSince = now
		clear(l.buckets)
	case adopted < l.share:
		l.share = adopted
	default:
		l.raiseAt = now.Add(l.policy.Window)
	}
}

// presentShare returns the part of each limit that is lent here now.
func (l *Lender) presentShare(now time.Time) float64 {
	if l.adopted > l.share && !now.Before(l.raiseAt) {
		l.share = l.adopted
	}
	return l.share
}

// Lend answers a gateway.
func (l *Lender) Lend(now time.Time, asked Borrow) Loan {
	listed := l.tenants.Named(asked.Tenant)
	share := l.presentShare(now)
	switch {
	case listed == nil || share == 0:
		return Loan{Unable: true}
	case !listed.Limit.Limited():
		return Loan{Unlimited: true}
	}
	rate := listed.Limit.PerSecond * share
	depth := l.depth(listed.Limit, share)
	known := l.refilled(now, listed.Name, rate, min(depth, l.policy.Slack/2*share))
	known.tokens = min(known.tokens+float64(max(0, asked.Returned)), depth)
	lent := Loan{Life: l.policy.life(), AheadLife: aheadLife}
	lent.Waiting = known.take(asked.Waiting, math.Inf(1))
	most := l.policy.Overage/2*l.policy.inWindow(listed.Limit)*share - float64(known.outstanding(now))
	lent.Ahead = known.take(asked.Ahead, most)
	if lent.Ahead > 0 {
		known.ahead = append(known.ahead, loan{count: lent.Ahead, expires: now.Add(aheadLife)})
	}
	if lent.Waiting == 0 {
		lent.Wait = time.Duration((1 - known.tokens) / rate * float64(time.Second))
	}
	return lent
}

// depth is what a bucket holds at most: a share of the burst and of half the slack. It is
// one request at least, or small limits could not be lent at all.
func (l *Lender) depth(limit tenant.Limit, share float64) float64 {
	return max(1, (limit.Burst+l.policy.Slack/2)*share)
}

// refilled returns the tenant's bucket with what has come in since it was used last. A new
// one began with a share of the slack only when this became a voter: an earlier life of this
// process, or an earlier voter, may have lent the burst a moment before.
func (l *Lender) refilled(now time.Time, name string, rate, first float64) *bucket {
	known := l.buckets[name]
	if known == nil {
		known = &bucket{tokens: first, at: l.votesSince}
		l.buckets[name] = known
	}
	if passed := now.Sub(known.at); passed > 0 {
		known.tokens += rate * passed.Seconds()
		known.at = now
	}
	return known
}

// take takes up to so many whole tokens.
func (b *bucket) take(asked int, most float64) int {
	taken := max(0, int(math.Floor(min(float64(asked), b.tokens, most))))
	b.tokens -= float64(taken)
	return taken
}

// outstanding returns what was lent ahead and may still be used.
func (b *bucket) outstanding(now time.Time) int {
	count := 0
	kept := b.ahead[:0]
	for _, lent := range b.ahead {
		if now.Before(lent.expires) {
			kept = append(kept, lent)
			count += lent.count
		}
	}
	b.ahead = kept
	return count
}
