package quota

import (
	"math"
	"time"

	"swiftbank.dev/swiftbank/internal/tenant"
)

// Part is the position of a request in a program. A program that cannot finish for lack of credit
// wastes everything it has used, so credit that active programs are likely to need is reserved, and
// new programs start only with the rest.
type Part uint8

const (
	// PartUnknown is used by gateways that do not distinguish the parts.
	PartUnknown Part = iota
	// PartFirst is the first request of a program, or a request without a program.
	PartFirst
	// PartLater is a later request of a program.
	PartLater
)

// String returns the name of the part in logs and metrics.
func (p Part) String() string {
	switch p {
	case PartFirst:
		return "first"
	case PartLater:
		return "later"
	default:
		return "untold"
	}
}

// Usage is a gateway's report to a tenant's home lender: the requests that proceeded at the
// gateway, by part, and the allowances that other lenders lent it.
type Usage struct {
	First, Later int
	// Short counts rejections of later requests for lack of credit, including those of retries.
	Short int
	Lent  int
}

func (u *Usage) add(part Part, requests int) {
	switch part {
	case PartFirst:
		u.First += requests
	case PartLater:
		u.Later += requests
	}
}

// drain returns the counts and resets them, except negative ones: requests that the home lender
// already knows of and that have not proceeded yet.
func (u *Usage) drain() Usage {
	reported := Usage{First: max(0, u.First), Later: max(0, u.Later), Short: u.Short, Lent: u.Lent}
	u.First -= reported.First
	u.Later -= reported.Later
	u.Short, u.Lent = 0, 0
	return reported
}

// Forecast holds the figures behind a decision about a new program.
type Forecast struct {
	// Credit is how many requests the limit still allows, Begun how many programs started within
	// the window, PerProgram the mean number of requests of a program.
	Credit     int
	Begun      int
	PerProgram float64
	// Unused is how many allowances were lent within the window and not used.
	Unused int
}

const (
	// minLearnedPrograms is the minimum number of programs over which the number of later requests
	// is averaged, learnedWindows the minimum number of windows: programs that start together have
	// not made their later requests yet.
	minLearnedPrograms = 64
	// maturityDivisor divides the window into the time after which a started program is used for
	// learning. Its later requests follow its start, so in a burst of new programs the programs
	// would seem to make none.
	maturityDivisor = 4
	learnedWindows  = 4
	// priorPrograms is the weight of the average over all tenants, in programs of the tenant.
	priorPrograms = 2
	// rejectionWeight is the weight of one rejection of a later request in the length of programs:
	// callers retry a rejected request, and all its rejections together stand for one request that
	// the program still had to make.
	rejectionWeight = 0.1
	// newProgramShare is the part of a new program that must fit. If the whole program had to fit,
	// limits of a few programs per window would leave up to one program unused.
	newProgramShare = 0.5
	// accountLife is how long the account of a tenant without requests is kept.
	accountLife = 10 * time.Minute
)

// account is what a tenant's home lender knows of the tenant's programs, over all gateways. If it
// is lost, decisions are as lenient as without it until a window has passed.
type account struct {
	// started counts the programs that started within the window, lent the allowances in the window.
	started, lent windowCount
	// served counts the requests that used them.
	served windowCount
	// immature counts the programs that are too recent to learn from.
	immature windowCount
	learned  ratio
	// updatedAt is when a gateway last reported on the tenant.
	updatedAt time.Time
}

// ratio learns how many later requests a program makes. Its counts decay with each program instead
// of with time: while new programs are refused, the later requests of active ones must not make
// programs seem longer.
type ratio struct{ programs, laterRequests, rejections float64 }

func (r *ratio) add(usage Usage, started int) {
	memory := max(minLearnedPrograms, float64(learnedWindows*started))
	weight := math.Pow(1-1/memory, float64(usage.First))
	r.programs = r.programs*weight + float64(usage.First)
	r.laterRequests = r.laterRequests*weight + float64(usage.Later)
	r.rejections = r.rejections*weight + float64(usage.Short)
}

// perProgram returns the mean number of requests of a program. While few programs are known, it is
// weighted towards the mean of others. Unfinished programs would make programs seem shorter and
// admit even more of them, so rejections of later requests count as well, up to the number of later
// requests that proceeded.
func (r *ratio) perProgram(others ratio) float64 {
	prior := others.laterRequests / max(1, others.programs)
	return 1 + (r.laterRequests+min(rejectionWeight*r.rejections, r.laterRequests)+priorPrograms*prior)/max(1, r.programs+priorPrograms)
}

// forecast returns the forecast of the account, given how many allowances may be outstanding.
func (a *account) forecast(now time.Time, lendable float64, others ratio) Forecast {
	lent := a.lent.sum(now)
	return Forecast{
		Credit: int(lendable) - lent, Begun: a.started.sum(now),
		PerProgram: min(lendable, a.learned.perProgram(others)), Unused: max(0, lent-a.served.sum(now)),
	}
}

