package core

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// sweepInterval is how often each engine is asked what it holds.
	sweepInterval = 5 * time.Second
)

// orderReleases sends the releases that no engine has confirmed yet. They are
// part of the shard's state, so a new leader goes on with them.
func (n *Node) orderReleases(g *group) {
	for _, release := range g.state.PendingReleases() {
		if g.releasing[release] {
			continue
		}
		backEnd, found := n.scheduler.BackEnd(release.Engine)
		if !found {
			// The engine left the machine list, and its memory with it.
			n.propose(n.now(), g, shard.ReleaseDone{Release: release}, nil)
			continue
		}
		g.releasing[release] = true
		n.emit(ReleaseCache{Release: release, BackEnd: backEnd})
	}
}

// abortEnded stops the generation that this node has under way for a session that
// was ended in the middle of a call: nobody will read it, and it holds memory.
func (n *Node) abortEnded(now time.Time, g *group, key shard.SessionKey) {
	session := g.state.Sessions[key]
	if session == nil || !session.InProgress() {
		return
	}
	call := session.LastCall()
	id := shard.AttemptID{Call: call.Request.ID, Attempt: call.Attempt}
	running := n.attempts[id]
	if running == nil || running.outcome != nil || call.Request.Kind != shard.EngineCall {
		return
	}
	n.emit(CancelAttempt{Attempt: id, Abort: true})
	n.attemptFinished(now, AttemptFinished{
		Attempt: id, Outcome: failure(verdict.MayHaveRun, verdict.CodeSessionEnded, "the session was ended during the call"),
	})
}

func (n *Node) releaseFinished(now time.Time, event ReleaseFinished) {
	g := n.groups[n.shardOf(event.Release.Key)]
	if g == nil {
		return
	}
	delete(g.releasing, event.Release)
	if event.Confirmed {
		n.propose(now, g, shard.ReleaseDone{Release: event.Release}, nil)
	}
}

// sweepEngines asks engines what they hold, to find holds that no message
// released. Each engine is asked by one node, chosen by hash among the live
// nodes of the cell.
func (n *Node) sweepEngines(now time.Time) {
	if now.Before(n.nextSweep) {
		return
	}
	n.nextSweep = now.Add(sweepInterval)
	for _, backEnd := range n.scheduler.BackEnds() {
		if backEnd.Kind == shard.EngineCall && n.sweeperOf(backEnd.Name) == n.config.Node {
			n.emit(ListHolds{BackEnd: backEnd})
		}
	}
}

// sweeperOf picks a live node by rendezvous hashing.
func (n *Node) sweeperOf(engine string) string {
	best, bestWeight := "", uint64(0)
	for _, node := range n.config.Topology.CellMembers(n.cell) {
		weight := xxhash.Sum64String(engine + "\x00" + node)
		if n.detector.NodeAlive(node) && (best == "" || weight > bestWeight) {
			best, bestWeight = node, weight
		}
	}
	return best
}

// holdsReported asks each session's shard whether the hold is still wanted.
func (n *Node) holdsReported(now time.Time, event HoldsReported) {
	for _, key := range event.Keys {
		payload := HoldPayload{Key: key, Engine: event.Engine}
		n.submit(now, n.shardOf(key), payload, 0, now.Add(readTimeout), func(time.Time, Reply, bool) {})
	}
}

// serveHold releases the memory that an engine holds for a session that has
// ended or was never recorded.
func (n *Node) serveHold(now time.Time, g *group, from waiter, payload HoldPayload) {
	if n.holdWanted(g, payload.Key) {
		n.respond(now, from, Reply{})
		return
	}
	n.confirmLeadership(now, g, from, func(now time.Time) {
		n.releaseUnwanted(g, payload)
		n.respond(now, from, Reply{})
	})
}

func (n *Node) holdWanted(g *group, key shard.SessionKey) bool {
	session := g.state.Sessions[key]
	return session != nil && (!session.Ended || session.InProgress())
}

func (n *Node) releaseUnwanted(g *group, payload HoldPayload) {
	backEnd, found := n.scheduler.BackEnd(payload.Engine)
	release := shard.Release{Key: payload.Key, Engine: payload.Engine}
	if n.holdWanted(g, payload.Key) || !found || g.releasing[release] {
		return
	}
	g.releasing[release] = true
	n.emit(ReleaseCache{Release: release, BackEnd: backEnd})
}
