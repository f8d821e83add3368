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
	// several times a round trip between zones (3 ms), and time for one relay by another
	// gateway.
	lenderTimeout = 120 * time.Millisecond
	// limitTimeout is how long a request waits for an allowance at most.
	limitTimeout = 900 * time.Millisecond
	// limitDivisor bounds the wait for an allowance to half of the request's time; the rest is
	// left for its run or for a new attempt.
	limitDivisor = 2
	// leastLimitRetry is the least pause that a caller beyond its limit is asked for.
	leastLimitRetry = 20 * time.Millisecond
)

// allowances are the gateway's allowances of all tenants.
type allowances struct {
	mu       sync.Mutex
	borrower *quota.Borrower
}

func newAllowances() *allowances { return &allowances{borrower: quota.NewBorrower()} }

// arrive counts a request, and uses an allowance for it if there is one. The first request of
// a program uses none before its tenant's home lender was asked: what is here serves begun
// programs first.
func (a *allowances) arrive(tenant string, part quota.Part) bool {
	if part == quota.PartFirst {
		return false
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrower.Arrived(now, tenant)
	return a.take(now, tenant, part)
}

// take uses an allowance. The caller holds the lock.
func (a *allowances) take(now time.Time, tenant string, part quota.Part) bool {
	taken := a.borrower.Take(now, tenant)
	if taken && part != quota.PartUntold {
		a.borrower.Served(now, tenant, part)
	}
	return taken
}

// short notes that a later request of a program was refused.
func (a *allowances) short(tenant string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrower.Short(time.Now(), tenant)
}

// unanswered notes that a lender did not answer.
func (a *allowances) unanswered(lender string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrower.Unanswered(time.Now(), lender)
}

// next returns the lender to ask. admitted says that the tenant's home lender has answered.
func (a *allowances) next(tenant string, lenders []string, part quota.Part, admitted bool) quota.NextStep {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.borrower.NextOf(time.Now(), tenant, lenders, part, admitted)
}

// lent adds a loan and uses an allowance of it for the request that asked.
func (a *allowances) lent(sentAt time.Time, lender string, asked quota.Borrow, part quota.Part, lent quota.Loan) bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrower.Lent(now, sentAt, lender, asked, lent)
	return a.take(now, asked.Tenant, part)
}

// withinLimit lets the request go on if its tenant's limit allows that.
func (s *Server) withinLimit(ctx context.Context, r *request) *refusal {
	if r.tenant == nil || !r.tenant.Limit.Limited() {
		return nil
	}
	part := s.programPart(r)
	if part == quota.PartFirst && r.firstOfProgram {
		if failure := s.awaitProgramAdmission(ctx, r); failure != nil {
			return failure
		}
	}
	if s.allowances.arrive(r.tenant.Name, part) {
		return nil
	}
	began := time.Now()
	defer func() { r.outcome.limitMS = millisecondsSince(began) }()
	ctx, cancel := context.WithTimeout(ctx, min(limitTimeout, time.Until(r.deadline)/limitDivisor))
	defer cancel()
	failure := s.borrow(ctx, r, part)
	if failure != nil {
		s.withdrawProgram(r)
	}
	return failure
}

// borrow asks the lenders of the tenant's cell one after another for an allowance. A request is
// beyond its tenant's limit once most of them say that they have none left: one voter that is
// down must neither make each such request wait for it nor hide when there is credit again.
func (s *Server) borrow(ctx context.Context, r *request, part quota.Part) *refusal {
	name := r.tenant.Name
	cell := s.replicas.OfTenant(name)
	if cell == nil {
		return refuseFor(verdict.CodeUnavailable, replicaRetry, "no replicas are known yet")
	}
	lenders := cell.Lenders(name)
	for admitted := false; ; {
		step := s.allowances.next(name, lenders, part, admitted)
		switch {
		case step.Lender != "":
		case step.Told > 0:
			s.noteBeyondLimit(r, part, quota.Loan{Wait: step.Wait})
			return beyondLimit(max(step.Wait, leastLimitRetry))
		default:
			return refuseFor(verdict.CodeUnavailable, replicaRetry, "too few replicas answered on the tenant's limit")
		}
		r.outcome.lender = step.Lender
		sentAt := time.Now()
		lent, err := s.askLender(ctx, cell, step.Lender, step.Asked)
		admitted = admitted || err == nil && step.Asked.Part == quota.PartFirst
		switch {
		case ctx.Err() != nil:
			return refuseFor(verdict.CodeUnavailable, replicaRetry, "too few replicas answered on the tenant's limit")
		case err != nil:
			s.allowances.unanswered(step.Lender)
			s.log.Warn().Str("event", "lender_unanswered").Str("id", r.id).Str("tenant", name).Str("lender", step.Lender).Msg("")
		case lent.Unable:
			lenders = slices.DeleteFunc(lenders, func(other string) bool { return other == step.Lender })
		case lent.Held:
			s.noteBeyondLimit(r, part, lent)
			return beyondLimit(max(lent.Wait, leastLimitRetry))
		case lent.Unlimited || s.allowances.lent(sentAt, step.Lender, step.Asked, part, lent):
			return nil
		}
	}
}

func (s *Server) askLender(ctx context.Context, cell *quorum.Client, name string, asked quota.Borrow) (quota.Loan, error) {
	ctx, cancel := context.WithTimeout(ctx, lenderTimeout+cell.ConnectAllowance(name))
	defer cancel()
	return cell.Borrow(ctx, name, asked)
}

// noteBeyondLimit counts and logs which limit a request is beyond, and when there is credit
// again: for a whole program where the home lender held a new one back.
func (s *Server) noteBeyondLimit(r *request, part quota.Part, lent quota.Loan) {
	limit := r.tenant.Limit
	if part == quota.PartLater {
		s.allowances.short(r.tenant.Name)
	}
	s.metrics.countLimitRefusal(part, lent.Held)
	s.log.Info().Str("event", "limit_reached").Str("id", r.id).Str("tenant", r.tenant.Name).Str("lender", r.outcome.lender).
		Float64("limit_per_s", limit.PerSecond).Float64("limit_burst", limit.Burst).Dur("wait", lent.Wait).
		Str("part", part.String()).Bool("held", lent.Held).Int("credit", lent.Forecast.Credit).Int("begun", lent.Forecast.Begun).Int("unused", lent.Forecast.Unused).
		Float64("per_program", lent.Forecast.PerProgram).Uint64("config", r.table.Version).Msg("")
}

// beyondLimit refuses a request beyond its tenant's limit until there is credit again.
func beyondLimit(wait time.Duration) *refusal {
	return &refusal{status: http.StatusTooManyRequests, code: verdict.CodeTenantLimit, retryAfter: wait, reason: "the tenant's limit is reached"}
}
