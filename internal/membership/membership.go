// Package membership is a node's failure detector: which incarnation of each
// other node is heard from, and since when not.
//
// Nodes of a cell send each other heartbeats; a node outside the cell is heard
// from now and then by gossip. The cost depends on the size of the cell, not of
// the system. Detection is per observer and per direction, so a one-way cut
// shows on the side that stops hearing. What the detector says is only a hint:
// safety never rests on it.
package membership

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"swiftbank.dev/swiftbank/internal/raft"
)

const (
	// HeartbeatInterval is how often a node sends to each member of its cell.
	HeartbeatInterval = 250 * time.Millisecond
	// SuspectAfter is the time without a word after which a cell member counts as dead.
	SuspectAfter = time.Second
)

// Heartbeat is the message of the detector. It also carries the few facts that
// every node must learn soon.
type Heartbeat struct {
	Incarnation uint64
	// Formed is set once the sender's cell has been formed.
	Formed bool
	// Draining is set while the sender prepares to stop.
	Draining bool
	// WholeShards counts the shards that the sender leads with all replicas in place.
	WholeShards uint32
	// ConfigRevision is the configuration in force at the sender.
	ConfigRevision uint64
	// MachinesVersion is the version of the sender's machine list.
	MachinesVersion uint64
}

// peer is what is known of one other node.
type peer struct {
	heartbeat Heartbeat
	heardAt   time.Time
}

// Detector holds what one node has heard of the others.
type Detector struct {
	self        string
	incarnation uint64
	peers       map[string]*peer
	now         time.Time
}

// New returns a detector that has heard of nobody.
func New(self string, incarnation uint64) *Detector {
	return &Detector{self: self, incarnation: incarnation, peers: map[string]*peer{}}
}

// MemberID joins a node id and an incarnation.
func MemberID(node string, incarnation uint64) raft.MemberID {
	return raft.MemberID(fmt.Sprintf("%s#%d", node, incarnation))
}

// SplitMemberID takes a member id apart.
func SplitMemberID(id raft.MemberID) (node string, incarnation uint64) {
	node, text, _ := strings.Cut(string(id), "#")
	incarnation, _ = strconv.ParseUint(text, 10, 64)
	return node, incarnation
}

// Advance tells the detector the time.
func (d *Detector) Advance(now time.Time) { d.now = now }

// Receive applies a heartbeat. A heartbeat of an earlier incarnation that
// arrives late is ignored while the newer one is alive.
func (d *Detector) Receive(node string, heartbeat Heartbeat) {
	known := d.peers[node]
	if known == nil {
		d.peers[node] = &peer{heartbeat: heartbeat, heardAt: d.now}
		return
	}
	other := known.heartbeat.Incarnation != heartbeat.Incarnation
	if other && heartbeat.Incarnation < known.heartbeat.Incarnation && d.now.Sub(known.heardAt) <= SuspectAfter {
		return
	}
	known.heartbeat = heartbeat
	known.heardAt = d.now
}

// Alive reports whether the member's incarnation was heard from lately. It
// implements raft.Liveness.
func (d *Detector) Alive(id raft.MemberID) bool {
	node, incarnation := SplitMemberID(id)
	if node == d.self {
		return incarnation == d.incarnation
	}
	known := d.peers[node]
	return known != nil && known.heartbeat.Incarnation == incarnation && d.now.Sub(known.heardAt) <= SuspectAfter
}

// NodeAlive reports whether any incarnation of the node was heard from lately.
func (d *Detector) NodeAlive(node string) bool {
	if node == d.self {
		return true
	}
	known := d.peers[node]
	return known != nil && d.now.Sub(known.heardAt) <= SuspectAfter
}

// Last returns the newest heartbeat of a node and when it was heard.
func (d *Detector) Last(node string) (Heartbeat, time.Time, bool) {
	known := d.peers[node]
	if known == nil {
		return Heartbeat{}, time.Time{}, false
	}
	return known.heartbeat, known.heardAt, true
}
