package replica

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/quota"
	"swiftbank.dev/swiftbank/internal/registry"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/traffic"
	"swiftbank.dev/swiftbank/internal/wait"
	"swiftbank.dev/swiftbank/internal/wal"
)

const (
	// tickInterval is how often the loop drives catch-up and membership.
	tickInterval = 50 * time.Millisecond
	// purgeInterval is how often expired turns are dropped.
	purgeInterval = 5 * time.Second
	// inboxCapacity is the number of events that may wait for the loop.
	inboxCapacity = 16384
	// segmentDivisor is the divisor of the disk size that gives the size at which a segment is
	// rotated; the old and the new segment exist side by side during rotation.
	segmentDivisor = 4
)

// Options configure a replica.
type Options struct {
	Node string
	Zone string
	// Address is the address to listen on; Advertised is the one at which others reach it. Feed is
	// the address at which it relays the content of the shared store, "" if it does not.
	Address    string
	Advertised string
	Feed       string
	DataFolder string
	DiskMB     int
	// MemoryMB is the memory of the machine, from which the limits of the queues are derived.
	MemoryMB int
	// Tolerate is how many machines with disks may be lost at once.
	Tolerate int
	// Places maps zones to regions; nil where cells are not bound to regions.
	Places   place.Map
	Registry registry.Registry
	// LookupCached returns a registry object from the local view, without a call.
	LookupCached func(name string) (registry.Object, bool)
	Retirements  Retirements
	Log          *log.Logger
	Metrics      *Metrics
	// Traffic counts what is sent to other processes.
	Traffic *traffic.Counter
	// Quota configures how strictly the limits of tenants are enforced.
	Quota quota.Policy
}

// Server is one replica. Only the goroutine of Run accesses its state.
type Server struct {
	options Options
	log     *log.Logger
	state   *ledger.State
	lender  *quota.Lender
	inbox   chan func()
	syncer  *syncer
	limits  limits
	peers   map[string]*peerState
	claims  *claims
	members membership
	// followers are told of the recorded runs of requests.
	followers *followers
	context   context.Context
	// stopped is closed when the loop accepts no more work.
	stopped chan struct{}

	started time.Time
	// runID identifies this run of the process.
	runID    string
	purgedAt time.Time
	// tickedAt is when the loop last ticked, observingSince when it last began to do so without a pause, requestedAt when another
	// process last sent a request.
	tickedAt, observingSince, requestedAt time.Time

	rotating bool
}

// New returns a replica with the state that it reads from the disk. A disk without a log gets a new identity. So does one
// whose log is damaged: the replica keeps what can be read, and joins as a machine that has lost its disk, because
// its answers no longer hold all that it accepted.
func New(options Options) (*Server, error) {
	s := &Server{
		options: options, log: options.Log,
		inbox: make(chan func(), inboxCapacity), peers: map[string]*peerState{}, claims: newClaims(), followers: newFollowers(), context: context.Background(),
		stopped: make(chan struct{}), lender: quota.NewLender(options.Quota),
		limits: newLimits(options.MemoryMB),
	}
	if options.Metrics == nil {
		s.options.Metrics = NewMetrics(options.Node)
	}
	startedAt := time.Now()
	s.started, s.observingSince = startedAt, startedAt
	s.runID = uuid.NewString()
	s.state = ledger.NewState("", s.runID)
	lendings := quota.NewHistory(options.Quota)
	folder := filepath.Join(options.DataFolder, "ledger")
	disk, existed, err := wal.Open(folder, func(record ledger.Record) {
		if record.Lent != nil {
			lendings.Add(*record.Lent)
			return
		}
		s.state.Replay(startedAt, record)
	})
	if err != nil {
		return nil, err
	}
	damage := disk.Damage()
	if !existed || damage != nil || s.state.Disk() == "" {
		s.state.ReplaceDisk(uuid.NewString())
	}
	if damage != nil {
		s.logDamage(damage)
	}
	s.resumeLending(lendings.Recent())
	if err := rotateAtStart(disk, s.snapshot(startedAt)); err != nil {
		return nil, err
	}
	s.members.reader = replicaset.NewReader()
	s.members.backoff = minChangeBackoff
	s.members.cell = replicaset.NoCell
	s.syncer = newSyncer(disk, s.reportDisk, s.options.Metrics.observeSync)
	turns, programs, bytes := s.state.Size()
	s.log.Info().Str("event", "start").Str("role", "replica").Str("disk", s.state.Disk()).Bool("disk_is_new", !existed).
		Uint64("epoch", s.state.Set().Epoch).Int("turns", turns).Int("programs", programs).Int64("turn_bytes", bytes).
		Dur("replay", time.Since(startedAt)).Int("pid", os.Getpid()).Msg("")
	return s, nil
}

