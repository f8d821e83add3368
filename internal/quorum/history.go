package quorum

import (
	"cmp"
	"slices"
	"time"
)

// A history is as large as all turns before it, while a reservation is small. Therefore only one
// replica is asked for the text at first, and one more each time a replica lacks it or is late.
// Asking all replicas because one is slow or lacks the text would saturate the link between
// regions. Every replica behind that link would then be late, and further readers would ask all of
// them too.

// nextHistoryReplica returns the replica to ask for a history next, or nil if there is none. It
// skips excluded replicas and prefers responsive ones, then the nearest. The caller holds the lock.
func (c *Client) nextHistoryReplica(now time.Time, excluded []*replicaLink) *replicaLink {
	var best *replicaLink
	for _, replica := range c.replicas {
		if slices.Contains(excluded, replica) || c.relays == nil && !replica.up && !replica.opening(now) {
			continue
		}
		if best == nil || c.compareHistoryReplicas(now, replica, best) < 0 {
			best = replica
		}
	}
	return best
}

// compareHistoryReplicas orders replicas by responsiveness, distance and mean response time. The
// caller holds the lock.
func (c *Client) compareHistoryReplicas(now time.Time, a, b *replicaLink) int {
	if responds := c.responsive(now, a); responds != c.responsive(now, b) {
		if responds {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(c.distance(a), c.distance(b)), cmp.Compare(a.roundTrips.mean, b.roundTrips.mean))
}

// historyTimeout returns how long the last asked replica may take to return a history before
// another one is asked. It doubles with each late replica, because several late replies usually
// wait for the same saturated link, and one more text adds to its load.
func (c *Client) historyTimeout(pending *operation) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(pending.historyReplicas) == 0 {
		return initialTimeout
	}
	last := pending.historyReplicas[len(pending.historyReplicas)-1]
	return c.timeoutOf(last)<<pending.historyTimeouts + last.connectAllowance(time.Now())
}

// readsHistory reports whether the operation requests the text of turns.
func (o *operation) readsHistory() bool {
	reserve := o.request.Reserve
	return o.request.Chain != nil || reserve != nil && reserve.History != ""
}

// reportedMissing reports whether a disk replied that it lacks the requested turns.
func (o *operation) reportedMissing(disk string) bool {
	turns, replied := o.chains[disk]
	return o.tally.missing[disk] || replied && len(turns) == 0
}

// handleHistoryTimeout asks the next replica for the history because the last asked one is late.
func (c *Client) handleHistoryTimeout(pending *operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending.historyTimeouts++
	c.askNextForHistory(pending)
}

// startHistoryTimeouts asks another replica in the background each time the last asked one is late,
// until stop is called.
func (c *Client) startHistoryTimeouts(pending *operation) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			timer := time.NewTimer(c.historyTimeout(pending))
			select {
			case <-done:
				timer.Stop()
				return
			case <-timer.C:
				c.handleHistoryTimeout(pending)
			}
		}
	}()
	return func() { close(done) }
}

// askNextIfMissing asks the next replica if all replicas asked so far lack the history. The caller
// holds the lock.
func (c *Client) askNextIfMissing(pending *operation) {
	for _, replica := range pending.historyReplicas {
		if !pending.reportedMissing(replica.node.Disk) {
			return
		}
	}
	c.askNextForHistory(pending)
}

// askNextForHistory asks one more replica for the history, unless it was already found or no
// replica is left. The caller holds the lock.
func (c *Client) askNextForHistory(pending *operation) {
	if !pending.readsHistory() || pending.tally.Found {
		return
	}
	next := c.nextHistoryReplica(time.Now(), pending.historyReplicas)
	if next == nil {
		return
	}
	pending.historyReplicas = append(pending.historyReplicas, next)
	pending.resent = true
	c.send(next, pending)
}
