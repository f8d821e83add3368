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
	// speedPause times the number of sources is the least time between two reports of speeds, so
	// that the traffic of one gateway does not grow with the fleet.
	speedPause = 4 * time.Millisecond
	// speedEntries bounds what one report tells of instances' speeds: 12 bytes each.
	speedEntries = 24
	// speedReviewInterval is how often the believed speeds are compared with those logged last.
	speedReviewInterval = time.Second
	// mostSpeedChanges bounds the lines that one comparison writes.
	mostSpeedChanges = 8
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
	return s.options.LoadControl || r.table.MaxStreamAttempts() > 1
}

// speedSection tells other gateways what this one observed of instances' speeds. It sends nothing
// where no request is placed by its expected end.
type speedSection struct {
	directory *backend.Directory
	review    *speedReview
	// ownAt and zoneAt are when each kind of report last told of speeds.
	ownAt, zoneAt time.Time
}

// NewSpeedSection returns the section of the load reports for instances' speeds.
func NewSpeedSection(directory *backend.Directory, log *log.Logger, metrics *Metrics) reportSection {
	return &speedSection{directory: directory, review: newSpeedReview(log, metrics)}
}

func (s *speedSection) name() string { return "speeds" }

func (s *speedSection) own(now time.Time) []byte {
	if s.review.isDue(now) {
		s.review.look(now, s.directory.Speeds(now))
	}
	return s.report(now, false, &s.ownAt)
}

func (s *speedSection) zone(now time.Time) []byte {
	return s.report(now, true, &s.zoneAt)
}

// report returns what is told, unless the last report that did so went out moments ago.
func (s *speedSection) report(now time.Time, wholeZone bool, told *time.Time) []byte {
	if now.Sub(*told) < time.Duration(s.directory.SpeedSources())*speedPause {
		return nil
	}
	*told = now
	return instancespeed.Encode(s.directory.SpeedReport(now, wholeZone, speedEntries))
}

func (s *speedSection) take(now time.Time, source tally.Source, version tally.Version, figures []byte) {
	entries, err := instancespeed.Decode(figures)
	if err != nil {
		s.review.log.Warn().Str("event", "report_unreadable").Str("section", s.name()).Str("gateway", source.Gateway).
			Str("zone", source.Zone).Err(err).Msg("")
		return
	}
	s.directory.ApplySpeedReport(now, source, version, entries)
}

// speedReview logs instances whose believed speed changes its class. It is used by the goroutine
// that sends reports only.
type speedReview struct {
	log     *log.Logger
	metrics *Metrics
	at      time.Time
	classes map[string]speedClass
}

func newSpeedReview(log *log.Logger, metrics *Metrics) *speedReview {
	return &speedReview{log: log, metrics: metrics, classes: map[string]speedClass{}}
}

// speedClass is a range of speeds in steps of a half: 0 is usual speed, 1 is slower by about 1.5.
type speedClass int

// classOf returns the class of a belief. It stays what it was until the belief is well within
// another class.
func classOf(slower float64, before speedClass) speedClass {
	const (
		step = 0.4 // about a factor of 1.5, as a logarithm
		stay = 0.75
	)
	if math.Abs(slower/step-float64(before)) < stay {
		return before
	}
	return speedClass(math.Round(slower / step))
}

func (v *speedReview) isDue(now time.Time) bool { return now.Sub(v.at) >= speedReviewInterval }

// look compares the believed speeds with those logged last.
func (v *speedReview) look(now time.Time, speeds []backend.InstanceSpeed) {
	v.at = now
	logged := 0
	classes := make(map[string]speedClass, len(speeds))
	for _, known := range speeds {
		before := v.classes[known.Instance]
		class := classOf(known.Estimate.LogSlowdown(), before)
		if class != before && logged < mostSpeedChanges {
			logged++
			v.logChange(known, before, class)
		} else {
			class = before // a change that found no room is logged next time
		}
		classes[known.Instance] = class
	}
	v.classes = classes
	v.metrics.showSpeeds(speeds)
}

func (v *speedReview) logChange(known backend.InstanceSpeed, before, class speedClass) {
	v.metrics.speedChanges.Inc()
	believed := known.Estimate
	v.log.Info().Str("event", "instance_speed_changed").Str("instance", known.Instance).Str("service", known.Service).
		Int("class", int(class)).Int("class_before", int(before)).Float64("factor", believed.Slowdown()).
		Float64("stable", believed.Stable).Float64("momentary", believed.Transient).Float64("failing", believed.FailureRate).
		Float64("refusing", believed.RefusalRate).Float64("observations", believed.Weight).Int("reporters", known.Sources).Msg("")
}

// mostOverdue is how many times longer than a sign of life is expected within a request's silence is
// counted: first when that time is over, then each time that the silence has doubled.
const mostOverdue = 4.0

// watchOverdue counts a request against its instance at once while it stays without a sign of life
// for longer than expected there. The returned function ends that.
func (s *Server) watchOverdue(ctx context.Context, r *request, choice backend.Choice) (stop func()) {
	sign := s.directory.ExpectResponse(time.Now(), choice, r.route.Kind == route.Streaming)
	if sign.OverdueAfter == 0 {
		return func() {}
	}
	ctx, stop = context.WithCancel(ctx)
	time.AfterFunc(sign.OverdueAfter, func() { s.overdue(ctx, choice, sign, 1) })
	return stop
}

// overdue counts a silence that is so many times as long as a sign of life is expected within.
func (s *Server) overdue(ctx context.Context, choice backend.Choice, sign backend.ResponseExpectation, times float64) {
	if ctx.Err() != nil {
		return
	}
	s.metrics.overdue.Inc()
	s.directory.ObserveOverdue(time.Now(), choice, sign, times)
	if times < mostOverdue {
		time.AfterFunc(time.Duration(times)*sign.OverdueAfter, func() { s.overdue(ctx, choice, sign, 2*times) })
	}
}

// addSpeeds registers the metrics of instances' speeds.
func (m *Metrics) addSpeeds(labels prometheus.Labels) {
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

// showSpeeds shows the fastest, the median and the slowest instance of each service.
func (m *Metrics) showSpeeds(speeds []backend.InstanceSpeed) {
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
