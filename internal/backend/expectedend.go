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
	view := d.speeds.Estimate(now, candidate.key)
	running := min(load, float64(slots))
	waiting := max(0, load-float64(slots)+1)
	reading := float64(missing) * d.paceOf(demand.Service).readingMS()
	own := base + growth*running + (1+running)*reading
	queue := waiting * (base + growth*float64(slots)) / float64(slots)
	lost := 1 - min(mostFailing, view.FailureRate)
	return view.Slowdown()*(own+queue)/lost + view.RefusalRate*milliseconds(fullPause)
}

// toldSlowness returns how many times longer than usual a request takes at an instance by what all
// gateways observed, 1 within what chance explains: an instance that is slow for a moment is avoided
// by all at once, also where instances are alike. The caller holds the lock.
func (d *Directory) toldSlowness(now time.Time, candidate *member) float64 {
	view := d.speeds.Estimate(now, candidate.key)
	if view.LogSlowdown() < slowLeast {
		return 1
	}
	return view.Slowdown()
}

// usualTimes returns how long a request takes on an instance of usual speed without others, and by
// how much longer for each one there, in milliseconds. The caller holds the lock.
func (d *Directory) usualTimes(service string, slots int) (base, growth float64) {
	if base, growth, ok := d.modelOf(service).ServiceTime(slots); ok {
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
	share := d.stableSpeed(now, candidate) / d.spreadOf(now, service).mean
	usual := d.remotePerSlot(now, service) * float64(max(1, candidate.instance.Slots)) * share
	own := float64(candidate.inFlight + candidate.heldFailures(now))
	return own + trusted*float64(candidate.remote) + (1-trusted)*usual
}

// stableSpeed returns how many times as fast as usual an instance works. The caller holds the lock.
func (d *Directory) stableSpeed(now time.Time, known *member) float64 {
	return math.Exp(-d.speeds.Estimate(now, known.key).Stable)
}

const (
	// speedsLife is how long the spread of all instances' speeds is used again: stable speeds change
	// over half a minute, and a look at 10,000 instances takes a millisecond.
	speedsLife = time.Second
	// alikeBelow is the standard deviation of the speeds, as logarithms, below which a service's
	// instances count as alike, once alikeWeight observations of each are known on average; they do
	// so until it is above alikeUntil. Less is within what single requests differ by.
	alikeBelow  = 0.15
	alikeUntil  = 0.2
	alikeWeight = 20
)

// speedSpread is how far the stable speeds of a service's instances lie apart, as it was at a time.
type speedSpread struct {
	at time.Time
	// mean is the mean speed by slots.
	mean  float64
	alike bool
}

// spreadOf returns how far a service's stable speeds lie apart. The caller holds the lock.
func (d *Directory) spreadOf(now time.Time, service string) speedSpread {
	known := d.spreads[service]
	if age := now.Sub(known.at); known.mean > 0 && age >= 0 && age < speedsLife {
		return known
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
	alike := observed >= alikeWeight && deviation < alikeBelow || known.alike && deviation < alikeUntil
	known = speedSpread{at: now, mean: speeds / max(1, slots), alike: alike}
	d.spreads[service] = known
	return known
}
