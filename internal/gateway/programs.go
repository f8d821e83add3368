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

// programs is what this gateway knows of programs under way. It is safe for concurrent use.
type programs struct {
	log     *log.Logger
	metrics *programMetrics

	mu         sync.Mutex
	controller *admission.Controller
}

func newPrograms(log *log.Logger, metrics *Metrics) *programs {
	return &programs{log: log, metrics: newProgramMetrics(metrics), controller: admission.NewController()}
}

// decidesPrograms reports whether new programs of the request's kind are admitted by what
// programs under way will need.
func (s *Server) decidesPrograms(r *request) bool {
	return s.options.ProgramAdmission && r.header.Get(s.dialect.Program) != "" && s.rationed(r)
}

// programLeft returns how much time the request's program has, 0 if it names none. One whose time
// is over at this moment is late.
func (r *request) programLeft(now time.Time) time.Duration {
	if r.programDeadline.IsZero() {
		return 0
	}
	return cmp.Or(r.programDeadline.Sub(now), -1)
}

// programKind returns the kind of the request's program.
func (r *request) programKind() admission.Kind {
	return admission.Kind{Service: r.service.Name, Route: r.route.Name, Rank: r.table.RankOf(r.route, r.service.Name)}
}

// mayBegin reports whether the program of a first request may begin now. Once admitted it stays
// so: what it will use is counted from its first slot on.
func (s *Server) mayBegin(r *request) bool {
	if r.admission.Verdict == admission.Admit || !s.decidesPrograms(r) {
		return true
	}
	now := time.Now()
	capacity := s.directory.Capacity(now, r.service.Name)
	load := admission.Load{Slots: capacity.Slots, Busy: capacity.Busy}
	asked := admission.Request{ID: r.id, Kind: r.programKind(), Objective: r.arrived.Add(r.route.Objective), Deadline: r.deadline, Left: r.programLeft(now), Excess: s.tenantExcess(r)}
	s.programs.mu.Lock()
	r.admission = s.programs.controller.Decide(now, asked, load)
	s.programs.mu.Unlock()
	s.programs.metrics.decided(asked.Kind, r.admission)
	s.logAdmission(r, asked.Kind, load)
	return r.admission.Verdict == admission.Admit
}

// holdProgram pauses before it is decided again whether the request's program may begin. It
// reports false when the program is refused, or its caller is gone.
func (s *Server) holdProgram(ctx context.Context, r *request) bool {
	if r.admission.Verdict == admission.Refuse {
		r.retryAfter = r.admission.Wait
		return false
	}
	pause := r.admission.Wait
	r.admission = admission.Decision{}
	return wait.For(ctx, pause)
}

// isHeld reports whether the request's program may not begin now.
func (r *request) isHeld() bool {
	return r.admission.Verdict == admission.Hold || r.admission.Verdict == admission.Refuse
}

// failureOf returns the failure of a request that waits no longer; last is that of its last send.
func (r *request) failureOf(last *backend.Failure) *backend.Failure {
	if !r.isHeld() {
		return last
	}
	return &backend.Failure{Verdict: verdict.NotRun, Reason: "the programs under way leave no room for a new one"}
}

// withdrawProgram notes that the request's program does not begin, though there is room for it.
func (s *Server) withdrawProgram(r *request) {
	if r.admission.Verdict != admission.Admit {
		return
	}
	s.programs.mu.Lock()
	defer s.programs.mu.Unlock()
	s.programs.controller.Withdrawn(time.Now(), r.programKind(), r.admission)
}

// programBegan notes that an instance took a program's first request.
func (s *Server) programBegan(r *request) {
	if !r.firstOfProgram || !s.decidesPrograms(r) {
		return
	}
	now := time.Now()
	began := admission.Beginning{
		Kind: r.programKind(), Program: r.header.Get(s.dialect.Program), Left: r.programLeft(now), Share: s.shareInUse(now, r.service.Name),
		Usual: r.admission.Usual,
	}
	s.programs.mu.Lock()
	defer s.programs.mu.Unlock()
	s.programs.controller.Began(now, began)
}

// programTurnEnded learns from a request of a program that was answered whole.
func (s *Server) programTurnEnded(now time.Time, r *request, took time.Duration) {
	if !s.decidesPrograms(r) {
		return
	}
	turn := admission.Turn{
		Kind: r.programKind(), Program: r.header.Get(s.dialect.Program), First: r.firstOfProgram, Took: took,
		Share: s.shareInUse(now, r.service.Name),
	}
	s.programs.mu.Lock()
	defer s.programs.mu.Unlock()
	s.programs.controller.TurnEnded(now, turn)
}

// shareInUse returns the part of a service's slots that is believed to be in use.
func (s *Server) shareInUse(now time.Time, service string) float64 {
	capacity := s.directory.Capacity(now, service)
	return float64(capacity.Busy) / float64(max(1, capacity.Slots))
}

