package backend

import (
	"math"
	"time"

	"swiftbank.dev/swiftbank/internal/instancespeed"
)

// maxFailureRate caps the estimated failure rate of an instance, so that it is tried again.
const maxFailureRate = 0.9

// expectedCompletion predicts how long a request takes at an instance, in milliseconds, including
// the time by which reading its prompt delays the running requests. It handles instances of unequal
// speed: at low load fast ones get all requests, under load their share grows with their speed. All
// times are scaled by the instance's own speed, so a queue at a slow instance counts as longer. The
// caller must hold the lock.
func (d *Directory) expectedCompletion(now time.Time, candidate *member, load float64, uncached int, demand Demand) float64 {
	slots := max(1, candidate.instance.Slots)
	base, growth := d.baselineTimes(demand.Service, slots)
	estimate := d.speeds.Estimate(now, candidate.key)
	running := min(load, float64(slots))
	waiting := max(0, load-float64(slots)+1)
	reading := float64(uncached) * d.serviceSpeedOf(demand.Service).tokenMS()
	own := base + growth*running + (1+running)*reading
	queue := waiting * (base + growth*float64(slots)) / float64(slots)
	successRate := 1 - min(maxFailureRate, estimate.FailureRate)
	return estimate.Slowdown()*(own+queue)/successRate + estimate.RefusalRate*milliseconds(fullBackoff)
}

// sharedSlowdown returns the factor by which requests take longer than usual at an instance
// according to the observations of all gateways, or 1 if the difference may be noise. With it all
// gateways avoid an instance at once when it becomes slow, even where instances are homogeneous.
// The caller must hold the lock.
func (d *Directory) sharedSlowdown(now time.Time, candidate *member) float64 {
	view := d.speeds.Estimate(now, candidate.key)
	if view.LogSlowdown() < minLogSlowdown {
		return 1
	}
	return view.Slowdown()
}

// baselineTimes returns the duration of a request on an otherwise idle instance of usual speed, and
// the increase for each concurrent request, in milliseconds. The caller must hold the lock.
func (d *Directory) baselineTimes(service string, slots int) (base, growth float64) {
	if base, growth, ok := d.modelOf(service).ServiceTime(slots); ok {
		return base, growth
	}
	duration := d.serviceSpeedOf(service).durationMS()
	return duration, duration / float64(slots)
}

// modelOf returns the model of a service's request times, which excludes the speed of single
// instances. The caller must hold the lock.
func (d *Directory) modelOf(service string) *instancespeed.Model {
	model := d.models[service]
	if model == nil {
		model = instancespeed.NewModel()
		d.models[service] = model
	}
	return model
}

// expectedLoadBySpeed returns the expected number of requests at an instance. It works like
// expectedLoad, but assumes that finished requests are replaced in proportion to the instance's
// speed, because fast instances get more requests than slow ones. This keeps a request at the
// instance that holds its prompt when another one only seems idle by its last report. The caller
// must hold the lock.
func (d *Directory) expectedLoadBySpeed(now time.Time, candidate *member) float64 {
	service := candidate.instance.Service
	trusted := d.intervals.fractionRunning(d.serviceSpeedOf(service).durationMS())
	share := d.stableSpeed(now, candidate) / d.spreadOf(now, service).mean
	usual := d.remotePerSlot(now, service) * float64(max(1, candidate.instance.Slots)) * share
	own := float64(candidate.inFlight + candidate.heldFailures(now))
	return own + trusted*float64(candidate.remoteInFlight) + (1-trusted)*usual
}

// stableSpeed returns an instance's long-term speed relative to the usual one. The caller must hold
// the lock.
func (d *Directory) stableSpeed(now time.Time, m *member) float64 {
	return math.Exp(-d.speeds.Estimate(now, m.key).Stable)
}

const (
	// spreadCacheTTL is how long the spread of a service's instance speeds is cached: stable speeds
	// change over half a minute, and a scan of 10,000 instances takes a millisecond.
	spreadCacheTTL = time.Second
	// homogeneousBelow is the standard deviation of the log speeds below which a service's
	// instances count as homogeneous, once there are minHomogeneousWeight observations per instance
	// on average. They stop counting as homogeneous above homogeneousUntil (hysteresis). Smaller
	// deviations are within the variation of single requests.
	homogeneousBelow     = 0.15
	homogeneousUntil     = 0.2
	minHomogeneousWeight = 20
)

// speedSpread is how much the stable speeds of a service's instances differ, computed at a given
// time.
type speedSpread struct {
	at time.Time
	// mean is the mean speed, weighted by slots.
	mean        float64
	homogeneous bool
}

// spreadOf returns how much the stable speeds of a service's instances differ. The caller must hold
// the lock.
func (d *Directory) spreadOf(now time.Time, service string) speedSpread {
	spread := d.spreads[service]
	if age := now.Sub(spread.at); spread.mean > 0 && age >= 0 && age < spreadCacheTTL {
		return spread
	}
	speeds, slots, logs, squares, observed := 0.0, 0.0, 0.0, 0.0, 0.0
	count := float64(max(1, len(d.byService[service])))
	for _, listed := range d.byService[service] {
		weight := float64(max(1, listed.instance.Slots))
		view := d.speeds.Estimate(now, listed.key)
		speeds, slots = speeds+weight*math.Exp(-view.Stable), slots+weight
		logs, squares = logs+view.Stable/count, squares+view.Stable*view.Stable/count
		observed += view.Weight / count
	}
	deviation := math.Sqrt(max(0, squares-logs*logs))
	homogeneous := observed >= minHomogeneousWeight && deviation < homogeneousBelow || spread.homogeneous && deviation < homogeneousUntil
	spread = speedSpread{at: now, mean: speeds / max(1, slots), homogeneous: homogeneous}
	d.spreads[service] = spread
	return spread
}
