package overload

import (
	"math"
	"time"
)

// forecastHalfLife is the half-life of poll results: instances come and go within seconds, and
// waiting requests poll many times per second.
const forecastHalfLife = time.Second

// forecast estimates the probability that one poll finds a slot, as the success rate of recent
// polls. Its prior is one slot per usual duration of a request.
type forecast struct {
	successes, polls float64
	updatedAt        time.Time
}

// add records polls and how many of them found a slot.
func (f *forecast) add(now time.Time, successes, polls float64) {
	weight := f.weight(now)
	f.successes = f.successes*weight + successes
	f.polls = f.polls*weight + polls
	f.updatedAt = now
}

// weight returns the remaining weight of the recorded polls.
func (f *forecast) weight(now time.Time) float64 {
	if f.updatedAt.IsZero() {
		return 0
	}
	return math.Exp2(-max(0, now.Sub(f.updatedAt).Seconds()) / forecastHalfLife.Seconds())
}

// pollProbability returns the probability that one poll finds a slot.
func (f *forecast) pollProbability(now time.Time, usual time.Duration) float64 {
	priorPolls := max(1, float64(usual)/float64(pollInterval))
	weight := f.weight(now)
	return (f.successes*weight + 1) / (f.polls*weight + priorPolls)
}
