package quorum

import "time"

// A reservation needs a quorum, not all voters. It goes to the nearest quorum first, and to the
// other voters only when an answer is overdue, a connection ends or the set changes. What a
// quorum holds is enough while the set stays: every later quorum shares a voter with it. What
// outlives the turn, its settled charge, goes to all voters: two voters that leave the set one
// after the other may be two of the three that hold what went to one quorum of five.
// With ten voters in three zones four reservations in ten are not sent, most of them between
// zones.

// firstAsked returns the voters that an operation goes to at first, or nil where it goes to
// all. The caller holds the lock.
func (c *Client) firstAsked(now time.Time, pending *operation) map[*replicaLink]bool {
	if pending.request.Reserve == nil {
		return nil
	}
	asked := map[*replicaLink]bool{}
	voters := 0
	for _, replica := range c.nearestFirst() {
		if voters == c.set.Quorum() {
			break
		}
		if c.set.Has(replica.node.Disk) && c.responsive(now, replica) {
			asked[replica] = true
			voters++
		}
	}
	if len(c.set.Voters) == 0 || voters < c.set.Quorum() {
		return nil
	}
	return asked
}

// nearestFirst returns the replicas by distance; equally near ones are rotated from operation
// to operation, so that all share the work. The caller holds the lock.
func (c *Client) nearestFirst() []*replicaLink {
	ordered := make([]*replicaLink, 0, len(c.replicas))
	for first := 0; first < len(c.replicas); {
		next := first + 1
		for next < len(c.replicas) && c.distance(c.replicas[next]) == c.distance(c.replicas[first]) {
			next++
		}
		group := c.replicas[first:next]
		begin := int(c.number % uint64(len(group)))
		ordered = append(ordered, group[begin:]...)
		ordered = append(ordered, group[:begin]...)
		first = next
	}
	return ordered
}

// widen sends an operation to the voters that it did not go to at first. The caller holds the
// lock.
func (c *Client) widen(pending *operation) {
	if pending.asked == nil {
		return
	}
	asked := pending.asked
	pending.asked = nil
	for _, replica := range c.replicas {
		if !asked[replica] {
			c.send(replica, pending)
		}
	}
}

// widenAll widens the operations that wait for a replica whose connection ended. The caller holds the
// lock.
func (c *Client) widenAll(lost *replicaLink) {
	for _, pending := range c.operations {
		if pending.asked[lost] {
			c.widen(pending)
		}
	}
}

// askFor sends an operation to all voters if it needs more copies than a quorum holds.
func (c *Client) askFor(pending *operation, copies int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if copies > c.set.Quorum() {
		c.widen(pending)
	}
}
