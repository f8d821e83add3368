package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/coldstart"
	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/quorum"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// defaultDeadline holds for requests that name none.
	defaultDeadline = 30 * time.Second
	// defaultBody and defaultHeader bound requests before the configuration is known.
	defaultBody   = 4 << 20
	defaultHeader = 64 << 10
	// idleTimeout is how long a caller's connection may rest; longer than any
	// configuration allows callers to reuse one.
	idleTimeout = 2 * time.Minute
	// headerTimeout is how long a caller may take for a header.
	headerTimeout = 10 * time.Second
	// drainDelay is how long new callers may still come after readiness ended.
	drainDelay = 2500 * time.Millisecond
	// drainPollInterval is how often a stop looks whether the last request ended.
	drainPollInterval = 25 * time.Millisecond
	// maxConfigurationStaleness is how long the configuration may be stale before a route that it
	// lacks is no longer taken not to exist. It is below the least time in which a change
	// must be in force on any deployment so far (2 s).
	maxConfigurationStaleness = 1500 * time.Millisecond
)

// Options are what a gateway is made of.
type Options struct {
	Node      string
	Zone      string
	Dialect   Dialect
	Directory *backend.Directory
	Replicas  *quorum.Cells
	Log       *log.Logger
	Metrics   *Metrics
	// Evacuations says that the operator may evacuate zones: then nothing is served before
	// it is known which ones are.
	Evacuations bool
	// Copies is how many disks must hold a turn before it counts.
	Copies int
	// LoadControl says that the operator asks for load control on all services.
	LoadControl bool
	// InstanceSpeeds places requests by the speeds of single instances where load control is on.
	InstanceSpeeds bool
	// ReportsAge says that other gateways' reports of load count less the older they are, where
	// load control decides.
	ReportsAge bool
	// HeldBytes bounds what is held for callers, where load control decides; 0 does not.
	HeldBytes int64
	// ProgramAdmission says that new programs are admitted by what programs under way will
	// need, where load control decides.
	ProgramAdmission bool
	// LimitSetAside says that, under load control, credit of tenants' limits is set aside for
	// begun programs.
	LimitSetAside bool
	// FairShares says that, under load control, tenants share scarce room fairly.
	FairShares bool
	// ColdStarts is by how much cold instances may get more than their limit.
	ColdStarts coldstart.Policy
}

// Server is one gateway.
type Server struct {
	options   Options
	dialect   Dialect
	log       *log.Logger
	directory *backend.Directory
	pool      *backend.Pool
	replicas  *quorum.Cells
	metrics   *Metrics

	table          atomic.Pointer[route.Table]
	instancesKnown atomic.Bool
	// instancesKnownAt is when the first list of instances came, since the start; evacuationsKnown is
	// set once it is known which zones are evacuated.
	instancesKnownAt atomic.Int64
	evacuationsKnown atomic.Bool
	// gatewayCount is how many the registry lists.
	gatewayCount atomic.Int64
	// stopping ends readiness; ending refuses what is not yet passed on.
	stopping atomic.Bool
	closing  atomic.Bool
	// gossip tells whether other gateways are heard of; nil before the registry was read.
	// wasIsolated is what isolated said last.
	gossip      atomic.Pointer[Gossip]
	wasIsolated atomic.Bool
	// drainDeadline is when a planned stop cuts what is left, in nanoseconds since the start. It
	// is set once no new callers come; zero before.
	drainDeadline atomic.Int64
	// feedStatus says how fresh configuration and instances are; nil before that is known.
	feedStatus atomic.Pointer[feedStatus]
	// instancesChangedAt is when the list of instances last changed, since the start.
	instancesChangedAt atomic.Int64
	started            time.Time

	// allowances are what this gateway may let through of tenants with a limit.
	allowances *allowances
	// overload holds the requests that wait for a slot at an instance.
	overload *queues
	// shares is the service that tenants had of late.
	shares *tenantShares
	// held counts the memory held for callers; nil where it is not bounded. unreadLimit is how
	// long they may leave an answer unread.
	held          *heldMemory
	unreadTimeout time.Duration
	// programs are those under way.
	programs *programs

	// members reads the product's own objects; changes of them are handed over one by one.
	members *replicaset.Reader

	mu       sync.Mutex
	splitter *route.Splitter
	inFlight atomic.Int64
}

// New returns a gateway that knows nothing yet.
func New(options Options) *Server {
	s := &Server{
		options: options, dialect: options.Dialect, log: options.Log, directory: options.Directory,
		replicas: options.Replicas, metrics: options.Metrics, splitter: route.NewSplitter(options.Node), started: time.Now(),
		allowances: newAllowances(), overload: newQueues(), shares: newTenantShares(options.Metrics), programs: newPrograms(options.Log, options.Metrics), members: replicaset.NewReader(),
		held: newHeldMemory(options.HeldBytes), unreadTimeout: defaultUnreadTimeout,
	}
	s.pool = backend.NewPool(s.metrics.connections.Inc)
	s.pool.UseFar(s.directory.OtherRegion)
	s.directory.UseConnections(s.pool)
	s.metrics.countHeld(s.held.held)
	s.metrics.countEvacuated(s.directory.EvacuatedInFlight)
	s.directory.LimitColdStarts(options.Node, options.ColdStarts, coldObserver{log: s.log, metrics: s.metrics})
	return s
}

