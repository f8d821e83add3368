package replica

import (
	"net"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

const (
	// inventoryInterval is how often a replica requests the inventory of another one.
	inventoryInterval = 250 * time.Millisecond
	// replyTimeout is how long a peer may send nothing before it counts as unreachable.
	replyTimeout = time.Second
	// requestRetryDelay is when an unanswered request is sent again on the same connection. A lost
	// reply is detected earlier, because the connection ends; a late reply means a saturated link,
	// on which a retry would transfer the same bytes again.
	requestRetryDelay = 5 * time.Second
	// fetchLimit is the maximum number of turns in one Fetch.
	fetchLimit = 200
	// handoverLimit is the maximum number of charges in one reply, about 20 KB: all of them are
	// megabytes, and they share the link between regions with callers' turns.
	handoverLimit = 400
)

// peerState is what a replica knows of another one. Only the loop accesses it.
type peerState struct {
	server    *Server
	node      replicaset.Node
	link      *peer.Link[ledger.Request, ledger.Reply]
	connected bool
	// lastReplyAt is when the peer last sent something; zero before that.
	lastReplyAt time.Time
	// disk is the peer's disk according to its last reply; diskSince is when it first replied with it.
	disk      string
	diskSince time.Time
	// position is the position in the peer's inventory up to which its turns are durable here;
	// boot is the run of the peer's process to which it belongs.
	boot     string
	position int
	// missing are the ids still to be fetched before nextPosition becomes the position;
	// nextHasMore is set when the peer's inventory continues after it.
	missing        []string
	nextBoot       string
	nextPosition   int
	nextHasMore    bool
	requestedAt    time.Time
	requestPending bool
	// fetching are the turns that were requested from the peer and not received yet.
	fetching []string
	// adoptedEpoch is the epoch that the peer confirmed durably, once all its charges are merged
	// here. handover is the position up to which they are merged, adoptionRequestedAt when the
	// next ones were requested, zero once it replied.
	adoptedEpoch        uint64
	handover            ledger.HandoverPosition
	adoptionRequestedAt time.Time
	// settledEpoch is the newest epoch that the peer said to have settled; reportsSettled is set once it said any.
	settledEpoch   uint64
	reportsSettled bool
	// silentVoters are the disks of the voters that the peer reported as unreachable.
	silentVoters []string
	// silence detects that requests remain unanswered.
	silence peer.SilenceDetector
}

// send queues a request to the peer and starts the silence detector.
func (p *peerState) send(request ledger.Request) {
	if p.link.Send(request) {
		p.silence.RequestSent(time.Now())
	}
}

// reconnectIfSilent replaces a connection on which requests remained unanswered for too long.
func (p *peerState) reconnectIfSilent(now time.Time) {
	if !p.connected || !p.silence.TimedOut(now) {
		return
	}
	p.silence.Reset()
	p.server.log.Warn().Str("event", "connection_silent").Str("peer", p.node.Name).Msg("")
	p.link.Reconnect()
}

// LinkUp implements peer.Handler.
func (p *peerState) LinkUp() {
	p.server.post(func() {
		p.connected = true
		p.requestPending = false
		p.silence.Reset()
		p.stopFetching()
		p.adoptionRequestedAt = time.Time{}
		self := p.server.self()
		p.link.Send(ledger.Request{Hello: &self})
		p.server.log.Info().Str("event", "peer_connected").Str("peer", p.node.Name).Msg("")
	})
}

// LinkDown implements peer.Handler.
func (p *peerState) LinkDown(err error) {
	p.server.post(func() {
		p.connected = false
		p.stopFetching()
		p.server.log.Warn().Str("event", "peer_lost").Str("peer", p.node.Name).AnErr("error", err).Msg("")
	})
}

// Received implements peer.Handler.
func (p *peerState) Received(reply ledger.Reply) {
	p.server.postMessage(reply.Bytes(), func() { p.receive(reply) })
}

// Sent implements peer.SentCounter.
func (p *peerState) Sent(_ net.Addr, request ledger.Request, bytes int) {
	p.server.options.Traffic.AddSentToZone(request.Kind(), p.node.Zone, bytes)
}

func (p *peerState) receive(reply ledger.Reply) {
	p.lastReplyAt = time.Now()
	p.silence.Reset()
	if p.disk != reply.Disk {
		p.settledEpoch, p.diskSince = 0, p.lastReplyAt
	}
	p.disk = reply.Disk
	if reply.ReportsSettled {
		p.reportsSettled, p.settledEpoch = true, max(p.settledEpoch, reply.Settled)
	}
	switch {
	case reply.Inventory != nil:
		p.receiveInventory(*reply.Inventory)
	case reply.Turns != nil:
		p.receiveTurns(reply.Turns, reply.Cut)
	case reply.Durable:
		p.receiveAdoption(reply)
	default: // the reply to a Fetch whose turns the peer has dropped
		p.receiveTurns(nil, false)
	}
}

func (p *peerState) receiveInventory(inventory ledger.InventoryReply) {
	p.stopFetching()
	p.silentVoters = inventory.Silent
	p.nextBoot, p.nextPosition, p.nextHasMore = inventory.Boot, inventory.Position, inventory.More
	p.missing = p.server.state.Missing(inventory.IDs)
	p.advance()
}

// receiveTurns stores fetched turns. Requested turns that are not in the reply were dropped by the
// peer, unless the reply was truncated.
func (p *peerState) receiveTurns(turns []ledger.Turn, cut bool) {
	records := p.server.state.StoreTurns(time.Now(), turns)
	p.server.persist(records, nil)
	if !cut {
		dropped := map[string]bool{}
		for _, id := range p.fetching {
			dropped[id] = true
		}
		p.missing = slices.DeleteFunc(p.missing, func(id string) bool { return dropped[id] })
	}
	p.stopFetching()
	p.advance()
}

// stopFetching releases the claims on the requested turns, so that they can be fetched from other
// peers.
func (p *peerState) stopFetching() {
	p.server.claims.release(p.node.Name, p.fetching)
	p.fetching = nil
}

// advance fetches missing turns that no other peer has claimed. Once none is missing, it moves the
// position when all records before it are durable.
func (p *peerState) advance() {
	p.missing = p.server.state.Missing(p.missing)
	if len(p.missing) > 0 {
		now := time.Now()
		p.fetching = p.server.claims.acquire(now, p.node.Name, p.missing, fetchLimit)
		if len(p.fetching) > 0 {
			p.requestedAt = now
			p.send(ledger.Request{Fetch: &ledger.Fetch{IDs: p.fetching}})
		}
		return
	}
	boot, position, more := p.nextBoot, p.nextPosition, p.nextHasMore
	p.server.persist(nil, func() {
		p.server.post(func() {
			p.boot, p.position, p.requestPending = boot, position, false
			if more {
				p.requestInventory(time.Now())
			}
		})
	})
}

// tick requests new turns. A leaving replica requests none, because it could never finish handing
// over its turns otherwise.
func (p *peerState) tick(now time.Time) {
	p.reconnectIfSilent(now)
	if !p.connected || p.server.members.leaving {
		return
	}
	if p.requestPending && now.Sub(p.requestedAt) < requestRetryDelay {
		if len(p.missing) > 0 && len(p.fetching) == 0 {
			p.advance() // so far, other peers had claimed all missing turns
		}
		return
	}
	p.stopFetching()
	if now.Sub(p.requestedAt) >= inventoryInterval {
		p.requestInventory(now)
	}
}

func (p *peerState) requestInventory(now time.Time) {
	p.requestPending = true
	p.requestedAt = now
	p.send(ledger.Request{Inventory: &ledger.Inventory{
		Boot: p.boot, After: p.position, From: p.server.state.Disk(),
	}})
}

// requestAdoption asks the peer to adopt the set and requests its next charges.
func (p *peerState) requestAdoption(now time.Time, set replicaset.Set) {
	if !p.connected || p.adoptedEpoch >= set.Epoch || now.Sub(p.adoptionRequestedAt) < requestRetryDelay {
		return
	}
	p.adoptionRequestedAt = now
	p.send(ledger.Request{Adopt: &ledger.Adopt{Set: set, Charges: handoverLimit, After: p.handover, WithCharges: true}})
}

// receiveAdoption merges the charges of the peer and requests the next ones.
func (p *peerState) receiveAdoption(reply ledger.Reply) {
	records := p.server.state.MergeCharges(time.Now(), reply.Charges)
	complete := true // replicas of the previous version hand over all charges in one reply
	if reply.Handover != nil {
		p.handover, complete = p.handover.Advance(*reply.Handover)
	}
	p.adoptionRequestedAt = time.Time{}
	if !complete {
		p.server.persist(records, nil)
		p.requestAdoption(time.Now(), p.server.members.set)
		return
	}
	p.server.persist(records, func() {
		p.server.post(func() { p.adoptedEpoch = max(p.adoptedEpoch, reply.Epoch) })
	})
}
