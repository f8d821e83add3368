package quorum

import "time"

const (
	// timeoutLeast and timeoutMost bound how long an answer of a replica is awaited
	// before it counts as late; timeoutUnknown holds before the first answer.
	timeoutLeast   = 25 * time.Millisecond
	timeoutMost    = 250 * time.Millisecond
	timeoutUnknown = 100 * time.Millisecond
	// timeoutMeans times the mean replaces timeoutMost where that is longer, up to timeoutSlow,
	// which leaves a turn's reservation time for a relay. A bound below the mean would send each
	// request through a relay as well, and load a link further that is slow because it is full.
	timeoutMeans = 2
	timeoutSlow  = 600 * time.Millisecond
	// The gains and the factor of the deviation are those of RFC 6298, section 2.
	meanGain        = 0.125
	deviationGain   = 0.25
	deviationFactor = 4
)

// roundTrip estimates how long a replica's answer takes, as TCP does for its
// retransmission timer. It is a pure value without a clock.
type roundTrip struct {
	mean, deviation time.Duration
	known           bool
}

// observe adds the time of one answer.
func (r *roundTrip) observe(took time.Duration) {
	if !r.known {
		r.mean, r.deviation, r.known = took, took/2, true
		return
	}
	off := (took - r.mean).Abs()
	r.deviation += time.Duration(deviationGain * float64(off-r.deviation))
	r.mean += time.Duration(meanGain * float64(took-r.mean))
}

// timeout is how long an answer may take before the request is also sent through a relay.
func (r *roundTrip) timeout() time.Duration {
	if !r.known {
		return timeoutUnknown
	}
	most := min(timeoutSlow, max(timeoutMost, timeoutMeans*r.mean))
	return min(most, max(timeoutLeast, r.mean+deviationFactor*r.deviation))
}
