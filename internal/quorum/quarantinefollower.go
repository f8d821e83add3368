package quorum

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/quarantine"
	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// renewInterval is how often a gateway renews its subscription at each voter. The replies show how old its
	// knowledge is.
	renewInterval = time.Second
	// findInterval is how often a gateway that knows no voters looks for some.
	findInterval = 50 * time.Millisecond
	// followTTL is how long a voter sends changes after a renewal.
	followTTL = 3 * time.Second
	// maxFollowedRuns bounds the runs in one reply.
	maxFollowedRuns = 512
)

// QuarantineFollower follows the runs of requests that the voters of the own region's cell record. It is safe for
// concurrent use.
type QuarantineFollower struct {
	cells *Cells
	// process identifies this run of the gateway's process.
	process string
	// changed is called with the records that changed, from one goroutine for each voter. isFirst is set for those that a
	// voter had when it was first asked.
	changed func(records []quarantine.Record, isFirst bool)

	mu     sync.Mutex
	voters map[string]*followedVoter
	client *Client
	// left is set once the gateway has ended all its requests.
	left bool
}

// followedVoter is the subscription at one voter.
type followedVoter struct {
	stop      context.CancelFunc
	operation *operation
	client    *Client
	number    uint64
	name      string
	// The fields below are guarded by the follower's lock.

	position ledger.QuarantinePosition
	// isReadingFirst is set until what the voter had when it was first asked is known.
	isReadingFirst bool
	// renewal numbers the requests, renewedAt is when the last one was sent.
	renewal   uint64
	renewedAt time.Time
	// confirmedAt is the time of which all changes are known.
	confirmedAt time.Time
	// gatewayLostAt is when a gateway that ended without leaving last sent the voter a request; zero if none did lately.
	gatewayLostAt time.Time
}

// NewQuarantineFollower returns a follower for the process. changed is called with the records that changed; isFirst is set for
// those that a voter had when it was first asked.
func (c *Cells) NewQuarantineFollower(process string, changed func(records []quarantine.Record, isFirst bool)) *QuarantineFollower {
	return &QuarantineFollower{cells: c, process: process, changed: changed, voters: map[string]*followedVoter{}}
}

// Run follows the voters until the context ends.
func (f *QuarantineFollower) Run(ctx context.Context) {
	for {
		pause := renewInterval
		if !f.update(ctx) {
			pause = findInterval
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// update starts following the voters that are new, and stops following those that are none any more. It reports whether there
// are any.
func (f *QuarantineFollower) update(ctx context.Context) bool {
	client := f.cells.ForProgram(quarantineCell, place.Homes{})
	f.mu.Lock()
	defer f.mu.Unlock()
	voters := map[string]bool{}
	if client != nil {
		for _, name := range client.voterNames() {
			voters[name] = true
		}
	}
	for name, followed := range f.voters {
		if !voters[name] || followed.client != client {
			followed.stop()
			delete(f.voters, name)
		}
	}
	f.client = client
	for name := range voters {
		if f.voters[name] == nil {
			f.voters[name] = f.follow(ctx, client, name)
		}
	}
	return len(voters) > 0
}

// voterNames returns the names of the voters that the registry lists.
func (c *Client) voterNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, replica := range c.replicas {
		if c.set.Has(replica.node.Disk) {
			names = append(names, replica.node.Name)
		}
	}
	return names
}

// follow begins a subscription at a voter. The caller holds the lock.
func (f *QuarantineFollower) follow(ctx context.Context, client *Client, name string) *followedVoter {
	ctx, cancel := context.WithCancel(ctx)
	followed := &followedVoter{stop: cancel, client: client, name: name, renewal: 1, renewedAt: time.Now()}
	followed.operation = &operation{request: ledger.Request{ReadQuarantine: f.requestOf(followed)}, onlyReplica: name, follows: true}
	followed.number = client.begin(followed.operation)
	go f.receive(ctx, followed)
	return followed
}

// requestOf returns the request that renews a subscription. The caller holds the lock.
func (f *QuarantineFollower) requestOf(followed *followedVoter) *ledger.ReadQuarantine {
	return &ledger.ReadQuarantine{
		MaxRuns: maxFollowedRuns, After: followed.position, Follow: followTTL, Follower: f.process, Renewal: followed.renewal,
	}
}

// receive applies the replies of a voter and renews the subscription until the context ends.
func (f *QuarantineFollower) receive(ctx context.Context, followed *followedVoter) {
	defer followed.client.end(followed.number)
	renew := time.NewTicker(renewInterval)
	defer renew.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-renew.C:
			f.renew(followed)
		case <-followed.operation.changed:
			if f.apply(followed) {
				f.renew(followed) // there is more to read
			}
		}
	}
}