// noteLostTurn learns from a later request of a program that got no whole answer. A request
// whose program's other turns are charged is no first one.
func (s *Server) noteLostTurn(r *request) {
	lost := r.outcome.result != "answered" && (r.outcome.status == http.StatusOK || r.outcome.status >= http.StatusTooManyRequests)
	if !lost || r.outcome.otherCharges == 0 || !s.decidesPrograms(r) {
		return
	}
	s.programs.mu.Lock()
	defer s.programs.mu.Unlock()
	s.programs.controller.TurnLost(time.Now(), r.programKind())
}

// logAdmission writes each decision that holds or refuses a program, and while room is short
// those that admit one.
func (s *Server) logAdmission(r *request, kind admission.Kind, load admission.Load) {
	decision := r.admission
	if !decision.Short() {
		return
	}
	s.log.Info().Str("event", "program_admission").Str("id", r.id).Str("program", r.header.Get(s.dialect.Program)).
		Str("service", kind.Service).Int("rank", kind.Rank).Str("verdict", decision.Verdict.String()).
		Int("slots", load.Slots).Int("busy", load.Busy).Float64("room", decision.Room).Float64("committed", decision.Committed).
		Float64("reserved", decision.Reserved).Dur("tightest", decision.Tightest).Float64("asked_per_s", decision.Asked).
		Float64("turns", decision.Program.Turns).Dur("turn", decision.Program.Turn).Dur("stage", decision.Program.Stage).
		Float64("stretch", decision.Program.Stretch).Float64("factor", decision.Factor).
		Float64("chance", decision.Chance).Bool("known", decision.Known).Bool("hopeless", decision.Hopeless).Int("sources", decision.Sources).Dur("wait", decision.Wait).
		Int64("program_left_ms", r.programLeftMS()).Int64("age_ms", time.Since(r.arrived).Milliseconds()).
		Int64("list_age_ms", s.instanceListAge().Milliseconds()).Float64("excess", r.outcome.tenantExcess).Msg("")
}

// ProgramSection returns the part of the load reports that tells of programs under way.
func (s *Server) ProgramSection() reportSection { return &programSection{programs: s.programs} }

// programSection reports the programs under way and what was learned of them.
type programSection struct {
	programs *programs
	versions newestVersions
}

func (p *programSection) name() string { return "programs" }

func (p *programSection) ownFigures(now time.Time) []byte {
	return p.encoded(func(c *admission.Controller) map[admission.Key]float64 { return c.Figures(now) })
}

func (p *programSection) zoneFigures(now time.Time) []byte {
	return p.encoded(func(c *admission.Controller) map[admission.Key]float64 { return c.ZoneFigures(now) })
}

func (p *programSection) encoded(figures func(*admission.Controller) map[admission.Key]float64) []byte {
	p.programs.mu.Lock()
	told := figures(p.programs.controller)
	p.programs.mu.Unlock()
	encoded, err := admission.Encode(told)
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
	p.programs.controller.Take(now, source, figures)
}

func (p *programSection) lasting(now time.Time) []byte {
	return p.encoded(func(c *admission.Controller) map[admission.Key]float64 { return c.Lasting(now) })
}

func (p *programSection) recall(now time.Time, age time.Duration, encoded []byte) {
	figures, err := admission.Decode(encoded)
	if err != nil {
		p.programs.log.Warn().Str("event", "program_report_unreadable").Err(err).Msg("")
		return
	}
	p.programs.mu.Lock()
	defer p.programs.mu.Unlock()
	p.programs.controller.Recall(now, figures, age)
}

// newestVersions keeps the newest report of each gateway. Reports of a whole zone come from any
// of its gateways, whose numbers cannot be compared: the last one to come counts.
type newestVersions struct {
	byGateway map[string]tally.Version
}

// mostVersions bounds the gateways whose versions are kept.
const mostVersions = 4096

// isNewer reports whether a report is newer than what its source said before. Only the
// receiving goroutine calls it.
func (n *newestVersions) isNewer(source tally.Source, version tally.Version) bool {
	if source.Gateway == "" {
		return true
	}
	if last, known := n.byGateway[source.Gateway]; known && !last.Before(version) {
		return false
	}
	if n.byGateway == nil || len(n.byGateway) >= mostVersions {
		n.byGateway = map[string]tally.Version{}
	}
	n.byGateway[source.Gateway] = version
	return true
}

// programMetrics show how new programs are admitted.
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

func (m *programMetrics) decided(kind admission.Kind, decision admission.Decision) {
	rank := strconv.Itoa(kind.Rank)
	m.decisions.WithLabelValues(kind.Service, rank, decision.Verdict.String()).Inc()
	if !decision.Known {
		return
	}
	m.room.WithLabelValues(kind.Service, rank).Set(decision.Room)
	m.committed.WithLabelValues(kind.Service, rank).Set(decision.Committed)
	m.reserved.WithLabelValues(kind.Service, rank).Set(decision.Reserved)
}
