package backend

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"swiftbank.dev/swiftbank/internal/wait"
)

// Life is one life of an instance's process, as far as this gateway can tell: the connections that the process has
// accepted. The address of an instance may be taken over within milliseconds, by the same instance started again or by
// another one, and neither an accepted connection nor the list tells that in time. But a process that ends closes all
// its connections. So a new connection belongs to the same life as the earlier ones if one of those is open after the
// new one was accepted.
//
// The ends of several connections arrive one after the other. So a connection that was accepted soon after one of the
// life broke is provisional: it belongs to the life once an earlier one is open closingDelay later, and to the next life
// if they have all closed by then.
//
// A Life is safe for concurrent use; a nil one has no connections.
type Life struct {
	address string
	// began is when the first connection was opened.
	began time.Time

	mu   sync.Mutex
	open map[*connection]struct{}
	// brokenAt is when the process last closed a connection that it was bound to keep open.
	brokenAt time.Time
	// confirmedAt is when the process was last known to live: it accepted a connection or sent data.
	confirmedAt time.Time
	// closedByPeer is set once the process has closed the last of the connections that are not provisional; closedHereAt
	// is when this gateway closed the last one, which was open.
	closedByPeer bool
	closedHereAt time.Time
	// witness is a connection that carries no request, followedAt is when it last mattered that there is one.
	witness    *connection
	followedAt time.Time
}

// handoverGap is how long after this gateway closed its last connection to a process another one still belongs to the
// same life.
const handoverGap = 50 * time.Millisecond

// closingDelay is how long after the end of one connection to a process that has ended those of the others may arrive.
const closingDelay = 150 * time.Millisecond

// newLife returns a life that began with a connection.
func newLife(first *connection, address string, now time.Time) *Life {
	life := &Life{address: address, began: now, confirmedAt: now, open: map[*connection]struct{}{first: {}}}
	first.life, first.acceptedAt, first.provisional = life, now, false
	return life
}

// ID tells the life apart from other lives of the instance, also from those that other gateways know; 0 for nil.
func (l *Life) ID() int64 {
	if l == nil {
		return 0
	}
	return l.began.UnixNano()
}

// ConfirmedAt returns when the process was last known to live; zero for nil.
func (l *Life) ConfirmedAt() time.Time {
	if l == nil {
		return time.Time{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmedAt
}

// confirm records that the process sent data.
func (l *Life) confirm(now time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	l.confirmedAt = now
	l.mu.Unlock()
}

// IsOpen reports whether a connection of the life is open: the process has not ended, unless its machine has.
func (l *Life) IsOpen() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settleProvisional(time.Now())
	return l.hasOpen()
}

// hasOpen reports whether a connection that is not provisional is open. The caller must hold the lock.
func (l *Life) hasOpen() bool {
	for connection := range l.open {
		if !connection.provisional && connection.state() == connectionOpen {
			return true
		}
	}
	return false
}

// settleProvisional makes the provisional connections that were accepted closingDelay ago part of the life if an earlier
// one is open. The caller must hold the lock.
func (l *Life) settleProvisional(now time.Time) {
	var due []*connection
	for connection := range l.open {
		if connection.provisional && now.Sub(connection.acceptedAt) >= closingDelay {
			due = append(due, connection)
		}
	}
	if len(due) == 0 || !l.hasOpen() {
		return
	}
	for _, connection := range due {
		connection.provisional = false
	}
}

// awaitSettled waits until it is known of all present connections whether they belong to the life, or the context ends.
func (l *Life) awaitSettled(ctx context.Context) {
	if l == nil {
		return
	}
	now := time.Now()
	var latest time.Time
	l.mu.Lock()
	for connection := range l.open {
		if connection.provisional && connection.acceptedAt.After(latest) {
			latest = connection.acceptedAt
		}
	}
	l.mu.Unlock()
	if remaining := latest.Add(closingDelay).Sub(now); remaining > 0 {
		wait.For(ctx, remaining)
	}
}

// isOrphan reports whether a connection was accepted by the next life of its instance.
func (l *Life) isOrphan(accepted *connection) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !accepted.provisional {
		return false
	}
	l.settleProvisional(time.Now())
	return accepted.provisional && !l.hasOpen()
}

// HasClosed reports whether the process has closed all connections of the life, as one that ends does. It is false if
// this gateway closed the last one, or the path to the instance was lost.
func (l *Life) HasClosed() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settleProvisional(time.Now())
	settled := 0
	for connection := range l.open {
		if connection.provisional {
			continue
		}
		switch connection.state() {
		case connectionClosed:
			settled++
		case connectionLost:
		default:
			return false
		}
	}
	l.closedByPeer = l.closedByPeer || settled > 0
	return l.closedByPeer
}

// Follow records that it matters whether the life goes on: the next connection that is opened without a request becomes its
// witness.
func (l *Life) Follow(now time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	l.followedAt = now
	l.mu.Unlock()
}

// hasWitnessFor reports whether a witness is open and the process is bound to keep it open for the given time.
func (l *Life) hasWitnessFor(now time.Time, remaining time.Duration) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settleProvisional(now)
	return l.witness != nil && !l.witness.provisional && l.witness.idleUntil.Sub(now) >= remaining && l.witness.state() == connectionOpen
}

