package quorum

import (
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
)

// callerRelayPause and settleRelayPause bound the pause between two tries to reach
// replicas that do not answer by other gateways, with a caller that waits and without one. During an outage
// every refused turn leaves a charge to settle.
const (
	callerRelayPause = 400 * time.Millisecond
	settleRelayPause = 10 * time.Second
	// repeatAfter is how old a commit must be to be repeated on the direct connection. A replica
	// whose disk is behind drops commits without an answer; answers take milliseconds otherwise.
	repeatAfter = time.Second
)

// responsive reports whether a replica answers on the direct connection: that stands, and
// no answer is overdue. The caller holds the lock.
func (c *Client) responsive(now time.Time, replica *replicaLink) bool {
	if !replica.up {
		return replica.opening(now)
	}
	return !replica.silence.Exceeds(c.timeoutOf(replica), now)
}

// timeoutOf is how long a replica may take to answer: replicas of other regions take longer.
func (c *Client) timeoutOf(replica *replicaLink) time.Duration {
	if replica.answers.known {
		return replica.answers.timeout()
	}
	return c.answers.timeout()
}

// relayRetry times the tries of one operation.
type relayRetry struct {
	timer       *time.Timer
	pause, most time.Duration
}

// newRelayRetry returns the times at which an operation goes to further voters and by other
// gateways.
func (c *Client) newRelayRetry(most time.Duration) *relayRetry {
	c.mu.Lock()
	pause := c.answers.timeout()
	c.mu.Unlock()
	return &relayRetry{timer: time.NewTimer(pause), pause: pause, most: most}
}

func (r *relayRetry) due() <-chan time.Time {
	return r.timer.C
}

// again sets the next time, at a pause that doubles.
func (r *relayRetry) again() {
	r.pause = min(2*r.pause, r.most)
	r.timer.Reset(r.pause)
}

func (r *relayRetry) stop() {
	r.timer.Stop()
}

// retry sends an operation to all voters, and again to the replicas that have not answered it: by
// other gateways where the direct connection is not responsive, and on that connection where a
// commit may have been dropped. Operations are idempotent: a replica may get one twice.
func (c *Client) retry(pending *operation) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.widen(pending)
	for _, replica := range c.replicas {
		replica.renewIfSilent(now)
		request, concerned := c.requestTo(replica, pending)
		if !concerned || pending.tally.Answered(replica.node.Disk) {
			continue
		}
		repeatCommit(now, replica, pending, request)
		if !c.responsive(now, replica) {
			c.retryByRelay(replica, request)
		}
	}
}

// repeatCommit sends a commit that was not answered for long once more on a connection that stands.
// A charge that nobody settles would count at its most. The client's lock is held.
func repeatCommit(now time.Time, replica *replicaLink, pending *operation, request ledger.Request) {
	if request.Commit == nil || now.Sub(pending.begunAt) < repeatAfter {
		return
	}
	pending.resent = true
	replica.send(request)
}

// retryByRelay sends a request to a replica by another gateway. The caller holds the lock.
func (c *Client) retryByRelay(replica *replicaLink, request ledger.Request) {
	if c.relays == nil {
		return
	}
	if !replica.relaying {
		replica.relaying = true
		c.log.Warn().Str("event", "relay_retry_begun").Str("peer", replica.node.Name).Bool("connected", replica.up).
			Dur("timeout", c.timeoutOf(replica)).Msg("")
	}
	c.sendByRelay(replica, request)
}

// retryAll retries all operations under way.
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

// relayed applies a reply that came by another gateway.
func (c *Client) relayed(reply RelayReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, replica := range c.replicas {
		if replica.node.Name == reply.Replica {
			replica.relayedAt = time.Now()
			c.receive(replica, reply.Reply)
		}
	}
}
