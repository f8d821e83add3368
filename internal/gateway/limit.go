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
	// several round trips between zones (3 ms each), and time for one relay through another
	// gateway.
	lenderTimeout = 120 * time.Millisecond
	// lateLoanTimeout is how long a lender's answer is used at all: its disk may be slow.
	lateLoanTimeout = 500 * time.Millisecond
	// limitTimeout is the longest that a request waits for an allowance.
	limitTimeout = 900 * time.Millisecond
	// allowanceWaitDivisor bounds the wait for an allowance to half of the request's time; the rest
	// is left for its run or for another attempt.
	allowanceWaitDivisor = 2
	// minLimitRetry is the minimum Retry-After of a caller beyond its limit.
	minLimitRetry = 20 * time.Millisecond
)

// allowances holds the gateway's allowances of all tenants. It is safe for concurrent use.
type allowances struct {
	mu       sync.Mutex
	borrower *quota.Borrower
}

func newAllowances() *allowances { return &allowances{borrower: quota.NewBorrower()} }

// useAllowance counts a request and consumes an allowance for it, if there is one. The first
// request of a program consumes none before its tenant's home lender was asked: the allowances
// held here are for active programs first.
func (a *allowances) useAllowance(tenant string, part quota.Part) bool {
	if part == quota.PartFirst {
		return false
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrower.Arrived(now, tenant)
	return a.consume(now, tenant, part)
}

// consume consumes an allowance. The caller must hold the lock.
func (a *allowances) consume(now time.Time, tenant string, part quota.Part) bool {
	consumed := a.borrower.Consume(now, tenant)
	if consumed && part != quota.PartUnknown {
		a.borrower.Served(now, tenant, part)
	}
	return consumed
}

// recordShortage records that a later request of a program was refused.
func (a *allowances) recordShortage(tenant string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrower.Rejected(time.Now(), tenant)
}

// recordUnanswered records that a lender did not answer.
func (a *allowances) recordUnanswered(lender string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrower.TimedOut(time.Now(), lender)
}

// nextStep returns the lender to ask next; homeAnswered reports whether the tenant's home lender
// has answered.
func (a *allowances) nextStep(tenant string, lenders []string, part quota.Part, homeAnswered bool) quota.NextStep {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.borrower.NextForPart(time.Now(), tenant, lenders, part, homeAnswered)
}

// keepLoan adds a loan that came late.
func (a *allowances) keepLoan(sentAt time.Time, lender string, loanRequest quota.Borrow, loan quota.Loan) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrower.Lent(time.Now(), sentAt, lender, loanRequest, loan)
}

// useKept consumes an allowance of a loan that came late, if there is one.
func (a *allowances) useKept(tenant string, part quota.Part) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.consume(time.Now(), tenant, part)
}

// addLoan adds a loan and consumes an allowance of it for the request that asked.
func (a *allowances) addLoan(sentAt time.Time, lender string, loanRequest quota.Borrow, part quota.Part, loan quota.Loan) bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrower.Lent(now, sentAt, lender, loanRequest, loan)
	return a.consume(now, loanRequest.Tenant, part)
}

// checkTenantLimit consumes an allowance of the request's tenant, borrowing one if necessary. It
// returns nil if the request may proceed.
func (s *Server) checkTenantLimit(ctx context.Context, r *request) *refusal {
	if r.tenant == nil || !r.tenant.Limit.Limited() {
		return nil
	}
	part := s.programPart(r)
	if part == quota.PartFirst && r.firstOfProgram {
		if failure := s.awaitProgramAdmission(ctx, r); failure != nil {
			return failure
		}
	}
	if s.allowances.useAllowance(r.tenant.Name, part) {
		return nil
	}
	began := time.Now()
	defer func() { r.outcome.limitMS = millisecondsSince(began) }()
	ctx, cancel := context.WithTimeout(ctx, min(limitTimeout, time.Until(r.deadline)/allowanceWaitDivisor))
	defer cancel()
	failure := s.borrow(ctx, r, part)
	if failure != nil {
		s.withdrawProgram(r)
	}
	return failure
}

