package backend

import (
	"math"
	"time"
)

// The speed of a service's instances is learned from its requests; no properties of the
// deployment's engines are assumed. The priors apply until the first responses.
const (
	// priorTokenMS is the time to read one prompt token, in milliseconds.
	priorTokenMS = 0.01
	// priorUncachedTokens is the number of prompt tokens that an engine reads for a request.
	priorUncachedTokens = 500.0
	// priorDurationMS is the duration of a request, in milliseconds.
	priorDurationMS = 100.0
	// serviceGain is the weight of a new observation in the means of a service.
	serviceGain = 0.02
	// recentGain is the weight in means that follow the current load: about the last ten streams
	// count.
	recentGain = 0.1
	// minTokenDeviation is the standard deviation of the uncached tokens below which the time per
	// token cannot be estimated.
	minTokenDeviation = 100.0
	// An observation is capped at outlierFactor times its predicted time plus outlierFloorMS, which
	// keeps small predictions from cutting off valid observations.
	outlierFactor  = 4.0
	outlierFloorMS = 50.0
	// maxKinds bounds the number of request kinds that are tracked.
	maxKinds = 1024
	// lowLoadDivisor defines low load: at most 1/lowLoadDivisor of the slots are in use. The time
	// to the first event then depends on reading this prompt, not on other requests.
	lowLoadDivisor = 4
)

// Observation holds the measurements of a finished request.
type Observation struct {
	// Kind groups requests with similar work, such as those of one route.
	Kind string
	// UncachedTokens is the estimated number of prompt tokens that the instance had to read, Load
	// the estimated number of its other requests.
	UncachedTokens, Load int
	// TimeToFirstEvent is the time from the send to the first event, Duration to the end of the
	// response.
	TimeToFirstEvent, Duration time.Duration
	// Events is the number of events; zero for responses that are not streams.
	Events int
}

// serviceSpeed holds the learned speed of a service. It is a pure value.
type serviceSpeed struct {
	// tokenTime estimates the time to the first event from the number of uncached tokens.
	tokenTime regression
	// uncachedTokens is the mean number of prompt tokens that engines read for a request.
	uncachedTokens mean
	// duration is the mean duration of a request in milliseconds.
	duration mean
	// usualUnitTime is the mean logarithm of the time of a unit of work, by request kind.
	usualUnitTime map[string]*mean
	// firstEvent is the mean time to a stream's first event in milliseconds, recentFirstEvent that
	// of the last few streams.
	firstEvent, recentFirstEvent mean
}

func newServiceSpeed() *serviceSpeed { return &serviceSpeed{usualUnitTime: map[string]*mean{}} }

// tokenMS returns the time to read one prompt token in milliseconds.
func (p *serviceSpeed) tokenMS() float64 { return p.tokenTime.slope(priorTokenMS) }

// meanUncachedTokens returns the mean number of prompt tokens that an engine reads for a request.
func (p *serviceSpeed) meanUncachedTokens() float64 {
	return p.uncachedTokens.valueOr(priorUncachedTokens)
}

// firstEventMS returns the mean time to a stream's first event, in milliseconds.
func (p *serviceSpeed) firstEventMS() float64 { return p.firstEvent.valueOr(priorDurationMS) }

// durationMS returns the mean duration of a request, in milliseconds.
func (p *serviceSpeed) durationMS() float64 { return p.duration.valueOr(priorDurationMS) }

// observe adds a request and returns how much slower than usual it was, as a logarithm; ok is false
// if that is unknown.
func (p *serviceSpeed) observe(observed Observation, slots int) (logSlowdown float64, ok bool) {
	p.duration.add(milliseconds(observed.Duration), serviceGain)
	if observed.Events > 0 {
		p.uncachedTokens.add(float64(observed.UncachedTokens), serviceGain)
		p.firstEvent.add(milliseconds(observed.TimeToFirstEvent), serviceGain)
		p.recentFirstEvent.add(milliseconds(observed.TimeToFirstEvent), recentGain)
		if observed.Load*lowLoadDivisor <= slots {
			p.tokenTime.add(float64(observed.UncachedTokens), milliseconds(observed.TimeToFirstEvent))
		}
	}
	unit, ok := observed.unitTimeMS()
	if !ok {
		return 0, false
	}
	usual := p.usualUnitTime[observed.Kind]
	if usual == nil {
		if len(p.usualUnitTime) >= maxKinds {
			clear(p.usualUnitTime)
		}
		usual = &mean{}
		p.usualUnitTime[observed.Kind] = usual
	}
	value := math.Log(unit)
	logSlowdown = value - usual.valueOr(value)
	usual.add(value, serviceGain)
	return logSlowdown, true
}

