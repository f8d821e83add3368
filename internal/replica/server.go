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
	// tickInterval drives catching up and membership.
	tickInterval = 50 * time.Millisecond
	// purgeInterval is how often expired turns are dropped.
	purgeInterval = 5 * time.Second
	// inboxEvents is how many events may wait for the loop.
	inboxEvents = 16384
	// segmentShare is the part of the disk that one segment may fill; old and new
	// segment stand side by side while the log is rotated.
	segmentShare = 4
)

// Options are what a replica is made of.
type Options struct {
	Node string
	Zone string
	// Address is listened on; Advertised is where the others reach it. Feed is where it
	// hands on what the shared store says, "" if it does not.
	Address    string
	Advertised string
	Feed       string
	DataFolder string
	DiskMB     int
	// MemoryMB is what the machine has; parts of it bound what waits here.
	MemoryMB int
	// Tolerate is how many machines with disks may be lost at once.
	Tolerate int
	// Places says which regions the zones belong to; nil where cells are not bound to regions.
	Places   place.Map
	Registry registry.Registry
	// Known returns a registry object as far as it is known here without a call.
	Known       func(name string) (registry.Object, bool)
	Retirements Retirements
	Log         *log.Logger
	Metrics     *Metrics
	// Traffic counts what is sent to other processes.
	Traffic *traffic.Counter
	// Quota is how exactly the limits of tenants must hold.
	Quota quota.Policy
}

// Server is one replica. Its state belongs to the goroutine of Run.
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
	context context.Context
	// ended is closed when the loop takes no more work.
	ended chan struct{}

	started time.Time
	// life tells this life of the process from earlier ones.
	life     string
	purgedAt time.Time
	// tickedAt is when the loop last ticked.
	tickedAt time.Time
	rotating bool
}

// New reads the disk. A disk without a log gets a new identity.
func New(options Options) (*Server, error) {
	s := &Server{
		options: options, log: options.Log,
		inbox: make(chan func(), inboxEvents), peers: map[string]*peerState{}, claims: newClaims(), context: context.Background(),
		ended: make(chan struct{}), lender: quota.NewLender(options.Quota),
		limits: newLimits(options.MemoryMB),
	}
	if options.Metrics == nil {
		s.options.Metrics = NewMetrics(options.Node)
	}
	began := time.Now()
	s.started = began
	s.life = uuid.NewString()
	s.state = ledger.NewState("", s.life)
	lendings := quota.NewHistory(options.Quota)
	folder := filepath.Join(options.DataFolder, "ledger")
	disk, existed, err := wal.Open(folder, func(record ledger.Record) {
		if record.Lent != nil {
			lendings.Add(*record.Lent)
			return
		}
		s.state.Replay(began, record)
	})
	if err != nil {
		return nil, err
	}
	if !existed || s.state.Disk() == "" {
		s.state.Replay(began, ledger.Record{Disk: uuid.NewString()})
	}
	s.resumeLending(lendings.Recent())
	if err := rotateAtStart(disk, s.snapshot(began)); err != nil {
		return nil, err
	}
	s.members.reader = replicaset.NewReader()
	s.members.pause = changePauseFirst
	s.members.cell = replicaset.NoCell
	s.syncer = newSyncer(disk, s.reportDisk, s.options.Metrics.observeSync)
	turns, programs, bytes := s.state.Size()
	s.log.Info().Str("event", "start").Str("role", "replica").Str("disk", s.state.Disk()).Bool("disk_is_new", !existed).
		Uint64("epoch", s.state.Set().Epoch).Int("turns", turns).Int("programs", programs).Int64("turn_bytes", bytes).
		Dur("replay", time.Since(began)).Int("pid", os.Getpid()).Msg("")
	return s, nil
}

// rotateAtStart starts a clean segment; a full disk may need a moment.
func rotateAtStart(disk *wal.Log[ledger.Record], snapshot []ledger.Record) error {
	const tries = 100
	var err error
	for range tries {
		if err = disk.Rotate(snapshot); err == nil {
			return nil
		}
		wait.For(context.Background(), retryDelay)
	}
	return err
}

