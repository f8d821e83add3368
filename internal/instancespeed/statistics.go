// Package instancespeed estimates the speed of a service's instances from the requests of all
// gateways. Each gateway reports its recent observations of single instances to the others, and the
// observations of all are combined into one estimate. A gateway that sends to an instance only
// every few seconds thus learns immediately when it becomes slow.
//
// The package is pure: callers pass the time.
package instancespeed

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies one run of an instance. A restarted instance has a new key, so observations from
// before the restart do not apply to it.
type Key uint64

// keyBits is the number of hash bits in a key: among 10,000 instances two share a key with a
// probability below 1 in 5 million.
const keyBits = 48

// KeyOf returns the key of an instance. It depends on the start time in Unix milliseconds, or on
// the address if the start time is 0 (unknown).
func KeyOf(id, address string, startedAt uint64) Key {
	run := address
	if startedAt != 0 {
		run = strconv.FormatUint(startedAt, 10)
	}
	return Key(xxhash.Sum64String(id+"\x00"+run) >> (64 - keyBits))
}

const (
	// stableHalfLife is the half-life of an observation in an instance's stable speed,
	// recentHalfLife in its current deviation from that.
	stableHalfLife = 30 * time.Second
	recentHalfLife = time.Second
	// stablePrior and recentPrior are the weights of the prior, usual speed, in each estimate:
	// single requests vary more than instances do.
	stablePrior = 10.0
	recentPrior = 12.0
	// maxLogSlowdown bounds one observation, as a logarithm: a request that took far longer has
	// other causes than the instance's speed.
	maxLogSlowdown = 2.5
)

// WeightedSum is a decayed number of observations, Weight, and the weighted sum of their slowdowns
// as logarithms, Sum.
type WeightedSum struct{ Weight, Sum float64 }

// plus returns the sum of two, with the other multiplied by the given factor.
func (w WeightedSum) plus(other WeightedSum, factor float64) WeightedSum {
	return WeightedSum{Weight: max(0, w.Weight+factor*other.Weight), Sum: w.Sum + factor*other.Sum}
}

// mean returns the mean of the observations and of a prior with the given mean and weight.
func (w WeightedSum) mean(priorMean, priorWeight float64) float64 {
	return (w.Sum + priorWeight*priorMean) / (w.Weight + priorWeight)
}

// Statistics are the decayed observations of an instance.
type Statistics struct {
	// Stable decays with stableHalfLife, Recent with recentHalfLife.
	Stable, Recent WeightedSum
	// Failed and Refused are the numbers of recent failures and of refusals for lack of capacity.
	Failed, Refused float64
}

// decayed returns the statistics after a time without observations.
func (s Statistics) decayed(elapsed time.Duration) Statistics {
	if elapsed <= 0 {
		return s
	}
	stable := math.Exp2(-elapsed.Seconds() / stableHalfLife.Seconds())
	recent := math.Exp2(-elapsed.Seconds() / recentHalfLife.Seconds())
	return Statistics{
		Stable: WeightedSum{Weight: s.Stable.Weight * stable, Sum: s.Stable.Sum * stable},
		Recent: WeightedSum{Weight: s.Recent.Weight * recent, Sum: s.Recent.Sum * recent},
		Failed: s.Failed * recent, Refused: s.Refused * recent,
	}
}

// plus returns the sum of two statistics of the same time, with the other multiplied by the given
// factor.
func (s Statistics) plus(other Statistics, factor float64) Statistics {
	return Statistics{
		Stable: s.Stable.plus(other.Stable, factor), Recent: s.Recent.plus(other.Recent, factor),
		Failed: max(0, s.Failed+factor*other.Failed), Refused: max(0, s.Refused+factor*other.Refused),
	}
}

// Estimate is the estimated speed and failure rates of an instance.
type Estimate struct {
	// Stable is the instance's long-term slowdown relative to the usual speed, Transient the
	// current slowdown relative to Stable; both are logarithms.
	Stable, Transient float64
	// FailureRate and RefusalRate are the fractions of requests that it fails, and refuses for lack
	// of capacity.
	FailureRate, RefusalRate float64
	// Weight is the decayed number of observations behind Stable.
	Weight float64
}

// estimate returns the estimate that follows from the statistics.
func (s Statistics) estimate() Estimate {
	stable := s.Stable.mean(0, stablePrior)
	requests := s.Recent.Weight + s.Failed + s.Refused + recentPrior
	return Estimate{
		Stable: stable, Transient: s.Recent.mean(stable, recentPrior) - stable,
		FailureRate: s.Failed / requests, RefusalRate: s.Refused / requests, Weight: s.Stable.Weight,
	}
}

// LogSlowdown returns the instance's current slowdown relative to the usual speed, as a logarithm.
func (e Estimate) LogSlowdown() float64 { return e.Stable + e.Transient }

// Slowdown returns the factor by which requests currently take longer than usual at the instance.
func (e Estimate) Slowdown() float64 { return math.Exp(e.LogSlowdown()) }
