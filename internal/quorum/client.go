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
	// settleLimit is how long a final charge without a waiting caller is repeated. It
	// outlasts a recovery: a reservation that nobody settles counts at its most.
	settleLimit = time.Minute
)

// ErrNoQuorum says that too few replicas answered in time. What was asked for may
// or may not be recorded.
var ErrNoQuorum = errors.New("quorum: too few replicas answered in time")

// Client sends requests to the replicas of one cell. It is safe for concurrent use.
type Client struct {
	context context.Context
	zone    string
	log     *log.Logger
	places  place.Map
	traffic *traffic.Counter
	// onDemand says that connections to the replicas are opened for a request and closed after
	// onDemandIdle without one.
	onDemand bool

	mu         sync.Mutex
	set        replicaset.Set
	replicas   []*replicaLink
	number     uint64
	operations map[uint64]*operation
	// relays sends requests through other gateways, or is nil; cell is this client's number there.
	relays *Relays
	cell   int
	// forwards are the requests of other gateways that were passed on, by their number
	// on the links here.
	forwards map[uint64]forward
	// reach says whether the cell may serve.
	reach quorumReach
	// credit bounds what goes by other gateways beside a connection that stands.
	credit relayCredit
	// answers estimates how long a replica takes to answer, whichever it is.
	answers roundTrip
}

// operation is a request that waits for replies.
type operation struct {
	request ledger.Request
	tally   *Tally
	// chains holds the answers to a Chain, by disk.
	chains map[string][]ledger.Turn
	// changed is signalled after each reply.
	changed chan struct{}
	// votersOnly requests are of no use to other replicas; only names the one that a request
	// is for, "" where it is for several.
	votersOnly bool
	only       string
	// loan is the answer to a Borrow.
	loan *quota.Loan
	// asked are the voters that it goes to at first; nil where it goes to all.
	asked map[*replicaLink]bool
	// historyAsked are the replicas that were asked for the history, the last one at the end.
	historyAsked []*replicaLink
	// historyLate counts those that were late.
	historyLate int
	// begunAt is when it was sent first; resent is set once it was sent again on the same
	// connections, after which its answer tells nothing of the time that one takes.
	begunAt time.Time
	resent  bool
}

// NewClient returns a client that knows no replicas yet.
func NewClient(ctx context.Context, zone string, logger *log.Logger) *Client {
	return &Client{context: ctx, zone: zone, log: logger, operations: map[uint64]*operation{}, forwards: map[uint64]forward{}}
}

// useRelays makes the client go through other gateways where its own connection is cut. It must be
// called before the first request.
func (c *Client) useRelays(relays *Relays, cell int) {
	c.relays, c.cell = relays, cell
}

// SetReplicas replaces the replicas and the replica set by what the registry lists.
func (c *Client) SetReplicas(nodes []replicaset.Node, set replicaset.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []*replicaLink
	for _, node := range nodes {
		if node.Leaving {
			continue
		}
		kept = append(kept, c.linkTo(node))
	}
	for _, old := range c.replicas {
		if !slices.Contains(kept, old) {
			old.close()
		}
	}
	slices.SortStableFunc(kept, func(a, b *replicaLink) int {
		if near := cmp.Compare(c.distance(a), c.distance(b)); near != 0 {
			return near
		}
		return cmp.Compare(a.node.Name, b.node.Name)
	})
	c.replicas = kept
	c.adopt(set)
}

func (c *Client) distance(replica *replicaLink) place.Distance {
	return c.places.Distance(replica.node.Zone, c.zone)
}

// linkTo returns the present link to the node, or a new one.
func (c *Client) linkTo(node replicaset.Node) *replicaLink {
	for _, present := range c.replicas {
		if present.node.Name == node.Name && present.node.Address == node.Address {
			present.node = node
			return present
		}
	}
	fresh := &replicaLink{client: c, node: node, zone: node.Zone}
	if !c.onDemand {
		fresh.open(time.Now())
	}
	return fresh
}

// adopt applies a newer set, tells the replicas, and sends again what was
// accepted under older ones only. The caller holds the lock.
func (c *Client) adopt(set replicaset.Set) {
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
		pending.asked = nil
		for _, replica := range c.replicas {
			c.send(replica, pending)
		}
		pending.signal()
	}
}

// Epoch returns the epoch of the newest known replica set.
func (c *Client) Epoch() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set.Epoch
}

// Commit stores a finished turn with its final charge and waits until so many disks
// hold it.
func (c *Client) Commit(ctx context.Context, commit ledger.Commit, copies int) error {
	pending := &operation{request: ledger.Request{Commit: &commit}}
	number := c.begin(pending)
	err := c.await(ctx, pending, func() bool { return pending.tally.DurableCopies() >= copies })
	if err != nil {
		c.end(number)
		return err
	}
	// The other replicas get it too; those out of reach catch up later.
	c.end(number)
	return nil
}

