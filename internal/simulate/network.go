package simulate

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/membership"
)

// controlCost counts what nodes send each other for control: heartbeats and
// configuration, not the calls themselves.
type controlCost struct {
	messages uint64
	bytes    uint64
}

// heartbeatBytes is the size of a heartbeat with its frame on the wire
// (BenchmarkHeartbeatBytes in package core); envelopeBytes estimates the frame around
// another message.
const (
	heartbeatBytes = 114
	envelopeBytes  = 60
	// pollBytes estimates a GET /load and its answer with their headers.
	pollBytes = 290
)

// network carries messages between nodes.
type network struct {
	world *world
	// cut holds the directions in which nothing passes.
	cut map[[2]string]int
	// lastArrival keeps each direction in order while nothing reorders.
	lastArrival map[[2]string]time.Time
	loss        float64
	duplicate   float64
	reorder     time.Duration
}

func newNetwork(w *world) *network {
	return &network{world: w, cut: map[[2]string]int{}, lastArrival: map[[2]string]time.Time{}}
}

// delay draws the time between two machines.
func (n *network) delay(from, to string) time.Duration {
	base := n.world.deployment.zoneLatency
	if from == to {
		base /= 5
	}
	return base + time.Duration(n.world.networkRandom.ExpFloat64()*float64(base)/5)
}

func (w *world) callerDelay() time.Duration {
	base := w.deployment.callerLatency
	return base + time.Duration(w.networkRandom.ExpFloat64()*float64(base)/5)
}

func (n *network) send(from *simNode, to string, envelope core.Envelope) {
	n.count(envelope)
	receiver := n.world.nodes[to]
	direction := [2]string{from.id, to}
	if receiver == nil || n.cut[direction] > 0 || n.world.networkRandom.Float64() < n.loss {
		return
	}
	n.arrive(from, receiver, direction, envelope)
	if n.world.networkRandom.Float64() < n.duplicate {
		n.arrive(from, receiver, direction, envelope)
	}
}

func (n *network) arrive(from, receiver *simNode, direction [2]string, envelope core.Envelope) {
	w := n.world
	at := w.now.Add(n.delay(from.zone, receiver.zone))
	if n.reorder > 0 {
		at = at.Add(time.Duration(w.networkRandom.Int64N(int64(n.reorder))))
	} else if at.Before(n.lastArrival[direction]) {
		at = n.lastArrival[direction]
	}
	n.lastArrival[direction] = at
	w.after(at.Sub(w.now), func() {
		// Whoever runs on the machine by then gets the message.
		receiver.deliver(receiver.epoch, core.PeerReceived{Envelope: envelope})
	})
}

// countPoll counts a question for a back end's load, with its answer.
func (n *network) countPoll() {
	n.world.control.messages++
	n.world.control.bytes += pollBytes
}

func (n *network) count(envelope core.Envelope) {
	switch m := envelope.Message.(type) {
	case membership.Heartbeat:
		n.world.control.messages++
		n.world.control.bytes += heartbeatBytes
	case core.ConfigPull:
		n.world.control.messages++
		n.world.control.bytes += envelopeBytes
	case core.ConfigPush:
		n.world.control.messages++
		n.world.control.bytes += envelopeBytes + uint64(len(m.Changes))*512
	}
}

// setCut cuts or heals one direction. Cuts of several faults add up.
func (n *network) setCut(from, to string, cut bool) {
	direction := [2]string{from, to}
	if cut {
		n.cut[direction]++
	} else {
		n.cut[direction]--
	}
	n.world.note("cut", fmt.Sprintf("%s %s %d", from, to, n.cut[direction]))
}

func sortedIDs[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
