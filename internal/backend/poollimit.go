package backend

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"swiftbank.dev/swiftbank/internal/wait"
)

// LearnedLimit is the number of connections that an instance was found to accept from this gateway.
type LearnedLimit struct {
	Instance string
	// Connections is the number, 0 if it is not below the gateway's share any more; Open is the number of open ones.
	Connections, Open int
	// TurnedAway is set if the instance has reset a connection that carried a request.
	TurnedAway bool
}

// SetConnectionLimit divides the number of connections that each instance of a service accepts in all among the
// gateways. Half of this gateway's share may be idle.
func (p *Pool) SetConnectionLimit(service string, limit, gateways int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectionShares[service] = max(minConnectionShare, limit/gateways)
	p.idleLimit[service] = max(1, limit/(2*gateways))
}

// OpenConnections returns the number of connections to all instances.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := 0
	for _, limit := range p.limits {
		open += limit.openCount()
	}
	return open
}

// limitOf returns what is known of an instance's limit of connections.
func (p *Pool) limitOf(id string) *connectionLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.limits[id]
	if limit == nil {
		limit = &connectionLimit{}
		p.limits[id] = limit
	}
	return limit
}

// connectionShare returns this gateway's share of the connections to each instance of a service, 0 if they are not bounded.
func (p *Pool) connectionShare(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectionShares[service]
}

// isSettling reports whether the idle connections to an instance may be about to end.
func (p *Pool) isSettling(instance Instance) bool {
	return p.limitOf(instance.ID).isSettling(time.Now())
}

// takeConnection counts a connection that is about to be opened for a request, and reports whether it may be. Where the
// bound is reached, an idle connection that may not carry the request makes room for it.
func (p *Pool) takeConnection(instance Instance) bool {
	limit, share := p.limitOf(instance.ID), p.connectionShare(instance.Service)
	p.CloseExpired(instance.ID)
	if limit.take(share) {
		return true
	}
	p.tryOneMore(instance, limit, share)
	return !p.isSettling(instance) && p.closeIdle(instance.ID) && limit.take(share)
}

// closeIdle closes the idle connection to an instance that has carried the most requests, and reports whether there was
// one.
func (p *Pool) closeIdle(id string) bool {
	p.mu.Lock()
	idle := p.idle[id]
	if len(idle) == 0 {
		p.mu.Unlock()
		return false
	}
	most := mostUsed(idle)
	closing := idle[most]
	p.idle[id] = slices.Delete(idle, most, most+1)
	p.mu.Unlock()
	_ = closing.Close()
	return true
}

// tryOneMore finds out, without blocking, whether an instance accepts one connection more than it was found to, once it
// is time for that.
func (p *Pool) tryOneMore(instance Instance, limit *connectionLimit, share int) {
	if !limit.beginTrial(time.Now(), share) {
		return
	}
	go func() {
		accepted := p.staysOpen(instance)
		p.reportLimit(instance.ID, limit, limit.endTrial(time.Now(), share, accepted), false)
	}()
}

// staysOpen opens a connection without a request, and reports whether the instance keeps it open. It is kept for the next
// request.
func (p *Pool) staysOpen(instance Instance) bool {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout+closingDelay)
	defer cancel()
	opened, err := p.open(ctx, instance)
	if err != nil {
		return false
	}
	wait.For(ctx, closingDelay)
	if !opened.isReusable() {
		_ = opened.Close()
		return false
	}
	p.put(instance, opened, p.idleTimeout(instance.ID))
	return true
}

// recordTurnedAway records that an instance has reset a new connection while others stay open.
func (p *Pool) recordTurnedAway(instance Instance) {
	limit := p.limitOf(instance.ID)
	p.reportLimit(instance.ID, limit, limit.turnedAway(time.Now()), true)
}

func (p *Pool) reportLimit(id string, limit *connectionLimit, learned int, turnedAway bool) {
	if p.LimitLearned != nil {
		p.LimitLearned(LearnedLimit{Instance: id, Connections: learned, Open: limit.openCount(), TurnedAway: turnedAway})
	}
}

// wasTurnedAway reports whether an error of a closed connection means that the instance accepted it only to reset it, as it
// does with those beyond its limit: it was new, and others to the same process are open.
func (c *connection) wasTurnedAway(err error) bool {
	isReset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	return isReset && !c.reused && c.life.IsOpen()
}
