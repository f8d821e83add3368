package overload

import "time"

// OrderFigure names a figure of an order that gateways tell each other. The first ones count
// waiting turns by class.
type OrderFigure uint8

// The figures of what a gateway learned; they are sums, to be added over the gateways.
const (
	figureUrgent OrderFigure = waitingClasses + iota*programFigures
	figureOthers
	figureTimes
)

const (
	// programFigures is how many figures tell the times of programs. Those of turns follow: a
	// count and a sum for each part of the slots.
	programFigures = 5
	// OrderFigureCount is how many figures there are.
	OrderFigureCount = figureTimes + 2*timeSteps
)

// OrderFigures are the figures of one gateway, or the sums of several.
type OrderFigures map[OrderFigure]float64

// Figures returns what other gateways are told of this one.
func (o *Order) Figures(now time.Time) OrderFigures {
	figures := OrderFigures{}
	for class, count := range o.waiting(now) {
		if count > 0 {
			figures[OrderFigure(class)] = count
		}
	}
	figures.put(figureUrgent, o.urgent)
	figures.put(figureOthers, o.others)
	for step, count := range o.times.counts {
		if count > 0 {
			figures[figureTimes+OrderFigure(2*step)], figures[figureTimes+OrderFigure(2*step+1)] = count, o.times.sums[step]
		}
	}
	return figures
}

// turnTimes reads the times of turns.
func (f OrderFigures) turnTimes() turnTimes {
	var times turnTimes
	for step := range timeSteps {
		times.counts[step], times.sums[step] = f[figureTimes+OrderFigure(2*step)], f[figureTimes+OrderFigure(2*step+1)]
	}
	return times
}

// put writes the times of programs from the given figure on.
func (f OrderFigures) put(from OrderFigure, times programTimes) {
	if times.turns == 0 {
		return
	}
	f[from], f[from+1], f[from+2] = times.programs, times.turns, times.aim
	f[from+3], f[from+4] = times.known, times.passed
}

// times reads what put wrote.
func (f OrderFigures) times(from OrderFigure) programTimes {
	return programTimes{programs: f[from], turns: f[from+1], aim: f[from+2], known: f[from+3], passed: f[from+4]}
}

// CountsTurns reports whether the figure counts turns, those that wait or were learned from.
func (f OrderFigure) CountsTurns() bool {
	return f < waitingClasses || f == figureUrgent+1 || f == figureOthers+1
}

// Observe learns from a turn of a program that had so much time left when it came; calm tells
// whether there was room then.
func (o *Order) Observe(now time.Time, routeRank int, program string, first, calm bool, left time.Duration) {
	if first {
		o.begun.add(program, left)
	}
	times := &o.others
	if routeRank == 0 {
		times = &o.urgent
	}
	aim := o.begun.aims[program]
	if times.mayLearn(now, calm, max(left, aim)) {
		times.observe(first, left, aim)
	}
}

// Took learns how long an answered turn took while that many of the service's slots were in use.
func (o *Order) Took(busy, slots int, took time.Duration) { o.times.observe(busy, slots, took) }

// Bearable returns the share of the slots up to which the most urgent turns are fast enough, as
// all gateways learned it; 1 before that is known.
func (o *Order) Bearable(elsewhere OrderFigures) float64 {
	slack, ok := o.urgentSlack(elsewhere)
	if !ok {
		return 1
	}
	return o.times.plus(elsewhere.turnTimes()).shareWithin(slack)
}

// urgentSlack returns by how much longer than usual the most urgent turns may take.
func (o *Order) urgentSlack(elsewhere OrderFigures) (slack time.Duration, ok bool) {
	return o.urgent.plus(elsewhere.times(figureUrgent)).turnSlack()
}

// Longest returns how long a turn may be held. Less urgent programs are taken to have as much
// slack as urgent ones before more is known of them.
func (o *Order) Longest(now time.Time, elsewhere OrderFigures, routeRank int, deadline, programEnds time.Time) time.Duration {
	if !now.Before(programEnds) {
		return seconds(latePart * deadline.Sub(now).Seconds())
	}
	urgent := o.urgent.plus(elsewhere.times(figureUrgent))
	others := o.others.plus(elsewhere.times(figureOthers))
	if routeRank == 0 || others.known < slackTurns {
		return urgent.longest(programEnds.Sub(now))
	}
	return others.longest(programEnds.Sub(now))
}
