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

// Capacity returns what is believed of a service. Instances that could not be reached last
// time have no slots: they would hide that the others are full.
func (d *Directory) Capacity(now time.Time, service string) Capacity {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.paceOf(service)
	total := Capacity{Usual: known.duration.asTime(priorDuration), RecentFirst: known.recentFirst.asTime(0)}
	for _, listed := range d.byService[service] {
		if !listed.mayServe(now) || listed.failures > 0 {
			continue
		}
		slots := max(1, listed.instance.Slots)
		total.Slots += slots
		total.Busy += min(slots, listed.load(now))
	}
	return total
}
