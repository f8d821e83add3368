package gateway

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"swiftbank.dev/swiftbank/internal/admission"
	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/tally"
	"swiftbank.dev/swiftbank/internal/verdict"
	"swiftbank.dev/swiftbank/internal/wait"
)

// programs holds what this gateway knows of programs in progress. It is safe for concurrent use.
type programs struct {
	log     *log.Logger
	metrics *programMetrics

	mu         sync.Mutex
	controller *admission.Controller
}

func newPrograms(log *log.Logger, metrics *Metrics) *programs {
	return &programs{log: log, metrics: newProgramMetrics(metrics), controller: admission.NewController()}
}

// admitsPrograms reports whether new programs of the request's kind are admitted by the expected
// demand of programs in progress.
func (s *Server) admitsPrograms(r *request) bool {
	return s.options.ProgramAdmission && r.header.Get(s.dialect.Program) != "" && s.usesAdmissionControl(r)
}

// programLeft returns the time that the request's program has left: 0 if it names none, and
// negative, never 0, once the time has passed.
func (r *request) programLeft(now time.Time) time.Duration {
	if r.programDeadline.IsZero() {
		return 0
	}
	return cmp.Or(r.programDeadline.Sub(now), -1)
}

// programKind returns the kind of the request's program.
func (r *request) programKind() admission.Kind {
	return admission.Kind{Service: r.service.Name, Route: r.route.Name, Rank: r.table.RelativePriority(r.route, r.service.Name)}
}

// admitProgram reports whether the program of a first request may begin now. An admission is
// final: the program's usage is counted from its first slot on.
func (s *Server) admitProgram(r *request) bool {
	if r.admission.Verdict == admission.Admit || !s.admitsPrograms(r) {
		return true
	}
	now := time.Now()
	capacity := s.directory.Capacity(now, r.service.Name)
	load := admission.Load{Slots: capacity.Slots, Busy: capacity.Busy}
	candidate := admission.Request{ID: r.id, Kind: r.programKind(), HoldUntil: r.arrived.Add(r.route.Objective), Deadline: r.deadline, TimeLeft: r.programLeft(now), Excess: s.tenantExcess(r)}
	s.programs.mu.Lock()
	r.admission = s.programs.controller.Decide(now, candidate, load)
	s.programs.mu.Unlock()
	s.programs.metrics.observe(candidate.Kind, r.admission)
	s.logAdmission(r, candidate.Kind, load)
	return r.admission.Verdict == admission.Admit
}

// awaitNextDecision pauses before the program's admission is decided again. It returns false if
// the program is refused or its caller has disconnected.
func (s *Server) awaitNextDecision(ctx context.Context, r *request) bool {
	if r.admission.Verdict == admission.Refuse {
		r.retryAfter = r.admission.RetryAfter
		return false
	}
	pause := r.admission.RetryAfter
	r.admission = admission.Decision{}
	return wait.For(ctx, pause)
}

// isHeld reports whether the last decision held or refused the request's program.
func (r *request) isHeld() bool {
	return r.admission.Verdict == admission.Hold || r.admission.Verdict == admission.Refuse
}

// failureIfHeld returns the failure of a request that stops waiting; last is that of its last send.
func (r *request) failureIfHeld(last *backend.Failure) *backend.Failure {
	if !r.isHeld() {
		return last
	}
	return &backend.Failure{Verdict: verdict.NotRun, Reason: "the programs in progress leave no capacity for a new one"}
}

// withdrawProgram records that the request's program does not begin although it was admitted.
func (s *Server) withdrawProgram(r *request) {
	if r.admission.Verdict != admission.Admit {
		return
	}
	s.programs.mu.Lock()
	defer s.programs.mu.Unlock()
	s.programs.controller.ProgramWithdrawn(time.Now(), r.programKind(), r.admission)
}

