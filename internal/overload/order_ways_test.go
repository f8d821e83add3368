package overload_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/overload"
	"swiftbank.dev/swiftbank/internal/tally"
)

// orderWay is a way to order the turns of begun programs over all gateways.
type orderWay uint8

const (
	// polling lets every turn look for a slot at once, as if there were no order.
	polling orderWay = iota + 1
	// level orders them by what the gateways tell each other.
	level
	// coordinator lets one gateway grant slots.
	coordinator
)

// reports says how the gateways' reports travel.
type reports struct {
	lost, doubled float64
	late          time.Duration
	// silent is the gateway that tells nothing after silentFrom; 0 is none.
	silent     int
	silentFrom time.Duration
}

// ordered is a replay whose gateways hold turns.
type ordered struct {
	*replayed
	way      orderWay
	reports  reports
	start    time.Time
	gateways []*orderingGateway
	// granting holds the turns that wait for the coordinator, granted when it granted slots.
	granting []*waitingTurn
	granted  []time.Time
	measured measures
}

// orderingGateway is what one gateway knows of the order.
type orderingGateway struct {
	order *overload.Order
	heard *tally.Tally[overload.OrderFigure]
	sent  int
}

// waitingTurn is a turn that waits for the coordinator.
type waitingTurn struct {
	id    string
	turn  overload.Turn
	class int
	look  func()
}

// measures are what the ways are compared by.
type measures struct {
	// turns came, held of them waited, due of these for as long as they may, for heldTime in all.
	turns, held, due int
	heldTime         time.Duration
	// inverted turns went while one more urgent by rank waited somewhere.
	inverted int
	// unused is the slot time that was bearable and free while turns waited.
	unused time.Duration
	// messages were sent for the order alone.
	messages int
}

// plus adds what became of other callers.
func (o outcome) plus(other outcome) outcome {
	o.InTime, o.Late, o.Failed = o.InTime+other.InTime, o.Late+other.Late, o.Failed+other.Failed
	o.RefusedFirst, o.Asks = o.RefusedFirst+other.RefusedFirst, o.Asks+other.Asks
	return o
}

// plus adds the measures of another replay.
func (m measures) plus(other measures) measures {
	return measures{
		turns: m.turns + other.turns, held: m.held + other.held, due: m.due + other.due, heldTime: m.heldTime + other.heldTime,
		inverted: m.inverted + other.inverted, unused: m.unused + other.unused, messages: m.messages + other.messages,
	}
}

// newOrdered returns a load of programs that unfold, which has not begun.
func newOrdered(played load, seed uint64, way orderWay, travel reports) *ordered {
	o := &ordered{replayed: newReplayed(played, seed, newDecided), way: way, reports: travel}
	o.start = o.now
	for number := range o.replayed.gateways {
		o.gateways = append(o.gateways, newOrderingGateway())
		o.replayed.gateways[number].observed = func(took time.Duration) {
			believed := o.replayed.gateways[number].directory.Capacity(o.now, "s")
			o.gateways[number].order.Took(believed.Busy, believed.Slots, took)
		}
		o.replayed.gateways[number].waiting = func() int { return o.believedWaiting(number) }
		o.after(reportEvery*time.Duration(number+1)/time.Duration(played.Gateways), func() { o.tell(number) })
	}
	o.hold = o.ask
	o.after(reportEvery, o.watch)
	if way == coordinator {
		o.after(reportEvery, o.grant)
	}
	return o
}

func newOrderingGateway() *orderingGateway {
	return &orderingGateway{order: overload.NewOrder(), heard: tally.New[overload.OrderFigure](time.Second)}
}

// restart makes a gateway forget what it knew of the order.
func (o *ordered) restart(number int) { o.gateways[number] = newOrderingGateway() }

// ask lets a turn look for a slot once it may.
func (o *ordered) ask(c *call, number int, id string, look func()) {
	known := o.gateways[number]
	known.observe(o.now, c, o.replayed.gateways[number].directory)
	if c.first {
		look()
		return
	}
	o.measured.turns++
	turn := known.turn(o.now, c, id)
	switch o.way {
	case polling:
		look()
	case level:
		o.askLevel(number, turn, look)
	case coordinator:
		o.askCoordinator(number, turn, look)
	}
}

// observe learns how long programs take.
func (g *orderingGateway) observe(now time.Time, c *call, directory *backend.Directory) {
	believed := directory.Capacity(now, "s")
	g.order.Observe(now, c.spec.Rank, c.program, c.first, 2*believed.Busy <= believed.Slots, c.ends.Sub(now))
}

func (g *orderingGateway) turn(now time.Time, c *call, id string) overload.Turn {
	return overload.Turn{
		ID: id, RouteRank: c.spec.Rank, TenantRank: c.spec.TenantRank, Late: !now.Before(c.ends), Arrived: now,
		Longest: g.order.Longest(now, g.heard.Sums(now), c.spec.Rank, c.deadline, c.ends),
	}
}

// room returns what a gateway believes of the slots.
func (o *ordered) room(number int) overload.Room {
	directory, known := o.replayed.gateways[number].directory, o.gateways[number]
	believed := directory.Capacity(o.now, "s")
	return overload.Room{Slots: believed.Slots, Busy: believed.Busy, Bearable: known.order.Bearable(known.heard.Sums(o.now))}
}

func (o *ordered) askLevel(number int, turn overload.Turn, look func()) {
	known := o.gateways[number]
	decision := known.order.Ask(o.now, turn, o.room(number), known.heard.Sums(o.now))
	if decision.Go {
		o.goes(turn, decision.Reason == overload.ReasonDue, look)
		return
	}
	o.after(decision.Pause, func() { o.askLevel(number, turn, look) })
}

