package backend

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"swiftbank.dev/swiftbank/internal/peer"
)

const (
	// connectTimeout bounds the wait for a connection to an instance.
	connectTimeout = 300 * time.Millisecond
	// idleDefault is how long a kept connection may rest when the instance does not
	// say; idleMargin is kept away from what it says.
	idleDefault = 4 * time.Second
	idleMargin  = 600 * time.Millisecond
	// readBuffer is the size of a connection's read buffer.
	readBuffer = 4 << 10
)

// connection is one connection to an instance. It carries one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// reused is true from the second request on.
	reused bool
	// idleUntil is when the instance may close it.
	idleUntil time.Time
}

// Pool keeps connections to instances. It is safe for concurrent use.
type Pool struct {
	// Opened counts new connections, for the metrics.
	Opened func()
	// dialed is told how long opening a connection took, for the price of the network path.
	dialed func(instance Instance, took time.Duration)
	// far reports whether a zone is in another region; nil knows of none.
	far func(zone string) bool

	mu   sync.Mutex
	idle map[string][]*connection
	// idleLimit bounds the resting connections to one instance, by service.
	idleLimit map[string]int
	// alive is what is known of each instance's machine.
	alive map[string]*liveness
}

// NewPool returns an empty pool.
func NewPool(opened func()) *Pool {
	return &Pool{Opened: opened, idle: map[string][]*connection{}, idleLimit: map[string]int{}, alive: map[string]*liveness{}}
}

// UseOtherRegion tells the pool which zones are in another region. It must be called before the first
// request.
func (p *Pool) UseOtherRegion(far func(zone string) bool) { p.far = far }

// take returns a kept connection that is still sound, or a new one.
func (p *Pool) take(ctx context.Context, instance Instance, fresh bool) (*connection, error) {
	now := time.Now()
	for !fresh {
		kept := p.pop(instance.ID)
		if kept == nil {
			break
		}
		if now.Before(kept.idleUntil) && quiet(kept.Conn) {
			kept.reused = true
			return kept, nil
		}
		_ = kept.Close()
	}
	p.Opened()
	opened, err := peer.Dialer(connectTimeout).DialContext(ctx, "tcp", instance.Address)
	if err != nil {
		return nil, err
	}
	if p.dialed != nil {
		p.dialed(instance, time.Since(now))
	}
	return newConnection(opened), nil
}

func newConnection(opened net.Conn) *connection {
	return &connection{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer)}
}

// isIdle reports whether there is an idle connection to the instance to be used.
func (p *Pool) isIdle(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return usable(p.idle[id], time.Now())
}

// idleInstances returns the instances with an idle connection, in the order of their ids.
func (p *Pool) idleInstances() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var ids []string
	for id, kept := range p.idle {
		if usable(kept, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// usable reports whether the connection that was used last may still be used.
func usable(kept []*connection, now time.Time) bool {
	return len(kept) > 0 && now.Before(kept[len(kept)-1].idleUntil)
}

// pop takes the connection that was used last.
func (p *Pool) pop(id string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[id]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	p.idle[id] = kept[:len(kept)-1]
	return last
}

// put keeps a connection for the next request, unless as many rest as may.
func (p *Pool) put(instance Instance, kept *connection, idle time.Duration) {
	kept.idleUntil = time.Now().Add(idle)
	p.mu.Lock()
	limit, bounded := p.idleLimit[instance.Service]
	full := bounded && len(p.idle[instance.ID]) >= limit
	if !full {
		p.idle[instance.ID] = append(p.idle[instance.ID], kept)
	}
	p.mu.Unlock()
	if full {
		_ = kept.Close()
	}
}

// putBack keeps a connection that was taken and not used.
func (p *Pool) putBack(instance Instance, unused *connection) {
	rest := idleDefault
	if unused.reused {
		rest = time.Until(unused.idleUntil)
	}
	p.put(instance, unused, rest)
}

// SetIdleLimit bounds the connections that may rest to each instance of a service:
// an instance accepts so many from all gateways together, resting ones included.
func (p *Pool) SetIdleLimit(service string, limit int) {
	p.mu.Lock()
	p.idleLimit[service] = limit
	p.mu.Unlock()
}

// Forget closes the kept connections of an instance that is gone.
func (p *Pool) Forget(id string) {
	p.mu.Lock()
	delete(p.alive, id)
	p.mu.Unlock()
	p.closeIdle(id)
}

// closeIdle closes the kept connections to an instance. Those of one that broke a request off
// are probably as dead as the one that was used: each would cost one more request that may
// have run, where a new connection that is refused costs none.
func (p *Pool) closeIdle(id string) {
	p.mu.Lock()
	kept := p.idle[id]
	delete(p.idle, id)
	p.mu.Unlock()
	for _, connection := range kept {
		_ = connection.Close()
	}
}

// quiet reports whether a resting connection is open and has nothing to read. Bytes
// that came unasked belong to no request.
func quiet(connection net.Conn) bool {
	raw, err := connection.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	var one [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, receiveErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = receiveErr == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}
