package backend

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// probeAttempts is how many SYN packets, sent probeInterval apart, must stay unanswered before
	// an instance's machine counts as down: packets may be lost, meet a full accept queue, or be
	// delayed because this process gets no CPU time.
	probeAttempts = 3
	probeInterval = 100 * time.Millisecond
	// sameRegionProbeTimeout and otherRegionProbeTimeout are how long the first attempt may stay
	// unanswered, by the instance's region. The link between regions is shared, and a round trip
	// takes several times as long when it is saturated. An instance wrongly considered down may
	// still be running the request that is retried elsewhere.
	sameRegionProbeTimeout  = 300 * time.Millisecond
	otherRegionProbeTimeout = 900 * time.Millisecond
	// probeResultTTL is how long the result of a probe is used for all requests to the instance.
	probeResultTTL = 250 * time.Millisecond
	// refreshTTL is how long it is used for lost runs that are checked at the same time.
	refreshTTL = 50 * time.Millisecond
	// lifeRenewal is how long a connection must stay open to become the witness of a life, and how long a life is followed
	// after it last mattered.
	lifeRenewal = 2 * time.Second
	// witnessMargin is how long before the instance may close it a witness is replaced.
	witnessMargin = 500 * time.Millisecond
	// forgottenTTL is how long it is known whether the address of a removed instance refused connections.
	forgottenTTL = 10 * time.Second
)

// liveness tracks when an instance last sent data and whether its machine responds. A machine
// without power or behind a network partition sends nothing, and a connection attempt to it would
// hang for seconds. It is safe for concurrent use.
type liveness struct {
	mu sync.Mutex
	// lastActivity is when the instance last sent data on any connection, refusedAt when its address last refused
	// one.
	lastActivity, refusedAt time.Time
	// life is the last known life of the instance.
	life *Life
	// probedAt and contact are the time and the result of the last probe, probeStarted is when it or the
	// current one began. probeDone is closed at the end of the current probe; it is nil if none is running.
	probeStarted, probedAt time.Time
	contact                Contact
	probeDone              chan struct{}
}

// Contact is the result of a connection attempt to an instance.
type Contact uint8

const (
	// NoContact means that the instance's machine did not answer, or that it was not tried.
	NoContact Contact = iota
	// Refused means that nothing listens at the address: the instance's process has ended.
	Refused
	// Accepted means that something accepts connections at the address, which may be another instance.
	Accepted
)

// String returns the name used in logs.
func (c Contact) String() string { return [...]string{"no_contact", "refused", "accepted"}[c] }

// recordActivity records that the instance sent data.
func (l *liveness) recordActivity(now time.Time) {
	l.mu.Lock()
	l.lastActivity = now
	l.mu.Unlock()
}

// recordRefusal records that the instance's address refused a connection.
func (l *liveness) recordRefusal(now time.Time) {
	l.mu.Lock()
	l.refusedAt = now
	l.mu.Unlock()
}

// RecordEnd records that the instance does not have its address any more.
func (p *Pool) RecordEnd(now time.Time, id string) { p.livenessOf(id).recordRefusal(now) }

// HasRefusedSince reports whether the instance's address has refused a connection since the given time: then its
// process ended at some time before.
func (p *Pool) HasRefusedSince(id string, since time.Time) bool {
	state := p.livenessOf(id)
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.refusedAt.After(since)
}

// forgottenInstance is a removed instance whose liveness is still kept.
type forgottenInstance struct {
	id string
	at time.Time
}

// forgetLiveness drops the liveness and the limits of instances that were removed some time ago, and later those of the
// given one. The caller must hold the lock.
func (p *Pool) forgetLiveness(now time.Time, id string) {
	p.forgotten = append(p.forgotten, forgottenInstance{id: id, at: now})
	expired := 0
	for expired < len(p.forgotten) && now.Sub(p.forgotten[expired].at) >= forgottenTTL {
		delete(p.livenessByID, p.forgotten[expired].id)
		delete(p.limits, p.forgotten[expired].id)
		expired++
	}
	p.forgotten = slices.Delete(p.forgotten, 0, expired)
}

// RecordActivity records that an instance sent data.
func (p *Pool) RecordActivity(now time.Time, id string) { p.livenessOf(id).recordActivity(now) }

func (p *Pool) livenessOf(id string) *liveness {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.livenessByID[id]
	if state == nil {
		state = &liveness{}
		p.livenessByID[id] = state
	}
	return state
}

// IsDown reports whether an instance that has sent nothing on a request for the idle timeout is
// unreachable. It probes the instance's machine only if no other request received data from the
// instance either. Concurrent callers share one probe; false is returned if the context ends first.
func (p *Pool) IsDown(ctx context.Context, instance Instance, idleTimeout time.Duration) bool {
	state := p.livenessOf(instance.ID)
	state.mu.Lock()
	now := time.Now()
	switch {
	case now.Sub(state.lastActivity) < idleTimeout:
		state.mu.Unlock()
		return false
	case state.probeDone == nil && now.Sub(state.probedAt) < probeResultTTL:
		down := state.contact == NoContact
		state.mu.Unlock()
		return down
	}
	done := p.startProbe(now, state, instance)
	state.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return false
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.contact == NoContact && now.Sub(state.lastActivity) >= idleTimeout
}

