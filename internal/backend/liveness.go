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
	// checkTries is how many opening packets must stay unanswered before an instance's machine
	// counts as gone, checkPause apart: some may be lost, meet a full queue of new
	// connections, or find this process itself without the processor.
	checkTries = 3
	checkPause = 100 * time.Millisecond
	// checkNear and checkFar are how long the first of them may stay unanswered, in the own
	// region and in another one: the link there is shared, and when it is full a round trip
	// takes several times as long. An instance wrongly taken for gone may still be running the
	// request that is retried elsewhere.
	checkNear = 300 * time.Millisecond
	checkFar  = 900 * time.Millisecond
	// checkLife is how long the result of a check holds for all requests there.
	checkLife = 250 * time.Millisecond
)

// liveness is when an instance was last heard of, and whether its machine answers. A
// machine without power, or behind a cut, says nothing, and a connection to it would hang
// for seconds. It is safe for concurrent use.
type liveness struct {
	mu sync.Mutex
	// heardAt is when it last sent anything on any connection.
	heardAt time.Time
	// checkedAt and gone are the last check's; done is closed at the end of a check under
	// way, nil while there is none.
	checkedAt time.Time
	gone      bool
	done      chan struct{}
}

// heard notes that the instance sent something.
func (l *liveness) heard(now time.Time) {
	l.mu.Lock()
	l.heardAt = now
	l.mu.Unlock()
}

// RecordActivity notes that an instance sent something.
func (p *Pool) RecordActivity(now time.Time, id string) { p.livenessOf(id).heard(now) }

func (p *Pool) livenessOf(id string) *liveness {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.alive[id]
	if known == nil {
		known = &liveness{}
		p.alive[id] = known
	}
	return known
}

// IsDown reports whether an instance that sent a request nothing for the idle timeout is out
// of reach. It asks the instance's machine only if no other request has heard of it
// either; concurrent callers share one check.
func (p *Pool) IsDown(ctx context.Context, instance Instance, idleTimeout time.Duration) bool {
	known := p.livenessOf(instance.ID)
	known.mu.Lock()
	now := time.Now()
	switch {
	case now.Sub(known.heardAt) < idleTimeout:
		known.mu.Unlock()
		return false
	case known.done == nil && now.Sub(known.checkedAt) < checkLife:
		gone := known.gone
		known.mu.Unlock()
		return gone
	case known.done == nil:
		known.done = make(chan struct{})
		go p.check(known, instance)
	}
	done := known.done
	known.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return false
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	return known.gone && now.Sub(known.heardAt) >= idleTimeout
}

// check finds out whether the instance's machine answers. The connection is kept for the
// next request.
func (p *Pool) check(known *liveness, instance Instance) {
	limit := checkNear
	if p.far != nil && p.far(instance.Zone) {
		limit = checkFar
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	answers := make(chan bool, checkTries)
	for try := range checkTries {
		go func() { answers <- p.answersAt(ctx, time.Duration(try)*checkPause, instance) }()
	}
	gone := true
	for range checkTries {
		if <-answers {
			gone = false
			cancel()
		}
	}
	known.mu.Lock()
	known.checkedAt, known.gone = time.Now(), gone
	close(known.done)
	known.done = nil
	known.mu.Unlock()
}

// answersAt sends one opening packet after a pause and reports whether the machine answers.
func (p *Pool) answersAt(ctx context.Context, pause time.Duration, instance Instance) bool {
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

// isTimeout reports whether nothing answered. A refusal or a reset is an answer of the
// machine.
func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}
