package backend

import (
	"math"
	"time"

	"swiftbank.dev/swiftbank/internal/instancespeed"
)

// mostFailing bounds the share of requests that an instance is believed to fail: it has to be tried
// again.
const mostFailing = 0.9

// expectedEnd predicts how long a request takes at an instance, in milliseconds, with the reading by
// which it delays the requests that are there. It answers loads on instances of unequal
// speed: fast ones get all requests while they are calm, and as many more than slow ones under
// load as they work faster. Each time is the instance's own: what waits at a slow instance waits
// longer. The caller holds the lock.
func (d *Directory) expectedEnd(now time.Time, candidate *member, load float64, missing int, demand Demand) float64 {
	slots := max(1, candidate.instance.Slots)
	base, growth := d.usualTimes(demand.Service, slots)
	view := d.speeds.View(now, candidate.key)
	running := min(load, float64(slots))
	waiting := max(0, load-float64(slots)+1)
	reading := float64(missing) * d.paceOf(demand.Service).readingMS()
	own := base + growth*running + (1+running)*reading
	queue := waiting * (base + growth*float64(slots)) / float64(slots)
	lost := 1 - min(mostFailing, view.Failing)
	return view.Factor()*(own+queue)/lost + view.Refusing*milliseconds(fullPause)
}

// usualTimes returns how long a request takes on an instance of usual speed without others, and by
// how much longer for each one there, in milliseconds. The caller holds the lock.
func (d *Directory) usualTimes(service string, slots int) (base, growth float64) {
	if base, growth, ok := d.modelOf(service).Times(slots); ok {
		return base, growth
	}
	duration := d.paceOf(service).durationMS()
	return duration, duration / float64(slots)
}

// modelOf returns what is known of a service apart from its instances' speeds. The caller holds
// the lock.
func (d *Directory) modelOf(service string) *instancespeed.Model {
	known := d.models[service]
	if known == nil {
		known = instancespeed.NewModel()
		d.models[service] = known
	}
	return known
}

// loadBySpeed returns how many requests to expect at an instance: as expectedLoad does, but of what
// is over as many are expected again as its speed draws, for fast instances have more than slow
// ones. A prompt is not left for an instance that only its last report lets seem empty. The caller
// holds the lock.
func (d *Directory) loadBySpeed(now time.Time, candidate *member) float64 {
	service := candidate.instance.Service
	trusted := d.intervals.stillRunning(d.paceOf(service).durationMS())
	share := d.stableSpeed(now, candidate) / d.meanSpeed(now, service)
	usual := d.remotePerSlot(now, service) * float64(max(1, candidate.instance.Slots)) * share
	own := float64(candidate.inFlight + candidate.heldFailures(now))
	return own + trusted*float64(candidate.remote) + (1-trusted)*usual
}

// stableSpeed returns how many times as fast as usual an instance works. The caller holds the lock.
func (d *Directory) stableSpeed(now time.Time, known *member) float64 {
	return math.Exp(-d.speeds.View(now, known.key).Stable)
}

// meanSpeedLife is how long a mean of all instances' speeds is used again: stable speeds change
// over half a minute, and a mean over 10,000 instances takes a millisecond.
const meanSpeedLife = time.Second

// speedMean is the mean speed of a service's instances by their slots, as it was at a time.
type speedMean struct {
	value float64
	at    time.Time
}

// meanSpeed returns the mean of a service's stable speeds. The caller holds the lock.
func (d *Directory) meanSpeed(now time.Time, service string) float64 {
	known := d.meanSpeeds[service]
	if age := now.Sub(known.at); known.value > 0 && age >= 0 && age < meanSpeedLife {
		return known.value
	}
	sum, slots := 0.0, 0.0
	for _, listed := range d.byService[service] {
		weight := float64(max(1, listed.instance.Slots))
		sum += weight * d.stableSpeed(now, listed)
		slots += weight
	}
	known = speedMean{value: sum / max(1, slots), at: now}
	d.meanSpeeds[service] = known
	return known.value
}