func (s *Server) own() replicaset.Node {
	node := replicaset.Node{
		Name: s.options.Node, Role: replicaset.RoleReplica, Address: s.options.Advertised,
		Zone: s.options.Zone, Feed: s.options.Feed, Disk: s.state.Disk(), Leaving: s.members.leaving,
	}
	if cell := s.members.cell; cell != replicaset.NoCell {
		node.Cell = &cell
	}
	return node
}

// post hands work to the loop.
func (s *Server) post(work func()) {
	select {
	case s.inbox <- work:
	case <-s.ended:
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
	close(s.ended)
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
		s.meet(*request.Hello)
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
	output := s.state.Step(now, request)
	s.logRequest(request, output)
	for _, reply := range output.Now {
		if reply.Inventory != nil {
			reply.Inventory.Silent = s.silentVoters(now)
		}
		from.Send(reply)
	}
	if len(output.Durable) == 0 && len(output.Records) == 0 {
		return
	}
	s.persist(output.Records, func() {
		for _, reply := range output.Durable {
			from.Send(reply)
		}
	})
}

// logRequest writes what a request changed.
func (s *Server) logRequest(request ledger.Request, output ledger.Output) {
	switch {
	case len(output.Now) > 0 && output.Now[0].Stale != nil:
		s.log.Warn().Str("event", "reservation_stale").Str("id", request.Reserve.Charge.Turn).
			Uint64("epoch", request.Epoch).Uint64("own_epoch", s.state.Set().Epoch).Msg("")
	case request.Reserve != nil && request.Reserve.History != "" && !output.Now[0].Reserve.Found:
		s.log.Warn().Str("event", "history_missing").Str("id", request.Reserve.Charge.Turn).
			Str("previous", request.Reserve.History).Int("position", s.state.Position()).Msg("")
	case request.Adopt != nil && len(output.Records) > 0:
		s.log.Info().Str("event", "set_adopted").Uint64("epoch", s.state.Set().Epoch).
			Uint64("asked", request.Adopt.Set.Epoch).Int("voters", len(s.state.Set().Voters)).Msg("")
	}
}

// persist submits records and calls after once they, and all before them, are
// durable. after runs outside the loop.
func (s *Server) persist(records []ledger.Record, after func()) {
	s.syncer.submit(submission{records: records, after: after})
}

func (s *Server) tick(now time.Time) {
	s.noticePause(now)
	s.tickedAt = now
	for _, peer := range s.peers {
		peer.tick(now)
	}
	s.tickMembership(now)
	s.tellLender(now)
	if now.Sub(s.purgedAt) >= purgeInterval {
		s.purgedAt = now
		s.state.Purge(now)
		s.options.Metrics.observeState(s.state)
		s.options.Metrics.observeSetAsides(s.lender.Reservations(now))
		s.rotateIfLarge()
	}
}

// rotateIfLarge starts a new segment once the present one is large.
func (s *Server) rotateIfLarge() {
	limit := int64(s.options.DiskMB) << 20 / segmentShare
	if s.rotating || limit == 0 || s.syncer.size() < limit {
		return
	}
	s.rotating = true
	s.syncer.submit(submission{snapshot: s.snapshot(time.Now()), after: func() {
		s.post(func() { s.rotating = false })
	}})
	s.log.Info().Str("event", "log_rotated").Int64("bytes", s.syncer.size()).Msg("")
}

// reportDisk logs that the disk fails, or works again.
func (s *Server) reportDisk(err error) {
	if err != nil {
		s.log.Error().Str("event", "dependency_lost").Str("dependency", "disk").Err(err).Msg("")
		return
	}
	s.log.Info().Str("event", "dependency_regained").Str("dependency", "disk").Msg("")
}

// meet connects to a replica that introduced itself.
func (s *Server) meet(node replicaset.Node) {
	known := s.peers[node.Name]
	if node.Name == s.options.Node || known != nil && known.node.Address == node.Address {
		return
	}
	if known != nil {
		known.link.CloseAsync()
	}
	fresh := &peerState{server: s, node: node}
	s.peers[node.Name] = fresh
	fresh.link = peer.NewLink[ledger.Request, ledger.Reply](s.context, node.Address, fresh)
}
