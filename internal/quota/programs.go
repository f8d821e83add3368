package quota

import (
	"math"
	"time"

	"swiftbank.dev/swiftbank/internal/tenant"
)

// Part says which part of a program a request is. Where a program ends unfinished for want of
// credit, all that it has used is lost; so credit that begun programs are likely to ask for is
// set aside, and new programs begin with what is left.
type Part uint8

const (
	// PartUnknown is what gateways ask with that do not tell the parts apart.
	PartUnknown Part = iota
	// PartFirst is the first request of a program, or one without a program.
	PartFirst
	// PartLater is a later request of a program.
	PartLater
)

// String names the part for logs and metrics.
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

// Usage is what a gateway tells a tenant's home lender: the requests that went on there by their
// part, and the allowances that other lenders lent.
type Usage struct {
	First, Later int
	// Short counts later requests that were refused for want of credit, each time.
	Short int
	Lent  int
}

func (t *Usage) add(part Part, requests int) {
	switch part {
	case PartFirst:
		t.First += requests
	case PartLater:
		t.Later += requests
	}
}

// takeOut returns the counts and leaves what is below zero: requests that the home lender knows
// of already and that have not gone on yet.
func (t *Usage) takeOut() Usage {
	told := Usage{First: max(0, t.First), Later: max(0, t.Later), Short: t.Short, Lent: t.Lent}
	t.First -= told.First
	t.Later -= told.Later
	t.Short, t.Lent = 0, 0
	return told
}

// Forecast is what the decision about a new program rests on.
type Forecast struct {
	// Credit is how many requests the limit still allows now, Begun how many programs began
	// within the window, PerProgram how many requests a program makes in the mean.
	Credit     int
	Begun      int
	PerProgram float64
	// Unused is how many allowances were lent within the window and not used.
	Unused int
}

const (
	// learnedFirsts is over how many programs at least the later requests of one are averaged,
	// learnedWindows over how many windows: programs that begin together have not made their
	// later requests yet.
	learnedFirsts = 64
	// youngDivisor divides the window into the time until a program that began counts: its later
	// requests come after it, and in a burst of programs they would seem to make none.
	youngDivisor   = 4
	learnedWindows = 4
	// priorFirsts is how many programs of a tenant weigh as much as what the programs of all
	// tenants have taught.
	priorFirsts = 2
	// shortWeight is what one refusal of a later request weighs in the length of programs:
	// callers repeat a request that is refused, and all its refusals together stand for one
	// request that the program still had to make.
	shortWeight = 0.1
	// newShare is the part of a new program that must fit: with the whole of it, limits of a few
	// programs a window would be left unused by up to one program.
	newShare = 0.5
	// accountLife is how long the account of a tenant that sends nothing is kept.
	accountLife = 10 * time.Minute
)

// account is what the home lender of a tenant knows of its programs, over all gateways. A loss
// of it makes the decision as lenient as without one until a window has passed.
type account struct {
	// begun counts the programs that began within the window, lent the allowances that count.
	begun, lent count
	// served counts the requests that went on with them.
	served count
	// young counts programs that teach no length yet.
	young   count
	learned ratio
	// toldAt is when a gateway last told of the tenant.
	toldAt time.Time
}

// ratio learns how many later requests a program makes. Counts lose weight with each program
// and not with time: while new programs are refused, the later requests of the running ones
// must not make programs seem longer.
type ratio struct{ firsts, laters, short float64 }

func (r *ratio) add(told Usage, begun int) {
	memory := max(learnedFirsts, float64(learnedWindows*begun))
	kept := math.Pow(1-1/memory, float64(told.First))
	r.firsts = r.firsts*kept + float64(told.First)
	r.laters = r.laters*kept + float64(told.Later)
	r.short = r.short*kept + float64(told.Short)
}

// perProgram returns the requests of a program, by what others' programs taught where few are
// known. Programs that are cut short would make it look shorter and let still more begin, so
// refusals of later requests count as well, up to as much as what went on.
func (r *ratio) perProgram(others ratio) float64 {
	prior := others.laters / max(1, others.firsts)
	return 1 + (r.laters+min(shortWeight*r.short, r.laters)+priorFirsts*prior)/max(1, r.firsts+priorFirsts)
}

// look returns the account under a limit that allows so many requests in a window.
func (a *account) look(now time.Time, most float64, others ratio) Forecast {
	lent := a.lent.sum(now)
	return Forecast{
		Credit: int(most) - lent, Begun: a.begun.sum(now),
		PerProgram: min(most, a.learned.perProgram(others)), Unused: max(0, lent-a.served.sum(now)),
	}
}