// fits reports whether a new program may start in addition to the given number of programs: the
// total demand of the programs that started within the window must be within what may be lent in a
// window. A program counts in full while it is short compared to the window, and by its part in
// each window if it is longer. Unused allowances reduce the limit. After a window without a new
// program one always fits, however wrong the forecast is.
func (f Forecast) fits(started int, lendable float64) bool {
	return started == 0 || (float64(started)+newProgramShare)*f.PerProgram <= lendable-float64(f.Unused)
}

// wait returns the time until a new program fits and there is credit for its first request.
func (a *account) wait(now time.Time, forecast Forecast, lendable float64) time.Duration {
	var wait time.Duration
	started := forecast.Begun
	for _, entry := range a.started.entries {
		if forecast.fits(started, lendable) {
			break
		}
		started -= entry.count
		wait = entry.expiry.Sub(now)
	}
	if forecast.Credit < 1 && len(a.lent.entries) > 0 {
		wait = max(wait, a.lent.entries[0].expiry.Sub(now))
	}
	return max(wait, time.Millisecond)
}

// matured returns how many programs have become old enough to learn from since the last call.
func (a *account) matured(now time.Time) int {
	before := 0
	for _, entry := range a.immature.entries {
		before += entry.count
	}
	return before - a.immature.sum(now)
}

// record adds the usage reported by a gateway, and returns the part of it to learn the length of
// programs from.
func (a *account) record(now time.Time, policy Policy, usage Usage) Usage {
	a.updatedAt = now
	a.started.add(usage.First, now.Add(policy.Window))
	a.lent.add(usage.Lent, now.Add(policy.life()+policy.Window))
	a.served.add(usage.First+usage.Later, now.Add(policy.life()+policy.Window))
	a.immature.add(usage.First, now.Add(policy.Window/maturityDivisor))
	usage.First = a.matured(now)
	a.learned.add(usage, a.started.sum(now))
	return usage
}

// accountOf returns the account of a tenant, and creates it if there is none.
func (l *Lender) accountOf(now time.Time, name string) *account {
	existing := l.accounts[name]
	if existing != nil {
		return existing
	}
	for other, account := range l.accounts {
		if now.Sub(account.updatedAt) > accountLife {
			delete(l.accounts, other)
		}
	}
	existing = &account{updatedAt: now}
	l.accounts[name] = existing
	return existing
}

// holdNewProgram decides about the first request of a program and records the usage that the
// gateway reported. Only requests to a tenant's home lender have a part.
//
// Without it, programs start while their tenant's limit has no credit left for their later
// requests: each such program takes credit from the others and ends unfinished.
func (l *Lender) holdNewProgram(now time.Time, request Borrow, limit tenant.Limit) (Loan, bool) {
	if request.Part == PartUnknown {
		return Loan{}, false
	}
	account := l.accountOf(now, request.Tenant)
	l.recordUsage(now, account, request.Told)
	if request.Part != PartFirst {
		return Loan{}, false
	}
	lendable := l.policy.lendable(limit)
	forecast := account.forecast(now, lendable, l.allPrograms)
	if forecast.fits(forecast.Begun, lendable) {
		return Loan{}, false
	}
	return Loan{Held: true, Wait: account.wait(now, forecast, lendable), Forecast: forecast}, true
}

// recordLoan records what was lent as the home lender.
func (l *Lender) recordLoan(now time.Time, request Borrow, loan Loan) {
	if request.Part == PartUnknown {
		return
	}
	var usage Usage
	usage.add(request.Part, loan.Waiting)
	usage.Lent = loan.Waiting + loan.Ahead
	l.recordUsage(now, l.accountOf(now, request.Tenant), usage)
}

// mayLendAhead reports whether credit may be lent in advance. Unused allowances are unavailable to
// active programs, so a home lender does this only while more than half of its share is left.
func (l *Lender) mayLendAhead(request Borrow, limit tenant.Limit, credit int) bool {
	return request.Part == PartUnknown || 2*credit > l.maxOutstanding(limit)
}

// recordUsage records usage in a tenant's account and in the average over all programs.
func (l *Lender) recordUsage(now time.Time, account *account, usage Usage) {
	learned := account.record(now, l.policy, usage)
	l.allPrograms.add(learned, account.started.sum(now))
}

// Reservations returns the credit that active programs are still likely to need, by tenant, if it
// is at least one request.
func (l *Lender) Reservations(now time.Time) map[string]float64 {
	reservations := map[string]float64{}
	for name, account := range l.accounts {
		configured := l.tenants.ByName(name)
		if configured == nil || !configured.Limit.Limited() {
			continue
		}
		lendable := l.policy.lendable(configured.Limit)
		forecast := account.forecast(now, lendable, l.allPrograms)
		reserved := float64(forecast.Begun)*forecast.PerProgram - float64(int(lendable)-forecast.Credit)
		if reserved >= 1 {
			reservations[name] = reserved
		}
	}
	return reservations
}
