package replica

import (
	"net"
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

const (
	// inventoryInterval is how often a replica asks another one for new turns.
	inventoryInterval = 250 * time.Millisecond
	// replyLimit is when an unanswered question to a peer is asked again.
	replyLimit = time.Second
	// fetchLimit bounds the turns asked for at once.
	fetchLimit = 200
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
	// adopted is the epoch it confirmed durably while its charges were merged here.
	adopted uint64
	adoptAt time.Time
}

// LinkUp implements peer.Handler.
func (p *peerState) LinkUp() {
	p.server.post(func() {
		p.up = true
		p.asking = false
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
		p.server.log.Warn().Str("event", "peer_lost").Str("peer", p.node.Name).AnErr("error", err).Msg("")
	})
}

// Received implements peer.Handler.
func (p *peerState) Received(reply ledger.Reply) {
	p.server.post(func() { p.receive(reply) })
}

// Sent implements peer.SentCounter.
func (p *peerState) Sent(_ net.Addr, request ledger.Request, bytes int) {
	p.server.options.Traffic.SentToZone(request.Kind(), p.node.Zone, bytes)
}

func (p *peerState) receive(reply ledger.Reply) {
	p.heardAt = time.Now()
	p.disk = reply.Disk
	switch {
	case reply.Inventory != nil:
		p.receiveInventory(*reply.Inventory)
	case reply.Turns != nil:
		p.receiveTurns(reply.Turns)
	case reply.Durable:
		p.receiveAdopted(reply)
	default: // a fetch of turns that the peer has dropped meanwhile
		p.missing = nil
		p.advance()
	}
}

func (p *peerState) receiveInventory(inventory ledger.InventoryReply) {
	p.nextBoot, p.next, p.more = inventory.Boot, inventory.Position, inventory.More
	p.missing = p.server.state.Missing(inventory.IDs)
	p.advance()
}

// receiveTurns stores fetched turns. Those asked for and not sent were dropped by
// the peer.
func (p *peerState) receiveTurns(turns []ledger.Turn) {
	records := p.server.state.StoreTurns(time.Now(), turns)
	p.server.persist(records, nil)
	p.missing = p.missing[min(fetchLimit, len(p.missing)):]
	p.advance()
}

// advance fetches what is missing, and once nothing is, confirms the position when
// all records before it are durable.
func (p *peerState) advance() {
	if len(p.missing) > 0 {
		p.askedAt = time.Now()
		ids := p.missing[:min(fetchLimit, len(p.missing))]
		p.link.Send(ledger.Request{Fetch: &ledger.Fetch{IDs: ids}})
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
	if !p.up || p.server.members.leaving {
		return
	}
	if p.asking && now.Sub(p.askedAt) < replyLimit {
		return
	}
	if now.Sub(p.askedAt) >= inventoryInterval {
		p.ask(now)
	}
}

func (p *peerState) ask(now time.Time) {
	p.asking = true
	p.askedAt = now
	p.link.Send(ledger.Request{Inventory: &ledger.Inventory{
		Boot: p.boot, After: p.position, From: p.server.state.Disk(),
	}})
}

// requestAdoption asks the peer to adopt the set and to hand over its charges.
func (p *peerState) requestAdoption(now time.Time, set replicaset.Set) {
	if !p.up || p.adopted >= set.Epoch || now.Sub(p.adoptAt) < replyLimit/2 {
		return
	}
	p.adoptAt = now
	p.link.Send(ledger.Request{Adopt: &ledger.Adopt{Set: set, WithCharges: true}})
}

func (p *peerState) receiveAdopted(reply ledger.Reply) {
	records := p.server.state.MergeCharges(time.Now(), reply.Charges)
	p.server.persist(records, func() {
		p.server.post(func() { p.adopted = max(p.adopted, reply.Epoch) })
	})
}
