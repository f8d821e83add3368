package core

import (
	"cmp"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/declaration"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// limitRetry is zero: a program that reached its limit is not helped by waiting.
const limitRetry = 0

// prepare works out what a call may do and what it may cost.
func (n *Node) prepare(now time.Time, g *group, payload CallPayload) (*pendingCall, *verdict.Error) {
	request := payload.Request
	if n.catalogue.Revision() < g.state.ConfigFloor {
		return nil, verdict.Refuse(verdict.CodeStaleConfig, time.Second, "this node's configuration is behind")
	}
	tenant, tenantRevision, found := n.catalogue.Tenant(request.ID.Key.Tenant)
	if !found {
		return nil, verdict.Refuse(verdict.CodeUnauthorized, 0, "the tenant is not declared")
	}
	session := g.state.Sessions[request.ID.Key]
	if session != nil && request.Template != "" && request.Template != session.Template {
		return nil, verdict.Refuse(verdict.CodeBadRequest, 0, "the session was opened with another template")
	}
	if session != nil {
		request.Template = session.Template
	}
	template, revision, found := n.catalogue.Template(request.Template)
	if !found {
		return nil, verdict.Refuse(verdict.CodeNotFound, 0, "template %q is not declared", request.Template)
	}
	instance, found := n.catalogue.InstanceFor(request.ID.Key.Tenant, request.Template)
	if !found {
		return nil, verdict.Refuse(verdict.CodeNotPermitted, 0, "template %q is not instantiated for this tenant", request.Template)
	}
	pending := &pendingCall{
		request: request, template: template, templateRevision: revision,
		limits:        declaration.MergeLimits(instance.Limits, tenant.Limits, template.Limits),
		budgetVersion: tenantRevision, priority: tenant.Priority,
	}
	if session != nil {
		pending.limits = session.Limits
	}
	if refusal := pending.checkPermitted(&tenant); refusal != nil {
		return nil, refusal
	}
	if refusal := checkLimits(now, session, pending.limits); refusal != nil {
		return nil, refusal
	}
	pending.price(session)
	return pending, nil
}

// checkPermitted refuses services and models that the tenant or template does not allow.
func (p *pendingCall) checkPermitted(tenant *declaration.Tenant) *verdict.Error {
	switch p.request.Kind {
	case shard.EngineCall:
		p.request.Service = p.template.Service
		p.request.Model = cmp.Or(p.request.Model, p.template.Model)
		if p.request.Model != p.template.Model && !slices.Contains(tenant.PermittedModels, p.request.Model) {
			return verdict.Refuse(verdict.CodeNotPermitted, 0, "model %q is not permitted", p.request.Model)
		}
	case shard.ToolCall:
		if !slices.Contains(p.template.Tools, p.request.Service) || !slices.Contains(tenant.PermittedTools, p.request.Service) {
			return verdict.Refuse(verdict.CodeNotPermitted, 0, "tool %q is not permitted", p.request.Service)
		}
	case shard.ApplicationCall:
		if !slices.Contains(p.template.Applications, p.request.Service) {
			return verdict.Refuse(verdict.CodeNotPermitted, 0, "application %q is not permitted", p.request.Service)
		}
	}
	return nil
}

// checkLimits refuses a call of a program that has used up its turns, tokens or time.
func checkLimits(now time.Time, session *shard.Session, limits shard.Limits) *verdict.Error {
	if session == nil {
		return nil
	}
	switch {
	case limits.Turns > 0 && int64(len(session.Calls)) >= limits.Turns:
		return verdict.Refuse(verdict.CodeLimitReached, limitRetry, "the session has had its %d calls", limits.Turns)
	case limits.Tokens > 0 && session.ServedTokens >= limits.Tokens:
		return verdict.Refuse(verdict.CodeLimitReached, limitRetry, "the session has used its %d tokens", limits.Tokens)
	case limits.WallTime > 0 && now.Sub(session.StartedAt) >= limits.WallTime:
		return verdict.Refuse(verdict.CodeLimitReached, limitRetry, "the session has run for its %s", limits.WallTime)
	}
	return nil
}

// price works out the prompt and the worst case of an engine call, in tokens.
func (p *pendingCall) price(session *shard.Session) {
	if p.request.Kind != shard.EngineCall {
		return
	}
	if p.request.MaxTokens <= 0 || p.request.MaxTokens > p.template.MaxCompletionTokens {
		p.request.MaxTokens = p.template.MaxCompletionTokens
	}
	p.promptTokens = p.request.BodyTokens
	if session != nil {
		p.promptTokens += session.HistoryTokens
	}
	p.reserve = p.promptTokens + p.request.MaxTokens
}
