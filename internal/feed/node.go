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
	// tickInterval drives the core. Ten wake-ups a second keep what it decides by time
	// within a tenth of answerTimeout.
	tickInterval = 100 * time.Millisecond
	// awaitLimit is how long AwaitMembers waits: a fleet that starts for the first time
	// needs what its processes write next.
	awaitLimit = 2 * time.Second
	awaitPause = 50 * time.Millisecond
)

const (
	// replicaReadAfter is how long a replica leaves reading to each one before it.
	replicaReadAfter = 300 * time.Millisecond
	// gatewayReadAfter is how long a gateway looks for a fresh upstream before it reads the
	// store itself, plus a drawn part of gatewayReadSpread and processReadSpread for each
	// process of the fleet: when the store is away for all, at most 50 processes a second
	// begin to ask it.
	gatewayReadAfter  = time.Second
	gatewayReadSpread = time.Second
	processReadSpread = 20 * time.Millisecond
	// restartReadAfter is how long a gateway that was restarted and knows nothing waits for
	// its seeds, which answer within milliseconds if they are up. After a loss of all power
	// they may be up later than the gateway, and callers wait.
	restartReadAfter = 100 * time.Millisecond
)

// readAfter returns how long a process of the role looks for an upstream before it reads.
// At the first start of a whole fleet nobody calls yet, and hundreds of gateways wait for
// their seeds.
func readAfter(role string, firstStart bool) func(upstreams, processes int) time.Duration {
	if role == replicaset.RoleReplica {
		return func(upstreams, _ int) time.Duration { return time.Duration(upstreams) * replicaReadAfter }
	}
	return func(upstreams, processes int) time.Duration {
		switch {
		case upstreams == 0:
			return 0
		case processes == 0 && !firstStart:
			return restartReadAfter
		}
		spread := gatewayReadSpread + time.Duration(processes)*processReadSpread
		return gatewayReadAfter + rand.N(spread)
	}
}

// Handlers are told what changed, in the order of revisions, one call at a time. Each may
// be nil. They must not call back into the Node.
type Handlers struct {
	// Status is told when knowledge turns stale or fresh, confirmed or not.
	Status        func(Status)
	Configuration func(*route.Table)
	// Instances gets what became of the instances, all of them at first, and whether some may
	// be missing.
	Instances   func(changes backend.Changes, incomplete bool)
	Members     func([]registry.Object)
	Retirements func(map[string]RetirementState)
	// Evacuations gets the zones whose instances are to get nothing further. It is told
	// before Instances.
	Evacuations func(zones []string)
}

// Metrics are told what the feed does.
type Metrics interface {
	// FeedAge is how old the knowledge is, in seconds, each tick; reading says whether
	// this process reads the store itself.
	FeedAge(seconds float64, reading bool)
}

// Options are what a Node is made of.
type Options struct {
	Node   string
	Zone   string
	Places place.Map
	// Role is replicaset.RoleReplica or replicaset.RoleGateway.
	Role string
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool
	// Seeds are addresses of upstreams known before any replica is.
	Seeds []string
	// Evacuations says that the operator may evacuate zones.
	Evacuations bool

	Store    Store
	Handlers Handlers
	Metrics  Metrics
	// Traffic counts what is sent to processes that follow this one.
	Traffic *traffic.Counter
	Log     *log.Logger
	// StoreStateChanged is told that the store is lost to this process while it reads it, or
	// reached again; StoreFailed of each call to the store that failed.
	StoreStateChanged func(err error)
	StoreCallFailed   func(kind string, err error)
}

// asker is a process that polls this one.
type asker = *peer.Connection[Reply]

// Node drives a Core with sockets, timers and the store.
type Node struct {
	options Options
	log     *log.Logger

	// delivery makes the handlers' calls come one by one in the order of the changes. It
	// is taken before mu.
	delivery sync.Mutex

	mu   sync.Mutex
	core *Core[asker]
	// applied is the decision that is carried out.
	applied Decision
	// wakeFollow and wakeRead tell the loops that follow and read of a new decision;
	// stopFollow and stopRead end what is under way.
	wakeFollow, wakeRead chan struct{}
	stopFollow, stopRead context.CancelFunc
	// useless is the address that was connected last, while nothing fresh came from there.
	// It belongs to the loop that follows.
	useless string
}