// startProbe starts a probe unless one is running, and returns the channel that is closed at its end. The
// caller must hold the lock of the state.
func (p *Pool) startProbe(now time.Time, state *liveness, instance Instance) <-chan struct{} {
	if state.probeDone == nil {
		state.probeDone, state.probeStarted = make(chan struct{}), now
		go p.probe(state, instance)
	}
	return state.probeDone
}

// ContactSince returns the result of a probe that began after the given time. Concurrent callers share one
// probe. known is false if the context ends first.
func (p *Pool) ContactSince(ctx context.Context, instance Instance, since time.Time) (contact Contact, known bool) {
	state := p.livenessOf(instance.ID)
	for {
		state.mu.Lock()
		if state.probeDone == nil && state.probeStarted.After(since) {
			defer state.mu.Unlock()
			return state.contact, true
		}
		done := p.startProbe(time.Now(), state, instance)
		state.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return NoContact, false
		}
	}
}

// FollowLife checks on an instance without blocking, so that it becomes known whether a life of it goes on after the given
// time: it keeps a witness, and contacts the life once after that time. HasRefusedSince and the life tell the result.
func (p *Pool) FollowLife(instance Instance, life *Life, after time.Time) {
	confirmedAt := life.ConfirmedAt()
	if time.Now().After(after) && !confirmedAt.After(after) {
		life.Follow(time.Now())
		p.contact(instance)
		return
	}
	p.KeepWitness(instance, life)
}

// KeepWitness makes sure, without blocking, that a witness shows whether a life goes on. If the life is over,
// HasRefusedSince tells whether the instance is gone.
func (p *Pool) KeepWitness(instance Instance, life *Life) {
	now := time.Now()
	p.CloseExpired(instance.ID)
	life.Follow(now)
	switch {
	case life.hasWitnessFor(now, witnessMargin):
	case !life.IsOpen() && p.isConnected(instance.ID): // another life has begun
	case p.reserveIdle(instance.ID, life, now):
	default:
		p.contact(instance)
	}
}

// contact starts a probe of an instance unless one has just ended. The connection that it opens becomes the witness of the
// life that it belongs to, if that is followed and has none.
func (p *Pool) contact(instance Instance) {
	now := time.Now()
	state := p.livenessOf(instance.ID)
	state.mu.Lock()
	defer state.mu.Unlock()
	if now.Sub(state.probedAt) >= refreshTTL {
		p.startProbe(now, state, instance)
	}
}

// Witness makes sure that a connection to a life is open besides those that carry requests: if it breaks as well, the
// process has ended, and if it stays open, it has not. It takes closingDelay where a connection has just broken. It
// reports false if the life is over.
func (p *Pool) Witness(ctx context.Context, instance Instance, life *Life) bool {
	life.awaitSettled(ctx)
	now := time.Now()
	life.Follow(now)
	if life.hasWitnessFor(now, lifeRenewal) || p.reserveIdle(instance.ID, life, now) {
		return true
	}
	opened, err := p.dial(ctx, instance)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	p.keepProbe(instance, opened)
	life.awaitSettled(ctx)
	return opened.life == life && life.IsOpen()
}

// LastActivity returns when an instance last sent data on any connection; zero if it never did.
func (p *Pool) LastActivity(id string) time.Time {
	state := p.livenessOf(id)
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.lastActivity
}

// probe checks whether the instance's machine responds. Connections that it opens are kept for the
// next request.
func (p *Pool) probe(state *liveness, instance Instance) {
	limit := sameRegionProbeTimeout
	if p.isOtherRegion != nil && p.isOtherRegion(instance.Zone) {
		limit = otherRegionProbeTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	answers := make(chan Contact, probeAttempts)
	for attempt := range probeAttempts {
		go func() { answers <- p.probeOnce(ctx, time.Duration(attempt)*probeInterval, instance) }()
	}
	contact := NoContact
	for range probeAttempts {
		if answer := <-answers; answer != NoContact {
			contact = max(contact, answer)
			cancel()
		}
	}
	state.mu.Lock()
	state.probedAt, state.contact = time.Now(), contact
	if contact == Refused {
		state.refusedAt = state.probedAt
	}
	close(state.probeDone)
	state.probeDone = nil
	state.mu.Unlock()
}

// probeOnce makes one connection attempt after a pause.
func (p *Pool) probeOnce(ctx context.Context, pause time.Duration, instance Instance) Contact {
	if pause > 0 && !wait.For(ctx, pause) {
		return NoContact
	}
	p.Opened()
	limit := p.limitOf(instance.ID)
	limit.add()
	deadline, _ := ctx.Deadline()
	opened, err := peer.Dialer(time.Until(deadline)).DialContext(ctx, "tcp", instance.Address)
	if err != nil {
		limit.release()
	}
	switch {
	case err == nil:
		accepted := newConnection(opened, limit)
		p.joinLife(instance, accepted)
		p.keepProbe(instance, accepted)
		return Accepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case isTimeout(err) || errors.Is(err, context.Canceled):
		return NoContact
	default:
		return Accepted // another error, such as a reset, is an answer of the machine
	}
}

// isTimeout reports whether an attempt got no response. A refusal or a reset is a response of the
// machine.
func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}
