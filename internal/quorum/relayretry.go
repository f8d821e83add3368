package quorum

import (
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
)

// maxCallerRetryDelay and maxSettleRetryDelay bound the delay between two attempts to reach
// unresponsive replicas through relays, for operations with a waiting caller and for settled
// charges. The delay for settled charges is longer because during an outage every refused turn
// leaves a charge to settle.
const (
	maxCallerRetryDelay = 400 * time.Millisecond
	maxSettleRetryDelay = 10 * time.Second
	// commitResendAfter is the age from which an unanswered commit is resent on the direct
	// connection. A replica whose disk is overloaded drops commits without a reply; otherwise
	// replies take milliseconds.
	commitResendAfter = time.Second
)

// responsive reports whether the direct connection to a replica is up, or being opened, and no
// reply is overdue. The caller holds the lock.
func (c *Client) responsive(now time.Time, replica *replicaLink) bool {
	if !replica.up {
		return replica.opening(now)
	}
	return !replica.silence.Exceeds(c.timeoutOf(replica), now)
}

// timeoutOf returns how long a replica may take to reply. It is specific to the replica once that
// has replied, because replicas of other regions take longer. The caller holds the lock.
func (c *Client) timeoutOf(replica *replicaLink) time.Duration {
	if replica.roundTrips.hasSample {
		return replica.roundTrips.timeout()
	}
	return c.roundTrips.timeout()
}

// retryTimer schedules the retries of one operation with exponential backoff.
type retryTimer struct {
	timer           *time.Timer
	delay, maxDelay time.Duration
}

// newRetryTimer returns a timer for the retries of an operation to further voters and through
// relays. The first delay is the estimated reply timeout of the cell.
func (c *Client) newRetryTimer(maxDelay time.Duration) *retryTimer {
	c.mu.Lock()
	delay := c.roundTrips.timeout()
	c.mu.Unlock()
	return &retryTimer{timer: time.NewTimer(delay), delay: delay, maxDelay: maxDelay}
}

func (r *retryTimer) due() <-chan time.Time {
	return r.timer.C
}

// backOff doubles the delay, up to maxDelay, and restarts the timer.
func (r *retryTimer) backOff() {
	r.delay = min(2*r.delay, r.maxDelay)
	r.timer.Reset(r.delay)
}

func (r *retryTimer) stop() {
	r.timer.Stop()
}

// retry sends an operation to all voters and resends it to the replicas that have not answered it:
// through relays if the direct connection is not responsive, and on the direct connection if a
// commit may have been dropped. Operations are idempotent, so a replica may receive one twice.
func (c *Client) retry(pending *operation) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.widenFanOut(pending)
	for _, replica := range c.replicas {
		replica.reconnectIfSilent(now)
		request, applies := c.requestFor(replica, pending)
		if !applies || pending.tally.Answered(replica.node.Disk) {
			continue
		}
		resendCommit(now, replica, pending, request)
		if !c.responsive(now, replica) {
			c.retryViaRelay(replica, request)
		}
	}
}

// resendCommit resends a commit on the direct connection if it has been unanswered for
// commitResendAfter. Without it, a reservation whose commit was dropped would keep counting with
// its full reserved amount. The client's lock is held.
func resendCommit(now time.Time, replica *replicaLink, pending *operation, request ledger.Request) {
	if request.Commit == nil || now.Sub(pending.startedAt) < commitResendAfter {
		return
	}
	pending.resent = true
	replica.send(request)
}

// retryViaRelay sends a request to a replica through a relay, if relays are in use, and logs when
// it starts to do so. The caller holds the lock.
func (c *Client) retryViaRelay(replica *replicaLink, request ledger.Request) {
	if c.relays == nil {
		return
	}
	if !replica.relaying {
		replica.relaying = true
		c.log.Warn().Str("event", "relay_retry_begun").Str("peer", replica.node.Name).Bool("connected", replica.up).
			Dur("timeout", c.timeoutOf(replica)).Msg("")
	}
	c.sendViaRelay(replica, request)
}

// retryAll retries all operations in progress.
func (c *Client) retryAll() {
	c.mu.Lock()
	pending := make([]*operation, 0, len(c.operations))
	for _, operation := range c.operations {
		pending = append(pending, operation)
	}
	c.mu.Unlock()
	for _, operation := range pending {
		c.retry(operation)
	}
}

// handleRelayReply applies a reply that arrived through a relay.
func (c *Client) handleRelayReply(reply RelayReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, replica := range c.replicas {
		if replica.node.Name == reply.Replica {
			replica.lastRelayReplyAt = time.Now()
			c.applyReply(replica, reply.Reply)
		}
	}
}
