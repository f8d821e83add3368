package quorum

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/quota"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/traffic"
)

const (
	// settleTimeout is how long Settle retries a final charge. It is longer than a recovery,
	// because a reservation that is never settled counts with its full reserved amount.
	settleTimeout = time.Minute
	// recordOriginTimeout is how long RecordOrigin retries. A stream that ends in the meantime is
	// settled with its origin, and callers resume a stream within seconds.
	recordOriginTimeout = 5 * time.Second
)

// ErrNoQuorum is returned when too few replicas answered in time. The request may or may not be
// recorded.
var ErrNoQuorum = errors.New("quorum: too few replicas answered in time")

// Client sends requests to the replicas of one cell. It is safe for concurrent use.
type Client struct {
	context context.Context
	zone    string
	log     *log.Logger
	places  place.Map
	traffic *traffic.Counter
	// onDemand is set if connections to the replicas are opened for a request and closed after
	// onDemandIdleTimeout without one.
	onDemand bool

	mu         sync.Mutex
	set        replicaset.Set
	replicas   []*replicaLink
	lastNumber uint64
	operations map[uint64]*operation
	// relays sends requests through other gateways; it may be nil. cell is the number of this
	// client's cell in relay messages.
	relays *Relays
	cell   int
	// forwards are the requests forwarded for other gateways, by their number on this gateway's
	// links.
	forwards map[uint64]forward
	// availability tracks whether the cell can serve requests.
	availability quorumAvailability
	// credit limits relayed requests to replicas whose direct connection is up.
	credit relayCredit
	// roundTrips estimates the response time over all replicas of the cell.
	roundTrips roundTripEstimator
}

// operation is a request in progress with the replies received so far.
type operation struct {
	request ledger.Request
	tally   *Tally
	// chains holds the replies to a Chain request, by disk.
	chains map[string][]ledger.Turn
	// changed is signaled after each reply.
	changed chan struct{}
	// votersOnly is set if the request is sent to voters only. onlyReplica names the single
	// replica that the request is for; it is empty if the request is for several.
	votersOnly  bool
	onlyReplica string
	// loan is the reply to a Borrow request.
	loan *quota.Loan
	// quarantine holds the replies to a ReadQuarantine request, by disk.
	quarantine map[string]*ledger.QuarantineReply
	// follows is set if the replica sends further replies to a ReadQuarantine request, which are collected in changes.
	follows bool
	changes []*ledger.QuarantineReply
	// initialVoters are the voters that the request is sent to first; nil means all.
	initialVoters map[*replicaLink]bool
	// historyReplicas are the replicas that were asked for the history, in order.
	historyReplicas []*replicaLink
	// historyTimeouts counts the replicas that did not return the history in time.
	historyTimeouts int
	// startedAt is when the request was first sent. resent is set once it was sent again: a reply
	// can then belong to either attempt, so it gives no sample of the response time.
	startedAt time.Time
	resent    bool
}

// NewClient returns a client without replicas. SetReplicas adds them.
func NewClient(ctx context.Context, zone string, logger *log.Logger) *Client {
	return &Client{context: ctx, zone: zone, log: logger, operations: map[uint64]*operation{}, forwards: map[uint64]forward{}}
}

// useRelays makes the client send requests through other gateways when its direct connection to a
// replica is down or unresponsive. It must be called before the first request.
func (c *Client) useRelays(relays *Relays, cell int) {
	c.relays, c.cell = relays, cell
}

// SetReplicas replaces the replicas by those that the registry lists, and applies the replica set
// if it is newer.
func (c *Client) SetReplicas(nodes []replicaset.Node, set replicaset.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var links []*replicaLink
	for _, node := range nodes {
		if node.Leaving {
			continue
		}
		links = append(links, c.linkTo(node))
	}
	for _, old := range c.replicas {
		if !slices.Contains(links, old) {
			old.close()
		}
	}
	slices.SortStableFunc(links, func(a, b *replicaLink) int {
		if byDistance := cmp.Compare(c.distance(a), c.distance(b)); byDistance != 0 {
			return byDistance
		}
		return cmp.Compare(a.node.Name, b.node.Name)
	})
	c.replicas = links
	c.adoptSet(set)
}

