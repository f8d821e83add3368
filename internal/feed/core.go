package feed

import (
	"time"

	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/registry"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// CoreOptions configure a Core.
type CoreOptions struct {
	Node   string
	Zone   string
	Places place.Map
	// Role is replicaset.RoleReplica or replicaset.RoleGateway.
	Role string
	// Seeds are addresses of upstreams to use until a replica is known.
	Seeds []string
	// Evacuations is set when the operator may evacuate zones. Only then is that kind read and
	// required for complete data.
	Evacuations bool
	// ReadDelay returns how long a process looks for a fresh upstream before it reads the store.
	ReadDelay func(upstreams, processes int) time.Duration
}

// Core holds the cache of one process and decides how to fill it. It is a state machine without
// clock or I/O: each method takes the time and an event and returns the actions to take.
// Follower identifies the processes that poll this one. It is not safe for concurrent use.
type Core[Follower comparable] struct {
	options  CoreOptions
	cache    *Cache
	selector *Selector
	polls    *PendingPolls[Follower]
	reader   readerStatus
	// members decodes the member objects.
	members *replicaset.Reader
	// reportedStatus is the status that was reported last; hasReported is set once one was.
	reportedStatus Status
	hasReported    bool
}

// PollReply is a reply and the follower to send it to.
type PollReply[Follower comparable] struct {
	To    Follower
	Reply Reply
}

// Change describes a change of one kind. With All set, Records are all records of the kind.
// Otherwise they are the changed records, including deletions; this form is used for instances,
// of which there are thousands but few change at a time.
type Change struct {
	Kind    Kind
	All     bool
	Records []Record
}

// RejectedBatch describes a batch that was not applied because of a gap or because it is
// malformed.
type RejectedBatch struct {
	Kind      Kind
	Outcome   Outcome
	After, At uint64
}

// Output lists the actions to take after an event, in the order of its fields.
type Output[Follower comparable] struct {
	// Decision is the decision in force from now on.
	Decision Decision
	Replies  []PollReply[Follower]
	// Status is set when the handlers must be notified of a new status.
	Status  *Status
	Changes []Change
	// Incomplete is set when a list of instances in Changes may lack instances that are alive.
	Incomplete bool
	// RejectedBatches must be logged.
	RejectedBatches []RejectedBatch
}

// NewCore returns a core with an empty cache.
func NewCore[Follower comparable](options CoreOptions) *Core[Follower] {
	return &Core[Follower]{
		options: options, cache: NewCache(), polls: NewPendingPolls[Follower](),
		reader:   readerStatus{kinds: kindsToRead(options.Evacuations)},
		members:  replicaset.NewReader(),
		selector: NewSelector(SelectorOptions{Zone: options.Zone, ReadDelay: options.ReadDelay}),
	}
}

// Start selects the first upstream. It must be called once, after Load if there is a copy.
func (c *Core[Follower]) Start(now time.Time) Output[Follower] {
	c.updateCandidates(now)
	return c.output(now)
}

// Load applies a copy read from disk.
func (c *Core[Follower]) Load(now time.Time, batches []Batch) Output[Follower] {
	return c.applyBatches(now, batches)
}

// HandlePoll handles a poll. The reply may be part of the output of a later event. Only the set
// of pending polls changes.
func (c *Core[Follower]) HandlePoll(now time.Time, follower Follower, request Request) Output[Follower] {
	output := Output[Follower]{Decision: c.selector.Decision()}
	batches, answered := c.polls.Add(now, follower, request, c.cache)
	if answered {
		output.Replies = append(output.Replies, PollReply[Follower]{To: follower, Reply: c.reply(now, batches)})
	}
	return output
}

// HandleReply handles the reply of an upstream.
func (c *Core[Follower]) HandleReply(now time.Time, from Upstream, reply Reply) Output[Follower] {
	c.selector.HandleReply(now, from, reply.Status, reply.Positions.Complete(c.reader.kinds))
	return c.applyBatches(now, reply.Batches)
}

// HandleUpstreamFailure handles the failure of an upstream that cannot be reached or does not
// reply.
func (c *Core[Follower]) HandleUpstreamFailure(now time.Time, from Upstream) Output[Follower] {
	c.selector.HandleFailure(now, from)
	return c.output(now)
}

// HandleStoreBatch applies a batch that this process read from the store, and confirms its kind
// in the same step: the data matches the store only once the batch is applied.
func (c *Core[Follower]) HandleStoreBatch(now time.Time, batch Batch) Output[Follower] {
	c.reader.confirm(now, batch.Kind)
	return c.applyBatches(now, []Batch{batch})
}

// StoreConfirmed records that the store has nothing newer of a kind than the cache.
func (c *Core[Follower]) StoreConfirmed(now time.Time, kind Kind) { c.reader.confirm(now, kind) }

// SetStoreLost records that the store stopped answering this process, or answers again.
func (c *Core[Follower]) SetStoreLost(now time.Time, lost bool) Output[Follower] {
	c.reader.setLost(now, lost)
	return c.output(now)
}

// ReadingStopped resets the status of reading the store. From now on the status of the data is
// that of the upstream.
func (c *Core[Follower]) ReadingStopped() { c.reader = readerStatus{kinds: c.reader.kinds} }

// Tick handles the passing of time. It must be called every tickInterval.
func (c *Core[Follower]) Tick(now time.Time) Output[Follower] {
	c.selector.Tick(now)
	output := c.output(now)
	for _, follower := range c.polls.TakeExpired(now) {
		output.Replies = append(output.Replies, PollReply[Follower]{To: follower, Reply: c.reply(now, nil)})
	}
	return output
}

// Status returns the status of the data: the better one of the upstream's status and that of
// reading the store.
func (c *Core[Follower]) Status(now time.Time) Status {
	upstream, own := c.selector.UpstreamStatus(now), c.reader.status(now)
	if own.betterThan(upstream) {
		return own
	}
	return upstream
}

// Cache returns the cache.
func (c *Core[Follower]) Cache() *Cache { return c.cache }

// applyBatches applies batches and answers the pending polls if the cache changed.
func (c *Core[Follower]) applyBatches(now time.Time, batches []Batch) Output[Follower] {
	changed := map[Kind]Difference{}
	var rejected []RejectedBatch
	for _, batch := range batches {
		outcome, difference := c.cache.Apply(batch)
		if !difference.Empty() {
			merged := changed[batch.Kind]
			changed[batch.Kind] = Difference{
				First: merged.First || difference.First, Records: append(merged.Records, difference.Records...),
			}
		}
		if outcome == Gap || outcome == Invalid {
			rejected = append(rejected, RejectedBatch{Kind: batch.Kind, Outcome: outcome, After: batch.After, At: batch.At})
		}
	}
	if !changed[Members].Empty() {
		c.updateCandidates(now)
	}
	output := c.output(now)
	output.RejectedBatches = rejected
	output.Incomplete = c.Status(now).Incomplete
	for _, kind := range Kinds() {
		if difference := changed[kind]; !difference.Empty() {
			output.Changes = append(output.Changes, c.change(kind, difference))
		}
	}
	if len(changed) > 0 {
		for follower, lacking := range c.polls.TakeAll(c.cache) {
			output.Replies = append(output.Replies, PollReply[Follower]{To: follower, Reply: c.reply(now, lacking)})
		}
	}
	return output
}

// change returns the change to pass to the handler of the kind.
func (c *Core[Follower]) change(kind Kind, difference Difference) Change {
	if kind == Instances && !difference.First {
		return Change{Kind: kind, Records: difference.Records}
	}
	return Change{Kind: kind, All: true, Records: c.cache.Records(kind)}
}

// output returns the current decision, and the status if its freshness or confirmation has
// changed.
func (c *Core[Follower]) output(now time.Time) Output[Follower] {
	output := Output[Follower]{Decision: c.selector.Decision()}
	status := c.Status(now)
	if !c.hasReported || c.reportedStatus.Fresh() != status.Fresh() || c.reportedStatus.Confirmed != status.Confirmed {
		c.reportedStatus, c.hasReported = status, true
		output.Status = &status
	}
	return output
}

func (c *Core[Follower]) reply(now time.Time, batches []Batch) Reply {
	return Reply{Batches: batches, Positions: c.cache.Positions(), Status: c.Status(now)}
}

// updateCandidates passes the upstreams among the members to the selector.
func (c *Core[Follower]) updateCandidates(now time.Time) {
	var objects []registry.Object
	for _, record := range c.cache.Records(Members) {
		objects = append(objects, record.object())
	}
	members := c.members.Read(objects)
	var upstreams []Upstream
	if c.options.Role == replicaset.RoleReplica {
		upstreams = ReplicaUpstreams(c.options.Node, c.options.Zone, members.Replicas)
	} else {
		upstreams = GatewayUpstreams(c.options.Node, c.options.Zone, c.options.Places, members.Replicas, c.options.Seeds)
	}
	c.selector.SetCandidates(now, upstreams, len(members.Replicas)+len(members.Gateways))
}
