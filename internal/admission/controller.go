package admission

import (
	"time"

	"swiftbank.dev/swiftbank/internal/tally"
)

const (
	// reportTTL is how long a report of another gateway counts. Programs admitted by a gateway
	// that has failed continue through other gateways, so this is as long as most programs take.
	reportTTL = 5 * time.Second
	// maxPrograms bounds each of the two generations of start records that are kept.
	maxPrograms = 2048
	// maxSampleSlowdown is the highest slowdown at which the duration of a program is used as a
	// sample of its unloaded duration: above it, the correction for load is too large a part of the
	// sample.
	maxSampleSlowdown = 1.5
	// warmUp is how long after the start request durations are not sampled: the first requests to
	// complete are the short ones, and the number of busy slots is not known yet.
	warmUp = 2 * time.Second
	// utilizationTime is the time constant of the mean utilization.
	utilizationTime = time.Second
	// calibrationTime is the time constant with which the forecast is corrected to the observed
	// number of busy slots.
	calibrationTime = time.Second
	// maxCalibration bounds the calibration factor to [1/maxCalibration, maxCalibration].
	maxCalibration = 2
)

// Controller holds the state of program admission at one gateway. It is not safe for concurrent
// use.
type Controller struct {
	kinds    map[group]*kindState
	services map[group]*serviceState
	reports  *tally.Tally[Key]
	restored restoredFigures
	// programs and previous are two generations of start records of programs that started at this
	// gateway; the older one is dropped when the newer one is full.
	programs, previous map[string]startRecord
}

// kindState is what this gateway has observed of one kind of program.
type kindState struct {
	sums sums
	// estimate is derived from the figures of all gateways, as of the last decision.
	estimate  estimate
	updatedAt time.Time
	// retriesUntil is the time until which callers that were refused, or may have been, can retry.
	retriesUntil time.Time
}

// serviceState is what this gateway has observed of one service.
type serviceState struct {
	slowdown slowdown
	// points are the mean request durations by utilization over all gateways, as of the last
	// decision; the slowdown is read from them.
	points []point
	// utilization is the mean utilization over about the last second: the duration of a turn
	// reflects the load throughout the turn, not only at its end.
	utilization   float64
	utilizationAt time.Time
	// firstSeen is the time of the first call for this service.
	firstSeen time.Time
	// calibration is the ratio of observed to forecast busy slots; calibratedAt is the time of its
	// last update.
	calibration  float64
	calibratedAt time.Time
}

// startRecord holds, for one program, its start time, the time it had left then, and the slowdown
// of requests at that time.
type startRecord struct {
	at       time.Time
	timeLeft time.Duration
	slowdown float64
	// retryFree is Decision.RetryFree of the decision that admitted the program.
	retryFree bool
}

// NewController returns a controller without any observations.
func NewController() *Controller {
	return &Controller{
		kinds: map[group]*kindState{}, services: map[group]*serviceState{}, reports: tally.New[Key](reportTTL),
		programs: map[string]startRecord{}, previous: map[string]startRecord{},
	}
}

// kind returns the state of a kind, decayed to now. It creates the state if there is none.
func (c *Controller) kind(now time.Time, name group) *kindState {
	state := c.kinds[name]
	if state == nil {
		if len(c.kinds) >= maxGroups {
			clear(c.kinds)
		}
		state = &kindState{updatedAt: now, estimate: estimate{stageTime: defaultStageTime}}
		c.kinds[name] = state
	}
	state.decay(now)
	return state
}

// service returns the state of a service. It creates the state if there is none.
func (c *Controller) service(now time.Time, name group) *serviceState {
	state := c.services[name]
	if state == nil {
		if len(c.services) >= maxGroups {
			clear(c.services)
		}
		state = &serviceState{calibration: 1, calibratedAt: now, firstSeen: now}
		c.services[name] = state
	}
	return state
}

// decay applies the decay of the sums up to now.
func (k *kindState) decay(now time.Time) {
	if elapsed := now.Sub(k.updatedAt); elapsed > 0 {
		k.sums.decay(elapsed.Seconds(), k.estimate)
		k.updatedAt = now
	}
}

// ProgramStart describes the first request of a program once an instance has accepted it.
type ProgramStart struct {
	Kind    Kind
	Program string
	// TimeLeft is the time to the deadline of the program; 0 if it has none.
	TimeLeft time.Duration
	// Utilization is the fraction of the service's slots that are busy.
	Utilization float64
	// RetryFree is copied from the decision that admitted the program.
	RetryFree bool
}

