package backend

import (
	"bufio"
	"context"
	"errors"
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
	// idleDefault is how long a connection may stay idle if the instance does not specify it;
	// idleMargin is subtracted from what the instance specifies.
	idleDefault = 4 * time.Second
	idleMargin  = 600 * time.Millisecond
	// readBuffer is the size of a connection's read buffer.
	readBuffer = 4 << 10
)

// connection is a connection to an instance. It carries one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// reused is set from the second request on.
	reused bool
	// idleUntil is when the instance may close the connection.
	idleUntil time.Time
}

// Pool holds idle connections to instances. It is safe for concurrent use.
type Pool struct {
	// Opened is called for each new connection, for metrics.
	Opened func()
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
	// livenessByID holds the liveness of each instance.
	livenessByID map[string]*liveness
}

// NewPool returns an empty pool. The callback is called for each new connection.
func NewPool(opened func()) *Pool {
	return &Pool{Opened: opened, idle: map[string][]*connection{}, idleLimit: map[string]int{}, livenessByID: map[string]*liveness{}}
}

// UseOtherRegion sets the function that reports whether a zone is in another region. It must be
// called before the first request.
func (p *Pool) UseOtherRegion(isOtherRegion func(zone string) bool) { p.isOtherRegion = isOtherRegion }

// acquire returns an idle connection that is still usable, or a new one.
func (p *Pool) acquire(ctx context.Context, instance Instance, forceNew bool) (*connection, error) {
	now := time.Now()
	for !forceNew {
		kept := p.pop(instance.ID)
		if kept == nil {
			break
		}
		if now.Before(kept.idleUntil) && isReusable(kept.Conn) {
			kept.reused = true
			return kept, nil
		}
		_ = kept.Close()
	}
	p.Opened()
	opened, err := peer.Dialer(connectTimeout).DialContext(ctx, "tcp", instance.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.livenessOf(instance.ID).recordRefusal(time.Now())
	}
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

// isIdle reports whether there is a usable idle connection to the instance.
func (p *Pool) isIdle(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return usable(p.idle[id], time.Now())
}

// idleInstances returns the ids of the instances with an idle connection, sorted.
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

// usable reports whether the most recently used connection has not expired.
func usable(kept []*connection, now time.Time) bool {
	return len(kept) > 0 && now.Before(kept[len(kept)-1].idleUntil)
}

// pop removes and returns the most recently used connection, nil if there is none.
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

// put keeps a connection for the next request, or closes it if the idle limit is reached.
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

// putBack returns a connection that was acquired but not used.
func (p *Pool) putBack(instance Instance, unused *connection) {
	idle := idleDefault
	if unused.reused {
		idle = time.Until(unused.idleUntil)
	}
	p.put(instance, unused, idle)
}

// SetIdleLimit bounds the idle connections to each instance of a service: an instance accepts a
// limited number of connections from all gateways together, including idle ones.
func (p *Pool) SetIdleLimit(service string, limit int) {
	p.mu.Lock()
	p.idleLimit[service] = limit
	p.mu.Unlock()
}

// Forget removes all state of an instance that was removed, and closes its idle connections.
func (p *Pool) Forget(id string) {
	p.mu.Lock()
	delete(p.livenessByID, id)
	p.mu.Unlock()
	p.closeIdle(id)
}

// closeIdle closes the idle connections to an instance. After an instance has broken off a request,
// its other connections are probably dead too: each would cost one more request that may have run,
// whereas a new connection that is refused costs none.
func (p *Pool) closeIdle(id string) {
	p.mu.Lock()
	kept := p.idle[id]
	delete(p.idle, id)
	p.mu.Unlock()
	for _, connection := range kept {
		_ = connection.Close()
	}
}

// isReusable reports whether an idle connection is open and has no data to read. Unsolicited data
// belongs to no request.
func isReusable(connection net.Conn) bool {
	raw, err := connection.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, receiveErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = receiveErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
