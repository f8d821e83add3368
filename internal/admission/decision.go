package admission

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request describes the first request of a program that asks for admission.
type Request struct {
	ID   string
	Kind Kind
	// HoldUntil is the latest time at which the request may still be waiting for admission,
	// Deadline the time at which its caller gives up.
	HoldUntil, Deadline time.Time
	// TimeLeft is the time to the deadline of the program, negative if it has passed; 0 if the
	// program has no deadline.
	TimeLeft time.Duration
	// Excess is how far the tenant of the program is above its fair share; 0 within it.
	Excess float64
}

// Load is the current state of a service's instances as the gateway knows it.
type Load struct {
	// Slots is how many requests the instances run concurrently, Busy how many slots are in use.
	Slots, Busy int
}

// Verdict is the outcome of an admission decision.
type Verdict uint8

const (
	// Admit lets the program start.
	Admit Verdict = iota + 1
	// Hold keeps the request waiting; it is decided again after RetryAfter.
	Hold
	// Refuse rejects the request.
	Refuse
)

// String returns the name used in logs.
func (v Verdict) String() string {
	switch v {
	case Admit:
		return "admit"
	case Hold:
		return "hold"
	default:
		return "refuse"
	}
}

// Decision is the outcome for the first request of a program, with the figures it is based on.
type Decision struct {
	Verdict Verdict
	// HasForecast is false while too few observations exist for a forecast. Until then programs are
	// admitted only while few slots are busy.
	HasForecast bool
	// RetryAfter is the delay until a held request is decided again, or until a refused caller
	// should retry.
	RetryAfter time.Duration
	// SlotLimit is how many slots may be busy. Committed is the forecast demand of active programs,
	// Reserved the demand expected from more urgent programs, both in slots and at the moment with
	// the least headroom, which is PeakAfter from now.
	SlotLimit, Committed, Reserved float64
	PeakAfter                      time.Duration
	// Program is the estimated demand of one program of the kind. Calibration is the ratio of
	// observed to forecast busy slots.
	Program     ProgramEstimate
	Calibration float64
	// ArrivalRate is how many programs of the same rank ask for admission per second, over all
	// gateways. Probability is the fraction of them that is admitted.
	ArrivalRate, Probability float64
	// RetryFree reports that no caller that was refused can still be retrying: all arriving
	// programs have been admitted for as long as retries are possible.
	RetryFree bool
	// Infeasible reports that the request was not admitted because its program can no longer meet
	// its deadline while others can.
	Infeasible bool
	// Sources is how many other gateways and zones the figures include.
	Sources int
	// arrivalWeight is the amount by which the request raised the arrival rate.
	arrivalWeight float64
}

// ProgramEstimate is the estimated demand of one program of a kind.
type ProgramEstimate struct {
	// Turns is how many turns follow the first one, SlotTime the slot time of each turn.
	Turns    float64
	SlotTime time.Duration
	// StageTime is the mean duration of each of the two stages of a program. MaxSlowdown is the
	// factor by which its turns may take longer than without other load; 0 if it is not known.
	StageTime   time.Duration
	MaxSlowdown float64
}

// Throttled reports whether only a part of the programs of the rank is admitted.
func (d Decision) Throttled() bool { return d.Probability < 1 }

// arrivalIncrement is the amount by which one first request raises the arrival rate.
const arrivalIncrement = float64(time.Second) / float64(arrivalRateTime)

const (
	// reportDelayPerSource times the number of sources is the age of a gateway's figures at the
	// other gateways: each gateway receives two reports in 50 ms. minReportDelay is the minimum for
	// small fleets; maxReportDelay is the maximum, so that a large fleet does not delay programs
	// for longer.
	reportDelayPerSource = 25 * time.Millisecond
	minReportDelay       = 100 * time.Millisecond
	maxReportDelay       = time.Second
	// minPause is the shortest delay before a held request is decided again.
	minPause = 25 * time.Millisecond
	// forecastHorizon is how far a forecast reaches.
	forecastHorizon = 8 * time.Second
	// retryAfterShare is the part of the caller's remaining time within which it is asked to retry:
	// a later attempt would have less time than this one had.
	retryAfterShare = 0.5
	// waitJitter is the relative jitter of a delay, to either side.
	waitJitter = 0.5
)

