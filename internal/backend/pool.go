package backend

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"swiftbank.dev/swiftbank/internal/peer"
)

const (
	// connectTimeout bounds the wait for a connection to an instance.
	connectTimeout = 300 * time.Millisecond
	// idleDefault is how long a connection may stay idle if the instance does not specify it;
	// idleMargin is subtracted from what the instance specifies.
	idleDefault = 4 * time.Second
	idleMargin  = 600 * time.Millisecond
)

// Pool holds idle connections to instances. It is safe for concurrent use.
type Pool struct {
	// Opened is called for each new connection, for metrics.
	Opened func()
	// ResendOpened is called for those that are opened for refused requests, UnsolicitedReceived for each answer that
	// belongs to no request. Both may be nil.
	ResendOpened        func()
	UnsolicitedReceived func(UnsolicitedAnswer)
	// LimitLearned is called when an instance was found to accept another number of connections than before; it may be
	// nil.
	LimitLearned func(LearnedLimit)
	// dialed is called with the time that opening a connection took, for the cost of the network
	// path. It may be nil.
	dialed func(instance Instance, took time.Duration)
	// isOtherRegion reports whether a zone is in another region; nil means that there is only one
	// region.
	isOtherRegion func(zone string) bool

	mu   sync.Mutex
	idle map[string][]*connection
	// idleLimit bounds the idle connections to each instance, by service.
	idleLimit map[string]int
	// connectionShares bounds all connections to each instance, by service; limits holds what is known of each instance.
	connectionShares map[string]int
	limits           map[string]*connectionLimit
	// livenessByID holds the liveness of each instance.
	livenessByID map[string]*liveness
	// forgotten are the removed instances whose liveness is still kept, the oldest first.
	forgotten []forgottenInstance
	// resends holds the budgets of the instances that refused requests.
	resends map[string]*resendBudget
	// idleTimeouts holds how long connections may stay idle, by instance, as its last answer said.
	idleTimeouts map[string]time.Duration
}

// NewPool returns an empty pool. The callback is called for each new connection.
func NewPool(opened func()) *Pool {
	return &Pool{
		Opened: opened, idle: map[string][]*connection{}, idleLimit: map[string]int{}, connectionShares: map[string]int{}, limits: map[string]*connectionLimit{}, livenessByID: map[string]*liveness{},
		resends: map[string]*resendBudget{}, idleTimeouts: map[string]time.Duration{},
	}
}

// UseOtherRegion sets the function that reports whether a zone is in another region. It must be
// called before the first request.
func (p *Pool) UseOtherRegion(isOtherRegion func(zone string) bool) { p.isOtherRegion = isOtherRegion }

// acquire returns an idle connection that is still usable and has not carried the call's id, or a new one, within the
// bounds for both.
func (p *Pool) acquire(ctx context.Context, instance Instance, call Call) (*connection, error) {
	idHash := hashOf(call.id())
	for !call.NewConnection && !p.isSettling(instance) {
		kept := p.pop(instance.ID, idHash)
		if kept == nil {
			break
		}
		if kept.isReusable() && !kept.life.isOrphan(kept) {
			kept.reused = true
			return kept, nil
		}
		_ = kept.Close()
	}
	if call.Resend && !p.takeResend(instance) {
		return nil, errNoResend
	}
	if !p.takeConnection(instance) {
		return nil, errNoConnection
	}
	if call.Resend && p.ResendOpened != nil {
		p.ResendOpened()
	}
	return p.open(ctx, instance)
}

// dial opens a connection to the instance whatever the bound.
func (p *Pool) dial(ctx context.Context, instance Instance) (*connection, error) {
	p.limitOf(instance.ID).add()
	return p.open(ctx, instance)
}

// open opens a connection to the instance that counts as open already.
func (p *Pool) open(ctx context.Context, instance Instance) (*connection, error) {
	p.Opened()
	limit := p.limitOf(instance.ID)
	began := time.Now()
	opened, err := peer.Dialer(connectTimeout).DialContext(ctx, "tcp", instance.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.livenessOf(instance.ID).recordRefusal(time.Now())
	}
	if err != nil {
		limit.release()
		return nil, err
	}
	if p.dialed != nil {
		p.dialed(instance, time.Since(began))
	}
	accepted := newConnection(opened, limit)
	p.joinLife(instance, accepted)
	return accepted, nil
}

// isIdle reports whether there is an idle connection to the instance on which the request may be sent.
func (p *Pool) isIdle(id, requestID string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lastUsable(p.idle[id], time.Now(), hashOf(requestID)) >= 0
}

// isConnected reports whether an idle connection to the instance is open: the process that accepted it lives.
func (p *Pool) isConnected(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[id]
	return len(kept) > 0 && kept[len(kept)-1].isReusable()
}

