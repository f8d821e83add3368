package quorum

import "time"

// callerRelayPause and settleRelayPause bound the pause between two tries to reach
// replicas that do not answer by other gateways, with a caller that waits and without one. During an outage
// every refused turn leaves a charge to settle.
const (
	callerRelayPause = 400 * time.Millisecond
	settleRelayPause = 10 * time.Second
)

// responsive reports whether a replica answers on the direct connection: that stands, and
// no answer is overdue. The caller holds the lock.
func (c *Client) responsive(now time.Time, replica *replicaLink) bool {
	if !replica.up {
		return replica.opening(now)
	}
	return !replica.silence.LastsLongerThan(c.timeoutOf(replica), now)
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

// retryByRelay sends an operation to all voters, and through relays to the replicas that have
// not answered it and whose direct connection is not responsive. Operations are idempotent: a
// replica may get one twice.
func (c *Client) retryByRelay(pending *operation) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.widen(pending)
	if c.relays == nil {
		return
	}
	for _, replica := range c.replicas {
		replica.renewIfSilent(now)
		if c.responsive(now, replica) || pending.tally.Answered(replica.node.Disk) {
			continue
		}
		request, concerned := c.requestTo(replica, pending)
		if !concerned {
			continue
		}
		if !replica.relaying {
			replica.relaying = true
			c.log.Warn().Str("event", "relay_retry_begun").Str("peer", replica.node.Name).Bool("connected", replica.up).
				Dur("timeout", c.timeoutOf(replica)).Msg("")
		}
		c.sendByRelay(replica, request)
	}
}

// retryAllByRelay sends all operations under way by other gateways where that is needed.
func (c *Client) retryAllByRelay() {
	c.mu.Lock()
	pending := make([]*operation, 0, len(c.operations))
	for _, operation := range c.operations {
		pending = append(pending, operation)
	}
	c.mu.Unlock()
	for _, operation := range pending {
		c.retryByRelay(operation)
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
