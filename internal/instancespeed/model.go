package instancespeed

import (
	"math"
	"time"
)

const (
	// unitTimeGain is the weight of a new request in the usual unit time of its kind and in the
	// slowdown of its load level.
	unitTimeGain = 0.02
	// durationGain is the weight in the mean duration of requests, which varies much from one
	// request to the next.
	durationGain = 0.005
	// loadSteps is the number of load levels into which the slots of an instance are divided.
	loadSteps = 8
	// maxKinds bounds the number of request kinds that are tracked.
	maxKinds = 1024
	// localDelayHalfLife is the half-life of an observation in this gateway's own delay, and
	// localDelayPrior the weight of the prior, no delay.
	localDelayHalfLife = time.Second
	localDelayPrior    = 4.0
	// loadPrior is the weight of the prior growth, as a variance of the load.
	loadPrior = 0.5
	// minBaseShare is the smallest fraction of the mean duration that is attributed to an otherwise
	// idle instance.
	minBaseShare = 0.2
)

// Sample is a successfully completed request.
type Sample struct {
	// Kind groups requests with similar work.
	Kind string
	// UnitTime is the time of a unit of work, Duration the time of the whole request.
	UnitTime, Duration time.Duration
	// Load is the number of other requests on the instance, Slots its number of slots.
	Load, Slots int
	// Estimate is the estimate of the instance's speed before this observation.
	Estimate Estimate
}

// Model is a gateway's model of the request times of one service without the speed of single
// instances: the usual time of a unit of work by request kind and by the load of the instance, and
// the current delay that the gateway itself adds to all of its requests. The remainder of a
// request's time is attributed to its instance. It is not safe for concurrent use.
type Model struct {
	usualUnitTime map[string]*average
	loadSlowdown  [loadSteps + 1]float64
	localDelay    WeightedSum
	localDelayAt  time.Time
	// load and duration are the means of the load of the instance and of the request's duration
	// (ms) at usual speed. loadVariance is the variance of the load, covariance its covariance with
	// the duration.
	load, duration, loadVariance, covariance average
}

// NewModel returns an empty model.
func NewModel() *Model { return &Model{usualUnitTime: map[string]*average{}} }

// Observe adds a request and returns how much slower than usual its instance was, as a logarithm.
func (m *Model) Observe(now time.Time, sample Sample) float64 {
	value := math.Log(max(minUnitMS, milliseconds(sample.UnitTime)))
	usual := m.usualUnitTimeOf(sample.Kind)
	growth := &m.loadSlowdown[min(loadSteps, sample.Load*loadSteps/max(1, sample.Slots))]
	estimated := sample.Estimate.LogSlowdown()
	logSlowdown := value - usual.valueOr(value-estimated) - *growth
	innovation := max(-maxLogSlowdown, min(maxLogSlowdown, logSlowdown-estimated))
	delay := m.currentLocalDelay(now)
	usual.add(usual.valueOr(value-estimated)+innovation, unitTimeGain)
	*growth += unitTimeGain * innovation
	m.localDelay = m.localDelay.plus(WeightedSum{Weight: 1, Sum: innovation}, 1)
	m.observeDuration(milliseconds(sample.Duration)/math.Exp(estimated), float64(min(sample.Load, sample.Slots)))
	return logSlowdown - delay
}

// minUnitMS keeps the logarithm of a time finite.
const minUnitMS = 0.01

func (m *Model) usualUnitTimeOf(kind string) *average {
	usual := m.usualUnitTime[kind]
	if usual == nil {
		if len(m.usualUnitTime) >= maxKinds {
			clear(m.usualUnitTime)
		}
		usual = &average{}
		m.usualUnitTime[kind] = usual
	}
	return usual
}

// currentLocalDelay returns by how much all recent requests of this gateway were slower than
// estimated, as a logarithm. Such a delay is attributed to the gateway, not to the instances.
func (m *Model) currentLocalDelay(now time.Time) float64 {
	if elapsed := now.Sub(m.localDelayAt); elapsed > 0 {
		decay := math.Exp2(-elapsed.Seconds() / localDelayHalfLife.Seconds())
		m.localDelay = WeightedSum{Weight: m.localDelay.Weight * decay, Sum: m.localDelay.Sum * decay}
		m.localDelayAt = now
	}
	return m.localDelay.mean(0, localDelayPrior)
}

func (m *Model) observeDuration(took, load float64) {
	if m.duration.count > 0 {
		took = min(took, maxDurationFactor*m.duration.value)
	}
	before := load - m.load.value
	m.load.add(load, durationGain)
	m.duration.add(took, durationGain)
	m.loadVariance.add(before*(load-m.load.value), durationGain)
	m.covariance.add(before*(took-m.duration.value), durationGain)
}

// maxDurationFactor caps the duration of one request at this multiple of the mean.
const maxDurationFactor = 8

// ServiceTime returns the duration of a request at usual speed on an otherwise idle instance, and
// the increase for each concurrent request, both in milliseconds; ok is false without observations.
// The prior assumes that a request takes twice as long on an instance whose slots are all in use.
func (m *Model) ServiceTime(slots int) (base, growth float64, ok bool) {
	if m.duration.count == 0 {
		return 0, 0, false
	}
	expected := m.duration.value / (float64(max(1, slots)) + m.load.value)
	growth = max(0, (m.covariance.value+loadPrior*expected)/(m.loadVariance.value+loadPrior))
	base = max(minBaseShare*m.duration.value, m.duration.value-growth*m.load.value)
	return base, growth, true
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// average is an exponentially weighted mean whose first values have equal weights.
type average struct {
	value float64
	count int
}

func (a *average) add(value, gain float64) {
	a.count++
	a.value += max(gain, 1/float64(a.count)) * (value - a.value)
}

// valueOr returns the mean, or the prior if there are no values.
func (a *average) valueOr(prior float64) float64 {
	if a.count == 0 {
		return prior
	}
	return a.value
}