// fits reports whether a new program may begin besides so many others: what the programs that
// began within the window ask for in all must be within what the limit allows in one. A program
// is counted whole while it is short beside the window, and by its share of each window while
// it is longer. Allowances that were lent ahead and not used are missing from the limit. After a
// window without a new program one always fits, however wrong the forecast is.
func (f Forecast) fits(begun int, most float64) bool {
	return begun == 0 || (float64(begun)+newShare)*f.PerProgram <= most-float64(f.Unused)
}

// wait returns when a new program fits (see fits) and there is credit for its first request.
func (a *account) wait(now time.Time, seen Forecast, most float64) time.Duration {
	var wait time.Duration
	begun := seen.Begun
	for _, end := range a.begun.lent {
		if seen.fits(begun, most) {
			break
		}
		begun -= end.count
		wait = end.until.Sub(now)
	}
	if seen.Credit < 1 && len(a.lent.lent) > 0 {
		wait = max(wait, a.lent.lent[0].until.Sub(now))
	}
	return max(wait, time.Millisecond)
}

// grown returns how many programs are young no longer since it was asked last.
func (a *account) grown(now time.Time) int {
	before := 0
	for _, lent := range a.young.lent {
		before += lent.count
	}
	return before - a.young.sum(now)
}

// tell counts what a gateway told, and returns the part that teaches how long programs are.
func (a *account) tell(now time.Time, policy Policy, told Usage) Usage {
	a.toldAt = now
	a.begun.add(told.First, now.Add(policy.Window))
	a.lent.add(told.Lent, now.Add(policy.life()+policy.Window))
	a.served.add(told.First+told.Later, now.Add(policy.life()+policy.Window))
	a.young.add(told.First, now.Add(policy.Window/youngDivisor))
	told.First = a.grown(now)
	a.learned.add(told, a.begun.sum(now))
	return told
}

// programsOf returns the account of a tenant.
func (l *Lender) programsOf(now time.Time, name string) *account {
	known := l.programs[name]
	if known != nil {
		return known
	}
	for other, account := range l.programs {
		if now.Sub(account.toldAt) > accountLife {
			delete(l.programs, other)
		}
	}
	known = &account{toldAt: now}
	l.programs[name] = known
	return known
}

// holdBack decides about the first request of a program and counts what the gateway told of
// others. Only a tenant's home lender is asked with a part.
//
// It answers the load of programs that begin while their tenant's limit has no credit left for
// their later requests: each such program takes credit of the others and ends unfinished.
func (l *Lender) holdBack(now time.Time, asked Borrow, limit tenant.Limit) (Loan, bool) {
	if asked.Part == PartUnknown {
		return Loan{}, false
	}
	known := l.programsOf(now, asked.Tenant)
	l.tell(now, known, asked.Told)
	if asked.Part != PartFirst {
		return Loan{}, false
	}
	most := l.policy.lendable(limit)
	seen := known.look(now, most, l.learned)
	if seen.fits(seen.Begun, most) {
		return Loan{}, false
	}
	return Loan{Held: true, Wait: known.wait(now, seen, most), Forecast: seen}, true
}

// noteLent counts what was lent as the home lender.
func (l *Lender) noteLent(now time.Time, asked Borrow, lent Loan) {
	if asked.Part == PartUnknown {
		return
	}
	var told Usage
	told.add(asked.Part, lent.Waiting)
	told.Lent = lent.Waiting + lent.Ahead
	l.tell(now, l.programsOf(now, asked.Tenant), told)
}

// mayLendAhead reports whether credit may be lent ahead: what is not used of it is missing to
// begun programs, so a home lender does so only while more than half of its share is left.
func (l *Lender) mayLendAhead(asked Borrow, limit tenant.Limit, credit int) bool {
	return asked.Part == PartUnknown || 2*credit > l.most(limit)
}

// tell counts requests in a tenant's account and in what all programs teach.
func (l *Lender) tell(now time.Time, known *account, told Usage) {
	taught := known.tell(now, l.policy, told)
	l.learned.add(taught, known.begun.sum(now))
}

// Reservations returns what begun programs are likely to ask for still, by tenant, where that is a
// request or more.
func (l *Lender) Reservations(now time.Time) map[string]float64 {
	asides := map[string]float64{}
	for name, known := range l.programs {
		listed := l.tenants.ByName(name)
		if listed == nil || !listed.Limit.Limited() {
			continue
		}
		most := l.policy.lendable(listed.Limit)
		seen := known.look(now, most, l.learned)
		aside := float64(seen.Begun)*seen.PerProgram - float64(int(most)-seen.Credit)
		if aside >= 1 {
			asides[name] = aside
		}
	}
	return asides
}
