package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HomeLender returns the lender that decides whether new programs of a tenant may begin, by
// rendezvous hashing: all gateways that know of the same voters name the same one without a
// message. "" without lenders.
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

// Served notes that a request of the part went on here.
func (b *Borrower) Served(now time.Time, tenant string, part Part) {
	b.of(now, tenant).untold.add(part, 1)
}

// Rejected notes that a later request of a program was refused for want of credit.
func (b *Borrower) Rejected(now time.Time, tenant string) { b.of(now, tenant).untold.Short++ }

// NextForPart is Next for a request whose part is told. The first request of a program asks the
// tenant's home lender before any other, until that one has answered; admitted says that it
// has. Later ones ask the home lender first as long as it has credit, so that it knows of most.
// A home lender that did not answer of late is passed over: the limit holds without it.
func (b *Borrower) NextForPart(now time.Time, tenant string, lenders []string, part Part, admitted bool) NextStep {
	if part == PartUnknown {
		return b.Next(now, tenant, lenders)
	}
	home := HomeLender(tenant, lenders)
	reached := home != "" && !now.Before(b.unansweredUntil[home])
	known := b.of(now, tenant)
	known.home = home
	if part == PartFirst && !admitted && reached {
		return known.tell(now, tenant, home, part)
	}
	ordered := lenders
	if part == PartLater && reached {
		ordered = append([]string{home}, slices.DeleteFunc(slices.Clone(lenders), func(name string) bool { return name == home })...)
	}
	step := b.Next(now, tenant, ordered)
	if step.Lender == home && part == PartLater {
		return known.tell(now, tenant, home, part)
	}
	step.Request.Ahead = 0 // only the home lender knows what is lent ahead and not used
	return step
}

// tell asks the home lender, and tells it of the requests that went on here unknown to it.
func (h *holdings) tell(now time.Time, tenant, home string, part Part) NextStep {
	return NextStep{Lender: home, Request: Borrow{
		Tenant: tenant, Waiting: 1, Ahead: h.expected(now), Part: part, Told: h.untold.takeOut(),
	}}
}
