package gateway

import (
	"context"
	"math"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/instancespeed"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/tally"
)

const (
	// speedReportSpacing times the number of sources is the minimum interval between two reports of
	// speeds, so that the traffic of one gateway does not grow with the fleet.
	speedReportSpacing = 4 * time.Millisecond
	// maxSpeedEntries bounds the speeds in one report: 12 bytes each.
	maxSpeedEntries = 24
	// speedReviewInterval is how often the estimated speeds are compared with those logged last.
	speedReviewInterval = time.Second
	// maxLoggedSpeedChanges bounds the log lines of one comparison.
	maxLoggedSpeedChanges = 8
)

// placesByExpectedEnd reports whether the request goes to the instance where it is expected to
// end soonest: where load control applies to its service, and for plain services where it
// applies to the streams that they serve alongside.
func (s *Server) placesByExpectedEnd(r *request) bool {
	if !s.options.InstanceSpeeds {
		return false
	}
	if r.service.Generates {
		return s.loadControlled(r)
	}
	return s.options.LoadControl || r.table.MaxStreamAttempts() > 1
}

// speedSection reports the instance speeds that this gateway observed. It sends nothing where no
// request is placed by its expected end.
type speedSection struct {
	directory *backend.Directory
	review    *speedReview
	// ownReportedAt and zoneReportedAt are when each kind of report last contained speeds.
	ownReportedAt, zoneReportedAt time.Time
}

// NewSpeedSection returns the section of the load reports for instance speeds.
func NewSpeedSection(directory *backend.Directory, log *log.Logger, metrics *Metrics) reportSection {
	return &speedSection{directory: directory, review: newSpeedReview(log, metrics)}
}

func (s *speedSection) name() string { return "speeds" }

func (s *speedSection) ownFigures(now time.Time) []byte {
	if s.review.isDue(now) {
		s.review.compare(now, s.directory.Speeds(now))
	}
	return s.report(now, false, &s.ownReportedAt)
}

func (s *speedSection) zoneFigures(now time.Time) []byte {
	return s.report(now, true, &s.zoneReportedAt)
}

// report returns the encoded speeds, or nil if the last report that contained them, at
// *reportedAt, is too recent.
func (s *speedSection) report(now time.Time, wholeZone bool, reportedAt *time.Time) []byte {
	if now.Sub(*reportedAt) < time.Duration(s.directory.SpeedSources())*speedReportSpacing {
		return nil
	}
	*reportedAt = now
	return instancespeed.Encode(s.directory.SpeedReport(now, wholeZone, maxSpeedEntries))
}

func (s *speedSection) apply(now time.Time, source tally.Source, version tally.Version, figures []byte) {
	entries, err := instancespeed.Decode(figures)
	if err != nil {
		s.review.log.Warn().Str("event", "report_unreadable").Str("section", s.name()).Str("gateway", source.Gateway).
			Str("zone", source.Zone).Err(err).Msg("")
		return
	}
	s.directory.ApplySpeedReport(now, source, version, entries)
}

// speedReview logs instances whose estimated speed changes its class. Only the goroutine that
// sends reports may use it.
type speedReview struct {
	log        *log.Logger
	metrics    *Metrics
	reviewedAt time.Time
	classes    map[string]speedClass
}

func newSpeedReview(log *log.Logger, metrics *Metrics) *speedReview {
	return &speedReview{log: log, metrics: metrics, classes: map[string]speedClass{}}
}

// speedClass is a range of speeds in logarithmic steps: 0 is the usual speed, 1 is slower by a
// factor of about 1.5.
type speedClass int

// classify returns the class of an estimated slowness. The class changes only once the estimate
// is well within another class.
func classify(slowness float64, previous speedClass) speedClass {
	const (
		step       = 0.4 // about a factor of 1.5, as a logarithm
		hysteresis = 0.75
	)
	if math.Abs(slowness/step-float64(previous)) < hysteresis {
		return previous
	}
	return speedClass(math.Round(slowness / step))
}

func (v *speedReview) isDue(now time.Time) bool { return now.Sub(v.reviewedAt) >= speedReviewInterval }