// Settle records a final charge without a caller that waits for it.
func (c *Client) Settle(program string, charge ledger.Charge, retention time.Duration) {
	pending := &operation{
		request:    ledger.Request{Commit: &ledger.Commit{Program: program, Charge: charge, Retention: retention}},
		votersOnly: true,
	}
	number := c.begin(pending)
	go func() {
		ctx, cancel := context.WithTimeout(c.context, settleLimit)
		defer cancel()
		_ = c.awaitWith(ctx, pending, settleRelayPause, func() bool { return pending.tally.Durable(c.set) })
		c.end(number)
	}()
}

// Chain returns a turn and all before it, newest first, or none when every replica
// in reach lacks it or too little time is left. The nearest replica is asked first: a chain is
// long, and may come from another region.
func (c *Client) Chain(ctx context.Context, id string) []ledger.Turn {
	pending := &operation{request: ledger.Request{Chain: &ledger.Chain{ID: id}}}
	number := c.begin(pending)
	defer c.end(number)
	var found []ledger.Turn
	stop := c.askWhileLate(pending)
	defer stop()
	_ = c.await(ctx, pending, func() bool {
		answered := 0
		for _, replica := range c.replicas {
			turns, said := pending.chains[replica.node.Disk]
			if len(turns) > 0 {
				found = turns
				return true
			}
			if said || !replica.up && !replica.opening(time.Now()) {
				answered++
			}
		}
		c.askWhereMissing(pending)
		return answered == len(c.replicas)
	})
	return found
}

// await waits for a condition, which is checked under the lock after each reply.
func (c *Client) await(ctx context.Context, pending *operation, met func() bool) error {
	return c.awaitWith(ctx, pending, callerRelayPause, met)
}

func (c *Client) awaitWith(ctx context.Context, pending *operation, most time.Duration, met func() bool) error {
	retry := c.newRelayRetry(most)
	defer retry.stop()
	for {
		c.mu.Lock()
		done := met()
		c.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-pending.changed:
		case <-retry.due():
			c.retry(pending)
			retry.again()
		case <-ctx.Done():
			return ErrNoQuorum
		}
	}
}

func (c *Client) begin(pending *operation) uint64 {
	pending.tally = NewTally()
	pending.chains = map[string][]ledger.Turn{}
	pending.changed = make(chan struct{}, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	pending.request.Number = c.number
	pending.begunAt = time.Now()
	c.operations[c.number] = pending
	pending.asked = c.firstAsked(pending.begunAt, pending)
	if nearest := c.nextForHistory(pending.begunAt, nil); nearest != nil && pending.readsTurns() {
		pending.historyAsked = append(pending.historyAsked, nearest)
	}
	for _, replica := range c.replicas {
		c.send(replica, pending)
	}
	return c.number
}

func (c *Client) end(number uint64) {
	c.mu.Lock()
	delete(c.operations, number)
	c.mu.Unlock()
}

// send sends an operation to one replica, as far as it concerns it, and by another
// gateway as well where it is not responsive. Replies may come twice.
func (c *Client) send(replica *replicaLink, pending *operation) {
	request, concerned := c.requestTo(replica, pending)
	if !concerned {
		return
	}
	now := time.Now()
	replica.renewIfSilent(now)
	if c.relays != nil && !c.responsive(now, replica) {
		c.sendByRelay(replica, request)
	}
	replica.open(now)
	if replica.send(request) {
		replica.silence.RequestSent(now)
		c.credit.sent()
	}
}

func (c *Client) sendByRelay(replica *replicaLink, request ledger.Request) {
	if replica.up && !c.credit.spend() {
		return
	}
	c.relays.send(RelayRequest{Cell: c.cell, Replica: replica.node.Name, Request: request}, c.answers.timeout())
}

// requestTo returns what an operation asks of one replica, and false where that is
// nothing.
func (c *Client) requestTo(replica *replicaLink, pending *operation) (ledger.Request, bool) {
	request := pending.request
	request.Epoch = c.set.Epoch
	voter := c.set.Has(replica.node.Disk) && (pending.asked == nil || pending.asked[replica])
	if pending.only != "" {
		return request, replica.node.Name == pending.only
	}
	if request.Chain != nil {
		return request, slices.Contains(pending.historyAsked, replica)
	}
	if request.Reserve != nil {
		reserve := *request.Reserve
		if pending.tally.Found || !slices.Contains(pending.historyAsked, replica) {
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
