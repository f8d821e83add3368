package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// kindView holds the figures and the estimate of one kind over all gateways.
type kindView struct {
	group    group
	sums     *sums
	estimate estimate
}

// view holds the figures of one service over all gateways.
type view struct {
	// kinds are sorted by group.
	kinds    []kindView
	slowdown []point
}

// view returns the figures of a service over all gateways, and stores the estimates and the
// slowdown in this gateway's state.
func (c *Controller) view(now time.Time, name group, service *serviceState) view {
	total := c.fleetSums(now, name)
	service.points = total.slowdown.points()
	result := view{slowdown: service.points}
	meanSlowdown := total.meanSlowdown(service.points)
	for id, kindSums := range total.kinds {
		estimate := kindSums.estimate().withMaxSlowdown(meanSlowdown)
		if own := c.kinds[id]; own != nil {
			own.estimate = estimate
		}
		result.kinds = append(result.kinds, kindView{group: id, sums: kindSums, estimate: estimate})
	}
	slices.SortFunc(result.kinds, func(a, b kindView) int { return cmp.Compare(a.group, b.group) })
	return result
}

// meanSlowdown returns the factor by which recent turns of all kinds took longer than with few busy
// slots.
func (f fleet) meanSlowdown(points []point) float64 {
	turns, tookMS := 0.0, 0.0
	for _, kind := range f.kinds {
		turns += kind[startedPrograms] + kind[laterTurns]
		tookMS += kind[slotTimeMS]
	}
	if !hasBaseline(points) || turns == 0 {
		return 1
	}
	return max(1, tookMS/turns/points[0].meanMS)
}

// kind returns the view of one kind of the service.
func (v view) kind(name group) kindView {
	for _, kind := range v.kinds {
		if kind.group == name {
			return kind
		}
	}
	return kindView{group: name, sums: &sums{}}
}

// learned reports whether any kind of the service has enough observations for a forecast.
func (v view) learned() bool {
	return slices.ContainsFunc(v.kinds, func(kind kindView) bool { return kind.estimate.known })
}

// expectedSlots returns the forecast demand of active programs, in slots, after the given seconds.
func (v view) expectedSlots(after float64) float64 {
	total := 0.0
	for _, kind := range v.kinds {
		total += kind.estimate.expectedSlots(kind.sums, after)
	}
	return total
}

// reservedSlots returns the slots that programs more urgent than the rank are expected to request
// within the given seconds, plus one standard deviation; arrivals are taken to be independent.
func (v view) reservedSlots(rank int, after float64) float64 {
	total, variance := 0.0, 0.0
	for _, kind := range v.kinds {
		if kind.group.rank() >= rank {
			continue
		}
		slots := kind.estimate.futureSlots(kind.sums[arrivalRate], after)
		total += slots
		variance += slots * kind.estimate.peakSlots()
	}
	return total + math.Sqrt(variance)
}

// requestedSlots returns the slots that programs of the rank which arrive within the admission
// window will use after the given seconds.
func (v view) requestedSlots(rank int, after float64) float64 {
	total := 0.0
	for _, kind := range v.kinds {
		if kind.group.rank() != rank {
			continue
		}
		rate, before := kind.sums[arrivalRate], max(0, after-admissionWindow)
		total += kind.estimate.futureSlots(rate, after) - kind.estimate.futureSlots(rate, before)
	}
	return total
}

// arrivalRate returns how many programs of the ranks from..to, inclusive, ask for admission per
// second.
func (v view) arrivalRate(from, to int) float64 {
	total := 0.0
	for _, kind := range v.kinds {
		if rank := kind.group.rank(); from <= rank && rank <= to {
			total += kind.sums[arrivalRate]
		}
	}
	return total
}

// tolerableUtilization returns the highest utilization that is tolerable to the program and to all
// kinds of its rank and of more urgent ranks. If the deadline of the program is known but the slack
// of its kind is not, the program is assumed to tolerate maxSampleSlowdown, the slowdown up to
// which the slack is sampled.
func (v view) tolerableUtilization(rank int, program estimate, hasDeadline bool) float64 {
	utilization := 1.0
	if program.maxSlowdown == 0 && hasDeadline {
		utilization = tolerableUtilization(v.slowdown, maxSampleSlowdown)
	}
	for _, kind := range v.kinds {
		if kind.group.rank() <= rank && kind.estimate.maxSlowdown > 0 {
			utilization = min(utilization, tolerableUtilization(v.slowdown, kind.estimate.maxSlowdown))
		}
	}
	return utilization
}

// forecast is the demand for a service's slots in the next seconds, as seen by one rank.
type forecast struct {
	view view
	// calibration is the ratio of observed to forecast busy slots, busy the number of slots in use
	// now.
	calibration, busy float64
	rank              int
}

// committed returns the forecast demand of active programs after the given seconds. Busy slots that
// no active program explains, for instance those of programs whose gateway has failed, are assumed
// to be released at the rate of the slowest kind.
func (f forecast) committed(after float64) float64 {
	unexplained := max(0, f.busy-f.calibration*f.view.expectedSlots(0))
	longestStage := 0.0
	for _, kind := range f.view.kinds {
		longestStage = max(longestStage, kind.estimate.stageTime)
	}
	return f.calibration*f.view.expectedSlots(after) + unexplained*expDecay(after, longestStage)
}

// reservedSlots returns the slots that more urgent programs are expected to request within the
// given seconds.
func (f forecast) reservedSlots(after float64) float64 {
	return f.calibration * f.view.reservedSlots(f.rank, after)
}

const (
	// forecastStep is the distance between the moments of a forecast, in seconds.
	forecastStep = 0.25
	// admissionWindow is for how many seconds programs are assumed to start at the rate that is
	// decided now. A longer window would let long programs fill slots that are released only
	// slowly. It must exceed the delay of reports, or all gateways fill the same slots at once.
	admissionWindow = 1.0
)

// moment is the forecast for one point in time.
type moment struct {
	// after is the time from now, in seconds.
	after               float64
	committed, reserved float64
	// probability is the fraction of arriving programs that stays within the slot limit.
	probability float64
}

// momentAt returns the forecast for the moment after the given seconds.
func (f forecast) momentAt(slotLimit, after float64) moment {
	result := moment{after: after, committed: f.committed(after), reserved: f.reservedSlots(after), probability: 1}
	free := slotLimit - result.committed - result.reserved
	requested := f.calibration * f.view.requestedSlots(f.rank, after)
	switch {
	case free <= 0:
		result.probability = 0
	case requested > free:
		result.probability = free / requested
	}
	return result
}

// peak returns the moment at which the smallest fraction of arriving programs fits. It considers
// moments from start, when other gateways know of the decision, until a program that starts now
// ends: a short program need not leave slots for demand that arises after its end.
func (f forecast) peak(slotLimit, start float64, program estimate) moment {
	const stages = 3
	lowest := f.momentAt(slotLimit, start)
	for after := start + forecastStep; after <= min(forecastHorizon.Seconds(), stages*program.stageTime); after += forecastStep {
		if next := f.momentAt(slotLimit, after); next.probability < lowest.probability {
			lowest = next
		}
	}
	return lowest
}

// timeUntilFree returns the time until the slot limit leaves room for one more program.
func (f forecast) timeUntilFree(slotLimit float64, program estimate) time.Duration {
	for after := forecastStep; after < forecastHorizon.Seconds(); after += forecastStep {
		if f.committed(after)+f.reservedSlots(after)+program.peakSlots() <= slotLimit {
			return seconds(after)
		}
	}
	return forecastHorizon
}
