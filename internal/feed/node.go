package feed

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/registry"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/traffic"
	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// tickInterval is the interval between calls of Core.Tick. Ten ticks a second keep the
	// core's timeouts accurate to a tenth of replyTimeout.
	tickInterval = 100 * time.Millisecond
	// awaitMembersTimeout bounds AwaitMembers. It is short because a fleet that starts for the
	// first time depends on what its processes write next.
	awaitMembersTimeout  = 2 * time.Second
	awaitMembersInterval = 50 * time.Millisecond
)

const (
	// replicaReadDelay is how long a replica waits for each replica that ranks before it to
	// read the store.
	replicaReadDelay = 300 * time.Millisecond
	// gatewayReadDelay is how long a gateway looks for a fresh upstream before it reads the
	// store itself. A random part of gatewayReadSpread plus processReadSpread for each process
	// of the fleet is added: when the store is unavailable to all, at most 50 processes a
	// second begin to call it.
	gatewayReadDelay  = time.Second
	gatewayReadSpread = time.Second
	processReadSpread = 20 * time.Millisecond
	// restartReadDelay is how long a restarted gateway without data waits for its seeds, which
	// answer within milliseconds if they are running. After a power loss of the whole site
	// they may start later than the gateway, while callers are already waiting.
	restartReadDelay = 100 * time.Millisecond
)

// readDelay returns the function that says how long a process of the role looks for a fresh
// upstream before it reads the store. At the first start of a whole fleet there are no callers
// yet, and hundreds of gateways wait for their seeds, so the short restartReadDelay is not used.
func readDelay(role string, firstStart bool) func(upstreams, processes int) time.Duration {
	if role == replicaset.RoleReplica {
		return func(upstreams, _ int) time.Duration { return time.Duration(upstreams) * replicaReadDelay }
	}
	return func(upstreams, processes int) time.Duration {
		switch {
		case upstreams == 0:
			return 0
		case processes == 0 && !firstStart:
			return restartReadDelay
		}
		spread := gatewayReadSpread + time.Duration(processes)*processReadSpread
		return gatewayReadDelay + rand.N(spread)
	}
}

// Handlers are called with changes in the order of revisions, one call at a time. Each may be
// nil. They must not call back into the Node.
type Handlers struct {
	// Status is called with the first status and when Status.Fresh or Status.Confirmed changes.
	Status        func(Status)
	Configuration func(*route.Table)
	// Instances gets the changed instances, all of them in the first call, and whether the list
	// may be incomplete.
	Instances   func(changes backend.Changes, incomplete bool)
	Members     func([]registry.Object)
	Retirements func(map[string]RetirementState)
	// Evacuations gets the zones whose instances must get no further work. It is called before
	// Instances.
	Evacuations func(zones []string)
}

// Metrics receives measurements of the feed.
type Metrics interface {
	// FeedAge gets the age of the data in seconds on each tick, and whether this process reads
	// the store itself.
	FeedAge(seconds float64, reading bool)
}

// Options configure a Node.
type Options struct {
	Node   string
	Zone   string
	Places place.Map
	// Role is replicaset.RoleReplica or replicaset.RoleGateway.
	Role string
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	// Seeds are addresses of upstreams to use until a replica is known.
	Seeds []string
	// Evacuations is set when the operator may evacuate zones.
	Evacuations bool

	Store    Store
	Handlers Handlers
	Metrics  Metrics
	// Traffic counts the bytes sent to processes that follow this one.
	Traffic *traffic.Counter
	Log     *log.Logger
	// StoreStateChanged is called with an error when the store stops answering while this
	// process reads it, and with nil when it answers again. It may be nil. StoreCallFailed is
	// called for each failed call to the store, and may be nil too.
	StoreStateChanged func(err error)
	StoreCallFailed   func(kind string, err error)
}

// pollConnection is the connection of a follower that polls this process.
type pollConnection = *peer.Connection[Reply]

