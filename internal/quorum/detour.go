package quorum

import "time"

// callerDetours and settleDetours bound the pause between two tries to reach silent
// replicas by other gateways, with a caller that waits and without one. During an outage
// every refused turn leaves a charge to settle.
const (
	callerDetours = 400 * time.Millisecond
	settleDetours = 10 * time.Second
)

// direct reports whether the way to a replica is believed to work: it is connected and
// has not been silent for longer than its answers take. The caller holds the lock.
func (c *Client) direct(now time.Time, replica *replicaLink) bool {
	if !replica.up {
		return false
	}
	return replica.unansweredSince.IsZero() || now.Sub(replica.unansweredSince) <= c.answers.patience()
}

// detours times the tries of one operation. A nil timer never fires.
type detours struct {
	timer       *time.Timer
	pause, most time.Duration
}

// newDetours returns the times at which an operation goes by other gateways.
func (c *Client) newDetours(most time.Duration) *detours {
	if c.relays == nil {
		return &detours{}
	}
	c.mu.Lock()
	pause := c.answers.patience()
	c.mu.Unlock()
	return &detours{timer: time.NewTimer(pause), pause: pause, most: most}
}

func (d *detours) due() <-chan time.Time {
	if d.timer == nil {
		return nil
	}
	return d.timer.C
}

// again sets the next time, at a pause that doubles.
func (d *detours) again() {
	d.pause = min(2*d.pause, d.most)
	d.timer.Reset(d.pause)
}

func (d *detours) stop() {
	if d.timer != nil {
		d.timer.Stop()
	}
}

// detour sends an operation by other gateways to the replicas that have not answered it
// and whose direct way is silent. A replica may get it twice, which changes nothing.
func (c *Client) detour(pending *operation) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, replica := range c.replicas {
		if c.direct(now, replica) || pending.tally.Answered(replica.node.Disk) {
			continue
		}
		request, concerned := c.requestTo(replica, pending)
		if !concerned {
			continue
		}
		pending.resent = true
		if !replica.detoured {
			replica.detoured = true
			c.log.Warn().Str("event", "detour_begun").Str("peer", replica.node.Name).Bool("connected", replica.up).
				Dur("patience", c.answers.patience()).Msg("")
		}
		c.sendByRelay(replica, request)
	}
}

// detourAll sends all operations under way by other gateways where that is needed.
func (c *Client) detourAll() {
	c.mu.Lock()
	pending := make([]*operation, 0, len(c.operations))
	for _, operation := range c.operations {
		pending = append(pending, operation)
	}
	c.mu.Unlock()
	for _, operation := range pending {
		c.detour(operation)
	}
}

// relayed takes in a reply that came by another gateway.
func (c *Client) relayed(reply RelayReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, replica := range c.replicas {
		if replica.node.Name == reply.Replica {
			c.receive(replica, reply.Reply)
		}
	}
}
