package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"swiftbank.dev/swiftbank/internal/quorum"
	"swiftbank.dev/swiftbank/internal/quota"
	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// lenderTimeout is how long one lender's answer is awaited before the next one is asked:
	// several times a round trip between zones (3 ms), and time for one way by another
	// gateway.
	lenderTimeout = 120 * time.Millisecond
	// limitTimeout is how long a request waits for an allowance at most.
	limitTimeout = 900 * time.Millisecond
	// limitShare is the part of a request's time that may pass before there is an allowance;
	// the rest is left for its run or for a new attempt.
	limitShare = 2
	// leastLimitRetry is the least pause that a caller beyond its limit is asked for.
	leastLimitRetry = 20 * time.Millisecond
)

// allowances are the gateway's allowances of all tenants.
type allowances struct {
	mu       sync.Mutex
	borrower *quota.Borrower
}

func newAllowances() *allowances { return &allowances{borrower: quota.NewBorrower()} }

// arrive counts a request, and uses an allowance for it if there is one.
func (a *allowances) arrive(tenant string) bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrower.Arrived(now, tenant)
	return a.borrower.Take(now, tenant)
}

// next returns the lender to ask.
func (a *allowances) next(tenant string, lenders []string) (lender string, asked quota.Borrow, wait time.Duration, found bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.borrower.Next(time.Now(), tenant, lenders)
}

// lent adds a loan and uses an allowance of it for the request that asked.
func (a *allowances) lent(sentAt time.Time, lender string, asked quota.Borrow, lent quota.Loan) bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrower.Lent(now, sentAt, lender, asked, lent)
	return a.borrower.Take(now, asked.Tenant)
}

// withinLimit lets the request go on if its tenant's limit allows that.
func (s *Server) withinLimit(ctx context.Context, r *request) *refusal {
	if r.tenant == nil || !r.tenant.Limit.Limited() || s.allowances.arrive(r.tenant.Name) {
		return nil
	}
	began := time.Now()
	defer func() { r.outcome.limitMS = sinceMS(began) }()
	ctx, cancel := context.WithTimeout(ctx, min(limitTimeout, time.Until(r.deadline)/limitShare))
	defer cancel()
	return s.borrow(ctx, r)
}

// borrow asks the lenders of the tenant's cell one after another for an allowance.
func (s *Server) borrow(ctx context.Context, r *request) *refusal {
	name := r.tenant.Name
	cell := s.replicas.Of(name)
	if cell == nil {
		return refuseFor(verdict.CodeUnavailable, replicaRetry, "no replicas are known yet")
	}
	lenders := cell.Lenders(name)
	silent := len(lenders) == 0
	for {
		lender, asked, wait, found := s.allowances.next(name, lenders)
		switch {
		case !found && silent:
			return refuseFor(verdict.CodeUnavailable, replicaRetry, "too few replicas answered on the tenant's limit")
		case !found:
			s.logBeyondLimit(r, wait)
			return beyondLimit(max(wait, leastLimitRetry))
		}
		r.outcome.lender = lender
		sentAt := time.Now()
		lent, err := s.askLender(ctx, cell, lender, asked)
		switch {
		case ctx.Err() != nil:
			return refuseFor(verdict.CodeUnavailable, replicaRetry, "too few replicas answered on the tenant's limit")
		case err != nil || lent.Unable:
			silent = true
			lenders = slices.DeleteFunc(lenders, func(other string) bool { return other == lender })
		case lent.Unlimited || s.allowances.lent(sentAt, lender, asked, lent):
			return nil
		}
	}
}

func (s *Server) askLender(ctx context.Context, cell *quorum.Client, name string, asked quota.Borrow) (quota.Loan, error) {
	ctx, cancel := context.WithTimeout(ctx, lenderTimeout)
	defer cancel()
	return cell.Borrow(ctx, name, asked)
}

// logBeyondLimit writes which limit a request is beyond, and when there is credit again.
func (s *Server) logBeyondLimit(r *request, wait time.Duration) {
	limit := r.tenant.Limit
	s.log.Info().Str("event", "limit_reached").Str("id", r.id).Str("tenant", r.tenant.Name).Str("lender", r.outcome.lender).
		Float64("limit_per_s", limit.PerSecond).Float64("limit_burst", limit.Burst).Dur("wait", wait).
		Uint64("config", r.table.Version).Msg("")
}

// beyondLimit refuses a request beyond its tenant's limit until there is credit again.
func beyondLimit(wait time.Duration) *refusal {
	return &refusal{status: http.StatusTooManyRequests, code: verdict.CodeTenantLimit, retryAfter: wait, reason: "the tenant's limit is reached"}
}
