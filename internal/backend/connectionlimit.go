package backend

import (
	"errors"
	"sync"
	"time"
)

// errNoConnection is returned when this gateway has as many connections to an instance as that accepts.
var errNoConnection = errors.New("the instance accepts no further connection from this gateway")

const (
	// minConnectionShare is the least number of connections to an instance that a gateway may have by its share of the
	// instance's limit. With many gateways the shares add up to more than the limit; what the instance resets then
	// lowers the limit of those that use theirs.
	minConnectionShare = 8
	// minTrialInterval and maxTrialInterval bound the time between trials of one connection more than an instance was
	// found to accept. It doubles with each trial that fails.
	minTrialInterval = 250 * time.Millisecond
	maxTrialInterval = 4 * time.Second
)

// connectionLimit bounds this gateway's connections to one instance: those that carry requests, idle ones and
// witnesses. An instance accepts a limited number of connections from all gateways and resets any beyond it, possibly
// after a request was written to it, whose outcome is then unknown. The bound is the gateway's share of the instance's
// limit. It falls to what the instance was seen to accept when it resets a new connection while others stay open, and
// rises by one connection that carries no request and stays open.
//
// It is safe for concurrent use, and does not read the clock.
type connectionLimit struct {
	mu sync.Mutex
	// open counts the connections that are open or being opened.
	open int
	// learned is the number of connections that the instance was found to accept; 0 means that it has reset none.
	learned int
	// nextTrial is when one more may be tried, interval the time between trials, and trying is set during one.
	nextTrial time.Time
	interval  time.Duration
	trying    bool
	// settlesAt is when it is known whether the instance has only reset a connection: the ends of the others would have
	// arrived.
	settlesAt time.Time
}

// bound returns the number of connections that may be open, 0 for any number. The caller must hold the lock.
func (l *connectionLimit) bound(share int) int {
	if l.learned == 0 || share > 0 && share < l.learned {
		return share
	}
	return l.learned
}

// take counts a connection that is about to be opened for a request, and reports whether it may be.
func (l *connectionLimit) take(share int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bound := l.bound(share); bound > 0 && l.open >= bound {
		return false
	}
	l.open++
	return true
}

// add counts a connection that is opened whatever the bound.
func (l *connectionLimit) add() {
	l.mu.Lock()
	l.open++
	l.mu.Unlock()
}

// release counts a connection as closed.
func (l *connectionLimit) release() {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
}

// openCount returns the number of open connections.
func (l *connectionLimit) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// turnedAway records that the instance has reset a new connection, which no longer counts as open, while others stay
// open. It returns the bound that follows.
func (l *connectionLimit) turnedAway(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.learned == 0 || l.open < l.learned {
		l.learned = max(1, l.open)
	}
	l.interval = max(l.interval, minTrialInterval)
	l.nextTrial, l.settlesAt = now.Add(l.interval), now.Add(closingDelay)
	return l.learned
}

// isSettling reports whether it is not known yet if the instance has only reset a connection, or has ended.
func (l *connectionLimit) isSettling(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.settlesAt)
}

// beginTrial reports whether one connection more than the learned number may be tried now, and counts it as open.
func (l *connectionLimit) beginTrial(now time.Time, share int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.learned == 0 || l.trying || now.Before(l.nextTrial) || share > 0 && l.learned >= share {
		return false
	}
	l.trying = true
	l.open++
	return true
}

// endTrial records whether the connection of a trial stayed open. If it did not, the caller releases it. It returns the
// learned number of connections, 0 once it reaches the share.
func (l *connectionLimit) endTrial(now time.Time, share int, accepted bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trying = false
	if accepted {
		l.learned++
		l.interval = minTrialInterval
	} else {
		l.interval = min(maxTrialInterval, 2*l.interval)
	}
	l.nextTrial = now.Add(l.interval)
	if share > 0 && l.learned >= share {
		l.learned = 0
	}
	return l.learned
}
