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
	// defaultDeadline applies to requests without a deadline of their own.
	defaultDeadline = 30 * time.Second
	// defaultBody and defaultHeader bound requests before the configuration is known.
	defaultBody   = 4 << 20
	defaultHeader = 64 << 10
	// callerIdleTimeout is how long a caller's connection may be idle. It is longer than callers reuse
	// one in any configuration.
	callerIdleTimeout = 2 * time.Minute
	// headerTimeout is how long a caller may take to send a header.
	headerTimeout = 10 * time.Second
	// drainDelay is how long new callers are still accepted after readiness ended.
	drainDelay = 2500 * time.Millisecond
	// drainPollInterval is how often a stopping gateway checks whether requests are in flight.
	drainPollInterval = 25 * time.Millisecond
	// maxConfigurationStaleness is how long the configuration may be stale before a request
	// without a matching route is no longer answered with 404. It is below the shortest time in
	// which any deployment requires a change to be in force (2 s).
	maxConfigurationStaleness = 1500 * time.Millisecond
)

// Options configure a gateway.
type Options struct {
	Node      string
	Zone      string
	Dialect   Dialect
	Directory *backend.Directory
	Replicas  *quorum.Cells
	Log       *log.Logger
	Metrics   *Metrics
	// Evacuations is set where the operator may evacuate zones. Nothing is served then before the
	// evacuated zones are known.
	Evacuations bool
	// Copies is the number of disks that must have stored a turn before it is acknowledged.
	Copies int
	// LoadControl enables load control on all services.
	LoadControl bool
	// InstanceSpeeds places requests by the estimated speeds of instances where load control applies.
	InstanceSpeeds bool
	// ReportsAge weighs other gateways' load reports less the older they are, where load control
	// applies.
	ReportsAge bool
	// MemoryBytes is the memory of the machine; 0 means unknown.
	MemoryBytes int64
	// HeldBytes bounds the memory held for callers where load control applies; 0 means no bound.
	HeldBytes int64
	// ProgramAdmission admits new programs by the expected demand of active programs, where
	// load control applies.
	ProgramAdmission bool
	// LimitSetAside reserves, under load control, credit of tenants' limits for active programs.
	LimitSetAside bool
	// FairShares makes tenants share scarce capacity fairly under load control.
	FairShares bool
	// EndedInstances is the number of instances that may end under one request before no gateway sends it
	// any more; 0 means no bound.
	EndedInstances int
	// RenewalInterval is how often instances renew their entries.
	RenewalInterval time.Duration
	// DrainTime is how long an instance serves on, at least, after it announced that it leaves or its entry was
	// removed; 0 if that is unknown.
	DrainTime time.Duration
	// ColdStarts determines by how much cold instances may exceed their limit.
	ColdStarts coldstart.Policy
}

// Server is a gateway.
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
	// instancesKnownAt is when the first list of instances was received, as a duration since
	// started; evacuationsKnown is set once the evacuated zones are known.
	instancesKnownAt atomic.Int64
	evacuationsKnown atomic.Bool
	// gatewayCount is the number of gateways that the registry lists, gatewayNames are their names.
	gatewayCount atomic.Int64
	gatewayNames atomic.Pointer[[]string]
	// stopping ends readiness; closing refuses requests that are not forwarded yet.
	stopping atomic.Bool
	closing  atomic.Bool
	// gossip exchanges reports with other gateways; nil before the registry was read.
	// wasIsolated is the last result of isolated.
	gossip      atomic.Pointer[Gossip]
	wasIsolated atomic.Bool
	// drainDeadline is when a graceful stop aborts the remaining requests, in nanoseconds since
	// started. It is set once no new connections are accepted, and 0 before.
	drainDeadline atomic.Int64
	// feedStatus is the freshness of configuration and instances; nil before that is known.
	feedStatus atomic.Pointer[feedStatus]
	// instancesChangedAt is when the list of instances last changed, as a duration since started.
	instancesChangedAt atomic.Int64
	started            time.Time

	// allowances holds what this gateway may still accept from tenants with a limit.
	allowances *allowances
	// overload holds the requests that wait for a slot at an instance.
	overload *queues
	// shares tracks the slot time recently given to tenants.
	shares *tenantShares
	// held accounts for the memory held for callers; nil where it is not bounded. unreadTimeout is
	// how long callers may leave an answer unread.
	held *heldMemory
	// answers accounts for the memory of larger answers.
	answers       *answerMemory
	unreadTimeout time.Duration
	// programs tracks the active programs.
	programs *programs

	// containment keeps requests that end instances from being sent again; nil if that is not bounded.
	containment *containment

	// members parses the registry's objects that describe the fleet itself; they are applied one
	// change at a time.
	members *replicaset.Reader

	mu       sync.Mutex
	splitter *route.Splitter
	inFlight atomic.Int64
}