// NewNode returns a node that knows nothing yet.
func NewNode(options Options) *Node {
	return &Node{
		options: options, log: options.Log,
		core: NewCore[asker](CoreOptions{
			Node: options.Node, Zone: options.Zone, Places: options.Places, Role: options.Role, Seeds: options.Seeds,
			Evacuations: options.Evacuations,
			ReadAfter:   readAfter(options.Role, options.FirstStart),
		}),
		wakeFollow: make(chan struct{}, 1), wakeRead: make(chan struct{}, 1),
		stopFollow: func() {}, stopRead: func() {},
	}
}

// Load takes a copy that a disk kept, before Run.
func (n *Node) Load(batches []Batch) {
	n.step(func(now time.Time) Output[asker] { return n.core.Load(now, batches) })
}

// Run keeps the knowledge up to date until the context ends.
func (n *Node) Run(ctx context.Context) {
	n.step(func(now time.Time) Output[asker] { return n.core.Begin(now) })
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
	n.step(func(now time.Time) Output[asker] { return n.core.Tick(now) })
	if n.options.Metrics != nil {
		n.mu.Lock()
		age, reading := n.core.Status(time.Now()).Age, n.applied.Reading
		n.mu.Unlock()
		n.options.Metrics.FeedAge(age.Seconds(), reading)
	}
}

// step gives the core an event and does what it says.
func (n *Node) step(event func(now time.Time) Output[asker]) {
	n.delivery.Lock()
	defer n.delivery.Unlock()
	n.mu.Lock()
	output := event(time.Now())
	n.apply(output.Decision)
	n.mu.Unlock()
	n.answer(output)
	n.tell(output)
}

// answer sends the answers to polls. An asker that is gone asks again elsewhere.
func (n *Node) answer(output Output[asker]) {
	for _, answer := range output.Answers {
		answer.To.Send(answer.Reply)
	}
}

// tell hands changes to those who use them.
func (n *Node) tell(output Output[asker]) {
	for _, refusal := range output.Refusals {
		n.log.Warn().Str("event", "feed_batch_refused").Str("kind", refusal.Kind.String()).
			Bool("gap", refusal.Outcome == Gap).Uint64("after", refusal.After).Uint64("at", refusal.At).Msg("")
	}
	if output.Status != nil && n.options.Handlers.Status != nil {
		n.options.Handlers.Status(*output.Status)
	}
	for _, change := range output.Changes {
		n.options.Handlers.changed(change, output.Incomplete)
	}
}

// changed calls the handler of a kind.
func (h Handlers) changed(change Change, incomplete bool) {
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

// instances returns a change of instances in the terms of those who place work on them.
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

// apply carries out a decision. The caller holds the lock.
func (n *Node) apply(next Decision) {
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

// Serve answers polls at an address until the context ends.
func (n *Node) Serve(ctx context.Context, address string) error {
	listener, err := peer.Listen(ctx, address)
	if err != nil {
		return err
	}
	n.serve(ctx, listener)
	return nil
}

func (n *Node) serve(ctx context.Context, listener net.Listener) {
	server := peer.NewServer(listener, n.asked)
	server.CountSent(func(to net.Addr, _ Reply, bytes int) { n.options.Traffic.AddSentTo("feed", to, bytes) })
	stop := context.AfterFunc(ctx, server.Close)
	defer stop()
	server.Run()
}

// asked takes one poll. It changes nothing that handlers are told of, and does not wait
// for them.
func (n *Node) asked(from asker, request Request) {
	n.mu.Lock()
	output := n.core.Asked(time.Now(), from, request)
	n.mu.Unlock()
	n.answer(output)
}

// Snapshot returns all that is known.
func (n *Node) Snapshot() []Batch {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Cache().Snapshot()
}

// Positions returns up to where each kind is known.
func (n *Node) Positions() Positions {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Cache().Positions()
}

// Member returns one of the product's own objects, if the store has told of it in the
// lives of this process and those that it learns from.
func (n *Node) Member(name string) (registry.Object, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	record, exists := n.core.Cache().Record(Members, name)
	return record.object(), exists && n.core.Status(time.Now()).Confirmed
}

// Status returns what the knowledge is worth now.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Status(time.Now())
}

// AwaitMembers waits until the store has told of the product's own objects, but not for
// long.
func (n *Node) AwaitMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, awaitLimit)
	defer cancel()
	for wait.For(ctx, awaitPause) {
		if n.Status().Confirmed && n.Positions()[Members].Known {
			return
		}
	}
}