// Node drives a Core with sockets, timers and the store.
type Node struct {
	options Options
	log     *log.Logger

	// deliveryMu serializes the calls of handlers in the order of the changes. It is locked
	// before mu.
	deliveryMu sync.Mutex

	mu   sync.Mutex
	core *Core[pollConnection]
	// applied is the decision in force.
	applied Decision
	// wakeFollow and wakeRead signal a new decision to the loops that follow and read;
	// stopFollow and stopRead cancel their current work.
	wakeFollow, wakeRead chan struct{}
	stopFollow, stopRead context.CancelFunc
	// staleAddress is the address that was connected last, until fresh data arrives from it.
	// Only runFollowing uses it.
	staleAddress string
}

// NewNode returns a node with an empty cache. Run must be called to fill it.
func NewNode(options Options) *Node {
	return &Node{
		options: options, log: options.Log,
		core: NewCore[pollConnection](CoreOptions{
			Node: options.Node, Zone: options.Zone, Places: options.Places, Role: options.Role, Seeds: options.Seeds,
			Evacuations: options.Evacuations,
			ReadDelay:   readDelay(options.Role, options.FirstStart),
		}),
		wakeFollow: make(chan struct{}, 1), wakeRead: make(chan struct{}, 1),
		stopFollow: func() {}, stopRead: func() {},
	}
}

// Load applies a copy read from disk. It must be called before Run.
func (n *Node) Load(batches []Batch) {
	n.step(func(now time.Time) Output[pollConnection] { return n.core.Load(now, batches) })
}