func (c *Client) distance(replica *replicaLink) place.Distance {
	return c.places.Distance(replica.node.Zone, c.zone)
}

// linkTo returns the existing link to the node, or a new one.
func (c *Client) linkTo(node replicaset.Node) *replicaLink {
	for _, existing := range c.replicas {
		if existing.node.Name == node.Name && existing.node.Address == node.Address {
			existing.node = node
			return existing
		}
	}
	created := &replicaLink{client: c, node: node, zone: node.Zone}
	if !c.onDemand {
		created.open(time.Now())
	}
	return created
}

// adoptSet applies a newer replica set, announces it to the replicas and resends all pending
// operations, because replies under older epochs do not count. The caller holds the lock.
func (c *Client) adoptSet(set replicaset.Set) {
	if set.Epoch <= c.set.Epoch {
		return
	}
	c.log.Info().Str("event", "set_changed").Uint64("from", c.set.Epoch).Uint64("epoch", set.Epoch).
		Int("voters", len(set.Voters)).Msg("")
	c.set = set
	for _, replica := range c.replicas {
		replica.send(ledger.Request{Adopt: &ledger.Adopt{Set: set}})
	}
	for _, pending := range c.operations {
		pending.resent = true
		pending.initialVoters = nil
		for _, replica := range c.replicas {
			c.send(replica, pending)
		}
		pending.signal()
	}
}

// Epoch returns the epoch of the latest known replica set.
func (c *Client) Epoch() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set.Epoch
}

// Commit stores a finished turn with its final charge and waits until at least copies disks hold it
// durably, or as many as there are voters if the set is smaller. It returns ErrNoQuorum if the context ends first.
func (c *Client) Commit(ctx context.Context, commit ledger.Commit, copies int) error {
	pending := &operation{request: ledger.Request{Commit: &commit}}
	number := c.begin(pending)
	err := c.await(ctx, pending, func() bool { return pending.tally.DurableCopies() >= min(copies, max(1, len(c.set.Voters))) })
	if err != nil {
		c.end(number)
		return err
	}
	// The commit was sent to all replicas; those that were unreachable catch up later.
	c.end(number)
	return nil
}

// Settle records a final charge in the background. It retries for up to settleTimeout.
func (c *Client) Settle(program string, charge ledger.Charge, retention time.Duration) {
	c.recordInBackground(program, charge, retention, settleTimeout)
}

// RecordOrigin records the origin of a turn's stream in the background. It retries for up to
// recordOriginTimeout. The returned channel is closed once the record is durable on a quorum.
func (c *Client) RecordOrigin(program string, charge ledger.Charge, retention time.Duration) (durable <-chan struct{}) {
	return c.recordInBackground(program, charge, retention, recordOriginTimeout)
}

// recordInBackground merges a charge on a quorum of voters. The returned channel is closed once it is
// durable there.
func (c *Client) recordInBackground(program string, charge ledger.Charge, retention, timeout time.Duration) <-chan struct{} {
	pending := &operation{
		request:    ledger.Request{Commit: &ledger.Commit{Program: program, Charge: charge, Retention: retention}},
		votersOnly: true,
	}
	number := c.begin(pending)
	durable := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(c.context, timeout)
		defer cancel()
		err := c.awaitWithRetryDelay(ctx, pending, maxSettleRetryDelay, func() bool { return pending.tally.Durable(c.set) })
		if err == nil {
			close(durable)
		}
		c.end(number)
	}()
	return durable
}

// Chain returns a turn and all turns before it, newest first. It returns nil if no reachable
// replica has the turn or the context ends first. Replicas are asked one at a time, the nearest
// first, because a chain is large and may come from another region.
func (c *Client) Chain(ctx context.Context, id string) []ledger.Turn {
	pending := &operation{request: ledger.Request{Chain: &ledger.Chain{ID: id}}}
	number := c.begin(pending)
	defer c.end(number)
	var found []ledger.Turn
	stop := c.startHistoryTimeouts(pending)
	defer stop()
	_ = c.await(ctx, pending, func() bool {
		answered := 0
		for _, replica := range c.replicas {
			turns, replied := pending.chains[replica.node.Disk]
			if len(turns) > 0 {
				found = turns
				return true
			}
			if replied || !replica.up && !replica.opening(time.Now()) {
				answered++
			}
		}
		c.askNextIfMissing(pending)
		return answered == len(c.replicas)
	})
	return found
}

