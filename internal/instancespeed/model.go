package instancespeed

import (
	"math"
	"time"
)

const (
	// slowGain is the weight of a new request in the usual time of its kind.
	slowGain = 0.02
	// timeGain is that in the time of whole requests, which differ much from one to the next.
	timeGain = 0.005
	// loadSteps is into how many parts the slots of an instance are divided.
	loadSteps = 8
	// mostKinds bounds the kinds of requests that are told apart.
	mostKinds = 1024
	// ownHalfLife is how long an observation counts for the half in this gateway's own delay, and
	// ownPrior the observations without any that it begins with.
	ownHalfLife = time.Second
	ownPrior    = 4.0
	// loadPrior is the variance of the load that stands for the prior growth.
	loadPrior = 0.5
	// leastBase is the least part of a mean time that is counted as the time on an instance
	// without other requests.
	leastBase = 0.2
)

// Sample is a request that ended well.
type Sample struct {
	// Kind groups requests whose work is alike.
	Kind string
	// UnitTime is the time of a unit of its work, Duration of all of it.
	UnitTime, Duration time.Duration
	// Load is how many other requests its instance had, of so many Slots.
	Load, Slots int
	// Estimate is how much slower than usual the instance was believed to be.
	Estimate Estimate
}

// Model is what a gateway knows of the requests to one service apart from the speed of the
// single instances: how long a unit of work usually takes by its kind and by the load of its
// instance, and by how much this gateway itself delays all of its requests at the moment. What
// remains of a request's time tells of its instance. It is not safe for concurrent use.
type Model struct {
	usual  map[string]*average
	growth [loadSteps + 1]float64
	own    WeightedSum
	ownAt  time.Time
	// load and time are the means of the requests at the instance and of a request's time (ms)
	// at usual speed; spread and common are the variance of the load and its covariance with
	// the time.
	load, time, spread, common average
}

// NewModel returns a model that knows nothing.
func NewModel() *Model { return &Model{usual: map[string]*average{}} }

// Observe adds a request and returns how much slower than usual its instance was, as a
// logarithm.
func (m *Model) Observe(now time.Time, seen Sample) float64 {
	value := math.Log(max(leastUnitMS, milliseconds(seen.UnitTime)))
	usual := m.usualOf(seen.Kind)
	growth := &m.growth[min(loadSteps, seen.Load*loadSteps/max(1, seen.Slots))]
	believed := seen.Estimate.LogSlowdown()
	slower := value - usual.or(value-believed) - *growth
	innovation := max(-mostSlower, min(mostSlower, slower-believed))
	delay := m.ownDelay(now)
	usual.add(usual.or(value-believed)+innovation, slowGain)
	*growth += slowGain * innovation
	m.own = m.own.plus(WeightedSum{Weight: 1, Sum: innovation}, 1)
	m.observeTime(milliseconds(seen.Duration)/math.Exp(believed), float64(min(seen.Load, seen.Slots)))
	return slower - delay
}

// leastUnitMS keeps the logarithm of a time finite.
const leastUnitMS = 0.01

func (m *Model) usualOf(kind string) *average {
	known := m.usual[kind]
	if known == nil {
		if len(m.usual) >= mostKinds {
			clear(m.usual)
		}
		known = &average{}
		m.usual[kind] = known
	}
	return known
}

// ownDelay returns by how much more than believed all requests of this gateway have been slow of
// late, as a logarithm: that is the gateway's delay, not the instances'.
func (m *Model) ownDelay(now time.Time) float64 {
	if elapsed := now.Sub(m.ownAt); elapsed > 0 {
		fade := math.Exp2(-elapsed.Seconds() / ownHalfLife.Seconds())
		m.own = WeightedSum{Weight: m.own.Weight * fade, Sum: m.own.Sum * fade}
		m.ownAt = now
	}
	return m.own.mean(0, ownPrior)
}

func (m *Model) observeTime(took, load float64) {
	if m.time.count > 0 {
		took = min(took, mostTimes*m.time.value)
	}
	before := load - m.load.value
	m.load.add(load, timeGain)
	m.time.add(took, timeGain)
	m.spread.add(before*(load-m.load.value), timeGain)
	m.common.add(before*(took-m.time.value), timeGain)
}

// mostTimes bounds the time of one request by the mean.
const mostTimes = 8

// ServiceTime returns how long a request takes at usual speed on an instance without others, and by
// how much longer for each one there, both in milliseconds; ok is false before that is known.
// Until enough was seen, a request is taken to need twice as long on an instance whose slots are
// all in use.
func (m *Model) ServiceTime(slots int) (base, growth float64, ok bool) {
	if m.time.count == 0 {
		return 0, 0, false
	}
	expected := m.time.value / (float64(max(1, slots)) + m.load.value)
	growth = max(0, (m.common.value+loadPrior*expected)/(m.spread.value+loadPrior))
	base = max(leastBase*m.time.value, m.time.value-growth*m.load.value)
	return base, growth, true
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// average is an exponentially weighted mean whose first values weigh alike.
type average struct {
	value float64
	count int
}

func (a *average) add(value, gain float64) {
	a.count++
	a.value += max(gain, 1/float64(a.count)) * (value - a.value)
}

// or returns the mean, or another value before the first one.
func (a *average) or(other float64) float64 {
	if a.count == 0 {
		return other
	}
	return a.value
}
