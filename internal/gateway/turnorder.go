package gateway

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"swiftbank.dev/swiftbank/internal/overload"
	"swiftbank.dev/swiftbank/internal/tally"
	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// orderLife is how long what another gateway told of its turns counts.
	orderLife = gossipTimeout
	// orderSumLife is how long sums over the other gateways are used again: turns that wait
	// look more often than reports come.
	orderSumLife = 20 * time.Millisecond
	// orderedServices bounds the services that a report tells of. A gateway serves few whose
	// turns it would hold, and an order that is not told of holds by its own turns alone.
	orderedServices = 2
)

// orderKey names a figure of a service's order in the reports, in few bytes: the service by 24
// bits of a hash, then the figure in 8.
type orderKey uint32

// key returns the name of a figure of the service.
func (o *serviceOrder) key(figure overload.OrderFigure) orderKey {
	return orderKey(o.hash<<8 | uint32(figure))
}

func (k orderKey) service() uint32              { return uint32(k) >> 8 }
func (k orderKey) figure() overload.OrderFigure { return overload.OrderFigure(k) }

// turnOrders holds the order of waiting of each service, and what other gateways told of
// theirs. It is a section of the load reports, and safe for concurrent use.
type turnOrders struct {
	mu        sync.Mutex
	byService map[string]*serviceOrder
	heard     *tally.Tally[orderKey]
	versions  map[tally.Source]tally.Version
}

// serviceOrder is the order of one service.
type serviceOrder struct {
	hash  uint32
	order *overload.Order
	// elsewhere are the sums over the other gateways, made at the given time.
	elsewhere overload.OrderFigures
	summedAt  time.Time
}

func newTurnOrders() *turnOrders {
	return &turnOrders{
		byService: map[string]*serviceOrder{}, heard: tally.New[orderKey](orderLife), versions: map[tally.Source]tally.Version{},
	}
}

// of returns a service's order with what is known of other gateways. The caller holds the lock.
func (o *turnOrders) of(now time.Time, service string) *serviceOrder {
	known := o.byService[service]
	if known == nil {
		known = &serviceOrder{hash: uint32(xxhash.Sum64String(service)), order: overload.NewOrder()}
		o.byService[service] = known
	}
	if age := now.Sub(known.summedAt); age < 0 || age >= orderSumLife {
		known.elsewhere, known.summedAt = overload.OrderFigures{}, now
		for figure := range overload.OrderFigureCount {
			if sum := o.heard.Sum(now, known.key(figure)); sum != 0 {
				known.elsewhere[figure] = sum
			}
		}
	}
	return known
}

// name implements reportSection.
func (o *turnOrders) name() string { return "turns" }

// own implements reportSection.
func (o *turnOrders) own(now time.Time) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return encodeFigures(busiest(o.figures(now)))
}

// zone implements reportSection.
func (o *turnOrders) zone(now time.Time) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return encodeFigures(busiest(o.heard.WithZone(now, o.figures(now))))
}

// figures returns this gateway's own. A service whose turns wait no longer is still told of, or
// others would go by what waited before.
func (o *turnOrders) figures(now time.Time) map[orderKey]float64 {
	figures := map[orderKey]float64{}
	for _, known := range o.byService {
		for figure, value := range known.order.Figures(now) {
			figures[known.key(figure)] = value
		}
	}
	return figures
}

// busiest returns the figures of the services with the most turns, as they are told.
func busiest(figures map[orderKey]float64) map[orderKey]float64 {
	turns := map[uint32]float64{}
	for key, value := range figures {
		if key.figure().CountsTurns() {
			turns[key.service()] += value
		}
	}
	services := slices.SortedFunc(maps.Keys(turns), func(a, b uint32) int {
		return cmp.Or(-cmp.Compare(turns[a], turns[b]), cmp.Compare(a, b))
	})
	services = services[:min(orderedServices, len(services))]
	told := map[orderKey]float64{}
	for key, value := range figures {
		if slices.Contains(services, key.service()) {
			told[key] = coarse(value)
		}
	}
	return told
}

// coarse returns a figure with an error below 1 in 4,000, which takes 4 bytes in a report in
// place of 9.
func coarse(value float64) float64 {
	const dropped = 40
	return math.Float64frombits(math.Float64bits(value) >> dropped << dropped)
}

