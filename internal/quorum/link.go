package quorum

import (
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// replicaLink is the connection to one replica.
type replicaLink struct {
	client *Client
	node   replicaset.Node
	link   *peer.Link[ledger.Request, ledger.Reply]
	up     bool
	// unansweredSince is when the oldest request was sent that no reply has followed;
	// zero while there is none.
	unansweredSince time.Time
	// answers estimates how long this replica takes to answer.
	answers roundTrip
	// relaying is set while requests go by another gateway.
	relaying bool
}

// expect notes that a request was sent. The client's lock is held.
func (r *replicaLink) expect(now time.Time) {
	if r.unansweredSince.IsZero() {
		r.unansweredSince = now
	}
}

// renewIfSilent replaces a connection on which nothing was answered for long. The client's lock
// is held.
func (r *replicaLink) renewIfSilent(now time.Time) {
	if !r.up || r.unansweredSince.IsZero() || now.Sub(r.unansweredSince) < peer.SilenceLimit {
		return
	}
	r.unansweredSince = time.Time{}
	r.client.log.Warn().Str("event", "connection_silent").Str("peer", r.node.Name).Msg("")
	r.link.Renew()
}

// LinkUp implements peer.Handler: it repeats what this replica has not answered.
func (r *replicaLink) LinkUp() {
	c := r.client
	c.mu.Lock()
	defer c.mu.Unlock()
	r.up = true
	r.unansweredSince = time.Time{}
	c.log.Info().Str("event", "dependency_regained").Str("dependency", "replica").Str("peer", r.node.Name).Msg("")
	if c.set.Epoch > 0 {
		r.link.Send(ledger.Request{Adopt: &ledger.Adopt{Set: c.set}})
	}
	for _, pending := range c.operations {
		pending.resent = true
		c.send(r, pending)
		pending.signal()
	}
}

// LinkDown implements peer.Handler.
func (r *replicaLink) LinkDown(err error) {
	c := r.client
	c.mu.Lock()
	defer c.mu.Unlock()
	r.up = false
	c.log.Warn().Str("event", "dependency_lost").Str("dependency", "replica").Str("peer", r.node.Name).AnErr("error", err).Msg("")
	for _, pending := range c.operations {
		pending.signal()
	}
}

// Received implements peer.Handler.
func (r *replicaLink) Received(reply ledger.Reply) {
	c := r.client
	c.mu.Lock()
	defer c.mu.Unlock()
	r.unansweredSince = time.Time{}
	if r.relaying {
		r.relaying = false
		c.log.Info().Str("event", "relay_retry_ended").Str("peer", r.node.Name).Msg("")
	}
	if c.passBack(r, reply) {
		return
	}
	// What went by another gateway as well is measured too: this answer came on the direct way.
	if pending := c.operations[reply.Number]; pending != nil && reply.Reserve != nil && !pending.resent {
		took := time.Since(pending.begunAt)
		c.answers.observe(took)
		r.answers.observe(took)
	}
	c.receive(r, reply)
}

// receive applies a reply that came directly or by another gateway. The caller holds
// the lock.
func (c *Client) receive(r *replicaLink, reply ledger.Reply) {
	r.node.Disk = reply.Disk
	if reply.Stale != nil {
		c.adopt(*reply.Stale)
		return
	}
	pending := c.operations[reply.Number]
	if pending == nil {
		return
	}
	if reply.Loan != nil {
		pending.loan = reply.Loan
	}
	if reply.Chain {
		pending.chains[reply.Disk] = reply.Turns
	}
	pending.tally.Add(reply)
	pending.signal()
}
