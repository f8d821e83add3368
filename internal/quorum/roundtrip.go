package quorum

import "time"

const (
	// patienceLeast and patienceMost bound how long an answer of a replica is awaited
	// before its silence counts; patienceUnknown holds before the first answer.
	patienceLeast   = 25 * time.Millisecond
	patienceMost    = 250 * time.Millisecond
	patienceUnknown = 100 * time.Millisecond
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

// observe takes in the time of one answer.
func (r *roundTrip) observe(took time.Duration) {
	if !r.known {
		r.mean, r.deviation, r.known = took, took/2, true
		return
	}
	off := (took - r.mean).Abs()
	r.deviation += time.Duration(deviationGain * float64(off-r.deviation))
	r.mean += time.Duration(meanGain * float64(took-r.mean))
}

// patience is how long an answer may take before silence means something.
func (r *roundTrip) patience() time.Duration {
	if !r.known {
		return patienceUnknown
	}
	return min(patienceMost, max(patienceLeast, r.mean+deviationFactor*r.deviation))
}