// take implements reportSection. Reports of a zone come from its gateways in turn and have no
// common order.
func (o *turnOrders) take(now time.Time, source tally.Source, version tally.Version, encoded []byte) {
	figures, ok := decodeFigures[orderKey](encoded)
	if !ok {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if version.Before(o.versions[source]) && source.Zone == "" {
		return
	}
	if len(o.versions) > 2*(o.heard.Sources(now)+1) {
		clear(o.versions)
	}
	o.versions[source] = version
	o.heard.Replace(now, source, figures)
}

// TurnOrder returns the section of the load reports that tells of turns that wait.
func (s *Server) TurnOrder() reportSection { return s.orders }

// ordered reports whether the request's service has an order of waiting.
func (s *Server) ordered(r *request) bool { return s.options.TurnOrder && s.rationed(r) }

// turnsWaiting returns how many turns of begun programs wait at all gateways for the request's
// service.
func (s *Server) turnsWaiting(now time.Time, r *request) int {
	if !s.ordered(r) {
		return 0
	}
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	known := s.orders.of(now, r.service.Name)
	return known.order.Waiting(now, known.elsewhere)
}

// awaitTurn holds a turn of a begun program while turns that go before it need the room. It
// returns early when the caller is gone.
func (s *Server) awaitTurn(ctx context.Context, r *request) {
	if !s.ordered(r) || r.programEnds.IsZero() || r.lostAnswer {
		return
	}
	s.learnProgram(time.Now(), r)
	if r.first {
		return
	}
	turn, room, decision := s.askTurn(time.Now(), r, overload.Turn{ID: r.id, Arrived: time.Now()})
	if decision.Go {
		s.metrics.turnReleased(turn, decision.Reason)
		return
	}
	defer s.orders.left(r.service.Name, r.id)
	s.metrics.turnHeld(turn)
	s.logTurn(r, turn, room, decision, turnHeld)
	for !decision.Go {
		if !wait.For(ctx, decision.Pause) {
			s.logTurn(r, turn, room, decision, turnLeft)
			return
		}
		turn, room, decision = s.askTurn(time.Now(), r, turn)
	}
	s.metrics.turnReleased(turn, decision.Reason)
	s.logTurn(r, turn, room, decision, turnReleased)
}

// learnProgram learns how much time programs have.
func (s *Server) learnProgram(now time.Time, r *request) {
	capacity := s.directory.Capacity(now, r.service.Name)
	calm := 2*capacity.Busy <= capacity.Slots
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	order := s.orders.of(now, r.service.Name).order
	program := r.header.Get(s.dialect.Program)
	order.Observe(now, r.table.RankOf(r.route, r.service.Name), program, r.first, calm, r.programEnds.Sub(now))
}

// learnTurn learns how long an answered turn took.
func (s *Server) learnTurn(now time.Time, r *request, took time.Duration) {
	if !s.ordered(r) {
		return
	}
	capacity := s.directory.Capacity(now, r.service.Name)
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	s.orders.of(now, r.service.Name).order.Took(capacity.Busy, capacity.Slots, took)
}

// askTurn decides whether a turn goes now.
func (s *Server) askTurn(now time.Time, r *request, turn overload.Turn) (overload.Turn, overload.Room, overload.TurnDecision) {
	capacity := s.directory.Capacity(now, r.service.Name)
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	known := s.orders.of(now, r.service.Name)
	if turn.Longest == 0 {
		turn.RouteRank, turn.Late = r.table.RankOf(r.route, r.service.Name), r.programLate(now)
		if r.tenant != nil {
			turn.TenantRank = r.tenant.Priority
		}
		turn.Longest = known.order.Longest(now, known.elsewhere, turn.RouteRank, r.deadline, r.programEnds)
	}
	room := overload.Room{Slots: capacity.Slots, Busy: capacity.Busy, Bearable: known.order.Bearable(known.elsewhere)}
	return turn, room, known.order.Ask(now, turn, room, known.elsewhere)
}

// left notes that a turn waits no longer.
func (o *turnOrders) left(service, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known := o.byService[service]; known != nil {
		known.order.Left(id)
	}
}

// What became of a turn, as logs name it.
const (
	turnHeld     = "held"
	turnReleased = "released"
	turnLeft     = "left"
)

// logTurn writes when a turn is held first and when that ends, with what the decision rests on.
func (s *Server) logTurn(r *request, turn overload.Turn, room overload.Room, decision overload.TurnDecision, verdict string) {
	now := time.Now()
	s.log.Info().Str("event", "turn_order").Str("id", r.id).Str("service", r.service.Name).Str("verdict", verdict).
		Str("reason", decision.Reason.String()).Int("rank", turn.RouteRank).Bool("late", turn.Late).
		Int("class", decision.Class).Int("level", decision.Level).Int("slots", room.Slots).Int("busy", room.Busy).
		Float64("bearable", room.Bearable).Float64("free", decision.Free).Float64("ahead", decision.Ahead).Float64("same", decision.Same).
		Dur("longest", turn.Longest).Int64("held_ms", now.Sub(turn.Arrived).Milliseconds()).
		Int64("program_left_ms", r.programLeftMS()).Int64("list_age_ms", s.listAge().Milliseconds()).Msg("")
}

// turnClass names a turn's place in metrics.
func turnClass(turn overload.Turn) string {
	if turn.Late {
		return "late"
	}
	return strconv.Itoa(turn.RouteRank)
}

// addTurnOrder registers the counters of turns that wait.
func (m *Metrics) addTurnOrder(labels prometheus.Labels) {
	m.turnsHeld = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "swiftbank_turns_held_total", Help: "Turns of begun programs that waited for more urgent ones, by rank.", ConstLabels: labels,
	}, []string{"rank"})
	m.turnsReleased = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "swiftbank_turns_released_total", Help: "Turns of begun programs that went to instances, by rank and reason.", ConstLabels: labels,
	}, []string{"rank", "reason"})
	m.Registry.MustRegister(m.turnsHeld, m.turnsReleased)
}

// turnHeld counts a turn that waits.
func (m *Metrics) turnHeld(turn overload.Turn) { m.turnsHeld.WithLabelValues(turnClass(turn)).Inc() }

// turnReleased counts a turn that goes, and why.
func (m *Metrics) turnReleased(turn overload.Turn, reason overload.Reason) {
	m.turnsReleased.WithLabelValues(turnClass(turn), reason.String()).Inc()
}
