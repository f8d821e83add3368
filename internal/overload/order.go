package overload

import (
	"strconv"
	"time"
)

// The order of waiting answers one load pattern: less urgent programs were admitted while
// there was room, and unfold into many turns at once. Engines take them all, for slots are
// free, but work on each turn so slowly that the urgent programs are late too. So turns of
// begun programs that can wait do wait, at their gateways, while more slots are in use than
// the urgent turns bear, and go in one order over all gateways as room comes back.
//
// Every gateway computes the same level from what all tell each other: turns of more urgent
// classes than the level go, those of less urgent ones wait, and those of the level itself
// go with the chance at which they fill the rest of the room.

const (
	// waitingClasses is how many classes of waiting turns are told apart.
	waitingClasses = 2 * classesOfBand
	// classesOfBand is how many there are of turns whose programs can end in time, and of
	// those whose cannot: quarters of the time for which a turn may be held.
	classesOfBand = 4
	// orderPoll is the pause between two looks of a turn that waits.
	orderPoll = pollInterval
	// orderFeedback is how long it takes until other gateways have heard what went. The turns
	// of the level go spread over that time: if all went at their next look, more would go
	// than there is room for.
	orderFeedback = 3 * orderPoll
)

// Turn is what the order needs to know of a turn of a program that has begun.
type Turn struct {
	ID string
	// RouteRank and TenantRank say how much less urgent it is than the most urgent requests
	// of its service; Late that its program cannot end in time any more.
	RouteRank, TenantRank int
	Late                  bool
	Arrived               time.Time
	// Longest is how long it may be held. Then it goes, whatever waits.
	Longest time.Duration
}

// class returns the turn's place in the order, 0 first. It falls as the turn waits.
func (t Turn) class(now time.Time) int {
	left := t.Longest - now.Sub(t.Arrived)
	quarter := int(classesOfBand * left / max(1, t.Longest))
	if t.TenantRank > 0 {
		quarter++
	}
	quarter = min(classesOfBand-1, max(0, quarter))
	if t.Late {
		return classesOfBand + quarter
	}
	return quarter
}

// Room is what is believed of the slots of a service over all gateways.
type Room struct {
	Slots, Busy int
	// Bearable is the share of the slots up to which the most urgent turns are fast enough.
	Bearable float64
}

// free returns how many more turns may run.
func (r Room) free() float64 { return r.Bearable*float64(r.Slots) - float64(r.Busy) }

// Reason is why a turn goes or waits.
type Reason uint8

const (
	// ReasonUrgent is a turn that never waits.
	ReasonUrgent Reason = iota + 1
	// ReasonNoSlack is a turn whose program leaves it no time to wait, or is not known to.
	ReasonNoSlack
	// ReasonRoom is a turn that there is room for.
	ReasonRoom
	// ReasonDue is a turn that has waited for as long as it may.
	ReasonDue
	// ReasonOrder is a turn that waits for others.
	ReasonOrder
)

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	switch r {
	case ReasonUrgent:
		return "urgent"
	case ReasonNoSlack:
		return "no_slack"
	case ReasonRoom:
		return "room"
	case ReasonDue:
		return "due"
	case ReasonOrder:
		return "order"
	default:
		return "unknown"
	}
}

// TurnDecision is whether a turn goes now, with what that rests on.
type TurnDecision struct {
	Go     bool
	Reason Reason
	// Pause is when to ask again.
	Pause time.Duration
	// Class is the turn's, Level the first class that does not fit into the room.
	Class, Level int
	// Free is the room, Ahead how many turns of more urgent classes wait, Same how many of
	// the turn's own class, at all gateways.
	Free, Ahead, Same float64
}

// Order is the turns of one service that wait at one gateway, with what this gateway learned of
// the programs. It is a pure value; the caller locks it.
type Order struct {
	held map[string]heldTurn
	// urgent and others hold the times of the most urgent programs and of all others.
	urgent, others programTimes
	times          turnTimes
	// begun are the programs that began here.
	begun *beginnings
}

// heldTurn is a turn that waits; looks counts how often it asked.
type heldTurn struct {
	turn  Turn
	looks int
}

// NewOrder returns an order in which none waits.
func NewOrder() *Order { return &Order{held: map[string]heldTurn{}, begun: newBeginnings()} }

// Ask decides whether a turn goes now. What other gateways told is given as their sums.
func (o *Order) Ask(now time.Time, turn Turn, room Room, elsewhere OrderFigures) TurnDecision {
	switch {
	case turn.RouteRank == 0 && !turn.Late:
		return TurnDecision{Go: true, Reason: ReasonUrgent}
	case turn.Longest <= 0:
		return TurnDecision{Go: true, Reason: ReasonNoSlack}
	}
	waits := o.held[turn.ID]
	o.held[turn.ID] = heldTurn{turn: turn, looks: waits.looks + 1}
	decision := o.weigh(now, turn, room, elsewhere)
	switch {
	case now.Sub(turn.Arrived) >= turn.Longest:
		decision.Go, decision.Reason = true, ReasonDue
	case room.Slots == 0 || uniform(turn.ID+strconv.Itoa(waits.looks)) < decision.chance(waits.looks):
		decision.Go, decision.Reason = true, ReasonRoom
	default:
		decision.Reason = ReasonOrder
		decision.Pause = min(orderPoll, turn.Longest-now.Sub(turn.Arrived))
	}
	if decision.Go {
		delete(o.held, turn.ID)
	}
	return decision
}

// weigh compares the room with who waits.
func (o *Order) weigh(now time.Time, turn Turn, room Room, elsewhere OrderFigures) TurnDecision {
	decision := TurnDecision{Class: turn.class(now), Level: waitingClasses, Free: room.free()}
	sum := 0.0
	for class, here := range o.waiting(now) {
		count := here + elsewhere[OrderFigure(class)]
		if class < decision.Class {
			decision.Ahead += count
		}
		if class == decision.Class {
			decision.Same = count
		}
		sum += count
		if sum > decision.Free && decision.Level == waitingClasses {
			decision.Level = class
		}
	}
	return decision
}

// chance returns the chance to go at this look. Where all turns of the class fit they go at
// once; else one that has come just now does not go before those that wait.
func (d TurnDecision) chance(looks int) float64 {
	share := (d.Free - d.Ahead) / d.Same
	if share >= 1 {
		return 1
	}
	if looks == 0 {
		return 0
	}
	return share * float64(orderPoll) / float64(orderFeedback)
}

// Left notes that a turn waits no longer, for whatever reason.
func (o *Order) Left(id string) { delete(o.held, id) }

// Waiting returns how many turns wait at all gateways. New programs find no room while begun
// ones wait for it.
func (o *Order) Waiting(now time.Time, elsewhere OrderFigures) int {
	sum := 0.0
	for class, here := range o.waiting(now) {
		sum += here + elsewhere[OrderFigure(class)]
	}
	return int(sum)
}

// waiting counts the turns that wait here by class.
func (o *Order) waiting(now time.Time) [waitingClasses]float64 {
	var waiting [waitingClasses]float64
	for _, held := range o.held {
		waiting[held.turn.class(now)]++
	}
	return waiting
}
