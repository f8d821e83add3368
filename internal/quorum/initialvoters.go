package quorum

import "time"

// A reservation needs a quorum, not all voters. It is sent to the nearest quorum first, and to the
// other voters only when a reply is overdue, a connection ends or the set changes. A quorum is
// sufficient while the set does not change, because every later quorum shares a voter with it. The
// settled charge outlives the turn, so it is sent to all voters: with five voters, two that leave
// the set one after the other may be two of the three that hold it. With ten voters in three zones,
// four of ten reservation messages are saved, most of them between zones.

// initialVoters returns the voters that an operation is sent to first. It returns nil if the
// operation must go to all voters. The caller holds the lock.
func (c *Client) initialVoters(now time.Time, pending *operation) map[*replicaLink]bool {
	if pending.request.Reserve == nil {
		return nil
	}
	initial := map[*replicaLink]bool{}
	voters := 0
	for _, replica := range c.nearestFirst() {
		if voters == c.set.Quorum() {
			break
		}
		if c.set.Has(replica.node.Disk) && c.responsive(now, replica) {
			initial[replica] = true
			voters++
		}
	}
	if len(c.set.Voters) == 0 || voters < c.set.Quorum() {
		return nil
	}
	return initial
}

// nearestFirst returns the replicas ordered by distance. Replicas at the same distance are rotated
// for each operation, so that they share the load. The caller holds the lock.
func (c *Client) nearestFirst() []*replicaLink {
	ordered := make([]*replicaLink, 0, len(c.replicas))
	for first := 0; first < len(c.replicas); {
		next := first + 1
		for next < len(c.replicas) && c.distance(c.replicas[next]) == c.distance(c.replicas[first]) {
			next++
		}
		group := c.replicas[first:next]
		begin := int(c.lastNumber % uint64(len(group)))
		ordered = append(ordered, group[begin:]...)
		ordered = append(ordered, group[:begin]...)
		first = next
	}
	return ordered
}

// widenFanOut sends an operation to the voters that it was not sent to initially. The caller holds
// the lock.
func (c *Client) widenFanOut(pending *operation) {
	if pending.initialVoters == nil {
		return
	}
	initial := pending.initialVoters
	pending.initialVoters = nil
	for _, replica := range c.replicas {
		if !initial[replica] {
			c.send(replica, pending)
		}
	}
}

// widenFanOutAfterLoss sends the operations that wait for a disconnected replica to the other
// voters. The caller holds the lock.
func (c *Client) widenFanOutAfterLoss(lost *replicaLink) {
	for _, pending := range c.operations {
		if pending.initialVoters[lost] {
			c.widenFanOut(pending)
		}
	}
}

// ensureFanOut sends an operation to all voters if it needs more copies than a quorum provides.
func (c *Client) ensureFanOut(pending *operation, copies int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if copies > c.set.Quorum() {
		c.widenFanOut(pending)
	}
}
