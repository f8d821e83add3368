package backend

import "time"

// Capacity is the estimated capacity of all instances of a service that may get new requests.
type Capacity struct {
	// Slots is the number of requests that the instances run concurrently, Busy the number of slots
	// in use.
	Slots, Busy int
	// Usual is the mean duration of a request. RecentFirst is the mean time to the first event of
	// the last few streams; zero before the first stream.
	Usual, RecentFirst time.Duration
}

const (
	// capacityCacheTTL is how long the sum over a large service's instances is cached. The load
	// reports of other gateways are at least that old anyway. Summing takes 22 ns per instance and
	// is requested for each new program and each poll of a waiting request.
	capacityCacheTTL = 50 * time.Millisecond
	// exactCapacityLimit is the number of instances up to which the sum is not cached: summing
	// costs less than a placement there.
	exactCapacityLimit = 256
)

// capacitySum is the cached sum over a service's instances.
type capacitySum struct {
	slots, busy int
	at          time.Time
	// own is the number of this gateway's requests in flight when the sum was computed.
	own int
}

// Capacity returns the estimated capacity of a service. Instances whose last connection attempt
// failed contribute no slots: they would hide that the others are full.
func (d *Directory) Capacity(now time.Time, service string) Capacity {
	d.mu.Lock()
	defer d.mu.Unlock()
	speed := d.serviceSpeedOf(service)
	slots, busy := d.slotsOf(now, service)
	return Capacity{
		Slots: slots, Busy: busy,
		Usual: speed.duration.durationOr(priorDurationMS), RecentFirst: speed.recentFirstEvent.durationOr(0),
	}
}

// slotsOf returns the slots of a service's instances and how many of them are in use. The caller
// must hold the lock.
func (d *Directory) slotsOf(now time.Time, service string) (slots, busy int) {
	sum := d.sums[service]
	if age := now.Sub(sum.at); len(d.byService[service]) <= exactCapacityLimit || age < 0 || age >= capacityCacheTTL {
		sum = d.sum(now, service)
		d.sums[service] = sum
	}
	return sum.slots, min(sum.slots, max(0, sum.busy+d.inFlight[service]-sum.own))
}

// sum scans all instances of a service. The caller must hold the lock.
func (d *Directory) sum(now time.Time, service string) capacitySum {
	total := capacitySum{at: now, own: d.inFlight[service]}
	for _, listed := range d.byService[service] {
		if !listed.mayServe(now) || listed.failures > 0 {
			continue
		}
		slots := max(1, listed.instance.Slots)
		total.slots += slots
		total.busy += min(slots, listed.load(now))
	}
	return total
}