// New returns a gateway without configuration, instances or replicas.
func New(options Options) *Server {
	s := &Server{
		options: options, dialect: options.Dialect, log: options.Log, directory: options.Directory,
		replicas: options.Replicas, metrics: options.Metrics, splitter: route.NewSplitter(options.Node), started: time.Now(),
		allowances: newAllowances(), overload: newQueues(), shares: newTenantShares(options.Metrics), programs: newPrograms(options.Log, options.Metrics), members: replicaset.NewReader(),
		held: newHeldMemory(options.HeldBytes), answers: newAnswerMemory(options.MemoryBytes), unreadTimeout: defaultUnreadTimeout,
		containment: newContainment(options.EndedInstances),
	}
	if s.containment != nil {
		s.metrics.registerSuspects(func() float64 { return float64(len(s.containment.list(time.Now()))) })
	}
	s.pool = backend.NewPool(s.metrics.connections.Inc)
	s.pool.ResendOpened, s.pool.UnsolicitedReceived = s.metrics.resendConnections.Inc, s.unsolicitedReceived
	s.pool.LimitLearned = s.connectionLimitLearned
	s.metrics.registerConnections(s.pool.OpenConnections)
	s.pool.UseOtherRegion(s.directory.IsOtherRegion)
	s.directory.UseConnections(s.pool)
	s.metrics.registerHeld(s.held.held)
	s.metrics.registerEvacuated(s.directory.EvacuatedInFlight)
	s.directory.LimitColdStarts(options.Node, options.ColdStarts, coldObserver{log: s.log, metrics: s.metrics})
	return s
}

// Ready reports whether the gateway accepts new callers.
func (s *Server) Ready() bool {
	return !s.stopping.Load() && s.table.Load() != nil && s.hasPlacementState() && s.isContainmentRestored() && !s.isolated()
}

// isolated reports whether this gateway reaches neither a quorum of replicas nor another gateway
// that could relay to one; other gateways serve callers better then. While the replicas are
// unavailable to all gateways, these still receive each other's reports, and none is isolated.
func (s *Server) isolated() bool {
	gossip := s.gossip.Load()
	isolated := gossip != nil && gossip.PeersTimedOut(time.Now()) && !s.replicas.Reachable()
	if s.wasIsolated.Swap(isolated) != isolated {
		s.log.Warn().Str("event", "isolation_changed").Bool("isolated", isolated).Msg("")
	}
	return isolated
}

