package quorum

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/traffic"
)

// Cells holds a client for each cell of replicas. A program's turns and charges
// are kept in the cell that it hashes to, among those of the region where it runs. It is
// safe for concurrent use.
type Cells struct {
	context context.Context
	// node is this gateway's name.
	node    string
	zone    string
	places  place.Map
	log     *log.Logger
	relays  *Relays
	traffic *traffic.Counter

	mu     sync.RWMutex
	cells  []*Client
	layout replicaset.Layout
}

// keptCells is how many cells of its region a gateway keeps connections to without using them:
// they show that it reaches replicas, and one of them may be without a quorum. Connections to
// all cells would be as many as gateways times replicas, 104,000 in a fleet of 865 and 120, of
// which each holds two goroutines and two gob codecs at both ends.
const keptCells = 2

// NewCells returns clients for no cells yet, for the named gateway in the zone.
func NewCells(ctx context.Context, node, zone string, places place.Map, logger *log.Logger) *Cells {
	return &Cells{context: ctx, node: node, zone: zone, places: places, log: logger}
}

// UseRelays makes the clients go through other gateways where their own connection to a replica is
// cut. It must be called before SetMembership.
func (c *Cells) UseRelays(relays *Relays) {
	c.relays = relays
	relays.replied = c.relayed
	relays.reopened = c.relayReopened
}

// CountTraffic makes the clients and relays count what they send. It must be called before
// SetMembership.
func (c *Cells) CountTraffic(counter *traffic.Counter) {
	c.traffic = counter
	if c.relays != nil {
		c.relays.traffic = counter
	}
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
		client.retryAll()
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
	c.traffic.SetMembers(membership)
	c.mu.Lock()
	c.layout = membership.Layout
	for len(c.cells) < membership.Layout.Cells {
		c.cells = append(c.cells, c.newClient(len(c.cells)))
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

// newClient returns the client of a cell. The caller holds the lock.
func (c *Cells) newClient(cell int) *Client {
	client := NewClient(c.context, c.zone, c.log)
	client.places, client.traffic = c.places, c.traffic
	client.onDemand = !slices.Contains(c.keptCells(), cell)
	if c.relays != nil {
		client.useRelays(c.relays, cell)
	}
	return client
}

// keptCells returns the cells that this gateway keeps connections to: the first of its own
// region, or of all where that has none, by rendezvous hashing, so that gateways spread evenly
// over the cells. The others are connected to when they are needed. The caller holds the lock.
func (c *Cells) keptCells() []int {
	near := c.layout.CellsIn(c.places.Region(c.zone))
	if len(near) == 0 {
		for cell := range c.layout.Cells {
			near = append(near, cell)
		}
	}
	rank := func(cell int) uint64 { return xxhash.Sum64String(c.node + "/" + strconv.Itoa(cell)) }
	slices.SortFunc(near, func(a, b int) int { return cmp.Compare(rank(a), rank(b)) })
	return near[:min(keptCells, len(near))]
}

// ForProgram returns the client of the program's cell: one of the own region, or of the first region
// within the homes where the own one has none, is not within them, or has been without a
// quorum for a while. It returns nil while no cell is known, and where no region within the
// homes has one. Wherever a turn is kept, the escrow holds the program's budget.
func (c *Cells) ForProgram(program string, homes place.Homes) *Client {
	c.mu.RLock()
	defer c.mu.RUnlock()
	own := c.places.Region(c.zone)
	if len(c.layout.Regions) == 0 {
		if len(c.cells) == 0 || !homes.Allows(own) {
			return nil
		}
		return c.cells[replicaset.CellOf(program, len(c.cells))]
	}
	now := time.Now()
	var first *Client
	for _, region := range append([]string{own}, c.regions()...) {
		client := c.inRegion(program, region)
		if client == nil || !homes.Allows(region) {
			continue
		}
		if client.serves(now) {
			return client
		}
		if first == nil {
			first = client
		}
	}
	return first
}

// Failover returns the program's cell of another region within the homes that replaces a cell
// without a quorum in reach; nil if the cell has one, or there is no other.
func (c *Cells) Failover(of *Client, program string, homes place.Homes) *Client {
	now := time.Now()
	if of.reaches(now) {
		return nil
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, region := range c.regions() {
		client := c.inRegion(program, region)
		if client != of && homes.Allows(region) && client.serves(now) {
			return client
		}
	}
	return nil
}

// regions returns the regions that have cells, by name. The caller holds the lock.
func (c *Cells) regions() []string {
	return slices.Compact(slices.Sorted(slices.Values(c.layout.Regions)))
}

// inRegion returns the client of the program's cell in a region, or nil. The caller holds
// the lock.
func (c *Cells) inRegion(program, region string) *Client {
	cells := c.layout.CellsIn(region)
	if len(cells) == 0 {
		return nil
	}
	return c.cells[cells[replicaset.CellOf(program, len(cells))]]
}

// ForProgramInAllRegions returns the program's cell in each region that has cells.
func (c *Cells) ForProgramInAllRegions(program string) []*Client {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if len(c.cells) == 0 {
		return nil
	}
	if len(c.layout.Regions) == 0 {
		return []*Client{c.cells[replicaset.CellOf(program, len(c.cells))]}
	}
	var clients []*Client
	for _, region := range c.regions() {
		clients = append(clients, c.inRegion(program, region))
	}
	return clients
}

// ForTenant returns the client of the cell that lends a tenant's allowances, or nil. A limit
// holds over all regions, so it lies in one cell of the whole fleet.
func (c *Cells) ForTenant(tenant string) *Client {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if len(c.cells) == 0 {
		return nil
	}
	return c.cells[replicaset.CellOf(tenant, len(c.cells))]
}

// Reachable reports whether a quorum of some cell is connected directly.
func (c *Cells) Reachable() bool {
	return slices.ContainsFunc(c.clients(), (*Client).Ready)
}

// PendingOperations returns how many requests are sent again with each new connection and each new set.
func (c *Cells) PendingOperations() int {
	pending := 0
	for _, client := range c.clients() {
		client.mu.Lock()
		pending += len(client.operations)
		client.mu.Unlock()
	}
	return pending
}

// ChainFromOtherCells looks for a turn in the cells other than the program's own, in regions
// within the homes, and returns it with all turns before it, newest first: a program may go
// on from a turn of another one, or come from another region. None does not mean that there
// is none.
func (c *Cells) ChainFromOtherCells(ctx context.Context, program, turn string, homes place.Homes) []ledger.Turn {
	own := c.ForProgram(program, homes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cells := c.within(homes)
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

// within returns the clients of the cells in regions within the homes.
func (c *Cells) within(homes place.Homes) []*Client {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var clients []*Client
	for cell, client := range c.cells {
		if len(c.layout.Regions) == 0 || homes.Allows(c.layout.Region(cell)) {
			clients = append(clients, client)
		}
	}
	return clients
}
