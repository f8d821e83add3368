// Package faultproxy is a TCP proxy on loopback for tests of processes under a bad
// network: what it passes on can be delayed, held back in one direction, or reset
// while the processes on both sides run on.
package faultproxy

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"swiftbank.dev/swiftbank/internal/wait"
)

// Condition is the state of the path through a proxy; the zero value passes all.
type Condition struct {
	// Delay is added to each piece that is passed on, in both directions.
	Delay time.Duration
	// HoldRequests keeps back what goes to the target; HoldAnswers what comes from it.
	// Held bytes go on once the condition ends: the path lost nothing, as with a
	// partition that heals before either side gives up.
	HoldRequests bool
	HoldAnswers  bool
	// Refuse resets each new connection.
	Refuse bool
}

// direction is one of the two ways through a connection.
type direction uint8

const (
	towardsTarget direction = iota
	fromTarget
)

// pieceBytes is the most that is passed on at once.
const pieceBytes = 32 << 10

// Proxy passes connections on to one target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu        sync.Mutex
	condition Condition
	// changed is closed and replaced at each change of the condition.
	changed chan struct{}
	open    map[*net.TCPConn]bool
	// silent are the connections on which nothing passes any more.
	silent  map[*net.TCPConn]bool
	closed  bool
	running sync.WaitGroup
}

// New starts a proxy on a loopback address of its own.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, changed: make(chan struct{}), open: map[*net.TCPConn]bool{}, silent: map[*net.TCPConn]bool{}}
	p.running.Add(1)
	go p.accept()
	return p, nil
}

// Address returns the host:port under which the target is reached.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the condition, for open connections too.
func (p *Proxy) Set(condition Condition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.condition = condition
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset ends all open connections with a reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for connection := range p.open {
		reset(connection)
	}
}

// Blackhole makes all open connections silent for good: what comes on either side is taken and
// lost, and neither side learns of the other's end. New connections work.
func (p *Proxy) Blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for connection := range p.open {
		p.silent[connection] = true
	}
}

func (p *Proxy) isSilent(connection *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[connection]
}

// Close ends the proxy and its connections and waits for its goroutines.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for connection := range p.open {
		_ = connection.Close()
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.running.Wait()
}

// reset closes a connection so that its peer sees a reset.
func reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

func (p *Proxy) accept() {
	defer p.running.Done()
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		caller := accepted.(*net.TCPConn) // the listener is TCP
		p.running.Add(1)
		go p.serve(caller)
	}
}

// serve connects one caller with the target until either side ends.
func (p *Proxy) serve(caller *net.TCPConn) {
	defer p.running.Done()
	if p.state().Refuse {
		reset(caller)
		return
	}
	dialed, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(caller)
		return
	}
	target := dialed.(*net.TCPConn) // dialed as TCP
	if !p.track(caller, target) {
		return
	}
	defer p.forget(caller, target)
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.pass(target, caller, towardsTarget) }()
	go func() { defer both.Done(); p.pass(caller, target, fromTarget) }()
	both.Wait()
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
		delete(p.silent, connection)
	}
}

// pass copies one direction. An end is passed on as an end, a failure as a reset.
func (p *Proxy) pass(to, from *net.TCPConn, way direction) {
	piece := make([]byte, pieceBytes)
	for {
		size, err := from.Read(piece)
		if p.isSilent(from) {
			if err != nil {
				return
			}
			continue
		}
		if size > 0 && !p.passPiece(to, piece[:size], way) {
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

func (p *Proxy) passPiece(to *net.TCPConn, piece []byte, way direction) bool {
	if delay := p.state().Delay; delay > 0 {
		wait.For(context.Background(), delay)
	}
	if !p.awaitOpen(way) {
		return false
	}
	_, err := to.Write(piece)
	return err == nil
}

func (p *Proxy) state() Condition {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.condition
}

// awaitOpen waits while the direction is held back; false means the proxy closed.
func (p *Proxy) awaitOpen(way direction) bool {
	for {
		p.mu.Lock()
		held := way == towardsTarget && p.condition.HoldRequests || way == fromTarget && p.condition.HoldAnswers
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
