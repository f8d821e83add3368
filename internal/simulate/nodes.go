package simulate

import (
	"fmt"
	"time"

	"swiftbank.dev/swiftbank/internal/core"
)

// simNode is one simulated machine that runs a node.
type simNode struct {
	world *world
	id    string
	zone  string
	core  *core.Node
	step  stepper
	// epoch counts the processes that ran on the machine.
	epoch  int
	alive  bool
	frozen bool
	// backlog holds what arrives while the process is frozen.
	backlog []core.Event
	// skew is the difference of the machine's clock from true time at skewAt, and
	// drift how much faster it runs. A process sees no jumps of the wall clock,
	// since it measures with a monotonic one.
	skew   time.Duration
	skewAt time.Time
	drift  float64
	// stopping is set between a planned stop's begin and the process's end.
	stopping      bool
	stoppingSince time.Time
	// connections are the callers connected to the node, by request id.
	connections map[uint64]connection
	// nextRequest numbers the requests of callers.
	nextRequest uint64
	bootedAt    time.Time
	reading     bool
}

// nodeTimeouts bound attempts in simulated nodes, shorter than the defaults so
// that a run of minutes sees them.
var nodeTimeouts = core.Timeouts{Engine: 2 * time.Minute, Application: 10 * time.Second, Tool: 10 * time.Second}

// localTime is the machine's clock.
func (n *simNode) localTime() time.Time { return n.localOf(n.world.now) }

// localOf is what the machine's clock shows at a true time.
func (n *simNode) localOf(at time.Time) time.Time {
	since := at.Sub(n.skewAt)
	return at.Add(n.skew + time.Duration(float64(since)*n.drift))
}

// setDrift changes the clock's speed without a jump.
func (n *simNode) setDrift(drift float64) {
	n.skew = n.localTime().Sub(n.world.now)
	n.skewAt = n.world.now
	n.drift = drift
}

// setSkew sets the clock of a machine on which no process runs.
func (n *simNode) setSkew(skew time.Duration) {
	n.skew = skew
	n.skewAt = n.world.now
}

// boot starts a new process.
func (n *simNode) boot() {
	w := n.world
	n.epoch++
	n.alive, n.frozen, n.stopping, n.reading = true, false, false, false
	n.backlog = nil
	n.connections = map[uint64]connection{}
	n.bootedAt = w.now
	n.core = core.New(core.Config{
		Node: n.id, Incarnation: uint64(n.localTime().UnixNano()), Topology: w.layout,
		Seed: w.options.Seed, Timeouts: nodeTimeouts, Policy: w.options.Policy,
	})
	n.step = n.core
	if w.options.wrap != nil {
		n.step = w.options.wrap(w, n)
	}
	w.note("boot", n.id)
	epoch := n.epoch
	n.tickLater(epoch, time.Duration(w.networkRandom.Int64N(int64(core.TickInterval))))
}

func (n *simNode) tickLater(epoch int, delay time.Duration) {
	n.world.after(delay, func() {
		if n.epoch != epoch || !n.alive {
			return
		}
		if !n.frozen {
			n.deliver(epoch, core.Tick{})
		}
		n.tickLater(epoch, core.TickInterval)
	})
}

// readMachines reads the lagging machine list from the platform.
func (n *simNode) readMachines() {
	epoch := n.epoch
	n.world.after(storeDelay, func() {
		if !n.world.store.down {
			n.deliver(epoch, core.BackEndsListed{BackEnds: n.world.backEnds.listed()})
		}
	})
}

// deliver hands an event to the process that it was meant for.
func (n *simNode) deliver(epoch int, event core.Event) {
	if !n.alive || n.epoch != epoch {
		return
	}
	if n.frozen {
		n.backlog = append(n.backlog, event)
		return
	}
	for _, action := range n.step.Step(n.localTime(), event) {
		n.perform(action)
	}
}

// thaw ends a freeze: everything that arrived meanwhile is handled at once.
func (n *simNode) thaw(epoch int) {
	if !n.alive || n.epoch != epoch {
		return
	}
	n.frozen = false
	backlog := n.backlog
	n.backlog = nil
	n.world.note("thaw", n.id)
	for _, event := range backlog {
		n.deliver(epoch, event)
	}
}

// kill ends the process at once; its callers' connections are cut.
func (n *simNode) kill() {
	if !n.alive {
		return
	}
	w := n.world
	w.note("kill", n.id)
	n.alive = false
	w.recovery.nodeLost(n)
	for _, id := range sortedIDs(n.connections) {
		n.connections[id].cut()
	}
	n.connections = map[uint64]connection{}
}

func (n *simNode) perform(action core.Action) {
	w := n.world
	epoch := n.epoch
	switch a := action.(type) {
	case core.SendPeer:
		w.network.send(n, a.To, a.Envelope)
	case core.ReplyCaller:
		n.reply(a)
	case core.StartAttempt:
		w.backEnds.start(n, a)
	case core.CancelAttempt:
		w.backEnds.cancel(n, a)
	case core.ReleaseCache:
		w.backEnds.release(n, a)
	case core.ListHolds:
		w.backEnds.listHolds(n, a.BackEnd.Name)
	case core.ReadChanges:
		w.store.readChanges(n, a.After)
	case core.PollLoad:
		w.network.countPoll()
		w.backEnds.poll(n, a.BackEnd.Name)
	case core.ReadMachines:
		n.readMachines()
	case core.FormCell:
		w.store.formCell(n, a)
	case core.StopReady:
		w.after(0, func() { n.stopReady(epoch) })
	case core.LogEvent:
		w.note("log", fmt.Sprintf("%s %s %d", n.id, a.Message, a.Shard))
	}
}

// reply sends a final answer back to its caller.
func (n *simNode) reply(action core.ReplyCaller) {
	answered := n.connections[action.RequestID]
	if answered == nil {
		return
	}
	delete(n.connections, action.RequestID)
	n.world.after(n.world.callerDelay(), func() { answered.replied(action.Reply) })
}

// stopReady ends a process that finished its planned stop. A caller that is
// still connected shows that the stop cut something off.
func (n *simNode) stopReady(epoch int) {
	if !n.alive || n.epoch != epoch || !n.stopping {
		return
	}
	if len(n.connections) > 0 {
		n.world.checker.violation(PropertyPlannedStop, n.id, fmt.Sprintf("%s stopped with %d callers connected", n.id, len(n.connections)))
	}
	n.world.note("stopped", n.id)
	n.world.faults.stopped(n)
	n.kill()
	n.world.after(restartDelay, n.boot)
}
