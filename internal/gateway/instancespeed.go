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
	// speedReportSpacing times the number of sources is the least time between two reports of speeds, so
	// that the traffic of one gateway does not grow with the fleet.
	speedReportSpacing = 4 * time.Millisecond
	// maxSpeedEntries bounds what one report tells of instances' speeds: 12 bytes each.
	maxSpeedEntries = 24
	// speedReviewInterval is how often the believed speeds are compared with those logged last.
	speedReviewInterval = time.Second
	// maxLoggedSpeedChanges bounds the lines that one comparison writes.
	maxLoggedSpeedChanges = 8
)

// placesByExpectedEnd reports whether the request goes where it is expected to end soonest: where
// load control decides about its service, and for plain services where it does so about the
// streams that they serve beside.
func (s *Server) placesByExpectedEnd(r *request) bool {
	if !s.options.InstanceSpeeds {
		return false
	}
	if r.service.Generates {
		return s.loadControlled(r)
	}
	return s.options.LoadControl || r.table.MostStreamAttempts() > 1
}

// speedSection tells other gateways what this one observed of instances' speeds. It sends nothing
// where no request is placed by its expected end.
type speedSection struct {
	directory *backend.Directory
	review    *speedReview
	// ownReportedAt and zoneReportedAt are when each kind of report last told of speeds.
	ownReportedAt, zoneReportedAt time.Time
}

// NewSpeedSection returns the section of the load reports for instances' speeds.
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

// report returns what is told, unless the last report that did so went out moments ago.
func (s *speedSection) report(now time.Time, wholeZone bool, reportedAt *time.Time) []byte {
	if now.Sub(*reportedAt) < time.Duration(s.directory.SpeedReporters())*speedReportSpacing {
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
	s.directory.TakeSpeeds(now, source, version, entries)
}

// speedReview logs instances whose believed speed changes its class. It is used by the goroutine
// that sends reports only.
type speedReview struct {
	log     *log.Logger
	metrics *Metrics
	reviewedAt      time.Time
	classes map[string]speedClass
}

func newSpeedReview(log *log.Logger, metrics *Metrics) *speedReview {
	return &speedReview{log: log, metrics: metrics, classes: map[string]speedClass{}}
}

// speedClass is a range of speeds in steps of a half: 0 is usual speed, 1 is slower by about 1.5.
type speedClass int

// classify returns the class of a belief. It stays what it was until the belief is well within
// another class.
func classify(slowness float64, previous speedClass) speedClass {
	const (
		step = 0.4 // about a factor of 1.5, as a logarithm
		hysteresis = 0.75
	)
	if math.Abs(slowness/step-float64(previous)) < hysteresis {
		return previous
	}
	return speedClass(math.Round(slowness / step))
}

func (v *speedReview) isDue(now time.Time) bool { return now.Sub(v.reviewedAt) >= speedReviewInterval }

// compare compares the believed speeds with those logged last.
func (v *speedReview) compare(now time.Time, speeds []backend.SpeedOf) {
	v.reviewedAt = now
	logged := 0
	classes := make(map[string]speedClass, len(speeds))
	for _, speed := range speeds {
		previous := v.classes[speed.Instance]
		class := classify(speed.Believed.Slower(), previous)
		if class != previous && logged < maxLoggedSpeedChanges {
			logged++
			v.logChange(speed, previous, class)
		} else {
			class = previous // a change that found no room is logged next time
		}
		classes[speed.Instance] = class
	}
	v.classes = classes
	v.metrics.setSpeeds(speeds)
}

func (v *speedReview) logChange(known backend.SpeedOf, before, class speedClass) {
	v.metrics.speedChanges.Inc()
	believed := known.Believed
	v.log.Info().Str("event", "instance_speed_changed").Str("instance", known.Instance).Str("service", known.Service).
		Int("class", int(class)).Int("class_before", int(before)).Float64("factor", believed.Factor()).
		Float64("stable", believed.Stable).Float64("momentary", believed.Momentary).Float64("failing", believed.Failing).
		Float64("refusing", believed.Refusing).Float64("observations", believed.Weight).Int("reporters", known.Reporters).Msg("")
}

// maxOverdueMultiple is how many times longer than a sign of life is expected within a request's silence is
// counted: first when that time is over, then each time that the silence has doubled.
const maxOverdueMultiple = 4.0

// watchOverdue counts a request against its instance at once while it stays without a sign of life
// for longer than expected there. The returned function ends that.
func (s *Server) watchOverdue(ctx context.Context, r *request, choice backend.Choice) (stop func()) {
	sign := s.directory.ExpectSign(time.Now(), choice, r.route.Kind == route.Streaming)
	if sign.Within == 0 {
		return func() {}
	}
	ctx, stop = context.WithCancel(ctx)
	time.AfterFunc(sign.Within, func() { s.overdue(ctx, choice, sign, 1) })
	return stop
}

// overdue counts a silence that is so many times as long as a sign of life is expected within.
func (s *Server) overdue(ctx context.Context, choice backend.Choice, sign backend.Sign, multiple float64) {
	if ctx.Err() != nil {
		return
	}
	s.metrics.overdue.Inc()
	s.directory.Overdue(time.Now(), choice, sign, multiple)
	if multiple < maxOverdueMultiple {
		time.AfterFunc(time.Duration(multiple)*sign.Within, func() { s.overdue(ctx, choice, sign, 2*multiple) })
	}
}

// registerSpeeds registers the metrics of instances' speeds.
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

// setSpeeds shows the fastest, the median and the slowest instance of each service.
func (m *Metrics) setSpeeds(speeds []backend.SpeedOf) {
	for len(speeds) > 0 {
		service, count := speeds[0].Service, 0
		for count < len(speeds) && speeds[count].Service == service {
			count++
		}
		m.speeds.WithLabelValues(service, "fastest").Set(speeds[0].Believed.Factor())
		m.speeds.WithLabelValues(service, "median").Set(speeds[count/2].Believed.Factor())
		m.speeds.WithLabelValues(service, "slowest").Set(speeds[count-1].Believed.Factor())
		speeds = speeds[count:]
	}
}
