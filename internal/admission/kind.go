package admission

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind identifies programs with similar demand: those of one route of one service. Rank is how much
// less urgent they are than the most urgent programs of the service.
type Kind struct {
	Service, Route string
	Rank           int
}

// figure is the index of one statistic of a kind. All statistics are sums, so that those of several
// gateways can be added.
type figure uint8

const (
	// startedPrograms counts programs, laterTurns the turns after first ones. slotTimeMS sums the
	// slot time of both in milliseconds, slotTimeSquares its squares. All decay with time. A
	// gateway sees some turns of many programs and all turns of few, so only ratios of these sums
	// are meaningful.
	startedPrograms figure = iota
	laterTurns
	slotTimeMS
	slotTimeSquares
	// agedTurns counts the later turns of programs that started at this gateway, ageMS sums the
	// ages of the programs at these turns.
	agedTurns
	ageMS
	// phasedTurns counts the aged turns that met little load and whose program has a deadline.
	// phaseSum sums the part of the program's time that would have elapsed without load, unloadedMS
	// that time in milliseconds. These decay with each new sample instead of with time: they are
	// learned while load is low, and needed while it is high.
	phasedTurns
	phaseSum
	unloadedMS
	// arrivalRate is the rate of decisions about first requests, per second; a held request counts
	// each time it is decided.
	arrivalRate
	// inFirstTurn counts active programs in their first turn. inFirstStage and inSecondStage count
	// programs in the two stages before their later turns. The time in a stage is taken to be
	// exponentially distributed, so the sums need no list of programs.
	inFirstTurn
	inFirstStage
	inSecondStage
	figureCount
)

const (
	// learningHalfLife is the half-life of what was learned: the estimate follows a change of the
	// programs within a minute.
	learningHalfLife = 30 * time.Second
	// arrivalRateTime is the time constant of the arrival rate.
	arrivalRateTime = 500 * time.Millisecond
	// phaseSamples is the effective number of samples in the phase sums.
	phaseSamples = 50
	// minPrograms is how many programs must be observed before a kind has a forecast.
	minPrograms = 10
	// minAgedTurns is how many later turns must be observed before ages are used.
	minAgedTurns = 10
	// minStageTime is the minimum stage time in seconds, defaultStageTime the stage time of a kind
	// without observations.
	minStageTime     = 0.05
	defaultStageTime = 0.4
	// failedTurnDiscount is the part of a program that is taken off the count when one of its turns
	// fails: on average half of its turns are completed, and half of the callers continue with
	// another attempt.
	failedTurnDiscount = 0.25
	// minCompletedShare is the part of the started programs that always counts as completed,
	// however many turns are expected to be outstanding.
	minCompletedShare = 0.1
)

// sums holds the figures of a kind, of one gateway or of all gateways.
type sums [figureCount]float64

// estimate is the estimated demand of one program of a kind.
type estimate struct {
	// known is false while too few programs have been observed.
	known bool
	// turns is how many turns follow the first one, slotTime the slot time of each turn in seconds.
	turns, slotTime float64
	// stageTime is the mean duration of each of the two stages, in seconds.
	stageTime float64
	// maxSlowdown is the factor by which the turns of a program may take longer than without other
	// load; 0 if it is not known.
	maxSlowdown float64
	// slackRatio is the factor by which a program may take longer than without other load; 0 if it
	// is not known.
	slackRatio float64
	// unloadedTime is the duration of a program without other load, in seconds; 0 if it is not
	// known.
	unloadedTime float64
	// slotTimeCV is the coefficient of variation of the slot time of a turn.
	slotTimeCV float64
}

// active returns the number of active programs.
func (s *sums) active() float64 { return s[inFirstTurn] + s[inFirstStage] + s[inSecondStage] }

// completed returns how many of the started programs have completed all their turns.
func (s *sums) completed() float64 {
	return max(s[startedPrograms]-s[inFirstStage]-s[inSecondStage], minCompletedShare*s[startedPrograms])
}

// estimate returns the estimate for one program of the kind. Outstanding turns do not bias it
// towards short programs.
func (s *sums) estimate() estimate {
	const msPerSecond = 1000
	completed := s.completed()
	e := estimate{known: completed >= minPrograms}
	if completed > 0 {
		e.turns = s[laterTurns] / completed
	}
	if turns := s[startedPrograms] + s[laterTurns]; turns > 0 {
		e.slotTime = s[slotTimeMS] / turns / msPerSecond
	}
	if s[slotTimeMS] > 0 {
		e.slotTimeCV = math.Sqrt(max(0, s[slotTimeSquares]*(s[startedPrograms]+s[laterTurns])/(s[slotTimeMS]*s[slotTimeMS])-1))
	}
	e.stageTime = max(defaultStageTime, e.slotTime)
	if s[agedTurns] >= minAgedTurns {
		e.stageTime = max(minStageTime, s[ageMS]/s[agedTurns]/msPerSecond/2)
		// An underestimate, because these turns were slowed down by load.
		e.unloadedTime = s[ageMS] / s[agedTurns] / e.meanPhase() / maxSampleSlowdown / msPerSecond
	}
	if s[phasedTurns] >= minAgedTurns && s[phaseSum] > 0 {
		e.slackRatio = e.meanPhase() * s[phasedTurns] / s[phaseSum]
		e.unloadedTime = s[unloadedMS] / s[phasedTurns] / e.meanPhase() / msPerSecond
	}
	return e
}

