package backend

import "time"

// Capacity is what is believed of all instances of a service that may get new work.
type Capacity struct {
	// Slots is how many requests they work on at once, Busy how many of these are in use.
	Slots, Busy int
	// Usual is how long a request takes.
	Usual time.Duration
}

// Capacity returns what is believed of a service. Instances that could not be reached last
// time have no slots: they would hide that the others are full.
func (d *Directory) Capacity(now time.Time, service string) Capacity {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := Capacity{Usual: d.paceOf(service).duration.asTime(priorDuration)}
	for _, known := range d.byService[service] {
		if !known.mayServe(now) || known.failures > 0 {
			continue
		}
		slots := max(1, known.instance.Slots)
		total.Slots += slots
		total.Busy += min(slots, known.load(now))
	}
	return total
}
