// Package instancespeed learns how fast the instances of a service work from the requests of
// all gateways together. Each gateway tells the others what it observed lately of single
// instances; what all of them observed gives one belief. A gateway that sends to an instance
// only every few seconds thus knows at once that it has become slow.
//
// It is pure: time comes from the caller.
package instancespeed

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key names an instance in one of its lives. An instance that starts again has another key, so
// nothing of its earlier life counts.
type Key uint64

// keyBits is how many bits of a hash make a key: among 10,000 instances two share a key with a
// probability below 1 in 5 million.
const keyBits = 48

// KeyOf returns the key of an instance: by the start of its life, or by its address where that
// is not known.
func KeyOf(id, address string, born uint64) Key {
	life := address
	if born != 0 {
		life = strconv.FormatUint(born, 10)
	}
	return Key(xxhash.Sum64String(id+"\x00"+life) >> (64 - keyBits))
}

const (
	// stableHalfLife is how long an observation counts for the half in the stable speed of an
	// instance, recentHalfLife in what it is like at the moment.
	stableHalfLife = 30 * time.Second
	recentHalfLife = time.Second
	// stablePrior and recentPrior are the observations of usual speed that each belief begins
	// with: single requests differ by more than instances do.
	stablePrior = 10.0
	recentPrior = 12.0
	// mostSlower bounds one observation, as a logarithm: a request that took far longer tells
	// of something else than speed.
	mostSlower = 2.5
)

// WeightedSum is a number of observations, the older the less, and the sum of how much slower than
// usual they were, as logarithms.
type WeightedSum struct{ Weight, Sum float64 }

// plus returns the sum of two, the other one counted by the given factor.
func (e WeightedSum) plus(other WeightedSum, factor float64) WeightedSum {
	return WeightedSum{Weight: max(0, e.Weight+factor*other.Weight), Sum: e.Sum + factor*other.Sum}
}

// mean returns the mean of the observations and of prior ones that stand for the given value.
func (e WeightedSum) mean(value, prior float64) float64 {
	return (e.Sum + prior*value) / (e.Weight + prior)
}

// Statistics are what was observed of an instance.
type Statistics struct {
	// Stable counts for long, Recent for moments.
	Stable, Recent WeightedSum
	// Failed and Refused are the failures and the refusals for lack of room of late.
	Failed, Refused float64
}

// after returns the figures after some time without observations.
func (f Statistics) after(elapsed time.Duration) Statistics {
	if elapsed <= 0 {
		return f
	}
	stable := math.Exp2(-elapsed.Seconds() / stableHalfLife.Seconds())
	recent := math.Exp2(-elapsed.Seconds() / recentHalfLife.Seconds())
	return Statistics{
		Stable: WeightedSum{Weight: f.Stable.Weight * stable, Sum: f.Stable.Sum * stable},
		Recent: WeightedSum{Weight: f.Recent.Weight * recent, Sum: f.Recent.Sum * recent},
		Failed: f.Failed * recent, Refused: f.Refused * recent,
	}
}

// plus returns the sum of two figures of one moment, the other ones counted by the given factor.
func (f Statistics) plus(other Statistics, factor float64) Statistics {
	return Statistics{
		Stable: f.Stable.plus(other.Stable, factor), Recent: f.Recent.plus(other.Recent, factor),
		Failed: max(0, f.Failed+factor*other.Failed), Refused: max(0, f.Refused+factor*other.Refused),
	}
}

// Estimate is what is believed of an instance.
type Estimate struct {
	// Stable is how much slower than usual the instance works, Transient how much slower than
	// that it is at the moment; both as logarithms.
	Stable, Transient float64
	// FailureRate and RefusalRate are the shares of requests that it fails, and refuses for lack of
	// room.
	FailureRate, RefusalRate float64
	// Weight is the number of observations that Stable rests on, the older the less.
	Weight float64
}

// view returns the belief that figures give.
func (f Statistics) view() Estimate {
	stable := f.Stable.mean(0, stablePrior)
	asked := f.Recent.Weight + f.Failed + f.Refused + recentPrior
	return Estimate{
		Stable: stable, Transient: f.Recent.mean(stable, recentPrior) - stable,
		FailureRate: f.Failed / asked, RefusalRate: f.Refused / asked, Weight: f.Stable.Weight,
	}
}

// LogSlowdown returns how much slower than usual the instance is now, as a logarithm.
func (v Estimate) LogSlowdown() float64 { return v.Stable + v.Transient }

// Slowdown returns how many times as long as usual a request takes at the instance now.
func (v Estimate) Slowdown() float64 { return math.Exp(v.LogSlowdown()) }
