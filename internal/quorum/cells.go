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

// Cells holds a client for each cell of replicas. A program's turns and charges are stored in the
// cell that its name hashes to, among the cells of the region where it runs. It is safe for
// concurrent use.
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

// maxPreconnectedCells is how many cells of its region a gateway stays connected to even when it
// does not use them. The connections show that the gateway reaches replicas; there are two because
// one of the cells may be without a quorum. Connections to all cells would number gateways times
// replicas, 104,000 in a fleet of 865 gateways and 120 replicas, and each one holds two goroutines
// and two gob codecs at both ends.
const maxPreconnectedCells = 2

// NewCells returns an empty set of cells for the named gateway in the zone. SetMembership adds the
// clients.
func NewCells(ctx context.Context, node, zone string, places place.Map, logger *log.Logger) *Cells {
	return &Cells{context: ctx, node: node, zone: zone, places: places, log: logger}
}

// UseRelays makes the clients send requests through other gateways when their direct connection to
// a replica is down or unresponsive. It must be called before SetMembership.
func (c *Cells) UseRelays(relays *Relays) {
	c.relays = relays
	relays.onReply = c.handleRelayReply
	relays.onReconnect = c.handleRelayReconnect
}

// CountTraffic makes the clients and relays count the bytes that they send. It must be called
// before SetMembership.
func (c *Cells) CountTraffic(counter *traffic.Counter) {
	c.traffic = counter
	if c.relays != nil {
		c.relays.traffic = counter
	}
}

// handleRelayReply passes a reply that arrived through a relay to the client of its cell.
func (c *Cells) handleRelayReply(reply RelayReply) {
	for cell, client := range c.clients() {
		if cell == reply.Cell {
			client.handleRelayReply(reply)
		}
	}
}

// handleRelayReconnect retries the pending operations, whose requests may have been lost with the
// previous connection to the relay.
func (c *Cells) handleRelayReconnect() {
	for _, client := range c.clients() {
		client.retryAll()
	}
}

func (c *Cells) clients() []*Client {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.cells
}

// SetMembership applies the cell layout, replicas and replica sets of the registry.
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

// newClient creates the client of a cell. The caller holds the lock.
func (c *Cells) newClient(cell int) *Client {
	client := NewClient(c.context, c.zone, c.log)
	client.places, client.traffic = c.places, c.traffic
	client.onDemand = !slices.Contains(c.preconnectedCells(), cell)
	if c.relays != nil {
		client.useRelays(c.relays, cell)
	}
	return client
}

// preconnectedCells returns the cells that this gateway stays connected to. It chooses among the
// cells of its own region, or among all cells if the region has none, by rendezvous hashing, so
// that gateways spread evenly over the cells. Connections to other cells are opened on demand. The
// caller holds the lock.
func (c *Cells) preconnectedCells() []int {
	candidates := c.layout.CellsIn(c.places.Region(c.zone))
	if len(candidates) == 0 {
		for cell := range c.layout.Cells {
			candidates = append(candidates, cell)
		}
	}
	rank := func(cell int) uint64 { return xxhash.Sum64String(c.node + "/" + strconv.Itoa(cell)) }
	slices.SortFunc(candidates, func(a, b int) int { return cmp.Compare(rank(a), rank(b)) })
	return candidates[:min(maxPreconnectedCells, len(candidates))]
}

// ForProgram returns the client of the program's cell. It prefers the gateway's own region. If that
// has no cell, is not allowed by homes, or has been without a quorum for quorumLossDelay, it falls
// back to the first other region that is allowed and has a quorum. If no allowed region has a
// quorum, it returns the first allowed cell. It returns nil if no cell is known or no allowed
// region has one. The escrow enforces the program's budget in whichever region a turn is stored.
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
		client := c.clientInRegion(program, region)
		if client == nil || !homes.Allows(region) {
			continue
		}
		if client.isAvailable(now) {
			return client
		}
		if first == nil {
			first = client
		}
	}
	return first
}

// Failover returns the program's cell in another region allowed by homes to replace a cell that
// cannot reach a quorum. It returns nil if the current cell reaches one or no other region can
// serve.
func (c *Cells) Failover(current *Client, program string, homes place.Homes) *Client {
	now := time.Now()
	if current.quorumReachable(now) {
		return nil
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, region := range c.regions() {
		client := c.clientInRegion(program, region)
		if client != current && homes.Allows(region) && client.isAvailable(now) {
			return client
		}
	}
	return nil
}

// regions returns the names of the regions that have cells, sorted. The caller holds the lock.
func (c *Cells) regions() []string {
	return slices.Compact(slices.Sorted(slices.Values(c.layout.Regions)))
}

// clientInRegion returns the client of the program's cell in a region, or nil if the region has no
// cells. The caller holds the lock.
func (c *Cells) clientInRegion(program, region string) *Client {
	cells := c.layout.CellsIn(region)
	if len(cells) == 0 {
		return nil
	}
	return c.cells[cells[replicaset.CellOf(program, len(cells))]]
}

// ForProgramInAllRegions returns the clients of the program's cell in each region that has cells.
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
		clients = append(clients, c.clientInRegion(program, region))
	}
	return clients
}

// ForTenant returns the client of the cell that lends a tenant's allowances, or nil if no cell is
// known. A limit applies across all regions, so a single cell of the fleet manages it.
func (c *Cells) ForTenant(tenant string) *Client {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if len(c.cells) == 0 {
		return nil
	}
	return c.cells[replicaset.CellOf(tenant, len(c.cells))]
}

// Reachable reports whether a quorum of at least one cell is connected directly.
func (c *Cells) Reachable() bool {
	return slices.ContainsFunc(c.clients(), (*Client).Ready)
}

// PendingOperations returns the number of operations in progress. Their requests are sent again on
// each new connection and for each new replica set.
func (c *Cells) PendingOperations() int {
	pending := 0
	for _, client := range c.clients() {
		client.mu.Lock()
		pending += len(client.operations)
		client.mu.Unlock()
	}
	return pending
}

// ChainFromOtherCells searches the cells other than the program's own, in regions allowed by homes,
// for a turn, and returns it with all turns before it, newest first. The turn may be in another
// cell because a program can continue a turn of another program or move between regions. An empty
// result does not prove that the turn does not exist.
func (c *Cells) ChainFromOtherCells(ctx context.Context, program, turn string, homes place.Homes) []ledger.Turn {
	own := c.ForProgram(program, homes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cells := c.clientsWithin(homes)
	results := make(chan []ledger.Turn, len(cells))
	queried := 0
	for _, client := range cells {
		if client == own {
			continue
		}
		queried++
		go func() { results <- client.Chain(ctx, turn) }()
	}
	for range queried {
		if chain := <-results; len(chain) > 0 {
			return chain
		}
	}
	return nil
}

// clientsWithin returns the clients of the cells in regions allowed by homes.
func (c *Cells) clientsWithin(homes place.Homes) []*Client {
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