// believedWaiting returns how many turns a gateway believes to wait.
func (o *ordered) believedWaiting(number int) int {
	known := o.gateways[number]
	return len(o.granting) + known.order.Waiting(o.now, known.heard.Sums(o.now))
}

// goes counts a turn that looks for a slot now.
func (o *ordered) goes(turn overload.Turn, due bool, look func()) {
	if waited := o.now.Sub(turn.Arrived); waited > 0 {
		o.measured.held++
		o.measured.heldTime += waited
	}
	if due {
		o.measured.due++
	}
	if turn.Late && o.waitingInTime() > 0 && !due {
		o.measured.inverted++
	}
	look()
}

// waitingTurns returns how many turns of the given classes wait at all gateways.
func (o *ordered) waitingTurns(from, to int) float64 {
	total := 0.0
	for _, known := range o.gateways {
		figures := known.order.Figures(o.now)
		for class := from; class < to; class++ {
			total += figures[overload.OrderFigure(class)]
		}
	}
	return total
}

// waitingInTime returns how many turns of programs that can end in time wait.
func (o *ordered) waitingInTime() float64 {
	total := o.waitingTurns(0, 4)
	for _, waiting := range o.granting {
		if !waiting.turn.Late {
			total++
		}
	}
	return total
}

func (o *ordered) askCoordinator(number int, turn overload.Turn, look func()) {
	if turn.RouteRank == 0 && !turn.Late || turn.Longest <= 0 {
		look()
		return
	}
	class := turn.RouteRank
	if turn.Late {
		class += 10
	}
	waiting := &waitingTurn{id: turn.ID, turn: turn, class: class, look: look}
	o.measured.messages += 2
	o.after(hop, func() {
		if waiting.look != nil {
			o.granting = append(o.granting, waiting)
		}
	})
	o.after(turn.Longest, func() {
		if waiting.look != nil {
			o.take(waiting)
			o.goes(turn, true, look)
		}
	})
}

// take ends a turn's wait for the coordinator.
func (o *ordered) take(waiting *waitingTurn) {
	waiting.look = nil
	o.granting = slices.DeleteFunc(o.granting, func(other *waitingTurn) bool { return other == waiting })
}

// grant gives the room that the coordinator believes in to the turns in their order. Slots that
// it has granted count until the reports must tell of them.
func (o *ordered) grant() {
	const leased = 150 * time.Millisecond
	o.granted = slices.DeleteFunc(o.granted, func(at time.Time) bool { return o.now.Sub(at) > leased })
	room := o.room(0)
	free := int(room.Bearable*float64(room.Slots)) - room.Busy - len(o.granted)
	slices.SortStableFunc(o.granting, func(a, b *waitingTurn) int {
		return cmp.Or(cmp.Compare(a.class, b.class), a.turn.Arrived.Add(a.turn.Longest).Compare(b.turn.Arrived.Add(b.turn.Longest)))
	})
	for free > 0 && len(o.granting) > 0 {
		next := o.granting[0]
		look := next.look
		o.take(next)
		o.granted = append(o.granted, o.now)
		o.after(hop, func() { o.goes(next.turn, false, look) })
		free--
	}
	o.after(10*time.Millisecond, o.grant)
}

// tell sends a gateway's reports: its own to two of its zone, its zone's to one of another.
func (o *ordered) tell(number int) {
	zones := o.load.Zones
	known, directory := o.gateways[number], o.replayed.gateways[number].directory
	own := known.order.Figures(o.now)
	zone := tally.Source{Zone: fmt.Sprint(number % zones)}
	inZone := (len(o.gateways) - number%zones + zones - 1) / zones
	for range min(2, inZone-1) {
		known.sent++
		neighbour := number%zones + zones*((number/zones+1+known.sent%(inZone-1))%inZone)
		o.deliver(number, neighbour, tally.Source{Gateway: fmt.Sprint(number)}, directory.Loads(o.now), own)
	}
	if remote := (number + known.sent/2) % len(o.gateways); remote%zones != number%zones {
		o.deliver(number, remote, zone, directory.ZoneLoads(o.now), known.heard.WithZone(o.now, own))
	}
	o.after(reportEvery, func() { o.tell(number) })
}

// deliver brings a report to a gateway, unless it is lost.
func (o *ordered) deliver(from, to int, source tally.Source, loads map[string]int, figures overload.OrderFigures) {
	if o.reports.silent == from && from > 0 && o.now.Sub(o.start) > o.reports.silentFrom {
		return
	}
	copies := 1
	if o.random.Float64() < o.reports.lost {
		copies--
	}
	if o.random.Float64() < o.reports.doubled {
		copies++
	}
	for range copies {
		o.after(hop+time.Duration(o.random.Float64()*float64(o.reports.late)), func() {
			o.replayed.gateways[to].directory.RemoteLoads(o.now, backend.LoadSource(source), loads)
			o.gateways[to].heard.Replace(o.now, source, figures)
		})
	}
}

// watch adds up the slots that are free and bearable while turns wait.
func (o *ordered) watch() {
	const every = 10 * time.Millisecond
	waiting, busy, slots := o.waitingTurns(0, 8)+float64(len(o.granting)), 0, 0
	for _, machine := range o.machines {
		if machine.state == "up" {
			busy, slots = busy+machine.running, slots+o.load.Slots
		}
	}
	free := o.room(0).Bearable*float64(slots) - float64(busy)
	o.measured.unused += time.Duration(max(0, min(free, waiting)) * float64(every))
	o.after(every, o.watch)
}
