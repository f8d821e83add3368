package quorum

import (
	"context"
	"net"
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/peer"
)

// forward is a request forwarded to a replica for another gateway.
type forward struct {
	from *peer.Connection[RelayReply]
	// number is the request's number at the requesting gateway.
	number  uint64
	cell    int
	expires time.Time
}

const (
	// forwardTTL is how long a replica's replies are returned to the requesting gateway.
	forwardTTL = 3 * time.Second
	// maxForwards bounds the forwarded requests in progress.
	maxForwards = 8192
	// maxQueuedForwards bounds the forwarded requests that wait for one connection to open. It is
	// more than arrive in the round trip that opening takes.
	maxQueuedForwards = 256
)

// ServeRelays listens on the address and forwards the requests of other gateways until the context
// ends.
func (c *Cells) ServeRelays(ctx context.Context, address string) error {
	listener, err := peer.Listen(ctx, address)
	if err != nil {
		return err
	}
	server := peer.NewServer(listener, c.Forward)
	server.CountSent(func(to net.Addr, _ RelayReply, bytes int) { c.traffic.AddSentTo("relay_reply", to, bytes) })
	stop := context.AfterFunc(ctx, server.Close)
	defer stop()
	server.Run()
	return nil
}

// Forward forwards a request of another gateway to a replica if the direct connection to it is
// responsive; otherwise it replies that the replica is unreachable. A relayed request is never
// relayed again.
func (c *Cells) Forward(from *peer.Connection[RelayReply], request RelayRequest) {
	c.mu.RLock()
	var client *Client
	if request.Cell >= 0 && request.Cell < len(c.cells) {
		client = c.cells[request.Cell]
	}
	c.mu.RUnlock()
	if client != nil && client.forward(from, request) {
		return
	}
	from.Send(RelayReply{
		Cell: request.Cell, Replica: request.Replica, Unreachable: true, Reply: ledger.Reply{Number: request.Request.Number},
	})
}

// forward forwards a request to a replica and reports whether it did.
func (c *Client) forward(from *peer.Connection[RelayReply], request RelayRequest) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, replica := range c.replicas {
		if replica.node.Name != request.Replica {
			continue
		}
		replica.open(now)
		if !c.responsive(now, replica) || !c.hasForwardCapacity(now) {
			return false
		}
		c.lastNumber++
		c.forwards[c.lastNumber] = forward{from: from, number: request.Request.Number, cell: request.Cell, expires: now.Add(forwardTTL)}
		forwarded := request.Request
		forwarded.Number = c.lastNumber
		if !replica.up {
			return replica.queueForward(forwarded)
		}
		replica.silence.RequestSent(now)
		return replica.send(forwarded)
	}
	return false
}

// queueForward queues a request until the connection that is being opened is up. It returns false
// if the queue is full. The client's lock is held.
func (r *replicaLink) queueForward(request ledger.Request) bool {
	if len(r.queuedForwards) >= maxQueuedForwards {
		return false
	}
	r.queuedForwards = append(r.queuedForwards, request)
	return true
}

// sendQueuedForwards sends the queued requests that have not expired. The client's lock is held.
func (r *replicaLink) sendQueuedForwards(now time.Time) {
	for _, request := range r.queuedForwards {
		if now.Before(r.client.forwards[request.Number].expires) {
			r.send(request)
		}
	}
	r.queuedForwards = nil
}

// hasForwardCapacity reports whether another request can be forwarded. It removes expired entries
// when the table is full.
func (c *Client) hasForwardCapacity(now time.Time) bool {
	if len(c.forwards) < maxForwards {
		return true
	}
	for number, entry := range c.forwards {
		if now.After(entry.expires) {
			delete(c.forwards, number)
		}
	}
	return len(c.forwards) < maxForwards
}

// returnForwardedReply sends the reply to the requesting gateway if it answers a forwarded request,
// and reports whether it does. The caller holds the lock.
func (c *Client) returnForwardedReply(replica *replicaLink, reply ledger.Reply) bool {
	entry, found := c.forwards[reply.Number]
	if !found {
		return false
	}
	if reply.Reserve == nil {
		delete(c.forwards, reply.Number) // only a Reserve reply is followed by another one
	}
	reply.Number = entry.number
	entry.from.Send(RelayReply{Cell: entry.cell, Replica: replica.node.Name, Reply: reply})
	return true
}
