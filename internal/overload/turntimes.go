package overload

import "time"

const (
	// timeSteps is into how many parts the slots of a service are divided, to tell how much
	// longer turns take the more of them are in use.
	timeSteps = 4
	// timeLeast is how many turns tell a mean, timeWindow over about how many it is taken at
	// one gateway.
	timeLeast  = 20
	timeWindow = 100
)

// turnTimes tells how long turns take by the share of their service's slots in use. What is
// believed of all slots is closer to the truth than what is believed of one instance. All
// fields are sums, so that those of several gateways can be added: together they know within
// a moment what each alone would take long to learn.
type turnTimes struct {
	// counts are turns, sums their times in seconds.
	counts, sums [timeSteps]float64
}

// observe adds a turn that ran while that many of the slots were in use. Old ones weigh less.
func (t *turnTimes) observe(busy, slots int, took time.Duration) {
	const kept = 1 - 1.0/timeWindow
	step := min(timeSteps-1, timeSteps*busy/max(1, slots))
	t.counts[step] = t.counts[step]*kept + 1
	t.sums[step] = t.sums[step]*kept + took.Seconds()
}

// plus returns the sums of two gateways.
func (t turnTimes) plus(other turnTimes) turnTimes {
	for step := range timeSteps {
		t.counts[step] += other.counts[step]
		t.sums[step] += other.sums[step]
	}
	return t
}

// shareWithin returns the share of the slots in use up to which turns take at most so much
// longer than on calm instances; 1 where that is not known, or was never exceeded.
func (t turnTimes) shareWithin(longer time.Duration) float64 {
	base, lastMean, lastShare := 0.0, 0.0, 0.0
	for step := range timeSteps {
		if t.counts[step] < timeLeast {
			continue
		}
		mean, share := t.sums[step]/t.counts[step], (float64(step)+0.5)/timeSteps
		switch {
		case base == 0 && step >= timeSteps/2:
			return 1
		case base == 0:
			base = mean
		case mean > base+longer.Seconds():
			// Between two parts the time grows evenly.
			return lastShare + (share-lastShare)*(base+longer.Seconds()-lastMean)/(mean-lastMean)
		}
		lastMean, lastShare = max(lastMean, mean), share
	}
	return 1
}
