package quorum

import (
	"context"
	"net"
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/peer"
)

// forward is a request of another gateway that was passed on to a replica.
type forward struct {
	from *peer.Connection[RelayReply]
	// number is the request's number at the other gateway.
	number  uint64
	cell    int
	expires time.Time
}

const (
	// forwardLife is how long a replica's replies are passed back.
	forwardLife = 3 * time.Second
	// forwardsMost bounds the requests of other gateways under way.
	forwardsMost = 8192
	// forwardsWaiting bounds the requests of other gateways that wait for one connection to
	// open, which takes a round trip: more than come in that time.
	forwardsWaiting = 256
)

// ServeRelays passes the requests of other gateways on until the context ends.
func (c *Cells) ServeRelays(ctx context.Context, address string) error {
	listener, err := peer.Listen(ctx, address)
	if err != nil {
		return err
	}
	server := peer.NewServer(listener, c.Forward)
	server.CountSent(func(to net.Addr, _ RelayReply, bytes int) { c.traffic.SentTo("relay_reply", to, bytes) })
	stop := context.AfterFunc(ctx, server.Close)
	defer stop()
	server.Run()
	return nil
}

// Forward passes a request of another gateway on to a replica of the cell, if the
// direct connection there is responsive. Requests that were relayed once are not relayed again.
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

// forward reports whether the request was passed on.
func (c *Client) forward(from *peer.Connection[RelayReply], request RelayRequest) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, replica := range c.replicas {
		if replica.node.Name != request.Replica {
			continue
		}
		replica.open(now)
		if !c.responsive(now, replica) || !c.roomToForward(now) {
			return false
		}
		c.number++
		c.forwards[c.number] = forward{from: from, number: request.Request.Number, cell: request.Cell, expires: now.Add(forwardLife)}
		passed := request.Request
		passed.Number = c.number
		if !replica.up {
			return replica.forwardOnceUp(passed)
		}
		replica.silence.RequestSent(now)
		return replica.send(passed)
	}
	return false
}

// forwardOnceUp keeps a request until the connection that is being opened stands. It reports
// false if too many wait. The client's lock is held.
func (r *replicaLink) forwardOnceUp(passed ledger.Request) bool {
	if len(r.forwards) >= forwardsWaiting {
		return false
	}
	r.forwards = append(r.forwards, passed)
	return true
}

// sendForwards sends what waited for the connection and may still be answered. The client's
// lock is held.
func (r *replicaLink) sendForwards(now time.Time) {
	for _, passed := range r.forwards {
		if now.Before(r.client.forwards[passed.Number].expires) {
			r.send(passed)
		}
	}
	r.forwards = nil
}

// roomToForward drops expired entries once the table is full.
func (c *Client) roomToForward(now time.Time) bool {
	if len(c.forwards) < forwardsMost {
		return true
	}
	for number, entry := range c.forwards {
		if now.After(entry.expires) {
			delete(c.forwards, number)
		}
	}
	return len(c.forwards) < forwardsMost
}

// passBack hands a reply to the gateway that asked, and reports whether there is one.
// The caller holds the lock.
func (c *Client) passBack(replica *replicaLink, reply ledger.Reply) bool {
	entry, relayed := c.forwards[reply.Number]
	if !relayed {
		return false
	}
	if reply.Reserve == nil {
		delete(c.forwards, reply.Number) // the last reply to any request
	}
	reply.Number = entry.number
	entry.from.Send(RelayReply{Cell: entry.cell, Replica: replica.node.Name, Reply: reply})
	return true
}
