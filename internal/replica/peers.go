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
	// inventoryInterval is how often a replica asks another one for new turns.
	inventoryInterval = 250 * time.Millisecond
	// replyLimit is how long a peer may say nothing before it counts as unreachable.
	replyLimit = time.Second
	// askAgainAfter is when an unanswered request is sent again on the same connection. A lost
	// answer shows sooner by the end of the connection; a late one is on a full link, where a
	// repetition would send the same bytes once more.
	askAgainAfter = 5 * time.Second
	// fetchLimit bounds the turns asked for at once.
	fetchLimit = 200
	// handoverCharges is how many charges a peer hands over in one reply, some 20 KB: all of
	// them are megabytes, and the link between regions carries them beside callers' turns.
	handoverCharges = 400
)

// peerState is what a replica knows of another one. It belongs to the loop.
type peerState struct {
	server *Server
	node   replicaset.Node
	link   *peer.Link[ledger.Request, ledger.Reply]
	up     bool
	// heardAt is when the peer last said something; zero before.
	heardAt time.Time
	// disk is the disk it last answered with.
	disk string
	// boot and position say how far its turns are durable here.
	boot     string
	position int
	// missing are ids still to be fetched before next becomes the position.
	missing  []string
	nextBoot string
	next     int
	more     bool
	askedAt  time.Time
	asking   bool
	// fetching are the turns it was asked for and has not sent.
	fetching []string
	// adopted is the epoch it confirmed durably while all its charges were merged here; place
	// is how far they are, adoptAt when it was asked for more, zero once it answered.
	adopted uint64
	place   ledger.HandoverPlace
	adoptAt time.Time
	// silentVoters are the disks that it has not heard of for long.
	silentVoters []string
	// silence is how long nothing has followed a question.
	silence peer.SilenceDetector
}

// send queues a request to the peer, and notes since when an answer is awaited.
func (p *peerState) send(request ledger.Request) {
	if p.link.Send(request) {
		p.silence.RequestSent(time.Now())
	}
}

// renewIfSilent replaces a connection on which nothing was answered for long.
func (p *peerState) renewIfSilent(now time.Time) {
	if !p.up || !p.silence.TimedOut(now) {
		return
	}
	p.silence.Reset()
	p.server.log.Warn().Str("event", "connection_silent").Str("peer", p.node.Name).Msg("")
	p.link.Reconnect()
}

// LinkUp implements peer.Handler.
func (p *peerState) LinkUp() {
	p.server.post(func() {
		p.up = true
		p.asking = false
		p.silence.Reset()
		p.stopFetching()
		p.adoptAt = time.Time{}
		own := p.server.own()
		p.link.Send(ledger.Request{Hello: &own})
		p.server.log.Info().Str("event", "peer_connected").Str("peer", p.node.Name).Msg("")
	})
}

// LinkDown implements peer.Handler.
func (p *peerState) LinkDown(err error) {
	p.server.post(func() {
		p.up = false
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
	p.heardAt = time.Now()
	p.silence.Reset()
	p.disk = reply.Disk
	switch {
	case reply.Inventory != nil:
		p.receiveInventory(*reply.Inventory)
	case reply.Turns != nil:
		p.receiveTurns(reply.Turns, reply.Cut)
	case reply.Durable:
		p.receiveAdopted(reply)
	default: // a fetch of turns that the peer has dropped meanwhile
		p.receiveTurns(nil, false)
	}
}

func (p *peerState) receiveInventory(inventory ledger.InventoryReply) {
	p.stopFetching()
	p.silentVoters = inventory.Silent
	p.nextBoot, p.next, p.more = inventory.Boot, inventory.Position, inventory.More
	p.missing = p.server.state.Missing(inventory.IDs)
	p.advance()
}

// receiveTurns stores fetched turns. Those asked for and not sent were dropped by the peer,
// unless its reply was cut.
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

// stopFetching lets other peers be asked for what this one was asked for.
func (p *peerState) stopFetching() {
	p.server.claims.release(p.node.Name, p.fetching)
	p.fetching = nil
}

// advance fetches what is missing and no other peer is asked for, and once nothing is missing,
// confirms the position when all records before it are durable.
func (p *peerState) advance() {
	p.missing = p.server.state.Missing(p.missing)
	if len(p.missing) > 0 {
		now := time.Now()
		p.fetching = p.server.claims.take(now, p.node.Name, p.missing, fetchLimit)
		if len(p.fetching) > 0 {
			p.askedAt = now
			p.send(ledger.Request{Fetch: &ledger.Fetch{IDs: p.fetching}})
		}
		return
	}
	boot, position, more := p.nextBoot, p.next, p.more
	p.server.persist(nil, func() {
		p.server.post(func() {
			p.boot, p.position, p.asking = boot, position, false
			if more {
				p.ask(time.Now())
			}
		})
	})
}

// tick asks for what is new. A replica that leaves asks for nothing more, or what
// it has to hand over would never end.
func (p *peerState) tick(now time.Time) {
	p.renewIfSilent(now)
	if !p.up || p.server.members.leaving {
		return
	}
	if p.asking && now.Sub(p.askedAt) < askAgainAfter {
		if len(p.missing) > 0 && len(p.fetching) == 0 {
			p.advance() // other peers were asked for all that is missing
		}
		return
	}
	p.stopFetching()
	if now.Sub(p.askedAt) >= inventoryInterval {
		p.ask(now)
	}
}

func (p *peerState) ask(now time.Time) {
	p.asking = true
	p.askedAt = now
	p.send(ledger.Request{Inventory: &ledger.Inventory{
		Boot: p.boot, After: p.position, From: p.server.state.Disk(),
	}})
}

// requestAdoption asks the peer to adopt the set and to hand over its next charges.
func (p *peerState) requestAdoption(now time.Time, set replicaset.Set) {
	if !p.up || p.adopted >= set.Epoch || now.Sub(p.adoptAt) < askAgainAfter {
		return
	}
	p.adoptAt = now
	p.send(ledger.Request{Adopt: &ledger.Adopt{Set: set, Charges: handoverCharges, After: p.place, WithCharges: true}})
}

// receiveAdopted merges charges that the peer handed over, and asks for the next ones.
func (p *peerState) receiveAdopted(reply ledger.Reply) {
	records := p.server.state.MergeCharges(time.Now(), reply.Charges)
	complete := true // replicas of the previous version hand over all charges in one reply
	if reply.Handover != nil {
		p.place, complete = p.place.Follow(*reply.Handover)
	}
	p.adoptAt = time.Time{}
	if !complete {
		p.server.persist(records, nil)
		p.requestAdoption(time.Now(), p.server.members.set)
		return
	}
	p.server.persist(records, func() {
		p.server.post(func() { p.adopted = max(p.adopted, reply.Epoch) })
	})
}
