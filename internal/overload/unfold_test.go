package overload_test

import (
	"fmt"
	"math"
	"time"
)

// step is a turn of a program that unfolds, with the sub-agents that it starts.
type step struct {
	work      time.Duration
	subAgents [][]step
}

// draw makes the turns of a program.
func (r *replayed) draw(spec kind, turns int, subAgents bool) []step {
	var steps []step
	for range turns {
		drawn := step{work: milliseconds(spec.WorkMS * math.Exp(0.5*r.random.NormFloat64()-0.125))}
		if subAgents && r.random.Float64() < spec.SubShare {
			for range spec.SubAgents {
				drawn.subAgents = append(drawn.subAgents, r.draw(spec, spec.SubTurns, false))
			}
		}
		steps = append(steps, drawn)
	}
	return steps
}

// idleTime returns how long steps take on idle instances.
func idleTime(spec kind, steps []step) time.Duration {
	total := time.Duration(0)
	for _, one := range steps {
		slowest := time.Duration(0)
		for _, agent := range one.subAgents {
			slowest = max(slowest, idleTime(spec, agent))
		}
		total += one.work + 2*hop + slowest + milliseconds(spec.PauseMS)
	}
	return total
}

// unfold runs a program whose turns start sub-agents.
func (r *replayed) unfold(name string, zone int) {
	spec := r.load.Kinds[name]
	steps := r.draw(spec, spec.Turns, true)
	aim := time.Duration(spec.AimFactor*float64(idleTime(spec, steps))) + milliseconds(spec.ObjectiveMS)
	r.next++
	program := &programRun{replayed: r, id: fmt.Sprint("p", r.next), first: -1, name: name, zone: zone, spec: spec, ends: r.now.Add(aim)}
	program.run(steps, func() {
		switch {
		case program.lost:
		case r.now.After(program.ends):
			r.of(name).Late++
		default:
			r.of(name).InTime++
		}
	})
}

// programRun is a program on its way; lost is set once a turn of it was refused for good.
type programRun struct {
	*replayed
	id      string
	name    string
	zone    int
	spec    kind
	ends    time.Time
	first   int
	started bool
	lost    bool
}

// gateway returns the gateway of a turn: often that of the first turn, whose connection the
// caller keeps.
func (p *programRun) gateway(random int) int {
	if p.first < 0 {
		p.first = random
	}
	if p.random.Float64() < p.spec.Stay {
		return p.first
	}
	return random
}

// run makes the turns one after another.
func (p *programRun) run(steps []step, done func()) {
	if len(steps) == 0 || p.lost {
		done()
		return
	}
	c := &call{
		kind: p.name, spec: p.spec, zone: p.zone, began: p.now, deadline: p.now.Add(milliseconds(p.spec.DeadlineMS)),
		first: !p.started, program: p.id, home: p.gateway, ends: p.ends, work: steps[0].work,
	}
	p.started = true
	c.end = func(ok bool) {
		if !ok {
			p.lose(c)
			return
		}
		p.join(steps[0].subAgents, func() {
			p.after(milliseconds(p.spec.PauseMS), func() { p.run(steps[1:], done) })
		})
	}
	p.attempt(c)
}

// join runs sub-agents side by side.
func (p *programRun) join(agents [][]step, done func()) {
	left := len(agents)
	if left == 0 {
		done()
		return
	}
	for _, agent := range agents {
		p.run(agent, func() {
			left--
			if left == 0 {
				done()
			}
		})
	}
}

// lose counts the program once.
func (p *programRun) lose(c *call) {
	if p.lost {
		return
	}
	p.lost = true
	if c.refusals > 0 {
		p.of(p.name).RefusedFirst++
		return
	}
	p.of(p.name).Failed++
}