// compare logs which estimated speeds differ from those logged last.
func (v *speedReview) compare(now time.Time, speeds []backend.InstanceSpeed) {
	v.reviewedAt = now
	logged := 0
	classes := make(map[string]speedClass, len(speeds))
	for _, speed := range speeds {
		previous := v.classes[speed.Instance]
		class := classify(speed.Estimate.LogSlowdown(), previous)
		if class != previous && logged < maxLoggedSpeedChanges {
			logged++
			v.logChange(speed, previous, class)
		} else {
			class = previous // logged next time if the limit was reached
		}
		classes[speed.Instance] = class
	}
	v.classes = classes
	v.metrics.setSpeeds(speeds)
}

func (v *speedReview) logChange(speed backend.InstanceSpeed, previous, class speedClass) {
	v.metrics.speedChanges.Inc()
	believed := speed.Estimate
	v.log.Info().Str("event", "instance_speed_changed").Str("instance", speed.Instance).Str("service", speed.Service).
		Int("class", int(class)).Int("class_before", int(previous)).Float64("factor", believed.Slowdown()).
		Float64("stable", believed.Stable).Float64("momentary", believed.Transient).Float64("failing", believed.FailureRate).
		Float64("refusing", believed.RefusalRate).Float64("observations", believed.Weight).Int("reporters", speed.Sources).Msg("")
}

// maxOverdueMultiple is the multiple of the expected time up to which a silent request is counted
// against its instance: first when that time has passed, then each time the silence has doubled.
const maxOverdueMultiple = 4.0

// watchOverdue counts a request against its instance, while it is still running, each time it
// has sent nothing for longer than expected of that instance. The returned function stops the
// watch.
func (s *Server) watchOverdue(ctx context.Context, r *request, choice backend.Choice) (stop func()) {
	sign := s.directory.ExpectResponse(time.Now(), choice, r.route.Kind == route.Streaming)
	if sign.OverdueAfter == 0 {
		return func() {}
	}
	ctx, stop = context.WithCancel(ctx)
	time.AfterFunc(sign.OverdueAfter, func() { s.overdue(ctx, choice, sign, 1) })
	return stop
}

// overdue counts a silence of multiple times the expected time, and schedules the next check.
func (s *Server) overdue(ctx context.Context, choice backend.Choice, sign backend.ResponseExpectation, multiple float64) {
	if ctx.Err() != nil {
		return
	}
	s.metrics.overdue.Inc()
	s.directory.ObserveOverdue(time.Now(), choice, sign, multiple)
	if multiple < maxOverdueMultiple {
		time.AfterFunc(time.Duration(multiple)*sign.OverdueAfter, func() { s.overdue(ctx, choice, sign, 2*multiple) })
	}
}

// registerSpeeds registers the metrics of instance speeds.
func (m *Metrics) registerSpeeds(labels prometheus.Labels) {
	m.speeds = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "swiftbank_instance_slowness", Help: "How many times as long as usual requests take at a service's instances, by rank.", ConstLabels: labels,
	}, []string{"service", "rank"})
	m.speedChanges = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "swiftbank_instance_speed_changes_total", Help: "Changes of the class of an instance's believed speed.", ConstLabels: labels,
	})
	m.overdue = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "swiftbank_instance_overdue_total", Help: "Requests without a sign of life for longer than expected of their instance.", ConstLabels: labels,
	})
	m.Registry.MustRegister(m.speeds, m.speedChanges, m.overdue)
}

// setSpeeds sets the metrics of the fastest, the median and the slowest instance of each service.
// The speeds must be sorted by service, then from fast to slow.
func (m *Metrics) setSpeeds(speeds []backend.InstanceSpeed) {
	for len(speeds) > 0 {
		service, count := speeds[0].Service, 0
		for count < len(speeds) && speeds[count].Service == service {
			count++
		}
		m.speeds.WithLabelValues(service, "fastest").Set(speeds[0].Estimate.Slowdown())
		m.speeds.WithLabelValues(service, "median").Set(speeds[count/2].Estimate.Slowdown())
		m.speeds.WithLabelValues(service, "slowest").Set(speeds[count-1].Estimate.Slowdown())
		speeds = speeds[count:]
	}
}
