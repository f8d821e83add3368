package backend

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"swiftbank.dev/swiftbank/internal/peer"
)

const (
	// checkTimeout is how long an instance's machine may take to accept a connection, and
	// checkTries how many opening packets must stay unanswered before it counts as gone:
	// some may be lost, meet a full queue of new connections, or find this process itself
	// without the processor.
	checkTimeout = 100 * time.Millisecond
	checkTries   = 3
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

// Heard notes that an instance sent something.
func (p *Pool) Heard(now time.Time, id string) { p.livenessOf(id).heard(now) }

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

// Gone reports whether an instance that sent a request nothing for the idle timeout is out
// of reach. It asks the instance's machine only if no other request has heard of it
// either; concurrent callers share one check.
func (p *Pool) Gone(ctx context.Context, instance Instance, idleTimeout time.Duration) bool {
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
	gone := true
	for try := 0; try < checkTries && gone; try++ {
		p.Opened()
		opened, err := peer.Dialer(checkTimeout).DialContext(context.Background(), "tcp", instance.Address)
		if err == nil {
			p.put(instance, newConnection(opened), idleDefault)
		}
		gone = isTimeout(err)
	}
	known.mu.Lock()
	known.checkedAt, known.gone = time.Now(), gone
	close(known.done)
	known.done = nil
	known.mu.Unlock()
}

// isTimeout reports whether nothing answered. A refusal or a reset is an answer of the
// machine.
func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}