// logDamage logs what of the disk could not be read.
func (s *Server) logDamage(damage *wal.DamageError) {
	s.log.Error().Str("event", "log_damaged").Str("file", damage.Path).Str("reason", damage.Reason).Int64("offset", damage.Offset).
		Int64("bytes", damage.Size).Int("records", damage.Records).Str("disk", s.state.Disk()).Msg("")
}

// rotateAtStart starts a new segment. It retries, because a full disk may need time to free space.
func rotateAtStart(disk *wal.Log[ledger.Record], snapshot []ledger.Record) error {
	const maxAttempts = 100
	var err error
	for range maxAttempts {
		if err = disk.Rotate(snapshot); err == nil {
			return nil
		}
		wait.For(context.Background(), retryDelay)
	}
	return err
}

func (s *Server) self() replicaset.Node {
	node := replicaset.Node{
		Name: s.options.Node, Role: replicaset.RoleReplica, Address: s.options.Advertised,
		Zone: s.options.Zone, Feed: s.options.Feed, Disk: s.state.Disk(), Leaving: s.members.leaving,
	}
	if cell := s.members.cell; cell != replicaset.NoCell {
		node.Cell = &cell
	}
	return node
}

// post passes work to the loop. After the loop has stopped, the work is dropped.
func (s *Server) post(work func()) {
	select {
	case s.inbox <- work:
	case <-s.stopped:
	}
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	s.context = ctx
	listener, err := peer.Listen(ctx, s.options.Address)
	if err != nil {
		cancel()
		return fmt.Errorf("replica: %w", err)
	}
	var running conc.WaitGroup
	server := s.serve(listener)
	running.Go(server.Run)
	running.Go(func() { s.syncer.run(ctx) })
	s.register()
	s.loop(ctx)
	close(s.stopped)
	s.limits.inbox.Close()
	cancel()
	server.Close()
	for _, peer := range s.peers {
		peer.link.CloseAsync()
	}
	running.Wait()
	s.log.Info().Str("event", "stop").Str("role", "replica").Msg("")
	return s.syncer.log.Close()
}

func (s *Server) serve(listener net.Listener) *peer.Server[ledger.Request, ledger.Reply] {
	server := peer.NewServer(listener, func(from *peer.Connection[ledger.Reply], request ledger.Request) {
		s.postMessage(request.Bytes(), func() { s.receive(from, request) })
	})
	server.CountSent(func(to net.Addr, reply ledger.Reply, bytes int) { s.options.Traffic.AddSentTo(reply.Kind(), to, bytes) })
	server.LimitOutgoing(s.limits.outgoing)
	server.ReportEnds(func(from *peer.Connection[ledger.Reply]) { s.post(func() { s.followerDisconnected(from) }) })
	return server
}

func (s *Server) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-s.inbox:
			work()
		case now := <-ticker.C:
			s.tick(now)
		}
	}
}

