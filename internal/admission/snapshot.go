package admission

import (
	"maps"
	"math"
	"time"
)

// restoredFigures holds the figures of a snapshot from before this gateway started.
type restoredFigures struct {
	figures map[Key]float64
	// at is the time of the snapshot.
	at time.Time
}

// Snapshot returns the figures that outlive a restart, summed over the gateways of this gateway's
// zone. It leaves out transient state such as active programs.
func (c *Controller) Snapshot(now time.Time) map[Key]float64 {
	figures := c.restored.decayedTo(now)
	kinds := map[group]*sums{}
	for key, value := range c.ZoneFigures(now) {
		if key.group.isService() {
			figures[key] += value
		} else {
			addFigure(kinds, key, value)
		}
	}
	for name, total := range kinds {
		total.dropActive()
		for index, value := range total {
			if value > 0 {
				figures[Key{group: name, index: uint8(index)}] += value
			}
		}
	}
	return figures
}

// Restore loads a snapshot that a gateway of this gateway's zone took the given time ago. Its
// figures count in addition to new observations. They are not reported to other gateways, which
// restore the snapshot themselves.
func (c *Controller) Restore(now time.Time, snapshot map[Key]float64, age time.Duration) {
	c.restored = restoredFigures{figures: limitWeights(snapshot), at: now.Add(-age)}
}

// Restored reports whether a snapshot has been restored.
func (c *Controller) Restored() bool { return len(c.restored.figures) > 0 }

// decayedTo returns the figures decayed to now. Figures that decay with each new sample are
// unchanged.
func (r restoredFigures) decayedTo(now time.Time) map[Key]float64 {
	decayed := make(map[Key]float64, len(r.figures))
	remaining := math.Exp2(-now.Sub(r.at).Seconds() / learningHalfLife.Seconds())
	for key, value := range r.figures {
		if !key.group.isService() && figure(key.index) < phasedTurns {
			value *= remaining
		}
		decayed[key] = value
	}
	return decayed
}

// limitWeights limits the weight of figures that decay with each new sample to the minimum number
// of samples that is needed to use them, so that new samples soon outweigh them.
func limitWeights(figures map[Key]float64) map[Key]float64 {
	result := maps.Clone(figures)
	for key, value := range figures {
		if countKey, minCount, weighted := key.weightCount(); weighted && figures[countKey] > minCount {
			result[key] = value * minCount / figures[countKey]
		}
	}
	return result
}

// weightCount returns the key of the figure that counts the samples of k, and the number of samples
// needed to use it; ok is false for figures that decay with time.
func (k Key) weightCount() (countKey Key, minCount float64, ok bool) {
	switch {
	case k.group.isService():
		return Key{group: k.group, index: k.index % utilizationSteps}, minSamples, true
	case phasedTurns <= figure(k.index) && figure(k.index) <= unloadedMS:
		return Key{group: k.group, index: uint8(phasedTurns)}, minAgedTurns, true
	default:
		return Key{}, 0, false
	}
}

// dropActive removes the active programs, whose later turns are outstanding.
func (s *sums) dropActive() {
	turns := s[startedPrograms] + s[laterTurns]
	s[startedPrograms] = s.completed()
	if turns > 0 {
		completed := (s[startedPrograms] + s[laterTurns]) / turns
		s[slotTimeMS] *= completed
		s[slotTimeSquares] *= completed
	}
	for index := arrivalRate; index < figureCount; index++ {
		s[index] = 0
	}
}