// borrow asks the lenders of the tenant's cell one after another for an allowance. A request is
// beyond its tenant's limit once most of them report that they have none left: a voter that is
// down must neither delay each such request nor hide that credit is available again.
func (s *Server) borrow(ctx context.Context, r *request, part quota.Part) *refusal {
	name := r.tenant.Name
	cell := s.replicas.ForTenant(name)
	if cell == nil {
		return refuseFor(verdict.CodeUnavailable, replicaRetry, "no replicas are known yet")
	}
	lenders := cell.Lenders(name)
	var late []<-chan struct{}
	for homeAnswered := false; ; {
		step := s.allowances.nextStep(name, lenders, part, homeAnswered)
		switch {
		case step.Lender != "":
		case s.useLateLoan(ctx, name, part, late):
			return nil
		case step.Exhausted > 0:
			s.recordLimitRefusal(r, part, quota.Loan{Wait: step.Wait})
			return refuseOverLimit(max(step.Wait, minLimitRetry))
		default:
			return refuseFor(verdict.CodeUnavailable, replicaRetry, "too few replicas answered on the tenant's limit")
		}
		r.outcome.lender = step.Lender
		sentAt := time.Now()
		loan, lateLoan, err := s.askLender(ctx, cell, step.Lender, step.Request)
		homeAnswered = homeAnswered || err == nil && step.Request.Part == quota.PartFirst
		switch {
		case ctx.Err() != nil:
			return refuseFor(verdict.CodeUnavailable, replicaRetry, "too few replicas answered on the tenant's limit")
		case err != nil:
			if lateLoan != nil {
				late = append(late, lateLoan)
			}
			s.allowances.recordUnanswered(step.Lender)
			s.log.Warn().Str("event", "lender_unanswered").Str("id", r.id).Str("tenant", name).Str("lender", step.Lender).Msg("")
		case loan.Unable:
			lenders = slices.DeleteFunc(lenders, func(other string) bool { return other == step.Lender })
		case loan.Held:
			s.recordLimitRefusal(r, part, loan)
			return refuseOverLimit(max(loan.Wait, minLimitRetry))
		case loan.Unlimited || s.allowances.addLoan(sentAt, step.Lender, step.Request, part, loan):
			return nil
		}
	}
}

// askLender requests a loan from the lender with the given name and waits for it for lenderTimeout. A loan that
// comes later is kept: its credit is gone, and the next request may use it. late is then closed once it has come, or
// will not come.
func (s *Server) askLender(ctx context.Context, cell *quorum.Client, name string, loanRequest quota.Borrow) (loan quota.Loan, late <-chan struct{}, err error) {
	type answer struct {
		loan quota.Loan
		err  error
	}
	sentAt := time.Now()
	answers := make(chan answer, 1)
	go func() {
		lateCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateLoanTimeout)
		defer cancel()
		loan, err := cell.Borrow(lateCtx, name, loanRequest)
		answers <- answer{loan, err}
	}()
	patience, cancel := context.WithTimeout(ctx, lenderTimeout+cell.ConnectAllowance(name))
	defer cancel()
	select {
	case answered := <-answers:
		return answered.loan, nil, answered.err
	case <-patience.Done():
	}
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		if answered := <-answers; answered.err == nil {
			s.allowances.keepLoan(sentAt, name, loanRequest, answered.loan)
		}
	}()
	return quota.Loan{}, kept, patience.Err()
}

// useLateLoan waits for the loans that have not come in time and consumes an allowance of them. It reports whether
// there was one.
func (s *Server) useLateLoan(ctx context.Context, tenant string, part quota.Part, late []<-chan struct{}) bool {
	for _, kept := range late {
		select {
		case <-kept:
		case <-ctx.Done():
			return false
		}
		if s.allowances.useKept(tenant, part) {
			return true
		}
	}
	return false
}

// recordLimitRefusal counts and logs the limit that a request exceeds, and when credit is
// available again: for a whole program where the home lender held a new one back.
func (s *Server) recordLimitRefusal(r *request, part quota.Part, loan quota.Loan) {
	limit := r.tenant.Limit
	if part == quota.PartLater {
		s.allowances.recordShortage(r.tenant.Name)
	}
	s.metrics.countLimitRefusal(part, loan.Held)
	s.log.Info().Str("event", "limit_reached").Str("id", r.id).Str("tenant", r.tenant.Name).Str("lender", r.outcome.lender).
		Float64("limit_per_s", limit.PerSecond).Float64("limit_burst", limit.Burst).Dur("wait", loan.Wait).
		Str("part", part.String()).Bool("held", loan.Held).Int("credit", loan.Forecast.Credit).Int("begun", loan.Forecast.Begun).Int("unused", loan.Forecast.Unused).
		Float64("per_program", loan.Forecast.PerProgram).Uint64("config", r.table.Version).Msg("")
}

// refuseOverLimit refuses a request beyond its tenant's limit until credit is available again.
func refuseOverLimit(wait time.Duration) *refusal {
	return &refusal{status: http.StatusTooManyRequests, code: verdict.CodeTenantLimit, retryAfter: wait, reason: "the tenant's limit is reached"}
}