// await waits until a condition holds. It checks the condition under the lock after each reply.
func (c *Client) await(ctx context.Context, pending *operation, condition func() bool) error {
	return c.awaitWithRetryDelay(ctx, pending, maxCallerRetryDelay, condition)
}

func (c *Client) awaitWithRetryDelay(ctx context.Context, pending *operation, maxRetryDelay time.Duration, condition func() bool) error {
	retry := c.newRetryTimer(maxRetryDelay)
	defer retry.stop()
	for {
		c.mu.Lock()
		done := condition()
		c.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-pending.changed:
		case <-retry.due():
			c.retry(pending)
			retry.backOff()
		case <-ctx.Done():
			return ErrNoQuorum
		}
	}
}

func (c *Client) begin(pending *operation) uint64 {
	pending.tally = NewTally()
	pending.chains = map[string][]ledger.Turn{}
	pending.quarantine = map[string]*ledger.QuarantineReply{}
	pending.changed = make(chan struct{}, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	pending.request.Number = c.lastNumber
	pending.startedAt = time.Now()
	c.operations[c.lastNumber] = pending
	pending.initialVoters = c.initialVoters(pending.startedAt, pending)
	if nearest := c.nextHistoryReplica(pending.startedAt, nil); nearest != nil && pending.readsHistory() {
		pending.historyReplicas = append(pending.historyReplicas, nearest)
	}
	for _, replica := range c.replicas {
		c.send(replica, pending)
	}
	return c.lastNumber
}

func (c *Client) end(number uint64) {
	c.mu.Lock()
	delete(c.operations, number)
	c.mu.Unlock()
}

// send sends an operation to one replica if it applies to that replica. The caller holds the lock.
func (c *Client) send(replica *replicaLink, pending *operation) {
	request, applies := c.requestFor(replica, pending)
	if !applies {
		return
	}
	if c.transmit(time.Now(), replica, request) {
		c.credit.refill()
	}
}

// transmit sends a request to one replica. If the replica is not responsive, the request also goes through a relay, so
// replies may arrive twice. It reports whether the direct connection took the request. The caller holds the lock.
func (c *Client) transmit(now time.Time, replica *replicaLink, request ledger.Request) bool {
	replica.reconnectIfSilent(now)
	if c.relays != nil && !c.responsive(now, replica) {
		c.sendViaRelay(replica, request)
	}
	replica.open(now)
	sent := replica.send(request)
	if sent {
		replica.silence.RequestSent(now)
	}
	return sent
}

func (c *Client) sendViaRelay(replica *replicaLink, request ledger.Request) {
	if replica.up && !c.credit.spend() {
		return
	}
	if request.ReadQuarantine != nil {
		once := *request.ReadQuarantine
		once.Follow = 0 // a relay returns one reply
		request.ReadQuarantine = &once
	}
	c.relays.send(RelayRequest{Cell: c.cell, Replica: replica.node.Name, Request: request}, c.roundTrips.timeout())
}

// requestFor returns the request that an operation sends to one replica. It returns false if the
// operation does not apply to the replica. The caller holds the lock.
func (c *Client) requestFor(replica *replicaLink, pending *operation) (ledger.Request, bool) {
	request := pending.request
	request.Epoch = c.set.Epoch
	voter := c.set.Has(replica.node.Disk) && (pending.initialVoters == nil || pending.initialVoters[replica])
	if pending.onlyReplica != "" {
		return request, replica.node.Name == pending.onlyReplica
	}
	if request.Chain != nil {
		return request, slices.Contains(pending.historyReplicas, replica)
	}
	if request.Reserve != nil {
		reserve := *request.Reserve
		if pending.tally.Found || !slices.Contains(pending.historyReplicas, replica) {
			reserve.History = ""
		}
		if !voter {
			reserve.Program = ""
		}
		if reserve.History == "" && reserve.Program == "" {
			return request, false
		}
		request.Reserve = &reserve
	} else if pending.votersOnly && !voter {
		return request, false
	}
	return request, true
}

func (o *operation) signal() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}