// Ready reports whether new callers may come.
func (s *Server) Ready() bool {
	return !s.stopping.Load() && s.table.Load() != nil && s.isInformed() && !s.isolated()
}

// isolated reports whether this gateway reaches neither a quorum of replicas nor another
// gateway that could relay: callers are served better elsewhere. While replicas are
// missing for all, gateways still hear of each other, and none is isolated.
func (s *Server) isolated() bool {
	gossip := s.gossip.Load()
	isolated := gossip != nil && gossip.PeersTimedOut(time.Now()) && !s.replicas.Reachable()
	if s.wasIsolated.Swap(isolated) != isolated {
		s.log.Warn().Str("event", "isolation_changed").Bool("isolated", isolated).Msg("")
	}
	return isolated
}

// Serve serves callers until the context ends, then lets those in progress end and
// returns no later than the grace allows.
func (s *Server) Serve(ctx context.Context, address string, grace time.Duration) error {
	listener, err := peer.Listen(ctx, address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: defaultHeader,
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	return s.stop(server, listener, grace)
}

// stop ends the gateway: no new callers, each answer asks its caller to close the
// connection, and requests in progress run to their end. Kept connections are not
// closed under their callers: a request may be on its way on any of them, and the
// library's own shutdown has closed one whose request was being read.
func (s *Server) stop(server *http.Server, listener net.Listener, grace time.Duration) error {
	s.stopping.Store(true)
	s.log.Info().Str("event", "stopping").Int64("in_flight", s.inFlight.Load()).Msg("")
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	wait.For(ctx, drainDelay)
	_ = listener.Close()
	if deadline, bounded := ctx.Deadline(); bounded {
		s.drainDeadline.Store(int64(deadline.Sub(s.started)))
	}
	for s.inFlight.Load() > 0 && wait.For(ctx, drainPollInterval) {
	}
	s.closing.Store(true)
	// Requests read at this moment are refused; they get their answers first.
	wait.For(context.Background(), drainPollInterval)
	if remaining := s.inFlight.Load(); remaining > 0 {
		s.log.Warn().Str("event", "stop_cut").Int64("in_flight", remaining).Msg("")
	}
	return server.Close()
}

// drainEndsBefore reports whether the gateway is at the end of a planned stop and may be gone
// before the given time. What callers still send on kept connections is refused then:
// taken, it might be cut.
func (s *Server) drainEndsBefore(deadline time.Time) bool {
	endsAt := s.drainDeadline.Load()
	return endsAt != 0 && deadline.After(s.started.Add(time.Duration(endsAt)))
}

// handle serves one request of a caller.
func (s *Server) handle(w http.ResponseWriter, incoming *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	r := &request{
		id: incoming.Header.Get(s.dialect.RequestID), arrived: time.Now(),
		host: incoming.Host, method: incoming.Method, target: incoming.RequestURI, header: incoming.Header,
	}
	defer s.finish(r)
	defer func() { r.held.release() }()
	s.extendWriteDeadline(w, r) // the limit of the connection's last request may be over
	if s.stopping.Load() || s.wasIsolated.Load() {
		w.Header().Set("Connection", "close")
	}
	if failure := s.admit(w, r, incoming); failure != nil {
		s.refuse(w, r, failure)
		return
	}
	if failure := s.refusalIfBarred(r); failure != nil {
		s.refuse(w, r, failure)
		return
	}
	ctx, cancel := context.WithDeadline(incoming.Context(), r.deadline)
	defer cancel()
	if r.route.Kind == route.Streaming {
		s.serveStream(ctx, w, r)
		return
	}
	s.servePlain(ctx, w, r)
}

// finish writes the request's log line and counts it.
func (s *Server) finish(r *request) {
	o := &r.outcome
	took := time.Since(r.arrived)
	name := ""
	var version uint64
	if r.route != nil {
		name, version = r.route.Name, r.table.Version
	}
	s.metrics.request(o, took)
	s.noteLostTurn(r)
	s.log.Info().Str("event", "request").Str("id", r.id).Str("program", r.header.Get(s.dialect.Program)).
		Str("tenant", r.tenantName()).Str("key_fingerprint", r.keyFingerprint).Str("route", name).Uint64("config", version).Str("service", r.service.Name).
		Int("status", o.status).Str("result", o.result).Str("reason", o.reason).
		Str("instance", o.instance).Int("sends", o.sends).Int("load", o.load).Float64("expected_load", o.expectedLoad).Int64("reports_age_ms", o.reportsAgeMS).Float64("cost", o.cost).Int("missing", o.missingTokens).
		Int("candidates", o.candidates).Str("lender", o.lender).Float64("limit_ms", o.limitMS).Float64("reserve_ms", o.reserveMS).Float64("first_ms", o.firstMS).
		Float64("commit_ms", o.commitMS).Int("events", o.events).Int64("charged", o.otherCharges).Bool("asked_regions", o.askedAllRegions).Uint64("epoch", o.epoch).
		Str("previous", r.header.Get(s.dialect.PreviousTurn)).Int64("list_age_ms", s.instanceListAge().Milliseconds()).
		Int64("program_left_ms", r.programLeftMS()).Int64("took_ms", took.Milliseconds()).Msg("")
}