// renew sends the request again, with the present position.
func (f *QuarantineFollower) renew(followed *followedVoter) {
	f.mu.Lock()
	followed.renewal++
	followed.renewedAt = time.Now()
	request := f.requestOf(followed)
	left := f.left
	f.mu.Unlock()
	if left {
		return
	}
	followed.client.renewOperation(followed.operation, request)
}

// renewOperation sends an operation again with another request.
func (c *Client) renewOperation(pending *operation, request *ledger.ReadQuarantine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending.request.ReadQuarantine = request
	for _, replica := range c.replicas {
		c.send(replica, pending)
	}
}

// takeChanges returns the replies of an operation that were not taken yet.
func (c *Client) takeChanges(pending *operation) []*ledger.QuarantineReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := pending.changes
	pending.changes = nil
	return taken
}

// apply applies the replies that have arrived. It reports whether the voter has more changes to send.
func (f *QuarantineFollower) apply(followed *followedVoter) (more bool) {
	for _, reply := range followed.client.takeChanges(followed.operation) {
		if len(reply.Records) > 0 {
			f.changed(reply.Records, f.isFirst(followed, reply))
		}
		more = f.advance(followed, reply) && reply.More
	}
	return more
}

// isFirst reports whether a reply is one of the first that a run of a voter has sent.
func (f *QuarantineFollower) isFirst(followed *followedVoter, reply *ledger.QuarantineReply) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply.Next.Boot != followed.position.Boot {
		followed.isReadingFirst = true
	}
	return followed.isReadingFirst
}

// advance records how far the voter's changes are known. It reports whether the reply leaves no gap.
func (f *QuarantineFollower) advance(followed *followedVoter, reply *ledger.QuarantineReply) bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	followed.gatewayLostAt = time.Time{}
	if reply.FollowerLost {
		followed.gatewayLostAt = now.Add(-reply.FollowerLostFor)
	}
	if reply.Next.Boot == "" { // of a version that sends all records
		followed.confirmedAt = followed.renewedAt
		return true
	}
	if followed.position.IsBefore(reply.After) {
		return false
	}
	if followed.position.Boot != reply.Next.Boot || followed.position.Position < reply.Next.Position {
		followed.position = reply.Next
	}
	if !reply.More {
		followed.isReadingFirst = false
	}
	if reply.Renewal == followed.renewal && !reply.More {
		followed.confirmedAt = followed.renewedAt
	}
	return true
}

// KnownAt returns the time of which all changes are known that a quorum has accepted; zero if there is none.
func (f *QuarantineFollower) KnownAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.client == nil {
		return time.Time{}
	}
	var confirmed []time.Time
	for _, followed := range f.voters {
		confirmed = append(confirmed, followed.confirmedAt)
	}
	slices.SortFunc(confirmed, func(a, b time.Time) int { return cmp.Compare(b.UnixNano(), a.UnixNano()) })
	quorum := f.client.quorumSize()
	if quorum == 0 || len(confirmed) < quorum {
		return time.Time{}
	}
	return confirmed[quorum-1]
}

// quorumSize returns the number of voters of a quorum, 0 if no voters are known.
func (c *Client) quorumSize() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.set.Voters) == 0 {
		return 0
	}
	return c.set.Quorum()
}

// GatewayLostAt returns when a gateway that ended without leaving, or was cut off, last sent a request to a voter; zero if
// none did lately.
func (f *QuarantineFollower) GatewayLostAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var latest time.Time
	for _, followed := range f.voters {
		if followed.gatewayLostAt.After(latest) {
			latest = followed.gatewayLostAt
		}
	}
	return latest
}

// Leave tells the voters that this gateway has ended all its requests.
func (f *QuarantineFollower) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left = true
	for _, followed := range f.voters {
		followed.client.renewOperation(followed.operation, &ledger.ReadQuarantine{Follower: f.process, Leave: true})
	}
}