// Decide decides whether a program may start now.
//
// Gateways decide on figures that are several reports old. If each gateway admitted programs for as
// long as its figures show free slots, all gateways would fill the same slots until they receive
// each other's reports, and then all would refuse until the slots are free again, in an
// oscillation. They admit a fraction of the arriving programs instead: the fraction that could
// start within the next second without exceeding the slot limit at any moment of the forecast.
func (c *Controller) Decide(now time.Time, request Request, load Load) Decision {
	name := groupOf(request.Kind)
	own := c.kind(now, name)
	service := c.service(now, name.service())
	own.sums[arrivalRate] += arrivalIncrement
	view := c.view(now, name.service(), service)
	decision := Decision{Verdict: Admit, Probability: 1, Sources: c.reports.SourceCount(now), arrivalWeight: arrivalIncrement}
	if load.Slots == 0 {
		own.extendRetries(request.Deadline)
		return decision
	}
	program := view.kind(name).estimate
	reportDelay := min(maxReportDelay, max(minReportDelay, reportDelayPerSource*time.Duration(decision.Sources)))
	var expectedWait time.Duration
	if view.learned() {
		service.calibrate(now, view.expectedSlots(0), load)
		forecast := forecast{view: view, calibration: service.calibration, busy: float64(load.Busy), rank: name.rank()}
		decision.SlotLimit = float64(load.Slots) * view.tolerableUtilization(name.rank(), program, request.TimeLeft != 0)
		decision.applyForecast(forecast, program, reportDelay)
		expectedWait = min(decision.forecastWait(forecast, program, reportDelay), program.slack(request.TimeLeft))
	} else {
		decision.decideUnlearned(view, name, load)
		expectedWait = decision.unlearnedWait(reportDelay)
	}
	// Refusals from before this gateway started, or first saw the kind, are not known here.
	if decision.Throttled() || !decision.HasForecast || own.retriesUntil.IsZero() {
		own.extendRetries(request.Deadline)
	}
	decision.RetryFree = !now.Before(own.retriesUntil)
	if decision.Throttled() {
		// The probability applies to a program of a tenant within its fair share. Counting programs
		// of other tenants in full would reserve slots that no program gets.
		own.subtractArrivals(arrivalIncrement - arrivalIncrement*request.fairFraction())
		decision.arrivalWeight = arrivalIncrement * request.fairFraction()
	}
	switch {
	case decision.Throttled() && program.infeasible(request.TimeLeft):
		// Admitting it would only make another program late. Its demand is not counted.
		own.subtractArrivals(decision.arrivalWeight)
		decision.Infeasible = true
		decision.holdOrRefuse(now, request, forecastHorizon)
	case uniform(request.ID, now) >= request.fairProbability(decision.Probability):
		decision.holdOrRefuse(now, request, max(reportDelay, expectedWait))
	}
	return decision
}

// ProgramWithdrawn records that an admitted program does not start, for instance because its tenant
// has reached its limit. Its demand is no longer counted.
func (c *Controller) ProgramWithdrawn(now time.Time, kind Kind, decision Decision) {
	c.kind(now, groupOf(kind)).subtractArrivals(decision.arrivalWeight)
}

// subtractArrivals takes the given amount off the arrival rate.
func (k *kindState) subtractArrivals(amount float64) {
	k.sums[arrivalRate] = max(0, k.sums[arrivalRate]-amount)
}

// decideUnlearned decides while no kind of the service has been learned, as after a restart of all
// gateways. The demand of programs that start then is not forecast, so they are admitted only while
// few slots are busy, more urgent ones first. Each program is assumed to need one slot within a
// second. If too many slots are busy, one program of a kind at a time is still admitted, because
// otherwise no kind would ever be learned.
func (d *Decision) decideUnlearned(view view, name group, load Load) {
	d.SlotLimit = unlearnedUtilization * float64(load.Slots)
	d.Committed = float64(load.Busy)
	d.Reserved = view.arrivalRate(0, name.rank()-1)
	d.ArrivalRate = view.arrivalRate(name.rank(), name.rank())
	free := max(0, d.SlotLimit-d.Committed) - d.Reserved
	switch {
	case d.Reserved == 0 && view.kind(name).sums.active() < 1:
		d.Probability = 1
	case free < d.ArrivalRate:
		d.Probability = max(0, free) / d.ArrivalRate
	}
}