// ProgramStarted records that an instance accepted the first request of a program.
func (c *Controller) ProgramStarted(now time.Time, start ProgramStart) {
	name := groupOf(start.Kind)
	state := c.kind(now, name)
	state.sums[startedPrograms]++
	state.sums[inFirstTurn]++
	state.sums[inFirstStage]++
	if len(c.programs) >= maxPrograms {
		c.programs, c.previous = map[string]startRecord{}, c.programs
	}
	service := c.service(now, name.service())
	service.observeUtilization(now, start.Utilization)
	c.programs[start.Program] = startRecord{at: now, timeLeft: start.TimeLeft, slowdown: service.currentSlowdown(), retryFree: start.RetryFree}
}

// Turn describes a request that was answered in full.
type Turn struct {
	Kind    Kind
	Program string
	// First is set for the first turn of a program.
	First bool
	// SlotTime is how long the request occupied a slot.
	SlotTime time.Duration
	// Utilization is the fraction of the service's slots that are busy.
	Utilization float64
}

// TurnCompleted records a request that was answered in full.
func (c *Controller) TurnCompleted(now time.Time, turn Turn) {
	name := groupOf(turn.Kind)
	state := c.kind(now, name)
	service := c.service(now, name.service())
	tookMS := milliseconds(turn.SlotTime)
	service.observeUtilization(now, turn.Utilization)
	if now.Sub(service.firstSeen) >= warmUp {
		service.slowdown.observe(service.utilization, tookMS)
	}
	state.sums[slotTimeMS] += tookMS
	state.sums[slotTimeSquares] += tookMS * tookMS
	if turn.First {
		return
	}
	state.sums[laterTurns] += state.estimate.startedWithin(now.Sub(service.firstSeen))
	if start, found := c.startOf(turn.Program); found {
		age := max(0, now.Sub(start.at)-turn.SlotTime/2)
		state.sums.observeAge(start, age, service.currentSlowdown())
	}
}

// startOf returns the start record of a program, and false if the program did not start at this
// gateway or its record was dropped.
func (c *Controller) startOf(program string) (startRecord, bool) {
	if start, found := c.programs[program]; found {
		return start, true
	}
	start, found := c.previous[program]
	return start, found
}

// observeAge adds a sample of the age of a program, taken in the middle of a later turn.
func (s *sums) observeAge(start startRecord, age time.Duration, slowdown float64) {
	s[agedTurns]++
	s[ageMS] += milliseconds(age)
	// A program that is late, or that started while refused callers may have been retrying, had
	// less time than programs of its kind usually have and would bias the estimate.
	if age < start.timeLeft && start.retryFree && max(start.slowdown, slowdown) <= maxSampleSlowdown {
		s.observePhase(start.timeLeft, time.Duration(float64(age)*2/(start.slowdown+slowdown)))
	}
}

// observePhase adds a sample of the part of a program's time that would have elapsed without other
// load.
func (s *sums) observePhase(timeLeft, elapsed time.Duration) {
	for index := phasedTurns; index <= unloadedMS; index++ {
		s[index] -= s[index] / phaseSamples
	}
	s[phasedTurns]++
	s[phaseSum] += elapsed.Seconds() / timeLeft.Seconds()
	s[unloadedMS] += milliseconds(elapsed)
}

// currentSlowdown returns the factor by which requests take longer at the current utilization than
// without other load.
func (s *serviceState) currentSlowdown() float64 { return slowdownAt(s.points, s.utilization) }

// extendRetries records that a refused caller may retry until the given time.
func (k *kindState) extendRetries(until time.Time) {
	if until.After(k.retriesUntil) {
		k.retriesUntil = until
	}
}

// observeUtilization updates the mean utilization.
func (s *serviceState) observeUtilization(now time.Time, utilization float64) {
	if now.Before(s.utilizationAt) {
		return // the caller read the clock before that of an earlier call
	}
	weight := 1.0
	if !s.utilizationAt.IsZero() {
		weight = 1 - expDecay(now.Sub(s.utilizationAt).Seconds(), utilizationTime.Seconds())
	}
	s.utilization += weight * (utilization - s.utilization)
	s.utilizationAt = now
}

// TurnFailed records that a later request of a program was not answered in full. The program may
// have ended early, which must not bias the estimate towards short programs.
func (c *Controller) TurnFailed(now time.Time, kind Kind) {
	state := c.kind(now, groupOf(kind))
	state.sums[startedPrograms] = max(0, state.sums[startedPrograms]-failedTurnDiscount)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
