package admission

import (
	"maps"
	"math"
	"time"
)

// recalled is what gateways learned before this one started.
type recalled struct {
	figures map[Key]float64
	// at is as of when the figures are.
	at time.Time
}

// Snapshot returns what the gateways of the own zone learned, without what holds for this moment
// only, such as the programs under way: what a gateway that starts later can go on with.
func (c *Controller) Snapshot(now time.Time) map[Key]float64 {
	figures := c.recalled.fadedTo(now)
	kinds := map[group]*sums{}
	for key, value := range c.ZoneFigures(now) {
		if key.group.isService() {
			figures[key] += value
		} else {
			addTo(kinds, key, value)
		}
	}
	for name, known := range kinds {
		known.endUnderWay()
		for place, value := range known {
			if value > 0 {
				figures[Key{group: name, place: uint8(place)}] += value
			}
		}
	}
	return figures
}

// Restore takes what Lasting returned at a gateway of the own zone so long ago. It counts beside what
// is learned from now on, and is not told to others: they recall it themselves.
func (c *Controller) Restore(now time.Time, lasting map[Key]float64, age time.Duration) {
	c.recalled = recalled{figures: limited(lasting), at: now.Add(-age)}
}

// Restored reports whether anything was recalled.
func (c *Controller) Restored() bool { return len(c.recalled.figures) > 0 }

// fadedTo returns the figures as of now. Those that fade with what is added to them stay.
func (r recalled) fadedTo(now time.Time) map[Key]float64 {
	faded := make(map[Key]float64, len(r.figures))
	remembered := math.Exp2(-now.Sub(r.at).Seconds() / learningHalfLife.Seconds())
	for key, value := range r.figures {
		if !key.group.isService() && figure(key.place) < phased {
			value *= remembered
		}
		faded[key] = value
	}
	return faded
}

// limited returns figures that fade with what is added to them, not with time, with the weight
// that tells just enough: what is learned anew outweighs it soon.
func limited(figures map[Key]float64) map[Key]float64 {
	limited := maps.Clone(figures)
	for key, value := range figures {
		if counted, least, counts := key.countedBy(); counts && figures[counted] > least {
			limited[key] = value * least / figures[counted]
		}
	}
	return limited
}

// countedBy returns which figure counts what a sum is made of, and how much of it tells something;
// ok is false for what fades with time.
func (k Key) countedBy() (counted Key, least float64, ok bool) {
	switch {
	case k.group.isService():
		return Key{group: k.group, place: k.place % shareSteps}, leastRequests, true
	case phased <= figure(k.place) && figure(k.place) <= calmMS:
		return Key{group: k.group, place: uint8(phased)}, leastAged, true
	default:
		return Key{}, 0, false
	}
}

// endUnderWay leaves out the programs under way, whose later turns are still to come.
func (s *sums) endUnderWay() {
	turns := s[begun] + s[later]
	s[begun] = s.complete()
	if turns > 0 {
		ended := (s[begun] + s[later]) / turns
		s[turnMS] *= ended
		s[turnSquares] *= ended
	}
	for each := asked; each < kindFigures; each++ {
		s[each] = 0
	}
}