// unlearnedWait returns the delay after which a program that is not admitted may be, while its
// service has not been learned.
func (d *Decision) unlearnedWait(reportDelay time.Duration) time.Duration {
	if d.Probability == 0 {
		return warmUp
	}
	return min(warmUp, time.Duration(float64(reportDelay)/d.Probability))
}

// applyForecast sets the fields of the decision that follow from the forecast.
func (d *Decision) applyForecast(forecast forecast, program estimate, reportDelay time.Duration) {
	d.HasForecast = true
	d.ArrivalRate = forecast.view.arrivalRate(forecast.rank, forecast.rank)
	peak := forecast.peak(d.SlotLimit, reportDelay.Seconds(), program)
	d.Committed, d.Reserved, d.Probability = peak.committed, peak.reserved, peak.probability
	d.PeakAfter, d.Calibration = seconds(peak.after), forecast.calibration
	d.Program = ProgramEstimate{Turns: program.turns, SlotTime: seconds(program.slotTime), StageTime: seconds(program.stageTime), MaxSlowdown: program.maxSlowdown}
}

// forecastWait returns the delay after which a program that is not admitted now may be: once newer
// reports may change the decision, or once a slot is forecast to be free.
func (d *Decision) forecastWait(forecast forecast, program estimate, reportDelay time.Duration) time.Duration {
	if d.Probability > 0 {
		return min(forecastHorizon, time.Duration(float64(reportDelay)/d.Probability))
	}
	return forecast.timeUntilFree(d.SlotLimit, program)
}

// fairProbability returns the probability with which a program of the request's tenant is admitted,
// given that of a tenant within its fair share.
func (r Request) fairProbability(probability float64) float64 {
	if probability >= 1 {
		return probability
	}
	return probability * r.fairFraction()
}

// fairFraction returns how many programs the request's tenant may start, relative to a tenant
// within its fair share, while slots are short: one half at twice its share. The difference goes to
// other tenants.
func (r Request) fairFraction() float64 { return 1 / (1 + r.Excess) }

// holdOrRefuse holds the request if it may be admitted before HoldUntil, and refuses it otherwise.
// It sets the delay in both cases.
func (d *Decision) holdOrRefuse(now time.Time, request Request, expectedWait time.Duration) {
	jitter := 1 + waitJitter*(2*uniform(request.ID+"/wait", now)-1)
	d.RetryAfter = max(minPause, time.Duration(jitter*float64(expectedWait)))
	if now.Add(d.RetryAfter).Before(request.HoldUntil) {
		d.Verdict = Hold
		return
	}
	d.Verdict = Refuse
	maxRetryAfter := time.Duration(retryAfterShare * float64(request.Deadline.Sub(now)))
	centre := min(expectedWait, time.Duration(float64(maxRetryAfter)/(1+waitJitter)))
	d.RetryAfter = max(minPause, time.Duration(jitter*float64(centre)))
}

// uniform maps an id and a time to a pseudo-random number from 0 to 1.
func uniform(id string, now time.Time) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(id+strconv.FormatInt(now.UnixNano(), 36))>>(64-bits)) / (1 << bits)
}

// calibrate updates the ratio of observed to forecast busy slots.
func (s *serviceState) calibrate(now time.Time, expectedSlots float64, load Load) {
	elapsed := now.Sub(s.calibratedAt)
	s.calibratedAt = now
	const minUtilization = 0.05
	// During the warm-up most slots are used by programs that started before this gateway did.
	if now.Sub(s.firstSeen) < warmUp || elapsed <= 0 || expectedSlots < minUtilization*float64(load.Slots) {
		return
	}
	ratio := min(maxCalibration, max(1.0/maxCalibration, float64(load.Busy)/expectedSlots))
	s.calibration += (1 - expDecay(elapsed.Seconds(), calibrationTime.Seconds())) * (ratio - s.calibration)
}