// recordProgramStart records that an instance accepted a program's first request.
func (s *Server) recordProgramStart(r *request) {
	if !r.firstOfProgram || !s.admitsPrograms(r) {
		return
	}
	now := time.Now()
	start := admission.ProgramStart{
		Kind: r.programKind(), Program: r.header.Get(s.dialect.Program), TimeLeft: r.programLeft(now), Utilization: s.shareInUse(now, r.service.Name),
		RetryFree: r.admission.RetryFree,
	}
	s.programs.mu.Lock()
	defer s.programs.mu.Unlock()
	s.programs.controller.ProgramStarted(now, start)
}

// recordProgramTurn records the duration of a program's request that was answered completely.
func (s *Server) recordProgramTurn(now time.Time, r *request, took time.Duration) {
	if !s.admitsPrograms(r) {
		return
	}
	turn := admission.Turn{
		Kind: r.programKind(), Program: r.header.Get(s.dialect.Program), First: r.firstOfProgram, SlotTime: took,
		Utilization: s.shareInUse(now, r.service.Name),
	}
	s.programs.mu.Lock()
	defer s.programs.mu.Unlock()
	s.programs.controller.TurnCompleted(now, turn)
}

// shareInUse returns the estimated share of a service's slots that is in use.
func (s *Server) shareInUse(now time.Time, service string) float64 {
	capacity := s.directory.Capacity(now, service)
	return float64(capacity.Busy) / float64(max(1, capacity.Slots))
}

// recordLostTurn records a later request of a program that received no complete answer. A request
// is a later one if other turns of its program are charged.
func (s *Server) recordLostTurn(r *request) {
	lost := r.outcome.result != "answered" && (r.outcome.status == http.StatusOK || r.outcome.status >= http.StatusTooManyRequests)
	if !lost || r.outcome.otherCharges == 0 || !s.admitsPrograms(r) {
		return
	}
	s.programs.mu.Lock()
	defer s.programs.mu.Unlock()
	s.programs.controller.TurnFailed(time.Now(), r.programKind())
}

// logAdmission logs each decision that holds or refuses a program, and while capacity is short
// those that admit one.
func (s *Server) logAdmission(r *request, kind admission.Kind, load admission.Load) {
	decision := r.admission
	if !decision.Throttled() {
		return
	}
	s.log.Info().Str("event", "program_admission").Str("id", r.id).Str("program", r.header.Get(s.dialect.Program)).
		Str("service", kind.Service).Int("rank", kind.Rank).Str("verdict", decision.Verdict.String()).
		Int("slots", load.Slots).Int("busy", load.Busy).Float64("room", decision.SlotLimit).Float64("committed", decision.Committed).
		Float64("reserved", decision.Reserved).Dur("tightest", decision.PeakAfter).Float64("asked_per_s", decision.ArrivalRate).
		Float64("turns", decision.Program.Turns).Dur("turn", decision.Program.SlotTime).Dur("stage", decision.Program.StageTime).
		Float64("stretch", decision.Program.MaxSlowdown).Float64("factor", decision.Calibration).
		Float64("chance", decision.Probability).Bool("known", decision.HasForecast).Bool("hopeless", decision.Infeasible).Int("sources", decision.Sources).Dur("wait", decision.RetryAfter).
		Int64("program_left_ms", r.programLeftMS()).Int64("age_ms", time.Since(r.arrived).Milliseconds()).
		Int64("list_age_ms", s.instanceListAge().Milliseconds()).Float64("excess", r.outcome.tenantExcess).Msg("")
}

// ProgramSection returns the section of the load reports for programs in progress.
func (s *Server) ProgramSection() reportSection { return &programSection{programs: s.programs} }

// programSection reports the programs in progress and what was learned from them.
type programSection struct {
	programs *programs
	versions newestVersions
}

func (p *programSection) name() string { return "programs" }

func (p *programSection) ownFigures(now time.Time) []byte {
	return p.encode(func(c *admission.Controller) map[admission.Key]float64 { return c.Figures(now) })
}

func (p *programSection) zoneFigures(now time.Time) []byte {
	return p.encode(func(c *admission.Controller) map[admission.Key]float64 { return c.ZoneFigures(now) })
}

