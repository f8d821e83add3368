package quorum

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// Cells holds a client for each cell of replicas. A program's turns and charges
// are kept in the cell that it hashes to. It is safe for concurrent use.
type Cells struct {
	context context.Context
	zone    string
	log     *log.Logger
	relays  *Relays

	mu    sync.RWMutex
	cells []*Client
}

// NewCells returns clients for no cells yet.
func NewCells(ctx context.Context, zone string, logger *log.Logger) *Cells {
	return &Cells{context: ctx, zone: zone, log: logger}
}

// UseRelays makes the clients go by other gateways where their own way to a replica is
// cut. It must be called before SetMembership.
func (c *Cells) UseRelays(relays *Relays) {
	c.relays = relays
	relays.replied = c.relayed
	relays.reopened = c.relayReopened
}

// relayed applies a reply that came by another gateway.
func (c *Cells) relayed(reply RelayReply) {
	for cell, client := range c.clients() {
		if cell == reply.Cell {
			client.relayed(reply)
		}
	}
}

// relayReopened sends again what a new connection to a relaying gateway may have lost.
func (c *Cells) relayReopened() {
	for _, client := range c.clients() {
		client.retryAllByRelay()
	}
}

func (c *Cells) clients() []*Client {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.cells
}

// SetMembership replaces the cells by what the registry holds.
func (c *Cells) SetMembership(membership replicaset.Membership) {
	if !membership.HasLayout {
		return
	}
	c.mu.Lock()
	for len(c.cells) < membership.Layout.Cells {
		client := NewClient(c.context, c.zone, c.log)
		if c.relays != nil {
			client.useRelays(c.relays, len(c.cells))
		}
		c.cells = append(c.cells, client)
	}
	cells := c.cells
	c.mu.Unlock()
	nodes := make([][]replicaset.Node, len(cells))
	for _, node := range membership.Replicas {
		if cell := membership.CellOfNode(node); cell != replicaset.NoCell {
			nodes[cell] = append(nodes[cell], node)
		}
	}
	for cell, client := range cells {
		client.SetReplicas(nodes[cell], membership.Sets[cell])
	}
}

// Of returns the client of the program's cell, or nil while no cell is known.
func (c *Cells) Of(program string) *Client {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if len(c.cells) == 0 {
		return nil
	}
	return c.cells[replicaset.CellOf(program, len(c.cells))]
}

// Reachable reports whether a quorum of some cell is connected directly.
func (c *Cells) Reachable() bool {
	for _, client := range c.clients() {
		if client.Ready() {
			return true
		}
	}
	return false
}

// Pending returns how many requests are sent again with each new connection and each new set.
func (c *Cells) Pending() int {
	pending := 0
	for _, client := range c.clients() {
		client.mu.Lock()
		pending += len(client.operations)
		client.mu.Unlock()
	}
	return pending
}

// ChainElsewhere looks for a turn in the cells other than the program's own, and
// returns it with all turns before it, newest first: a program may go on from a
// turn of another one.
func (c *Cells) ChainElsewhere(ctx context.Context, program, turn string) []ledger.Turn {
	own := c.Of(program)
	c.mu.RLock()
	cells := c.cells
	c.mu.RUnlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan []ledger.Turn, len(cells))
	asked := 0
	for _, client := range cells {
		if client == own {
			continue
		}
		asked++
		go func() { results <- client.Chain(ctx, turn) }()
	}
	for range asked {
		if chain := <-results; len(chain) > 0 {
			return chain
		}
	}
	return nil
}
