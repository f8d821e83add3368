package backend

import (
	"context"
	"errors"
	"net"
	"sync"
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
)

// liveness tracks when an instance last sent data and whether its machine responds. A machine
// without power or behind a network partition sends nothing, and a connection attempt to it would
// hang for seconds. It is safe for concurrent use.
type liveness struct {
	mu sync.Mutex
	// lastActivity is when the instance last sent data on any connection.
	lastActivity time.Time
	// probedAt and down are the time and the result of the last probe. probeDone is closed at the
	// end of the current probe; it is nil if none is running.
	probedAt  time.Time
	down      bool
	probeDone chan struct{}
}

// recordActivity records that the instance sent data.
func (l *liveness) recordActivity(now time.Time) {
	l.mu.Lock()
	l.lastActivity = now
	l.mu.Unlock()
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
		down := state.down
		state.mu.Unlock()
		return down
	case state.probeDone == nil:
		state.probeDone = make(chan struct{})
		go p.probe(state, instance)
	}
	done := state.probeDone
	state.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return false
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.down && now.Sub(state.lastActivity) >= idleTimeout
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
	answers := make(chan bool, probeAttempts)
	for attempt := range probeAttempts {
		go func() { answers <- p.probeOnce(ctx, time.Duration(attempt)*probeInterval, instance) }()
	}
	down := true
	for range probeAttempts {
		if <-answers {
			down = false
			cancel()
		}
	}
	state.mu.Lock()
	state.probedAt, state.down = time.Now(), down
	close(state.probeDone)
	state.probeDone = nil
	state.mu.Unlock()
}

// probeOnce makes one connection attempt after a pause and reports whether the machine responds.
func (p *Pool) probeOnce(ctx context.Context, pause time.Duration, instance Instance) bool {
	if pause > 0 && !wait.For(ctx, pause) {
		return false
	}
	p.Opened()
	limit, _ := ctx.Deadline()
	opened, err := peer.Dialer(time.Until(limit)).DialContext(ctx, "tcp", instance.Address)
	if err == nil {
		p.put(instance, newConnection(opened), idleDefault)
		return true
	}
	return !isTimeout(err) && !errors.Is(err, context.Canceled)
}

// isTimeout reports whether an attempt got no response. A refusal or a reset is a response of the
// machine.
func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}
