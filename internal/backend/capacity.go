package backend

import "time"

// Capacity is what is believed of all instances of a service that may get new work.
type Capacity struct {
	// Slots is how many requests they work on at once, Busy how many of these are in use.
	Slots, Busy int
	// Usual is how long a request takes, RecentFirst how long the last few streams waited for
	// their first event; zero before one came.
	Usual, RecentFirst time.Duration
}

const (
	// capacityLife is how long a sum over a large service's instances is used again: as long as
	// the loads of other gateways are old in any case. Summing takes 22 ns an instance, and is
	// asked for with each new program and each poll of a request that waits.
	capacityLife = 50 * time.Millisecond
	// summedAlways is up to how many instances the sum is made each time: it costs less there
	// than a placement does.
	summedAlways = 256
)

// capacitySum is a sum over a service's instances.
type capacitySum struct {
	slots, busy int
	at          time.Time
	// own is how many requests of this gateway were in flight at that time.
	own int
}

// Capacity returns what is believed of a service. Instances that could not be reached last
// time have no slots: they would hide that the others are full.
func (d *Directory) Capacity(now time.Time, service string) Capacity {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.paceOf(service)
	slots, busy := d.slotsOf(now, service)
	return Capacity{
		Slots: slots, Busy: busy,
		Usual: known.duration.asTime(priorDuration), RecentFirst: known.recentFirst.asTime(0),
	}
}

// slotsOf returns the slots of a service's instances and how many of them are in use. The caller
// holds the lock.
func (d *Directory) slotsOf(now time.Time, service string) (slots, busy int) {
	sum := d.sums[service]
	if age := now.Sub(sum.at); len(d.byService[service]) <= summedAlways || age < 0 || age >= capacityLife {
		sum = d.sum(now, service)
		d.sums[service] = sum
	}
	return sum.slots, min(sum.slots, max(0, sum.busy+d.inFlight[service]-sum.own))
}

// sum looks at all instances of a service. The caller holds the lock.
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
