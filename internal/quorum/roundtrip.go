package quorum

import "time"

const (
	// minTimeout and maxTimeout bound the time after which a replica's reply counts as late;
	// initialTimeout applies before the first reply.
	minTimeout     = 25 * time.Millisecond
	maxTimeout     = 250 * time.Millisecond
	initialTimeout = 100 * time.Millisecond
	// maxTimeoutMeanFactor times the mean replaces maxTimeout if it is longer, up to
	// maxSlowTimeout, which leaves a turn's reservation enough time to use a relay. A bound below
	// the mean would send every request through a relay as well, and load a saturated link further.
	maxTimeoutMeanFactor = 2
	maxSlowTimeout       = 600 * time.Millisecond
	// The gains and the deviation factor are those of RFC 6298, section 2.
	meanGain        = 0.125
	deviationGain   = 0.25
	deviationFactor = 4
)

// roundTripEstimator estimates a replica's response time, as TCP does for its retransmission timer.
// It does not read the clock.
type roundTripEstimator struct {
	mean, deviation time.Duration
	hasSample       bool
}

// observe adds the response time of one request.
func (r *roundTripEstimator) observe(sample time.Duration) {
	if !r.hasSample {
		r.mean, r.deviation, r.hasSample = sample, sample/2, true
		return
	}
	difference := (sample - r.mean).Abs()
	r.deviation += time.Duration(deviationGain * float64(difference-r.deviation))
	r.mean += time.Duration(meanGain * float64(sample-r.mean))
}

// timeout returns how long a reply may take before the request is also sent through a relay.
func (r *roundTripEstimator) timeout() time.Duration {
	if !r.hasSample {
		return initialTimeout
	}
	upperBound := min(maxSlowTimeout, max(maxTimeout, maxTimeoutMeanFactor*r.mean))
	return min(upperBound, max(minTimeout, r.mean+deviationFactor*r.deviation))
}