// Run keeps the cache up to date until the context ends.
func (n *Node) Run(ctx context.Context) {
	n.step(func(now time.Time) Output[pollConnection] { return n.core.Start(now) })
	var running conc.WaitGroup
	running.Go(func() { n.runFollowing(ctx) })
	running.Go(func() { n.runReading(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			n.tick()
		}
	}
	running.Wait()
}

func (n *Node) tick() {
	n.step(func(now time.Time) Output[pollConnection] { return n.core.Tick(now) })
	if n.options.Metrics != nil {
		n.mu.Lock()
		age, reading := n.core.Status(time.Now()).Age, n.applied.Reading
		n.mu.Unlock()
		n.options.Metrics.FeedAge(age.Seconds(), reading)
	}
}

// step passes an event to the core and carries out its output.
func (n *Node) step(event func(now time.Time) Output[pollConnection]) {
	n.deliveryMu.Lock()
	defer n.deliveryMu.Unlock()
	n.mu.Lock()
	output := event(time.Now())
	n.applyDecision(output.Decision)
	n.mu.Unlock()
	n.sendReplies(output)
	n.notify(output)
}

// sendReplies sends the replies to polls. A follower whose connection is closed polls another
// upstream.
func (n *Node) sendReplies(output Output[pollConnection]) {
	for _, answer := range output.Replies {
		answer.To.Send(answer.Reply)
	}
}

// notify logs rejected batches and calls the handlers.
func (n *Node) notify(output Output[pollConnection]) {
	for _, rejected := range output.RejectedBatches {
		n.log.Warn().Str("event", "feed_batch_refused").Str("kind", rejected.Kind.String()).
			Bool("gap", rejected.Outcome == Gap).Uint64("after", rejected.After).Uint64("at", rejected.At).Msg("")
	}
	if output.Status != nil && n.options.Handlers.Status != nil {
		n.options.Handlers.Status(*output.Status)
	}
	for _, change := range output.Changes {
		n.options.Handlers.dispatch(change, output.Incomplete)
	}
}

// dispatch calls the handler for the kind of the change.
func (h Handlers) dispatch(change Change, incomplete bool) {
	switch {
	case change.Kind == Configurations && h.Configuration != nil:
		for _, record := range change.Records {
			h.Configuration(record.Configuration.Table())
		}
	case change.Kind == Instances && h.Instances != nil:
		h.Instances(change.instances(), incomplete)
	case change.Kind == Members && h.Members != nil:
		objects := make([]registry.Object, 0, len(change.Records))
		for _, record := range change.Records {
			objects = append(objects, record.object())
		}
		h.Members(objects)
	case change.Kind == Retirements && h.Retirements != nil:
		retirements := map[string]RetirementState{}
		for _, record := range change.Records {
			retirements[record.Name] = record.Retirement
		}
		h.Retirements(retirements)
	case change.Kind == Evacuations && h.Evacuations != nil:
		zones := make([]string, 0, len(change.Records))
		for _, record := range change.Records {
			zones = append(zones, record.Name)
		}
		slices.Sort(zones)
		h.Evacuations(zones)
	}
}

// instances converts a change of instances to backend.Changes.
func (c Change) instances() backend.Changes {
	changes := backend.Changes{Snapshot: c.All, Listed: make([]backend.Instance, 0, len(c.Records))}
	for _, record := range c.Records {
		if record.Deleted {
			changes.Removed = append(changes.Removed, record.Name)
			continue
		}
		changes.Listed = append(changes.Listed, *record.Instance)
	}
	return changes
}

// applyDecision carries out a decision. The caller must hold mu.
func (n *Node) applyDecision(next Decision) {
	previous := n.applied
	n.applied = next
	if !sameUpstream(next.Follow, previous.Follow) {
		n.stopFollow()
		signal(n.wakeFollow)
		n.logUpstream(next)
	}
	if next.Reading != previous.Reading {
		n.stopRead()
		signal(n.wakeRead)
		n.log.Info().Str("event", "store_reading").Bool("reading", next.Reading).Dur("age", n.core.Status(time.Now()).Age).Msg("")
	}
}

func sameUpstream(a, b *Upstream) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

func (n *Node) logUpstream(next Decision) {
	upstream := Upstream{}
	if next.Follow != nil {
		upstream = *next.Follow
	}
	n.log.Info().Str("event", "upstream_changed").Str("peer", upstream.Node).Str("address", upstream.Address).
		Str("zone", upstream.Zone).Dur("age", n.core.Status(time.Now()).Age).Bool("reading", next.Reading).Msg("")
}

// Serve listens on the address and answers polls until the context ends.
func (n *Node) Serve(ctx context.Context, address string) error {
	listener, err := peer.Listen(ctx, address)
	if err != nil {
		return err
	}
	n.serve(ctx, listener)
	return nil
}

func (n *Node) serve(ctx context.Context, listener net.Listener) {
	server := peer.NewServer(listener, n.handlePoll)
	server.CountSent(func(to net.Addr, _ Reply, bytes int) { n.options.Traffic.AddSentTo("feed", to, bytes) })
	stop := context.AfterFunc(ctx, server.Close)
	defer stop()
	server.Run()
}

// handlePoll handles one poll. It causes no handler calls and does not wait for any.
func (n *Node) handlePoll(from pollConnection, request Request) {
	n.mu.Lock()
	output := n.core.HandlePoll(time.Now(), from, request)
	n.mu.Unlock()
	n.sendReplies(output)
}

// Snapshot returns the contents of the cache.
func (n *Node) Snapshot() []Batch {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Cache().Snapshot()
}

// Positions returns the position of each kind.
func (n *Node) Positions() Positions {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Cache().Positions()
}

// request returns the poll to send to an upstream.
func (n *Node) request() Request {
	n.mu.Lock()
	defer n.mu.Unlock()
	cache := n.core.Cache()
	return Request{Node: n.options.Node, Positions: cache.Positions(), LacksVersions: cache.LacksVersions()}
}

// Member returns the member object of that name. It reports false if there is none or the data
// is not confirmed (see Status.Confirmed).
func (n *Node) Member(name string) (registry.Object, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	record, exists := n.core.Cache().Record(Members, name)
	return record.object(), exists && n.core.Status(time.Now()).Confirmed
}

// Status returns the current status of the data.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Status(time.Now())
}

// AwaitMembers waits until the members are known and confirmed, for at most
// awaitMembersTimeout.
func (n *Node) AwaitMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, awaitMembersTimeout)
	defer cancel()
	for wait.For(ctx, awaitMembersInterval) {
		if n.Status().Confirmed && n.Positions()[Members].Known {
			return
		}
	}
}