// withMaxSlowdown returns the estimate with maxSlowdown set. meanSlowdown is the slowdown that
// turns met while the estimate was learned. The rest of a program's time, such as that of tools,
// does not grow with load.
func (e estimate) withMaxSlowdown(meanSlowdown float64) estimate {
	if e.slackRatio == 0 || e.unloadedTime == 0 || e.slotTime == 0 {
		return e
	}
	turnShare := min(1, (1+e.turns)*e.slotTime/meanSlowdown/e.unloadedTime)
	e.maxSlowdown = (1 + (e.slackRatio-1)/turnShare) / e.excessFactor()
	return e
}

// meanPhase returns the part of a program's time that has elapsed on average in the middle of its
// later turns, if turns are evenly spaced.
func (e estimate) meanPhase() float64 { return 0.5 + 0.5/(1+e.turns) }

// excessFactor returns the factor by which the duration of a program exceeds the mean at two
// standard deviations, which makes one program in forty late. With the mean alone half of the
// programs were late, and with one deviation one in six, because turns slow down steeply with a
// little more load.
func (e estimate) excessFactor() float64 { return 1 + 2*e.slotTimeCV/math.Sqrt(1+e.turns) }

// slack returns how long a program with the given time left can wait and still meet its deadline on
// instances without other load.
func (e estimate) slack(timeLeft time.Duration) time.Duration {
	if timeLeft <= 0 || e.slackRatio <= 0 {
		return forecastHorizon
	}
	return time.Duration(max(0, 1-1/e.slackRatio) * float64(timeLeft))
}

// infeasible reports whether a program can no longer meet its deadline: the deadline has passed, or
// the time left is less than half of what programs of its kind need without other load. Half,
// because some programs are shorter than others.
func (e estimate) infeasible(timeLeft time.Duration) bool {
	return timeLeft < 0 || timeLeft > 0 && timeLeft.Seconds() < e.unloadedTime/2
}

// startedWithin returns the probability that the program of a later turn started within the given
// time before it. Otherwise turns of programs that started before this gateway did would bias the
// estimate towards long programs.
func (e estimate) startedWithin(elapsed time.Duration) float64 {
	stages := elapsed.Seconds() / e.stageTime
	return 1 - expDecay(stages, 1)*(1+stages)
}

// peakSlots returns the largest expected number of slots that one program uses at once.
func (e estimate) peakSlots() float64 { return max(1, e.turns*e.slotTime/(math.E*e.stageTime)) }

// expectedSlots returns the forecast demand of active programs, in slots, after the given seconds.
func (e estimate) expectedSlots(s *sums, after float64) float64 {
	firstTurn := s[inFirstTurn] * expDecay(after, e.slotTime)
	secondStage := (s[inSecondStage] + s[inFirstStage]*after/e.stageTime) * expDecay(after, e.stageTime)
	return firstTurn + secondStage*e.turns*e.slotTime/e.stageTime
}

// futureSlots returns the slots in use after the given seconds by programs that start from now on
// at the given rate per second.
func (e estimate) futureSlots(rate, after float64) float64 {
	firstTurn := e.slotTime * (1 - expDecay(after, e.slotTime))
	secondStage := e.turns * e.slotTime * (1 - expDecay(after, e.stageTime)*(1+after/e.stageTime))
	return rate * (firstTurn + secondStage)
}

// expDecay returns the remaining fraction after the elapsed time, for exponential decay with the
// given mean lifetime.
func expDecay(elapsed, mean float64) float64 {
	if mean <= 0 {
		return 0
	}
	return math.Exp(-elapsed / mean)
}

// decay applies the decay over the elapsed seconds.
func (s *sums) decay(elapsed float64, e estimate) {
	remaining := math.Exp2(-elapsed / learningHalfLife.Seconds())
	for index := startedPrograms; index < phasedTurns; index++ {
		s[index] *= remaining
	}
	s[arrivalRate] *= expDecay(elapsed, arrivalRateTime.Seconds())
	s[inFirstTurn] *= expDecay(elapsed, e.slotTime)
	s[inSecondStage] = (s[inSecondStage] + s[inFirstStage]*elapsed/e.stageTime) * expDecay(elapsed, e.stageTime)
	s[inFirstStage] *= expDecay(elapsed, e.stageTime)
}

// group identifies a kind or a service in reports: the hash of the service, the hash of the route,
// and the rank. For a service, the hash of the route is 0.
type group uint64

const (
	hashBits = 28
	rankBits = 8
	hashMask = 1<<hashBits - 1
	rankMask = 1<<rankBits - 1
)

func hashOf(name string) uint64 { return xxhash.Sum64String(name) & hashMask }

// groupOf returns the identifier of a kind in reports.
func groupOf(kind Kind) group {
	route := max(1, hashOf(kind.Route))
	rank := uint64(min(rankMask, max(0, kind.Rank)))
	return group(hashOf(kind.Service)<<(hashBits+rankBits) | route<<rankBits | rank)
}

// service returns the group of the service of the kind.
func (g group) service() group { return g &^ (1<<(hashBits+rankBits) - 1) }

// rank returns the rank of the kind.
func (g group) rank() int { return int(g & rankMask) }

// isService reports whether the group is a service.
func (g group) isService() bool { return g == g.service() }
