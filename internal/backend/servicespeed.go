package backend

import (
	"math"
	"time"
)

// How fast the instances of a service work is learned from the requests that went there:
// nothing here knows of a deployment's engines. The priors hold until the first answers
// have come.
const (
	// priorReading is the time to read one prompt token, in milliseconds.
	priorReading = 0.01
	// priorRead is how many tokens a request makes its engine read.
	priorRead = 500.0
	// priorDuration is the time of a request, in milliseconds.
	priorDuration = 100.0
	// paceGain is the weight of a new observation in the means of a service.
	paceGain = 0.02
	// recentGain is that in means which follow the present load: about the last ten streams
	// count.
	recentGain = 0.1
	// leastSpread is the deviation of the tokens read, below which they tell nothing of
	// the time to read one.
	leastSpread = 100.0
	// outlierFactor bounds an observation by the time that was predicted, and outlierFloor
	// (ms) keeps small predictions from hiding what is true.
	outlierFactor = 4.0
	outlierFloor  = 50.0
	// mostKinds bounds the kinds of requests that are told apart.
	mostKinds = 1024
	// calmShare is the part of the slots up to which an instance counts as calm: there
	// the first event comes after the reading of this prompt, not of others.
	calmShare = 4
)

// Observation is what a finished request tells of the instance that ran it.
type Observation struct {
	// Kind groups requests whose work is alike, such as those of one route.
	Kind string
	// UncachedTokens is how many prompt tokens the instance was believed to have to read, Load
	// how many other requests it was believed to have.
	UncachedTokens, Load int
	// TimeToFirstEvent is the time from the send to the first event, Duration to the end of the answer.
	TimeToFirstEvent, Duration time.Duration
	// Events is how many events came; zero for answers that are no stream.
	Events int
}

// pace is what is known of how fast a service works. It is a pure value.
type pace struct {
	// reading estimates the time to the first event by the tokens that were missing.
	reading regression
	// read is the mean of the tokens that requests made their engines read.
	read mean
	// duration is the mean time of a request in milliseconds.
	duration mean
	// typical is the usual logarithm of a unit of work's time, by the kind of request.
	typical map[string]*mean
	// first is the mean time to a stream's first event in milliseconds, recentFirst that of
	// the last few streams.
	first, recentFirst mean
}

func newPace() *pace { return &pace{typical: map[string]*mean{}} }

// readingMS returns the time to read one prompt token in milliseconds.
func (p *pace) readingMS() float64 { return p.reading.slope(priorReading) }

// readTokens returns how many tokens a request makes its engine read.
func (p *pace) readTokens() float64 { return p.read.or(priorRead) }

// firstMS returns how long a stream waits for its first event, in milliseconds.
func (p *pace) firstMS() float64 { return p.first.or(priorDuration) }

// durationMS returns how long a request takes, in milliseconds.
func (p *pace) durationMS() float64 { return p.duration.or(priorDuration) }

// observe adds a request's figures and returns how much slower than usual it was,
// as a logarithm; ok is false where that cannot be told.
func (p *pace) observe(seen Observation, slots int) (slower float64, ok bool) {
	p.duration.add(milliseconds(seen.Duration), paceGain)
	if seen.Events > 0 {
		p.read.add(float64(seen.UncachedTokens), paceGain)
		p.first.add(milliseconds(seen.TimeToFirstEvent), paceGain)
		p.recentFirst.add(milliseconds(seen.TimeToFirstEvent), recentGain)
		if seen.Load*calmShare <= slots {
			p.reading.add(float64(seen.UncachedTokens), milliseconds(seen.TimeToFirstEvent))
		}
	}
	unit, ok := seen.unit()
	if !ok {
		return 0, false
	}
	usual := p.typical[seen.Kind]
	if usual == nil {
		if len(p.typical) >= mostKinds {
			clear(p.typical)
		}
		usual = &mean{}
		p.typical[seen.Kind] = usual
	}
	value := math.Log(unit)
	slower = value - usual.or(value)
	usual.add(value, paceGain)
	return slower, true
}

// unit returns the time of one unit of work in milliseconds: the pause between two
// events of a stream, or a whole answer. Streams with few events tell nothing.
func (o Observation) unit() (float64, bool) {
	const leastEvents = 4
	const leastMS = 0.01
	switch {
	case o.Events == 0:
		return max(leastMS, milliseconds(o.Duration)), true
	case o.Events >= leastEvents:
		return max(leastMS, milliseconds(o.Duration-o.TimeToFirstEvent)/float64(o.Events-1)), true
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

// add adds a value. The first ones weigh alike.
func (m *mean) add(value, gain float64) {
	m.count++
	m.value += max(gain, 1/float64(m.count)) * (value - m.value)
}

// or returns the mean, or the prior before the first value.
func (m *mean) or(prior float64) float64 {
	if m.count == 0 {
		return prior
	}
	return m.value
}

// asTime returns a mean of milliseconds as a time, or the prior before the first value.
func (m *mean) asTime(prior float64) time.Duration {
	return time.Duration(m.or(prior) * float64(time.Millisecond))
}

// regression is an exponentially weighted linear regression of a time on a number of
// tokens.
type regression struct {
	tokens, time         mean
	variance, covariance mean
}

// add adds one pair. Times far above the prediction are cut: they tell of something
// else than tokens.
func (r *regression) add(tokens, took float64) {
	if r.tokens.count > 0 {
		predicted := r.time.value + r.slope(priorReading)*(tokens-r.tokens.value)
		took = min(took, outlierFactor*max(predicted, 0)+outlierFloor)
	}
	before := tokens - r.tokens.value
	r.tokens.add(tokens, paceGain)
	r.time.add(took, paceGain)
	if r.tokens.count == 1 {
		return
	}
	r.variance.add(before*(tokens-r.tokens.value), paceGain)
	r.covariance.add(before*(took-r.time.value), paceGain)
}

// slope returns the time of one token, or the prior while the pairs tell nothing.
func (r *regression) slope(prior float64) float64 {
	const leastPairs = 20
	if r.variance.count < leastPairs || r.variance.value < leastSpread*leastSpread {
		return prior
	}
	return max(prior/leastSlopeShare, r.covariance.value/r.variance.value)
}

// leastSlopeShare bounds how far below the prior an estimate may fall: beliefs about
// caches that are wrong make reading look free.
const leastSlopeShare = 20

const (
	// slowStreamGain and slowPlainGain are the weights of a new request in an instance's
	// slowness: the pause between two events varies little from stream to stream, the time
	// of whole answers much. slowHalfLife is how fast the slowness fades without requests:
	// a slow instance must be tried again.
	slowStreamGain = 0.3
	slowPlainGain  = 0.1
	slowHalfLife   = 4 * time.Second
	// slowLeast is how much slower, as a logarithm, an instance may seem by chance.
	slowLeast = 0.8
)

// slowness is how much slower than its service an instance works, as a logarithm.
type slowness struct {
	value float64
	at    time.Time
}

// faded returns the slowness after some time without requests.
func (s slowness) faded(now time.Time) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp2(-now.Sub(s.at).Seconds()/slowHalfLife.Seconds())
}

func (s *slowness) add(now time.Time, slower, gain float64) {
	present := s.faded(now)
	s.value = present + gain*(slower-present)
	s.at = now
}

// factor returns how many times longer than usual a request takes here; 1 within what
// chance explains.
func (s slowness) factor(now time.Time) float64 {
	present := s.faded(now)
	if present < slowLeast {
		return 1
	}
	return math.Exp(present)
}
