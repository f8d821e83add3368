package shard

import (
	"maps"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/verdict"
)

// budgetRetry is when a caller may ask again after its tenant's budget ran out:
// budgets change by an operator's edit, not by waiting a little.
const budgetRetry = time.Minute

// Allowance is the part of a tenant's budget that one shard may spend, in
// tokens. It belongs to the shard's replicated state, so the death of a node
// neither loses it nor gives it out twice.
//
// Invariant: Available + Reserved + Spent + the sum of Returns equals the sum of
// all grants added.
type Allowance struct {
	// Version is the budget version that Available was granted under.
	Version uint64
	// GrantVersion is the budget version of the newest grant.
	GrantVersion uint64
	Available    int64
	Reserved     int64
	Spent        int64
	// NextGrant numbers the next request to the ledger.
	NextGrant uint64
	// NextReturn numbers the next return; Returns are those not yet credited.
	NextReturn uint64
	Returns    map[uint64]int64
}

// Ledger is the account of one tenant's whole budget, in tokens.
//
// Invariant: Outstanding is the sum of grants less the sum of credited returns,
// and a grant never raises it above Limit.
type Ledger struct {
	Version     uint64
	Limit       int64
	Outstanding int64
	// LastGrants remembers each shard's newest grant, so that a repeated request
	// gets the same grant again.
	LastGrants map[uint32]GrantRecord
	// LastReturns remembers the newest return credited for each shard.
	LastReturns map[uint32]uint64
}

// GrantRecord is a shard's newest grant.
type GrantRecord struct {
	Number  uint64
	Amount  int64
	Version uint64
}

// GrantResult is the result of applying Grant.
type GrantResult struct {
	// Record is the grant; its Amount is zero when the budget is exhausted.
	Record GrantRecord
}

func (a *Allowance) clone() *Allowance {
	copied := *a
	copied.Returns = maps.Clone(a.Returns)
	return &copied
}

func (l *Ledger) clone() *Ledger {
	copied := *l
	copied.LastGrants = maps.Clone(l.LastGrants)
	copied.LastReturns = maps.Clone(l.LastReturns)
	return &copied
}

func (s *State) allowance(tenant string) *Allowance {
	allowance := s.Allowances[tenant]
	if allowance == nil {
		allowance = &Allowance{NextGrant: 1, NextReturn: 1, Returns: map[uint64]int64{}}
		s.Allowances[tenant] = allowance
	}
	return allowance
}

// adopt moves to a newer budget version: what an older version granted may not
// be spent any more and goes back to the ledger.
func (a *Allowance) adopt(version uint64) {
	if version <= a.Version {
		return
	}
	a.Version = version
	a.setAside(a.Available)
	a.Available = 0
}

// giveBack sets all that is unspent aside for return.
func (a *Allowance) giveBack(version uint64) {
	a.adopt(version)
	a.setAside(a.Available)
	a.Available = 0
}

func (a *Allowance) setAside(amount int64) {
	if amount <= 0 {
		return
	}
	a.Returns[a.NextReturn] = amount
	a.NextReturn++
}

// reserve sets the worst case of an attempt aside, or refuses.
func (a *Allowance) reserve(amount int64, version uint64) *verdict.Error {
	if amount == 0 {
		return nil
	}
	a.adopt(version)
	if version < a.Version {
		return verdict.Refuse(verdict.CodeStaleConfig, time.Second, "this node's configuration is behind")
	}
	if a.Available < amount {
		return verdict.Refuse(verdict.CodeBudgetExhausted, budgetRetry, "the budget does not cover this call's worst case of %d tokens", amount)
	}
	a.Available -= amount
	a.Reserved += amount
	return nil
}

// settle ends a reservation of which used tokens were spent.
func (a *Allowance) settle(reserved, used int64, version uint64) {
	a.Reserved -= reserved
	a.Spent += used
	left := reserved - used
	if version == a.Version {
		a.Available += left
	} else {
		a.setAside(left)
	}
}

func (s *State) applyGrant(c Grant) GrantResult {
	ledger := s.Ledgers[c.Tenant]
	if ledger == nil {
		ledger = &Ledger{LastGrants: map[uint32]GrantRecord{}, LastReturns: map[uint32]uint64{}}
		s.Ledgers[c.Tenant] = ledger
	}
	if c.Version > ledger.Version {
		ledger.Version = c.Version
		ledger.Limit = c.Limit
	}
	last := ledger.LastGrants[c.Shard]
	if c.Number <= last.Number {
		return GrantResult{Record: last}
	}
	amount := min(c.Want, ledger.Limit-ledger.Outstanding)
	if amount <= 0 {
		return GrantResult{Record: GrantRecord{Number: c.Number, Version: ledger.Version}}
	}
	ledger.Outstanding += amount
	record := GrantRecord{Number: c.Number, Amount: amount, Version: ledger.Version}
	ledger.LastGrants[c.Shard] = record
	return GrantResult{Record: record}
}

func (s *State) applyAddAllowance(c AddAllowance) {
	allowance := s.allowance(c.Tenant)
	if c.Number != allowance.NextGrant {
		return
	}
	allowance.NextGrant++
	allowance.GrantVersion = c.Version
	allowance.adopt(c.Version)
	if c.Version == allowance.Version {
		allowance.Available += c.Amount
	} else {
		allowance.setAside(c.Amount)
	}
}

func (s *State) applyCreditReturn(c CreditReturn) {
	ledger := s.Ledgers[c.Tenant]
	if ledger == nil || c.Number != ledger.LastReturns[c.Shard]+1 {
		return
	}
	ledger.LastReturns[c.Shard] = c.Number
	ledger.Outstanding -= c.Amount
}

func (s *State) applyReturnDone(c ReturnDone) {
	delete(s.allowance(c.Tenant).Returns, c.Number)
}

// OldestReturn returns the lowest-numbered return that the ledger has not
// credited; the ledger takes them in order.
func (a *Allowance) OldestReturn() (number uint64, amount int64, pending bool) {
	if len(a.Returns) == 0 {
		return 0, 0, false
	}
	number = slices.Min(slices.Collect(maps.Keys(a.Returns)))
	return number, a.Returns[number], true
}

// Spendable returns how much of a tenant's allowance can be reserved under the
// given budget version, in tokens.
func (s *State) Spendable(tenant string, version uint64) int64 {
	allowance := s.Allowances[tenant]
	if allowance == nil || allowance.Version != version {
		return 0
	}
	return allowance.Available
}

// NextGrant returns the number of the shard's next request to a tenant's ledger.
func (s *State) NextGrant(tenant string) uint64 {
	if allowance := s.Allowances[tenant]; allowance != nil {
		return allowance.NextGrant
	}
	return 1
}

// BudgetVersion returns the budget version of the newest grant to a tenant here.
func (s *State) BudgetVersion(tenant string) uint64 {
	if allowance := s.Allowances[tenant]; allowance != nil {
		return allowance.GrantVersion
	}
	return 0
}
