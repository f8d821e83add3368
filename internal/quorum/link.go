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
	// zone is the node's, and never changes: it is read without the lock.
	zone string
	link *peer.Link[ledger.Request, ledger.Reply]
	up   bool
	// silence is how long no reply has followed a request.
	silence peer.SilenceDetector
	// answers estimates how long this replica takes to answer.
	answers roundTrip
	// relaying is set while requests go by another gateway.
	relaying bool
	// relayedAt is when an answer last came by another gateway.
	relayedAt time.Time
	// forwards are requests of other gateways that wait for the connection.
	forwards []ledger.Request
	// openedAt is when the connection was last asked for, usedAt when a request last was.
	openedAt, usedAt time.Time
	// idle closes a connection on demand.
	idle *time.Timer
}

const (
	// connectAllowance is how long a new connection to a replica may take before the replica
	// counts as out of reach: two round trips between distant regions.
	connectAllowance = 150 * time.Millisecond
	// onDemandIdle is how long a connection on demand stays without use: the turns of one
	// program come within it, and opening costs a round trip.
	onDemandIdle = 10 * time.Second
)

// ConnectAllowance is how much longer the answer of a replica may take because a connection is
// opened for the request: zero where it stands or has had its time.
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

// open asks for the connection if there is none. The client's lock is held, as for all
// methods here but those of peer.Handler.
func (r *replicaLink) open(now time.Time) {
	r.usedAt = now
	if r.link != nil {
		return
	}
	r.openedAt = now
	r.link = peer.NewLink[ledger.Request, ledger.Reply](r.client.context, r.node.Address, r)
	if r.client.onDemand {
		r.idle = time.AfterFunc(onDemandIdle, r.closeIdle)
	}
}

// opening reports whether the replica may yet be reached: it was not tried, or just now.
func (r *replicaLink) opening(now time.Time) bool {
	return r.client.onDemand && !r.up && (r.link == nil || now.Sub(r.openedAt) <= connectAllowance)
}

// send reports whether the message was queued on a connection.
func (r *replicaLink) send(request ledger.Request) bool {
	return r.link != nil && r.link.Send(request)
}

// closeIdle closes a connection on demand that was not used for a while. Another link takes
// this one's place, for this one may yet hear of its connection's end.
func (r *replicaLink) closeIdle() {
	c := r.client
	c.mu.Lock()
	defer c.mu.Unlock()
	index := slices.Index(c.replicas, r)
	if index < 0 {
		return
	}
	rest := time.Until(r.usedAt.Add(onDemandIdle))
	if len(c.operations) > 0 { // a replica without a connection is not asked again
		rest = onDemandIdle
	}
	if rest > 0 {
		r.idle.Reset(rest)
		return
	}
	r.close()
	c.replicas[index] = &replicaLink{client: c, node: r.node, zone: r.zone}
}

// close ends the connection for good.
func (r *replicaLink) close() {
	if r.idle != nil {
		r.idle.Stop()
	}
	if r.link != nil {
		r.link.CloseAsync()
	}
}

// Sent implements peer.SentCounter.
func (r *replicaLink) Sent(_ net.Addr, request ledger.Request, bytes int) {
	r.client.traffic.SentToZone(request.Kind(), r.zone, bytes)
}

// renewIfSilent replaces a connection on which nothing was answered for long. The client's lock
// is held.
func (r *replicaLink) renewIfSilent(now time.Time) {
	if !r.up || !r.silence.TimedOut(now) {
		return
	}
	r.silence.Reset()
	r.client.log.Warn().Str("event", "connection_silent").Str("peer", r.node.Name).Msg("")
	r.link.Reconnect()
}

// LinkUp implements peer.Handler: it repeats what this replica has not answered.
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
	r.sendForwards(time.Now())
}

// LinkDown implements peer.Handler.
func (r *replicaLink) LinkDown(err error) {
	c := r.client
	c.mu.Lock()
	defer c.mu.Unlock()
	r.up = false
	c.log.Warn().Str("event", "dependency_lost").Str("dependency", "replica").Str("peer", r.node.Name).AnErr("error", err).Msg("")
	c.widenAll(r)
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
	if c.passBack(r, reply) {
		return
	}
	// What was relayed as well is measured too: this answer came on the direct connection.
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
