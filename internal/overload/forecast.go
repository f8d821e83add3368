package overload

import (
	"math"
	"time"
)

// forecastHalfLife is how fast what looks taught fades: instances come and go within
// seconds, and waiting requests look many times in one.
const forecastHalfLife = time.Second

// forecast estimates how likely one look of a request finds a slot: the share of the looks
// of late that did. Before any look it expects one slot in the time of a request.
type forecast struct {
	found, looks float64
	at           time.Time
}

// add counts looks and how many of them found a slot.
func (f *forecast) add(now time.Time, found, looks float64) {
	kept := f.kept(now)
	f.found = f.found*kept + found
	f.looks = f.looks*kept + looks
	f.at = now
}

// kept is the weight that the counts still have.
func (f *forecast) kept(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return math.Exp2(-max(0, now.Sub(f.at).Seconds()) / forecastHalfLife.Seconds())
}

// perLook returns the chance of one look.
func (f *forecast) perLook(now time.Time, usual time.Duration) float64 {
	priorLooks := max(1, float64(usual)/float64(leastPause))
	kept := f.kept(now)
	return (f.found*kept + 1) / (f.looks*kept + priorLooks)
}
