package core

import (
	"maps"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// allowanceFactor is how many worst cases an allowance is asked for at once.
	allowanceFactor = 4
	// allowanceTimeout bounds a request to the ledger.
	allowanceTimeout = 3 * time.Second
	// idleAllowanceLimit is how long an unused allowance is kept.
	idleAllowanceLimit = 15 * time.Second
)

// requestAllowance asks the tenant's ledger for more. One request a tenant and
// shard is under way at a time; the shard's grant number makes repeats harmless.
func (n *Node) requestAllowance(now time.Time, g *group, tenant string, need int64) {
	if g.requesting[tenant] {
		return
	}
	g.requesting[tenant] = true
	number := g.state.NextGrant(tenant)
	payload := GrantPayload{Tenant: tenant, Shard: g.number, Number: number, Want: need * allowanceFactor}
	n.submit(now, n.config.Topology.ShardOfTenant(tenant), payload, 0, now.Add(allowanceTimeout), func(now time.Time, reply Reply, _ bool) {
		n.allowanceAnswered(now, g, tenant, reply)
	})
}

func (n *Node) allowanceAnswered(now time.Time, g *group, tenant string, reply Reply) {
	if reply.Error != nil || reply.Grant.Amount == 0 {
		delete(g.requesting, tenant)
		refusal := reply.Error
		if refusal == nil {
			refusal = verdict.Refuse(verdict.CodeBudgetExhausted, time.Minute, "the tenant's budget is exhausted")
		}
		n.allowanceRefused(now, g, tenant, refusal)
		return
	}
	command := shard.AddAllowance{Tenant: tenant, Number: reply.Grant.Number, Amount: reply.Grant.Amount, Version: reply.Grant.Version}
	proposed := n.propose(now, g, command, func(now time.Time, _ any, _ bool) {
		delete(g.requesting, tenant)
		n.advanceTenant(now, g, tenant)
	})
	if !proposed {
		delete(g.requesting, tenant)
	}
}

// advanceTenant lets the calls that waited for an allowance go on.
func (n *Node) advanceTenant(now time.Time, g *group, tenant string) {
	if !g.leading {
		return
	}
	for _, pending := range waitingForAllowance(n, g, tenant) {
		pending.tries++
		if pending.tries > maxBeginTries {
			n.refusePending(now, g, pending, n.allowanceShort(g, pending))
			continue
		}
		n.advance(now, g, pending)
	}
}

// allowanceShort says why a call's allowance was not enough after several grants:
// the ledger may still give it under an older budget version.
func (n *Node) allowanceShort(g *group, pending *pendingCall) *verdict.Error {
	if g.state.BudgetVersion(pending.request.ID.Key.Tenant) < pending.budgetVersion {
		return verdict.Refuse(verdict.CodeStaleConfig, time.Second, "the tenant's new budget is not known everywhere yet")
	}
	return verdict.Refuse(verdict.CodeBudgetExhausted, time.Minute, "the tenant's budget does not cover the call")
}

func (n *Node) allowanceRefused(now time.Time, g *group, tenant string, refusal *verdict.Error) {
	notRun := *refusal
	notRun.Verdict = verdict.NotRun // only the allowance was asked for, the call itself stayed here
	for _, pending := range waitingForAllowance(n, g, tenant) {
		n.refusePending(now, g, pending, &notRun)
	}
}

// waitingForAllowance returns the tenant's calls that are neither queued nor proposed.
func waitingForAllowance(n *Node, g *group, tenant string) []*pendingCall {
	var list []*pendingCall
	for _, key := range sortedKeys(g.pending) {
		pending := g.pending[key]
		if key.Tenant != tenant || pending.proposed || pending.reserve == 0 || n.scheduler.Queued(pending.request.ID) {
			continue
		}
		list = append(list, pending)
	}
	return list
}

// serveGrant gives an allowance out of the ledger kept in this shard.
func (n *Node) serveGrant(now time.Time, g *group, from waiter, payload GrantPayload) {
	tenant, version, found := n.catalogue.Tenant(payload.Tenant)
	if !found {
		n.respond(now, from, Reply{Error: verdict.Refuse(verdict.CodeUnauthorized, 0, "the tenant is not declared")})
		return
	}
	command := shard.Grant{
		Tenant: payload.Tenant, Shard: payload.Shard, Number: payload.Number,
		Want: payload.Want, Limit: tenant.BudgetTokens, Version: version,
	}
	proposed := n.propose(now, g, command, func(now time.Time, result any, applied bool) {
		if !applied {
			n.respondNotLeader(now, from)
			return
		}
		n.respond(now, from, Reply{Grant: result.(shard.GrantResult).Record})
	})
	if !proposed {
		n.respondNotLeader(now, from)
	}
}

// serveCredit takes an unspent allowance back into the ledger.
func (n *Node) serveCredit(now time.Time, g *group, from waiter, payload CreditPayload) {
	command := shard.CreditReturn{Tenant: payload.Tenant, Shard: payload.Shard, Number: payload.Number, Amount: payload.Amount}
	proposed := n.propose(now, g, command, func(now time.Time, _ any, applied bool) {
		if !applied {
			n.respondNotLeader(now, from)
			return
		}
		n.respond(now, from, Reply{})
	})
	if !proposed {
		n.respondNotLeader(now, from)
	}
}

// maintainAllowances returns what is idle or outdated to the ledgers.
func (n *Node) maintainAllowances(now time.Time, g *group) {
	for _, tenant := range slices.Sorted(maps.Keys(g.state.Allowances)) {
		allowance := g.state.Allowances[tenant]
		_, version, _ := n.catalogue.Tenant(tenant)
		outdated := version > allowance.Version
		if _, known := g.lastReserved[tenant]; !known {
			g.lastReserved[tenant] = now
		}
		idle := now.Sub(g.lastReserved[tenant]) > idleAllowanceLimit
		if allowance.Available > 0 && (outdated || idle) {
			n.propose(now, g, shard.ReturnAllowance{Tenant: tenant, Version: version}, nil)
		}
		n.sendReturn(now, g, tenant, allowance)
	}
}

func (n *Node) sendReturn(now time.Time, g *group, tenant string, allowance *shard.Allowance) {
	number, amount, pending := allowance.OldestReturn()
	if !pending || g.returning[tenant] {
		return
	}
	g.returning[tenant] = true
	payload := CreditPayload{Tenant: tenant, Shard: g.number, Number: number, Amount: amount}
	n.submit(now, n.config.Topology.ShardOfTenant(tenant), payload, 0, now.Add(allowanceTimeout), func(now time.Time, reply Reply, _ bool) {
		delete(g.returning, tenant)
		if reply.Error == nil {
			n.propose(now, g, shard.ReturnDone{Tenant: tenant, Number: number}, nil)
		}
	})
}