// unitTimeMS returns the time of one unit of work in milliseconds: the interval between two events
// of a stream, or the duration of a whole response. It reports false for streams with too few
// events.
func (o Observation) unitTimeMS() (float64, bool) {
	const minEvents = 4
	const minUnitMS = 0.01
	switch {
	case o.Events == 0:
		return max(minUnitMS, milliseconds(o.Duration)), true
	case o.Events >= minEvents:
		return max(minUnitMS, milliseconds(o.Duration-o.TimeToFirstEvent)/float64(o.Events-1)), true
	default:
		return 0, false
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// mean is an exponentially weighted mean.
type mean struct {
	value float64
	count int
}

// add adds a value. The first values have equal weights.
func (m *mean) add(value, gain float64) {
	m.count++
	m.value += max(gain, 1/float64(m.count)) * (value - m.value)
}

// valueOr returns the mean, or the prior if there are no values.
func (m *mean) valueOr(prior float64) float64 {
	if m.count == 0 {
		return prior
	}
	return m.value
}

// durationOr returns a mean in milliseconds as a duration, or the prior if there are no values.
func (m *mean) durationOr(prior float64) time.Duration {
	return time.Duration(m.valueOr(prior) * float64(time.Millisecond))
}

// regression is an exponentially weighted linear regression of a time on a number of tokens.
type regression struct {
	tokens, time         mean
	variance, covariance mean
}

// add adds one pair. Times far above the prediction are capped, because they have other causes than
// the number of tokens.
func (r *regression) add(tokens, took float64) {
	if r.tokens.count > 0 {
		predicted := r.time.value + r.slope(priorTokenMS)*(tokens-r.tokens.value)
		took = min(took, outlierFactor*max(predicted, 0)+outlierFloorMS)
	}
	before := tokens - r.tokens.value
	r.tokens.add(tokens, serviceGain)
	r.time.add(took, serviceGain)
	if r.tokens.count == 1 {
		return
	}
	r.variance.add(before*(tokens-r.tokens.value), serviceGain)
	r.covariance.add(before*(took-r.time.value), serviceGain)
}

// slope returns the time per token, or the prior if there is too little data for an estimate.
func (r *regression) slope(prior float64) float64 {
	const minPairs = 20
	if r.variance.count < minPairs || r.variance.value < minTokenDeviation*minTokenDeviation {
		return prior
	}
	return max(prior/minSlopeDivisor, r.covariance.value/r.variance.value)
}

// minSlopeDivisor bounds how far an estimate may fall below the prior: wrong estimates of cache
// contents make reading look free.
const minSlopeDivisor = 20

const (
	// slowStreamGain and slowPlainGain are the weights of a new request in an instance's slowness:
	// the interval between two events varies little from stream to stream, the duration of whole
	// responses varies much. slownessHalfLife is the half-life of the slowness without requests: a
	// slow instance must be tried again.
	slowStreamGain   = 0.3
	slowPlainGain    = 0.1
	slownessHalfLife = 4 * time.Second
	// minLogSlowdown is the slowness, as a logarithm, below which it may be noise.
	minLogSlowdown = 0.8
)

// slowness is how much slower than its service an instance works, as a logarithm.
type slowness struct {
	value float64
	at    time.Time
}

// decayed returns the slowness after the time without requests.
func (s slowness) decayed(now time.Time) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp2(-now.Sub(s.at).Seconds()/slownessHalfLife.Seconds())
}

func (s *slowness) add(now time.Time, slower, gain float64) {
	current := s.decayed(now)
	s.value = current + gain*(slower-current)
	s.at = now
}

// slowdown returns the factor by which a request takes longer than usual at the instance, or 1 if
// the difference may be noise.
func (s slowness) slowdown(now time.Time) float64 {
	present := s.decayed(now)
	if present < minLogSlowdown {
		return 1
	}
	return math.Exp(present)
}
