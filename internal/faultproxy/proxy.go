// Package faultproxy provides proxies on loopback that inject network faults in
// tests. Proxy forwards TCP connections: it can delay traffic, hold it back in one direction, reset
// connections or silently drop their data while the processes on both sides keep running. Datagrams
// forwards UDP datagrams and can lose, delay, reorder and duplicate them.
package faultproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"swiftbank.dev/swiftbank/internal/loopback"
	"swiftbank.dev/swiftbank/internal/wait"
)

// Condition is the network condition that a proxy simulates; the zero value forwards
// all traffic unchanged.
type Condition struct {
	// Delay is added before each chunk is forwarded, in both directions.
	Delay time.Duration
	// HoldRequests holds back data sent to the target, HoldAnswers data sent by it.
	// Held data is delivered once the condition ends. This simulates a partition that
	// heals before either side times out.
	HoldRequests bool
	HoldAnswers  bool
	// Refuse resets each new connection.
	Refuse bool
}

// direction is a direction of traffic through a connection.
type direction uint8

const (
	toTarget direction = iota
	fromTarget
)

// chunkBytes is the maximum chunk size in bytes.
const chunkBytes = 32 << 10

// Proxy forwards connections to one target. It is safe for concurrent use.
type Proxy struct {
	address string

	mu        sync.Mutex
	target    string
	condition Condition
	// changed is closed and replaced at each change of the condition.
	changed chan struct{}
	open    map[*net.TCPConn]bool
	// blackholed holds the blackholed connections, whose data is dropped.
	blackholed map[*net.TCPConn]bool
	closed     bool
	// resets counts the calls of Reset.
	resets int
	// listener is closed while the proxy is suspended.
	listener  net.Listener
	suspended bool
	running   sync.WaitGroup
}

// New starts a proxy to the target (host:port) on a free loopback port.
func New(target string) (*Proxy, error) {
	listener, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, address: listener.Addr().String(), target: target, changed: make(chan struct{}), open: map[*net.TCPConn]bool{}, blackholed: map[*net.TCPConn]bool{}}
	p.running.Add(1)
	go p.accept(listener)
	return p, nil
}

// Address returns the host:port that the proxy listens on.
func (p *Proxy) Address() string { return p.address }

// Set replaces the condition, which also applies to open connections.
func (p *Proxy) Set(condition Condition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.condition = condition
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset closes all connections with a TCP reset, those that it has accepted and not yet forwarded too, but for the
// blackholed ones.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets++
	for connection := range p.open {
		if !p.blackholed[connection] {
			reset(connection)
		}
	}
}

// Blackhole permanently drops all data on the connections that are open now. Neither side
// sees the other close. New connections are not affected.
func (p *Proxy) Blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for connection := range p.open {
		p.blackholed[connection] = true
	}
}

// resetCount returns how often the connections were reset.
func (p *Proxy) resetCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resets
}

func (p *Proxy) currentTarget() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

func (p *Proxy) isBlackholed(connection *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blackholed[connection]
}

// Suspend makes the proxy's address refuse connections, as if its target's process had ended, and resets the
// open ones.
func (p *Proxy) Suspend() {
	p.mu.Lock()
	if !p.suspended {
		_ = loopback.Close(p.listener)
	}
	p.suspended = true
	p.mu.Unlock()
	p.Reset()
}

// Restart resets the open connections, and those that nobody has accepted yet, as if its target's process had ended and were
// back at once.
func (p *Proxy) Restart() error {
	p.Suspend()
	return p.Resume(p.currentTarget())
}

// Resume accepts connections again after Suspend, for a target that may have another address now. A proxy that is not
// suspended only changes its target.
func (p *Proxy) Resume(target string) error {
	if p.retarget(target) {
		return nil
	}
	listener, err := listenAgain(p.Address())
	if err != nil {
		return fmt.Errorf("faultproxy: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return listener.Close()
	}
	p.listener, p.target, p.suspended = listener, target, false
	p.running.Add(1)
	go p.accept(listener)
	return nil
}

// listenAgain listens on an address, and tries again for some time if another process uses it.
func listenAgain(address string) (net.Listener, error) {
	const limit, pause = 10 * time.Second, 5 * time.Millisecond
	for began := time.Now(); ; wait.For(context.Background(), pause) {
		listener, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) > limit {
			return listener, err
		}
	}
}

// retarget changes the target of a proxy that is not suspended, and reports whether that is so.
func (p *Proxy) retarget(target string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.suspended {
		p.target = target
	}
	return !p.suspended
}

// Close stops the proxy, closes its connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.closed = true
	for connection := range p.open {
		_ = connection.Close()
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.running.Wait()
}

// reset closes a connection with a TCP reset.
func reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

func (p *Proxy) accept(listener net.Listener) {
	defer p.running.Done()
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		caller := accepted.(*net.TCPConn) // the listener is TCP
		p.running.Add(1)
		go p.serve(caller)
	}
}

// serve forwards between one caller and the target until both directions have ended.
func (p *Proxy) serve(caller *net.TCPConn) {
	defer p.running.Done()
	if p.state().Refuse {
		reset(caller)
		return
	}
	resets := p.resetCount()
	dialed, err := net.Dial("tcp", p.currentTarget())
	if err != nil {
		reset(caller)
		return
	}
	target := dialed.(*net.TCPConn) // dialed as TCP
	if !p.track(caller, target) {
		return
	}
	defer p.forget(caller, target)
	if p.resetCount() != resets {
		reset(caller)
		reset(target)
	}
	var forwarders sync.WaitGroup
	forwarders.Add(2)
	go func() { defer forwarders.Done(); p.forward(target, caller, toTarget) }()
	go func() { defer forwarders.Done(); p.forward(caller, target, fromTarget) }()
	forwarders.Wait()
}

func (p *Proxy) track(connections ...*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range connections {
		if p.closed {
			_ = connection.Close()
			continue
		}
		p.open[connection] = true
	}
	return !p.closed
}

func (p *Proxy) forget(connections ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range connections {
		_ = connection.Close()
		delete(p.open, connection)
		delete(p.blackholed, connection)
	}
}

// forward forwards one direction. It propagates end of file as a half-close and an error
// as a reset.
func (p *Proxy) forward(to, from *net.TCPConn, way direction) {
	chunk := make([]byte, chunkBytes)
	for {
		size, err := from.Read(chunk)
		if p.isBlackholed(from) {
			if err != nil {
				return
			}
			continue
		}
		if size > 0 && !p.forwardChunk(to, chunk[:size], way) {
			reset(from)
			return
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

func (p *Proxy) forwardChunk(to *net.TCPConn, chunk []byte, way direction) bool {
	if delay := p.state().Delay; delay > 0 {
		wait.For(context.Background(), delay)
	}
	if !p.awaitOpen(way) {
		return false
	}
	_, err := to.Write(chunk)
	return err == nil
}

func (p *Proxy) state() Condition {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.condition
}

// awaitOpen blocks while the direction is held back. It returns false if the proxy is
// closed.
func (p *Proxy) awaitOpen(way direction) bool {
	for {
		p.mu.Lock()
		held := way == toTarget && p.condition.HoldRequests || way == fromTarget && p.condition.HoldAnswers
		changed, closed := p.changed, p.closed
		p.mu.Unlock()
		if closed {
			return false
		}
		if !held {
			return true
		}
		<-changed
	}
}