// Serve serves callers on the address until the context ends, then drains the requests in
// progress. It returns no later than the grace period after that.
func (s *Server) Serve(ctx context.Context, address string, grace time.Duration) error {
	listener, err := peer.Listen(ctx, address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout,
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

// stop drains the gateway: it accepts no new connections, each answer asks its caller to close the
// connection, and requests in progress run to their end. Idle connections are not closed first,
// because a request may be on its way on any of them: http.Server.Shutdown has closed one whose
// request was being read.
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
	if s.inFlight.Load() == 0 {
		s.leave()
	}
	// Requests that are being read at this moment are refused; leave time for those answers.
	wait.For(context.Background(), drainPollInterval)
	if remaining := s.inFlight.Load(); remaining > 0 {
		s.log.Warn().Str("event", "stop_cut").Int64("in_flight", remaining).Msg("")
	}
	return server.Close()
}

// drainEndsBefore reports whether the gateway is at the end of a graceful stop and may exit before
// the given time. Requests that callers still send on open connections are refused then, because
// they could be aborted.
func (s *Server) drainEndsBefore(deadline time.Time) bool {
	endsAt := s.drainDeadline.Load()
	return endsAt != 0 && deadline.After(s.started.Add(time.Duration(endsAt)))
}

// stoppingReason is the reason for refusals at the end of a graceful stop.
const stoppingReason = "the gateway shuts down before the request's deadline"

// mayAbort reports whether the end of a graceful stop could cut off a request that is sent now, and whose caller could not
// repeat it then. A request that may have run already cannot be refused any more.
func (s *Server) mayAbort(r *request) bool {
	return r.route.Kind != route.Safe && !r.lostAnswer && s.drainEndsBefore(r.deadline)
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
	s.extendWriteDeadline(w, r) // the deadline of the connection's previous request may have passed
	if s.stopping.Load() || s.wasIsolated.Load() {
		w.Header().Set("Connection", "close")
	}
	if failure := s.admit(w, r, incoming); failure != nil {
		s.refuse(w, r, failure)
		return
	}
	ctx, cancel := context.WithDeadline(incoming.Context(), r.deadline)
	defer cancel()
	s.awaitRecords(ctx)
	if failure := s.refuseContained(ctx, r); failure != nil {
		s.refuse(w, r, failure)
		return
	}
	if failure := s.refuseIfIneligible(r); failure != nil {
		s.refuse(w, r, failure)
		return
	}
	if r.route.Kind == route.Streaming {
		s.serveStream(ctx, w, r)
		return
	}
	s.servePlain(ctx, w, r)
}

// finish logs the request and counts it.
func (s *Server) finish(r *request) {
	o := &r.outcome
	took := time.Since(r.arrived)
	name := ""
	var version uint64
	if r.route != nil {
		name, version = r.route.Name, r.table.Version
	}
	s.metrics.observeRequest(o, took)
	s.endRecordedRun(r)
	s.watchRefusals(r)
	s.recordLostTurn(r)
	s.log.Info().Str("event", "request").Str("id", r.id).Str("program", r.header.Get(s.dialect.Program)).
		Str("tenant", r.tenantName()).Str("key_fingerprint", r.keyFingerprint).Str("route", name).Uint64("config", version).Str("service", r.service.Name).
		Int("status", o.status).Str("result", o.result).Str("reason", o.reason).
		Str("instance", o.instance).Str("instance_version", o.instanceVersion).Str("stream_version", o.streamVersion).Str("version_source", o.versionSource).Str("resumes", r.header.Get(s.dialect.Resumes)).Str("last_event", r.header.Get(s.dialect.LastEvent)).Int("sends", o.sends).Int("load", o.load).Float64("expected_load", o.expectedLoad).Int64("reports_age_ms", o.reportsAgeMS).Float64("cost", o.cost).Int("missing", o.uncachedTokens).
		Int("candidates", o.candidates).Str("lender", o.lender).Float64("limit_ms", o.limitMS).Float64("reserve_ms", o.reserveMS).Float64("first_ms", o.firstMS).
		Float64("commit_ms", o.commitMS).Int("events", o.events).Str("request_key", r.loggedKey()).Int("ends_behind", o.endsBehind).Int64("charged", o.otherCharges).Bool("asked_regions", o.askedAllRegions).Uint64("epoch", o.epoch).
		Str("previous", r.header.Get(s.dialect.PreviousTurn)).Int64("list_age_ms", s.instanceListAge().Milliseconds()).
		Int64("program_left_ms", r.programLeftMS()).Int64("took_ms", took.Milliseconds()).Msg("")
}
