package quorum

import (
	"net"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// replicaLink is the connection to one replica.
type replicaLink struct {
	client *Client
	node   replicaset.Node
	// zone is the node's zone. It never changes, so it is read without the lock.
	zone string
	link *peer.Link[ledger.Request, ledger.Reply]
	up   bool
	// silence measures how long requests have been without a reply.
	silence peer.SilenceDetector
	// roundTrips estimates the response time of this replica.
	roundTrips roundTripEstimator
	// relaying is set while requests are also sent through a relay.
	relaying bool
	// lastRelayReplyAt is when a reply last arrived through a relay.
	lastRelayReplyAt time.Time
	// queuedForwards are forwarded requests that wait for the connection.
	queuedForwards []ledger.Request
	// openedAt is when the connection was last requested, usedAt when a request last needed it.
	openedAt, usedAt time.Time
	// idleTimer closes an idle on-demand connection; it is nil for other connections.
	idleTimer *time.Timer
}

const (
	// connectAllowance is how long a new connection to a replica may take before the replica
	// counts as unreachable. It covers two round trips between distant regions.
	connectAllowance = 150 * time.Millisecond
	// onDemandIdleTimeout is how long an unused on-demand connection stays open. Successive turns
	// of a program arrive within it; opening a connection costs a round trip.
	onDemandIdleTimeout = 10 * time.Second
)

// ConnectAllowance returns how much longer the named replica may take to reply because a connection
// is being opened. It is zero if the connection is up or the time to open it is over.
func (c *Client) ConnectAllowance(name string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, replica := range c.replicas {
		if replica.node.Name == name {
			return replica.connectAllowance(time.Now())
		}
	}
	return 0
}

func (r *replicaLink) connectAllowance(now time.Time) time.Duration {
	if r.opening(now) {
		return connectAllowance
	}
	return 0
}

// open starts the connection if there is none. The caller holds the client's lock, as for all
// methods of replicaLink except closeIdle, Sent and those of peer.Handler.
func (r *replicaLink) open(now time.Time) {
	r.usedAt = now
	if r.link != nil {
		return
	}
	r.openedAt = now
	r.link = peer.NewLink[ledger.Request, ledger.Reply](r.client.context, r.node.Address, r)
	if r.client.onDemand {
		r.idleTimer = time.AfterFunc(onDemandIdleTimeout, r.closeIdle)
	}
}

// opening reports whether the replica may still become reachable: its on-demand connection was not
// tried yet, or was started less than connectAllowance ago.
func (r *replicaLink) opening(now time.Time) bool {
	return r.client.onDemand && !r.up && (r.link == nil || now.Sub(r.openedAt) <= connectAllowance)
}

// send queues a request and reports whether there was a connection with space for it.
func (r *replicaLink) send(request ledger.Request) bool {
	return r.link != nil && r.link.Send(request)
}

// closeIdle closes an on-demand connection that was not used for onDemandIdleTimeout. It replaces
// the replicaLink by a new one, because the old one may still receive the end of its connection.
func (r *replicaLink) closeIdle() {
	c := r.client
	c.mu.Lock()
	defer c.mu.Unlock()
	index := slices.Index(c.replicas, r)
	if index < 0 {
		return
	}
	remaining := time.Until(r.usedAt.Add(onDemandIdleTimeout))
	if len(c.operations) > 0 { // operations are not retried on a replica without a connection
		remaining = onDemandIdleTimeout
	}
	if remaining > 0 {
		r.idleTimer.Reset(remaining)
		return
	}
	r.close()
	c.replicas[index] = &replicaLink{client: c, node: r.node, zone: r.zone}
}

// close closes the connection permanently.
func (r *replicaLink) close() {
	if r.idleTimer != nil {
		r.idleTimer.Stop()
	}
	if r.link != nil {
		r.link.CloseAsync()
	}
}

// Sent implements peer.SentCounter.
func (r *replicaLink) Sent(_ net.Addr, request ledger.Request, bytes int) {
	r.client.traffic.AddSentToZone(request.Kind(), r.zone, bytes)
}

// reconnectIfSilent replaces a connection on which the replica has not replied for
// peer.AnswerTimeout. The client's lock is held.
func (r *replicaLink) reconnectIfSilent(now time.Time) {
	if !r.up || !r.silence.TimedOut(now) {
		return
	}
	r.silence.Reset()
	r.client.log.Warn().Str("event", "connection_silent").Str("peer", r.node.Name).Msg("")
	r.link.Reconnect()
}

// LinkUp implements peer.Handler. It resends the pending operations to the replica.
func (r *replicaLink) LinkUp() {
	c := r.client
	c.mu.Lock()
	defer c.mu.Unlock()
	r.up = true
	r.silence.Reset()
	c.log.Info().Str("event", "dependency_regained").Str("dependency", "replica").Str("peer", r.node.Name).Msg("")
	if c.set.Epoch > 0 {
		r.send(ledger.Request{Adopt: &ledger.Adopt{Set: c.set}})
	}
	for _, pending := range c.operations {
		pending.resent = true
		c.send(r, pending)
		pending.signal()
	}
	r.sendQueuedForwards(time.Now())
}

// LinkDown implements peer.Handler.
func (r *replicaLink) LinkDown(err error) {
	c := r.client
	c.mu.Lock()
	defer c.mu.Unlock()
	r.up = false
	c.log.Warn().Str("event", "dependency_lost").Str("dependency", "replica").Str("peer", r.node.Name).AnErr("error", err).Msg("")
	c.widenFanOutAfterLoss(r)
	for _, pending := range c.operations {
		pending.signal()
	}
}

// Received implements peer.Handler.
func (r *replicaLink) Received(reply ledger.Reply) {
	c := r.client
	c.mu.Lock()
	defer c.mu.Unlock()
	r.silence.Reset()
	if r.relaying {
		r.relaying = false
		c.log.Info().Str("event", "relay_retry_ended").Str("peer", r.node.Name).Msg("")
	}
	if c.returnForwardedReply(r, reply) {
		return
	}
	// Operations that were also relayed count as samples, because this reply arrived on the direct
	// connection.
	if pending := c.operations[reply.Number]; pending != nil && reply.Reserve != nil && !pending.resent {
		latency := time.Since(pending.startedAt)
		c.roundTrips.observe(latency)
		r.roundTrips.observe(latency)
	}
	c.applyReply(r, reply)
}

// applyReply applies a reply that arrived directly or through a relay. The caller holds the lock.
func (c *Client) applyReply(r *replicaLink, reply ledger.Reply) {
	r.node.Disk = reply.Disk
	if reply.Stale != nil {
		c.adoptSet(*reply.Stale)
		return
	}
	pending := c.operations[reply.Number]
	if pending == nil {
		return
	}
	if reply.Loan != nil {
		pending.loan = reply.Loan
	}
	switch {
	case reply.Quarantine != nil && pending.follows:
		pending.changes = append(pending.changes, reply.Quarantine)
	case reply.Quarantine != nil:
		pending.quarantine[reply.Disk] = reply.Quarantine
	}
	if reply.Chain {
		pending.chains[reply.Disk] = reply.Turns
	}
	pending.tally.Add(reply)
	pending.signal()
}