// reserve makes a connection the witness of its life if the life is followed and has none. No request is sent on a witness,
// so that it is closed only if the process ends, or the path to it. It reports whether the connection was taken.
func (l *Life) reserve(opened *connection, now time.Time) bool {
	if l.hasWitnessFor(now, lifeRenewal) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.followedAt) > lifeRenewal {
		return false
	}
	l.setWitness(opened, now)
	return true
}

// retain makes a connection the witness of its life if that has none, and reports whether it did.
func (l *Life) retain(retired *connection, now time.Time) bool {
	if l == nil || l.hasWitnessFor(now, 0) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setWitness(retired, now)
	return true
}

// setWitness makes a connection the witness until the instance may close it. The caller must hold the lock.
func (l *Life) setWitness(witness *connection, now time.Time) {
	l.witness = witness
	time.AfterFunc(witness.idleUntil.Sub(now), func() { _ = witness.closeExpired() })
}

// isSettled reports whether a connection belongs to the life for certain.
func (l *Life) isSettled(accepted *connection) bool {
	if l == nil || accepted.life != l {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !accepted.provisional
}

// admit adds a connection that was just accepted at the address if it belongs to the life, and reports whether it does.
func (l *Life) admit(accepted *connection, address string, now time.Time) bool {
	if l == nil || l.address != address {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.goesOn(now) {
		return false
	}
	l.open[accepted] = struct{}{}
	l.confirmedAt = now
	accepted.life, accepted.acceptedAt, accepted.provisional = l, now, now.Sub(l.brokenAt) < closingDelay
	return true
}

// goesOn reports whether a connection that was just accepted belongs to the life. The caller must hold the lock.
func (l *Life) goesOn(now time.Time) bool {
	l.settleProvisional(now)
	return l.hasOpen() || !l.hasSettled() && now.Sub(l.closedHereAt) < handoverGap
}

// hasSettled reports whether there are connections that are not provisional. The caller must hold the lock.
func (l *Life) hasSettled() bool {
	for connection := range l.open {
		if !connection.provisional {
			return true
		}
	}
	return false
}

// remove removes a connection that this gateway closes. What the process did to it before counts only if it was bound to
// keep it open.
func (l *Life) remove(closing *connection, mayBeClosed bool) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.open[closing]; !known {
		return
	}
	now, state := time.Now(), closing.state()
	l.settleProvisional(now)
	delete(l.open, closing)
	if state == connectionClosed && !mayBeClosed {
		l.brokenAt = now
	}
	if closing.provisional || l.hasSettled() {
		return
	}
	switch state {
	case connectionOpen:
		l.closedHereAt = now
	case connectionClosed:
		l.closedByPeer = l.closedByPeer || !mayBeClosed
	}
}

// joinLife records to which life of its instance a new connection belongs.
func (p *Pool) joinLife(instance Instance, accepted *connection) {
	state := p.livenessOf(instance.ID)
	now := time.Now()
	state.mu.Lock()
	defer state.mu.Unlock()
	if !state.life.admit(accepted, instance.Address, now) {
		state.life = newLife(accepted, instance.Address, now)
	}
}

// LifeOf returns the last known life of an instance, nil if there is none.
func (p *Pool) LifeOf(id string) *Life {
	state := p.livenessOf(id)
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.life
}

// keepProbe keeps a connection that was opened without a request, as a witness or for the next request.
func (p *Pool) keepProbe(instance Instance, opened *connection) {
	now, idle := time.Now(), p.idleTimeout(instance.ID)
	opened.idleUntil = now.Add(idle)
	if !opened.life.reserve(opened, now) {
		p.put(instance, opened, idle)
	}
}

// CloseExpired closes the idle connections to an instance that it may close soon, so that their end says nothing.
func (p *Pool) CloseExpired(id string) {
	p.mu.Lock()
	p.closeExpired(time.Now(), id)
	p.mu.Unlock()
}

// connectionState is what can be told of a connection without reading from it.
type connectionState uint8

const (
	// connectionOpen means that the connection is open and has no data to read.
	connectionOpen connectionState = iota
	// connectionHasData means that there is data to read; the end of the connection may follow.
	connectionHasData
	// connectionClosed means that the other side has closed or reset the connection, or that it is closed here.
	connectionClosed
	// connectionLost means that the other side did not acknowledge what was sent: its machine, or the path to it, is gone.
	connectionLost
)

// stateOf returns the state of a connection, which another goroutine may be reading from.
func stateOf(connection net.Conn) connectionState {
	raw, err := connection.(syscall.Conn).SyscallConn()
	if err != nil {
		return connectionClosed
	}
	state := connectionClosed
	var one [1]byte
	err = raw.Control(func(descriptor uintptr) {
		read, _, receiveErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case receiveErr == syscall.EAGAIN:
			state = connectionOpen
		case receiveErr == nil && read > 0:
			state = connectionHasData
		case isPathLoss(receiveErr):
			state = connectionLost
		}
	})
	if err != nil {
		return connectionClosed
	}
	return state
}

// isPathLoss reports whether an error of a connection says that the other side did not respond.
func isPathLoss(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}
