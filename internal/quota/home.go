package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HomeLender returns the lender that decides about new programs of a tenant, by rendezvous hashing:
// all gateways with the same set of voters choose the same lender without communication. It returns
// "" if there are no lenders.
func HomeLender(tenant string, lenders []string) string {
	home, highest := "", uint64(0)
	for _, name := range lenders {
		weight := xxhash.Sum64String(tenant + "/" + name)
		if home == "" || weight > highest || weight == highest && name < home {
			home, highest = name, weight
		}
	}
	return home
}

// Served records that a request of the given part proceeded at this gateway.
func (b *Borrower) Served(now time.Time, tenant string, part Part) {
	b.state(now, tenant).unreported.add(part, 1)
}

// Rejected records that a later request of a program was rejected for lack of credit.
func (b *Borrower) Rejected(now time.Time, tenant string) { b.state(now, tenant).unreported.Short++ }

// NextForPart is Next for a request whose part is known. The first request of a program asks the
// tenant's home lender before any other; admitted is set once that lender has answered. Later
// requests try the home lender first as long as it has credit, so that it learns of most requests.
// A home lender that recently did not answer is skipped: the limit is enforced without it.
func (b *Borrower) NextForPart(now time.Time, tenant string, lenders []string, part Part, admitted bool) NextStep {
	if part == PartUnknown {
		return b.Next(now, tenant, lenders)
	}
	home := HomeLender(tenant, lenders)
	reachable := home != "" && !now.Before(b.unansweredUntil[home])
	state := b.state(now, tenant)
	state.homeLender = home
	if part == PartFirst && !admitted && reachable {
		return state.requestFromHome(now, tenant, home, part)
	}
	ordered := lenders
	if part == PartLater && reachable {
		ordered = append([]string{home}, slices.DeleteFunc(slices.Clone(lenders), func(name string) bool { return name == home })...)
	}
	step := b.Next(now, tenant, ordered)
	if step.Lender == home && part == PartLater {
		return state.requestFromHome(now, tenant, home, part)
	}
	step.Request.Ahead = 0 // only the home lender accounts for unused allowances lent ahead
	return step
}

// requestFromHome returns the request to the home lender, including the usage not reported to it
// yet.
func (s *tenantState) requestFromHome(now time.Time, tenant, home string, part Part) NextStep {
	return NextStep{Lender: home, Request: Borrow{
		Tenant: tenant, Waiting: 1, Ahead: s.expectedRequests(now), Part: part, Told: s.unreported.drain(),
	}}
}