// idleInstances returns the ids of the instances with an idle connection, sorted.
func (p *Pool) idleInstances() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var ids []string
	for id, kept := range p.idle {
		if len(kept) > 0 && now.Before(kept[len(kept)-1].idleUntil) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// lastUsable returns the index of the most recently used connection that has not expired and has not carried a request
// whose id has the hash, -1 if there is none.
func lastUsable(kept []*connection, now time.Time, idHash uint64) int {
	for index, connection := range slices.Backward(kept) {
		if now.Before(connection.idleUntil) && !connection.hasCarried(idHash) {
			return index
		}
	}
	return -1
}

// pop removes and returns the most recently used connection on which the request may be sent, nil if there is none.
// It closes the connections that have expired.
func (p *Pool) pop(instance string, idHash uint64) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.closeExpired(now, instance)
	kept := p.idle[instance]
	index := lastUsable(kept, now, idHash)
	if index < 0 {
		return nil
	}
	last := kept[index]
	p.idle[instance] = slices.Delete(kept, index, index+1)
	return last
}

// reserveIdle makes the idle connection of a life that may stay idle longest the witness of the life, if there is one for
// long enough, and reports whether there is. It saves a new connection.
func (p *Pool) reserveIdle(id string, life *Life, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := -1
	for index, idle := range p.idle[id] {
		if idle.idleUntil.Sub(now) < lifeRenewal || !life.isSettled(idle) || !idle.isReusable() {
			continue
		}
		if longest < 0 || idle.idleUntil.After(p.idle[id][longest].idleUntil) {
			longest = index
		}
	}
	if longest < 0 || !life.reserve(p.idle[id][longest], now) {
		return false
	}
	p.idle[id] = slices.Delete(p.idle[id], longest, longest+1)
	return true
}

// closeExpired closes the idle connections to an instance that have expired. The caller must hold the lock.
func (p *Pool) closeExpired(now time.Time, instance string) {
	if len(p.idle[instance]) == 0 {
		return
	}
	p.idle[instance] = slices.DeleteFunc(p.idle[instance], func(idle *connection) bool {
		expired := !now.Before(idle.idleUntil)
		if expired {
			_ = idle.closeExpired()
		}
		return expired
	})
}

// putAnswered keeps a connection on which the instance has answered, and has said how long it may stay idle.
func (p *Pool) putAnswered(instance Instance, kept *connection, idle time.Duration) {
	p.mu.Lock()
	p.idleTimeouts[instance.ID] = idle
	p.mu.Unlock()
	p.put(instance, kept, idle)
}

// idleTimeout returns how long a connection to an instance may stay idle that has carried no request.
func (p *Pool) idleTimeout(id string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle, known := p.idleTimeouts[id]; known {
		return idle
	}
	return idleDefault
}

// put keeps a connection for the next request. If the idle limit is reached, it closes the connection that has carried
// the most requests, which is of use to the fewest.
func (p *Pool) put(instance Instance, kept *connection, idle time.Duration) {
	kept.idleUntil = time.Now().Add(idle)
	p.mu.Lock()
	all := append(p.idle[instance.ID], kept)
	var evicted *connection
	if limit, bounded := p.idleLimit[instance.Service]; bounded && len(all) > limit {
		most := mostUsed(all)
		evicted = all[most]
		all = slices.Delete(all, most, most+1)
	}
	p.idle[instance.ID] = all
	p.mu.Unlock()
	if evicted != nil {
		_ = evicted.Close()
	}
}

// mostUsed returns the index of the connection that has carried the most requests, the longest idle one of equals.
func mostUsed(idle []*connection) int {
	most := 0
	for index, connection := range idle {
		if len(connection.carried) > len(idle[most].carried) {
			most = index
		}
	}
	return most
}

// putBack returns a connection that was acquired but not used.
func (p *Pool) putBack(instance Instance, unused *connection) {
	idle := idleDefault
	if unused.reused {
		idle = time.Until(unused.idleUntil)
	}
	p.put(instance, unused, idle)
}

// Forget removes all state of an instance that was removed, and closes its idle connections.
func (p *Pool) Forget(id string) {
	p.mu.Lock()
	p.forgetLiveness(time.Now(), id)
	delete(p.resends, id)
	delete(p.idleTimeouts, id)
	p.mu.Unlock()
	p.retireIdle(id)
}

// retireIdle withdraws the idle connections to an instance from use. After an instance has broken off a request, its
// other connections are probably dead too: each would cost one more request that may have run, whereas a new
// connection that is refused costs none. One that is open becomes the witness of its life if that has none, for as long as
// the instance keeps it.
func (p *Pool) retireIdle(id string) {
	p.mu.Lock()
	p.closeExpired(time.Now(), id)
	retired := p.idle[id]
	delete(p.idle, id)
	p.mu.Unlock()
	for _, connection := range retired {
		if !connection.isReusable() || !connection.life.retain(connection, time.Now()) {
			_ = connection.Close()
		}
	}
}
