package quorum

import (
	"cmp"
	"slices"
	"time"
)

// A history is as large as all turns before it, and a reservation is small. So only one replica
// is asked for the text at first, and one more each time one lacks it or is late. Asking all at
// once would, for one slow or empty replica, fill the link between regions; every replica
// behind it would be late then, and further readers would ask all as well.

// nextForHistory returns the replica that is asked for a history next: of those not asked yet
// the responsive ones come first, and of these the nearest. The caller holds the lock.
func (c *Client) nextForHistory(now time.Time, asked []*replicaLink) *replicaLink {
	var best *replicaLink
	for _, replica := range c.replicas {
		if slices.Contains(asked, replica) || c.relays == nil && !replica.up && !replica.opening(now) {
			continue
		}
		if best == nil || c.compareForHistory(now, replica, best) < 0 {
			best = replica
		}
	}
	return best
}

// compareForHistory orders replicas by whether they answer, by zone, and by the time that their
// answers take.
func (c *Client) compareForHistory(now time.Time, a, b *replicaLink) int {
	if responds := c.responsive(now, a); responds != c.responsive(now, b) {
		if responds {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(c.distance(a), c.distance(b)), cmp.Compare(a.answers.mean, b.answers.mean))
}

// historyTimeout is how long the replica asked last may take to hand over a history before one
// more is asked. It doubles with each one that is late: several late answers usually wait for
// the same full link, and one more text adds to that.
func (c *Client) historyTimeout(pending *operation) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(pending.historyAsked) == 0 {
		return timeoutUnknown
	}
	last := pending.historyAsked[len(pending.historyAsked)-1]
	return c.timeoutOf(last)<<pending.historyLate + last.connectAllowance(time.Now())
}

// readsTurns reports whether the operation asks for the text of turns.
func (o *operation) readsTurns() bool {
	reserve := o.request.Reserve
	return o.request.Chain != nil || reserve != nil && reserve.History != ""
}

// lacks reports whether a disk said that it does not have the turns asked for.
func (o *operation) lacks(disk string) bool {
	turns, said := o.chains[disk]
	return o.tally.missing[disk] || said && len(turns) == 0
}

// askOneMore asks the next replica for the history: the one asked last is late.
func (c *Client) askOneMore(pending *operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending.historyLate++
	c.askNext(pending)
}

// askWhileLate asks one more replica each time that the one asked last is late, until it is
// stopped.
func (c *Client) askWhileLate(pending *operation) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			late := time.NewTimer(c.historyTimeout(pending))
			select {
			case <-done:
				late.Stop()
				return
			case <-late.C:
				c.askOneMore(pending)
			}
		}
	}()
	return func() { close(done) }
}

// askWhereMissing asks the next replica once all that were asked lack the history. The caller
// holds the lock.
func (c *Client) askWhereMissing(pending *operation) {
	for _, replica := range pending.historyAsked {
		if !pending.lacks(replica.node.Disk) {
			return
		}
	}
	c.askNext(pending)
}

// askNext asks one more replica for the history. The caller holds the lock.
func (c *Client) askNext(pending *operation) {
	if !pending.readsTurns() || pending.tally.Found {
		return
	}
	next := c.nextForHistory(time.Now(), pending.historyAsked)
	if next == nil {
		return
	}
	pending.historyAsked = append(pending.historyAsked, next)
	pending.resent = true
	c.send(next, pending)
}