// encode returns the encoded figures of the controller.
func (p *programSection) encode(figures func(*admission.Controller) map[admission.Key]float64) []byte {
	p.programs.mu.Lock()
	values := figures(p.programs.controller)
	p.programs.mu.Unlock()
	encoded, err := admission.Encode(values)
	if err != nil {
		p.programs.log.Error().Str("event", "program_report_failed").Err(err).Msg("")
	}
	return encoded
}

func (p *programSection) apply(now time.Time, source tally.Source, version tally.Version, encoded []byte) {
	if !p.versions.isNewer(source, version) {
		return
	}
	figures, err := admission.Decode(encoded)
	if err != nil {
		p.programs.log.Warn().Str("event", "program_report_unreadable").Str("gateway", source.Gateway).Str("zone", source.Zone).Err(err).Msg("")
		return
	}
	p.programs.mu.Lock()
	defer p.programs.mu.Unlock()
	p.programs.controller.ReplaceReport(now, source, figures)
}

func (p *programSection) snapshot(now time.Time) []byte {
	return p.encode(func(c *admission.Controller) map[admission.Key]float64 { return c.Snapshot(now) })
}

func (p *programSection) restore(now time.Time, age time.Duration, encoded []byte) {
	figures, err := admission.Decode(encoded)
	if err != nil {
		p.programs.log.Warn().Str("event", "program_report_unreadable").Err(err).Msg("")
		return
	}
	p.programs.mu.Lock()
	defer p.programs.mu.Unlock()
	p.programs.controller.Restore(now, figures, age)
}

// newestVersions tracks the newest report of each gateway. Reports on a whole zone come from any
// of its gateways, whose numbers cannot be compared: the last one received counts.
type newestVersions struct {
	byGateway map[string]tally.Version
}

// maxTrackedVersions bounds the gateways whose versions are tracked.
const maxTrackedVersions = 4096

// isNewer reports whether a report is newer than the previous ones from its source, and records
// its version. Only the receiving goroutine may call it.
func (n *newestVersions) isNewer(source tally.Source, version tally.Version) bool {
	if source.Gateway == "" {
		return true
	}
	if last, known := n.byGateway[source.Gateway]; known && !last.Before(version) {
		return false
	}
	if n.byGateway == nil || len(n.byGateway) >= maxTrackedVersions {
		n.byGateway = map[string]tally.Version{}
	}
	n.byGateway[source.Gateway] = version
	return true
}

// programMetrics are the metrics of program admission.
type programMetrics struct {
	decisions                 *prometheus.CounterVec
	room, committed, reserved *prometheus.GaugeVec
}

func newProgramMetrics(metrics *Metrics) *programMetrics {
	gauge := func(name, help string) *prometheus.GaugeVec {
		vector := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: metrics.labels}, []string{"service", "rank"})
		metrics.Registry.MustRegister(vector)
		return vector
	}
	decisions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "swiftbank_program_decisions_total", Help: "Decisions on new programs by service, rank and verdict.", ConstLabels: metrics.labels,
	}, []string{"service", "rank", "verdict"})
	metrics.Registry.MustRegister(decisions)
	return &programMetrics{
		decisions: decisions,
		room:      gauge("swiftbank_program_room_slots", "Slots that may be in use before programs of the rank are late, at the last decision."),
		committed: gauge("swiftbank_program_committed_slots", "Slots that programs under way are expected to use, at the last decision."),
		reserved:  gauge("swiftbank_program_reserved_slots", "Slots that more urgent programs are expected to ask for, at the last decision."),
	}
}

// observe records a decision on a new program.
func (m *programMetrics) observe(kind admission.Kind, decision admission.Decision) {
	rank := strconv.Itoa(kind.Rank)
	m.decisions.WithLabelValues(kind.Service, rank, decision.Verdict.String()).Inc()
	if !decision.HasForecast {
		return
	}
	m.room.WithLabelValues(kind.Service, rank).Set(decision.SlotLimit)
	m.committed.WithLabelValues(kind.Service, rank).Set(decision.Committed)
	m.reserved.WithLabelValues(kind.Service, rank).Set(decision.Reserved)
}
