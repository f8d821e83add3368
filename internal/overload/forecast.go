package overload

import (
	"math"
	"time"
)

// forecastHalfLife is the half-life of what polls taught: instances come and go within
// seconds, and waiting requests poll many times in one.
const forecastHalfLife = time.Second

// forecast estimates how likely one poll of a request finds a slot: the share of the polls
// of late that did. Before any poll it expects one slot in the time of a request.
type forecast struct {
	found, polls float64
	at           time.Time
}

// add counts polls and how many of them found a slot.
func (f *forecast) add(now time.Time, found, polls float64) {
	kept := f.kept(now)
	f.found = f.found*kept + found
	f.polls = f.polls*kept + polls
	f.at = now
}

// kept is the weight that the counts still have.
func (f *forecast) kept(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return math.Exp2(-max(0, now.Sub(f.at).Seconds()) / forecastHalfLife.Seconds())
}

// perPoll returns the chance of one poll.
func (f *forecast) perPoll(now time.Time, usual time.Duration) float64 {
	priorPolls := max(1, float64(usual)/float64(pollInterval))
	kept := f.kept(now)
	return (f.found*kept + 1) / (f.polls*kept + priorPolls)
}
