package admission

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is the first request of a program that asks to begin.
type Request struct {
	ID   string
	Kind Kind
	// HoldUntil is until when it may be held, Deadline when its caller leaves.
	HoldUntil, Deadline time.Time
	// TimeLeft is the time that its program has, below 0 if it is late; 0 if it names none.
	TimeLeft time.Duration
	// Excess is how far above its fair share the program's tenant is; 0 within it.
	Excess float64
}

// Load is what is believed of a service's instances.
type Load struct {
	// Slots is how many requests they run at once, Busy how many of these are in use.
	Slots, Busy int
}

// Verdict is what a program's first request is told.
type Verdict uint8

const (
	// Admit means that the program begins.
	Admit Verdict = iota + 1
	// Hold means to decide again after the pause.
	Hold
	// Refuse means to refuse now.
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

// Decision is what becomes of a program's first request, with what it rests on.
type Decision struct {
	Verdict Verdict
	// HasForecast is false while too little was learned to forecast: then programs begin while few slots
	// are in use.
	HasForecast bool
	// RetryAfter is when to decide again, or when a refused caller should come back.
	RetryAfter time.Duration
	// SlotLimit is how many slots may be in use. Committed is what programs under way are expected
	// to use at the moment that leaves the least room, Reserved what more urgent programs are
	// expected to ask by then. Tightest is when that moment comes.
	SlotLimit, Committed, Reserved float64
	PeakAfter                      time.Duration
	// Program is what one program of the kind is expected to ask for, Factor the slots in use
	// for each one that is expected.
	Program     ProgramEstimate
	Calibration float64
	// ArrivalRate is how many programs as urgent as this one ask to begin a second, over all
	// gateways, Probability the part of them that may begin.
	ArrivalRate, Probability float64
	// RetryFree says that programs are known to begin as they ask, and did for as long as callers
	// that were refused may come back.
	RetryFree bool
	// Infeasible says that the program is refused because it cannot be in time any more, and
	// others could.
	Infeasible bool
	// Sources is how many other gateways and zones the figures include.
	Sources int
	// asked is what the program counts as asking.
	asked float64
}

// ProgramEstimate is what one program of a kind is expected to ask for.
type ProgramEstimate struct {
	// Turns is how many turns follow its first one, Turn the slot time of each.
	Turns    float64
	SlotTime time.Duration
	// StageTime is the mean time of each of its two stages, Stretch how many times as long as without
	// other load its turns may take; 0 if that is not known.
	StageTime   time.Duration
	MaxSlowdown float64
}

// Throttled reports whether not all programs of the rank may begin.
func (d Decision) Throttled() bool { return d.Probability < 1 }

// askedOnce is what one first request adds to the rate of them.
const askedOnce = float64(time.Second) / float64(askedTime)

const (
	// reportTime times the number of sources is how old a gateway's figures are at its neighbours:
	// each gateway hears two sources in 50 ms. leastReportTime is the least, for few gateways;
	// mostReportTime the most, so that a large fleet does not delay programs for longer.
	reportTime      = 25 * time.Millisecond
	leastReportTime = 100 * time.Millisecond
	mostReportTime  = time.Second
	// leastPause is the least time until a held request is decided about again.
	leastPause = 25 * time.Millisecond
	// longestWait is the longest time that a forecast reaches.
	longestWait = 8 * time.Second
	// waitShare is the part of the caller's time left after which it must come back: later, a
	// new attempt has less time than this one had.
	waitShare = 0.5
	// waitSpread is the part of a wait by which callers are spread to either side.
	waitSpread = 0.5
)

// Decide decides whether a program may begin now.
//
// Gateways decide on figures that are some reports old. If each admitted programs for as long
// as the figures show room, all would fill the same room until they hear of each other, then
// all refuse until it is free, in waves. So they admit a part of those that ask: the part that
// could begin within the next second without exceeding the room at any moment of the forecast.
func (c *Controller) Decide(now time.Time, request Request, load Load) Decision {
	name := groupOf(request.Kind)
	own := c.kind(now, name)
	service := c.service(now, name.service())
	own.sums[asked] += askedOnce
	view := c.view(now, name.service(), service)
	decision := Decision{Verdict: Admit, Probability: 1, Sources: c.others.SourceCount(now), asked: askedOnce}
	if load.Slots == 0 {
		own.mayComeBack(request.Deadline)
		return decision
	}
	program := view.of(name).estimate
	reports := min(mostReportTime, max(leastReportTime, reportTime*time.Duration(decision.Sources)))
	var expected time.Duration
	if view.learned() {
		service.calibrate(now, view.expected(0), load)
		forecast := forecast{view: view, factor: service.factor, busy: float64(load.Busy), rank: name.rank()}
		decision.SlotLimit = float64(load.Slots) * view.bearable(name.rank(), program, request.TimeLeft != 0)
		decision.weigh(forecast, program, reports)
		expected = min(decision.expected(forecast, program, reports), program.slack(request.TimeLeft))
	} else {
		decision.explore(view, name, load)
		expected = decision.learning(reports)
	}
	// Who was refused before this gateway started, or first heard of the kind, is not known here.
	if decision.Throttled() || !decision.HasForecast || own.refusedUntil.IsZero() {
		own.mayComeBack(request.Deadline)
	}
	decision.RetryFree = !now.Before(own.refusedUntil)
	if decision.Throttled() {
		// The chance is that of a program within its share. Counted whole, those that have less
		// would keep room free that nobody gets.
		own.withdraw(askedOnce - askedOnce*request.fairPart())
		decision.asked = askedOnce * request.fairPart()
	}
	switch {
	case decision.Throttled() && program.hopeless(request.TimeLeft):
		// Admitted, it would make another one late. It asks for nothing that can be given.
		own.withdraw(decision.asked)
		decision.Infeasible = true
		decision.refuse(now, request, longestWait)
	case uniform(request.ID, now) >= request.fairChance(decision.Probability):
		decision.refuse(now, request, max(reports, expected))
	}
	return decision
}

// ProgramWithdrawn notes that a program does not begin though it was admitted, as one beyond its tenant's
// limit: it asks for no slots.
func (c *Controller) ProgramWithdrawn(now time.Time, kind Kind, decision Decision) {
	c.kind(now, groupOf(kind)).withdraw(decision.asked)
}

// withdraw takes back a part of what asks.
func (k *kindState) withdraw(part float64) { k.sums[asked] = max(0, k.sums[asked]-part) }

// explore sets what decides while no kind of the service is known, as after a start of all
// gateways. Programs that begin then unfold onto slots that nobody has forecast, so they begin
// while few are in use, the more urgent ones first. Each is taken to ask for one slot in a second.
// Where even those are taken, one program of a kind at a time begins, or none would ever be known.
func (d *Decision) explore(view view, name group, load Load) {
	d.SlotLimit = unknownShare * float64(load.Slots)
	d.Committed = float64(load.Busy)
	d.Reserved = view.asked(0, name.rank()-1)
	d.ArrivalRate = view.asked(name.rank(), name.rank())
	free := max(0, d.SlotLimit-d.Committed) - d.Reserved
	switch {
	case d.Reserved == 0 && view.of(name).sums.underWay() < 1:
		d.Probability = 1
	case free < d.ArrivalRate:
		d.Probability = max(0, free) / d.ArrivalRate
	}
}

// learning returns when a program that may not begin before its service is known may begin.
func (d *Decision) learning(reports time.Duration) time.Duration {
	if d.Probability == 0 {
		return warmUp
	}
	return min(warmUp, time.Duration(float64(reports)/d.Probability))
}

// weigh sets what of the forecast decides.
func (d *Decision) weigh(forecast forecast, program estimate, reports time.Duration) {
	d.HasForecast = true
	d.ArrivalRate = forecast.view.asked(forecast.rank, forecast.rank)
	tightest := forecast.tightest(d.SlotLimit, reports.Seconds(), program)
	d.Committed, d.Reserved, d.Probability = tightest.committed, tightest.reserved, tightest.chance
	d.PeakAfter, d.Calibration = seconds(tightest.after), forecast.factor
	d.Program = ProgramEstimate{Turns: program.turns, SlotTime: seconds(program.turn), StageTime: seconds(program.stage), MaxSlowdown: program.stretch}
}

// expected returns when a program that may not begin now may begin: once other figures lead to
// another decision, or there is room at all.
func (d *Decision) expected(forecast forecast, program estimate, reports time.Duration) time.Duration {
	if d.Probability > 0 {
		return min(longestWait, time.Duration(float64(reports)/d.Probability))
	}
	return forecast.until(d.SlotLimit, program)
}

// fairChance returns the chance of the request's tenant to begin a program, where one within its
// fair share has the given one.
func (r Request) fairChance(chance float64) float64 {
	if chance >= 1 {
		return chance
	}
	return chance * r.fairPart()
}

// fairPart returns the part of the programs that a tenant within its fair share begins which the
// request's tenant begins while room is short: at twice its share a half. The room goes to others.
func (r Request) fairPart() float64 { return 1 / (1 + r.Excess) }

// refuse holds the request if it may be admitted before its objective is over, and else says
// when to come back.
func (d *Decision) refuse(now time.Time, request Request, expected time.Duration) {
	spread := 1 + waitSpread*(2*uniform(request.ID+"/wait", now)-1)
	d.RetryAfter = max(leastPause, time.Duration(spread*float64(expected)))
	if now.Add(d.RetryAfter).Before(request.HoldUntil) {
		d.Verdict = Hold
		return
	}
	d.Verdict = Refuse
	longest := time.Duration(waitShare * float64(request.Deadline.Sub(now)))
	centre := min(expected, time.Duration(float64(longest)/(1+waitSpread)))
	d.RetryAfter = max(leastPause, time.Duration(spread*float64(centre)))
}

// uniform maps an id at a moment to a number from 0 to 1.
func uniform(id string, now time.Time) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(id+strconv.FormatInt(now.UnixNano(), 36))>>(64-bits)) / (1 << bits)
}

// calibrate moves the factor between the slots in use and those expected.
func (s *serviceState) calibrate(now time.Time, expected float64, load Load) {
	after := now.Sub(s.calibratedAt)
	s.calibratedAt = now
	const leastShare = 0.05
	// Until the warm-up is over, most slots are used by programs that began before the start.
	if now.Sub(s.since) < warmUp || after <= 0 || expected < leastShare*float64(load.Slots) {
		return
	}
	seen := min(calibrationMost, max(1.0/calibrationMost, float64(load.Busy)/expected))
	s.factor += (1 - fading(after.Seconds(), calibrationTime.Seconds())) * (seen - s.factor)
}