// receive applies one request of a gateway or of another replica.
func (s *Server) receive(from *peer.Connection[ledger.Reply], request ledger.Request) {
	if request.Hello != nil {
		s.connectPeer(*request.Hello)
		return
	}
	s.options.Metrics.count(request)
	if request.Borrow != nil {
		s.lend(request, func(reply ledger.Reply) { from.Send(reply) })
		return
	}
	if s.overloaded(request) {
		return
	}
	now := time.Now()
	s.requestedAt = now
	if request.ReadQuarantine != nil {
		s.follow(now, from, request)
		return
	}
	output := s.state.Step(now, request)
	s.logRequest(request, output)
	for _, reply := range output.Immediate {
		if reply.Inventory != nil {
			reply.Inventory.Silent = s.silentVoters(now)
		}
		from.Send(reply)
	}
	s.notifyFollowers(now)
	if len(output.AfterSync) == 0 && len(output.Records) == 0 {
		return
	}
	s.persist(output.Records, func() {
		for _, reply := range output.AfterSync {
			from.Send(reply)
		}
	})
}

// logRequest logs stale reservations, missing histories and adopted sets.
func (s *Server) logRequest(request ledger.Request, output ledger.Output) {
	switch {
	case len(output.Immediate) > 0 && output.Immediate[0].Stale != nil:
		s.log.Warn().Str("event", "reservation_stale").Str("id", request.Reserve.Charge.Turn).
			Uint64("epoch", request.Epoch).Uint64("own_epoch", s.state.Set().Epoch).Msg("")
	case request.Reserve != nil && request.Reserve.History != "" && !output.Immediate[0].Reserve.Found:
		s.log.Warn().Str("event", "history_missing").Str("id", request.Reserve.Charge.Turn).
			Str("previous", request.Reserve.History).Int("position", s.state.Position()).Msg("")
	case request.Adopt != nil && len(output.Records) > 0:
		s.log.Info().Str("event", "set_adopted").Uint64("epoch", s.state.Set().Epoch).
			Uint64("asked", request.Adopt.Set.Epoch).Int("voters", len(s.state.Set().Voters)).Msg("")
	}
}

// persist submits records and calls after once they, and all earlier ones, are durable.
// after runs outside the loop.
func (s *Server) persist(records []ledger.Record, after func()) {
	s.syncer.submit(submission{records: records, after: after})
}

func (s *Server) tick(now time.Time) {
	s.detectPause(now)
	s.tickedAt = now
	for _, peer := range s.peers {
		peer.tick(now)
	}
	s.tickMembership(now)
	s.updateLender(now)
	s.checkFollowers(now)
	if now.Sub(s.purgedAt) >= purgeInterval {
		s.purgedAt = now
		s.state.Purge(now)
		s.options.Metrics.observeState(s.state)
		s.options.Metrics.observeReservations(s.lender.Reservations(now))
		s.rotateIfLarge()
	}
}

// rotateIfLarge starts a new segment once the current one exceeds its share of the disk.
func (s *Server) rotateIfLarge() {
	limit := int64(s.options.DiskMB) << 20 / segmentDivisor
	if s.rotating || limit == 0 || s.syncer.size() < limit {
		return
	}
	s.rotating = true
	s.syncer.submit(submission{snapshot: s.snapshot(time.Now()), after: func() {
		s.post(func() { s.rotating = false })
	}})
	s.log.Info().Str("event", "log_rotated").Int64("bytes", s.syncer.size()).Msg("")
}

// reportDisk logs that the disk fails (err is set) or works again.
func (s *Server) reportDisk(err error) {
	if err != nil {
		s.log.Error().Str("event", "dependency_lost").Str("dependency", "disk").Err(err).Msg("")
		return
	}
	s.log.Info().Str("event", "dependency_regained").Str("dependency", "disk").Msg("")
}

// connectPeer connects to a replica, unless it is connected at the same address already.
func (s *Server) connectPeer(node replicaset.Node) {
	known := s.peers[node.Name]
	if node.Name == s.options.Node || known != nil && known.node.Address == node.Address {
		return
	}
	if known != nil {
		known.link.CloseAsync()
	}
	added := &peerState{server: s, node: node}
	s.peers[node.Name] = added
	added.link = peer.NewLink[ledger.Request, ledger.Reply](s.context, node.Address, added)
}
