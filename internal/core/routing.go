package core

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// firstRecheck is when a request without answer is sent again; the interval
	// doubles up to lastRecheck. Repeats are harmless: the leader attaches them.
	firstRecheck = 400 * time.Millisecond
	lastRecheck  = 8 * time.Second
	// notLeaderDelay is how long to wait before asking again during an election.
	notLeaderDelay = 100 * time.Millisecond
	// defaultTimeout bounds how long a request without deadline is routed.
	defaultTimeout = 15 * time.Minute
	// readTimeout bounds requests that read or end a session.
	readTimeout = 10 * time.Second
	// relayTimeout bounds a request passed on for another node.
	relayTimeout = 2 * time.Second
	// deadlineGrace lets the leader's own refusal at the deadline arrive first.
	deadlineGrace = 200 * time.Millisecond
	// unavailableRetry is when a caller may come back after a shard had no leader.
	unavailableRetry = 2 * time.Second
	// maxHops bounds how often a request is passed on.
	maxHops = 2
)

// routedRequest is a request on its way to the leader of its shard.
type routedRequest struct {
	id      uint64
	shard   uint32
	payload any
	hops    uint8
	giveUp  time.Time
	// target is the node that the newest copy went to.
	target  string
	retryAt time.Time
	recheck time.Duration
	copies  uint32
	// unsettled are the copies whose fate is unknown. While there is one, the
	// request may still run, so it must not be reported as not run.
	unsettled map[uint32]bool
	// hint is the node that another node believes to lead the shard.
	hint string
	// denied is the node that last said that it does not lead the shard. What this
	// node's own replica believes may be outdated, as after its removal.
	denied  string
	resolve func(now time.Time, reply Reply, settled bool)
}

// waiter is a requester at its gateway, as the leader knows it.
type waiter struct {
	node        string
	incarnation uint64
	requestID   uint64
	copies      []uint32
	// caller is set when the text is wanted as it comes.
	caller *CallerReference
}

// receiveCall routes a caller's call.
func (n *Node) receiveCall(now time.Time, event CallReceived) {
	request := event.Request
	request.Ask = fmt.Sprintf("%s/%d", n.member, event.RequestID)
	payload := CallPayload{Request: request, Caller: n.callerReference(event.RequestID, event.Stream, 0)}
	n.submitCaller(now, event.RequestID, n.shardOf(request.ID.Key), payload, request.Deadline)
}

// callerReference names a local caller who wants the answer's text as it comes.
func (n *Node) callerReference(requestID uint64, stream bool, offset int64) *CallerReference {
	if !stream {
		return nil
	}
	return &CallerReference{Node: n.config.Node, Incarnation: n.config.Incarnation, RequestID: requestID, Offset: offset}
}

// submitCaller routes a request of a local caller.
func (n *Node) submitCaller(now time.Time, requestID uint64, number uint32, payload any, deadline time.Time) {
	giveUp := now.Add(defaultTimeout)
	if !deadline.IsZero() {
		giveUp = deadline.Add(deadlineGrace)
	}
	routed := n.submit(now, number, payload, 0, giveUp, func(_ time.Time, reply Reply, settled bool) {
		delete(n.callerRequests, requestID)
		n.emit(ReplyCaller{RequestID: requestID, Reply: honestReply(reply, settled)})
	})
	if n.routed[routed.id] != nil {
		n.callerRequests[requestID] = routed.id
	}
}

// honestReply turns "not run" into "may have run" while a copy of the request is
// still unaccounted for.
func honestReply(reply Reply, settled bool) Reply {
	if settled || reply.Error == nil || reply.Error.Verdict != verdict.NotRun {
		return reply
	}
	unsure := *reply.Error
	unsure.Verdict = verdict.MayHaveRun
	return Reply{Error: &unsure}
}

// submit routes a payload to the leader of a shard and calls resolve once.
func (n *Node) submit(now time.Time, number uint32, payload any, hops uint8, giveUp time.Time, resolve func(time.Time, Reply, bool)) *routedRequest {
	n.nextRouted++
	routed := &routedRequest{
		id: n.nextRouted, shard: number, payload: payload, hops: hops, giveUp: giveUp,
		recheck: firstRecheck, unsettled: map[uint32]bool{}, resolve: resolve,
	}
	n.routed[routed.id] = routed
	n.sendCopy(now, routed)
	return routed
}

// sendCopy sends the request to the node that most likely leads the shard.
func (n *Node) sendCopy(now time.Time, routed *routedRequest) {
	routed.retryAt = now.Add(routed.recheck)
	routed.recheck = min(2*routed.recheck, lastRecheck)
	if g := n.groups[routed.shard]; g != nil && g.leading && !n.draining {
		routed.copies++
		routed.target = n.config.Node
		self := waiter{node: n.config.Node, incarnation: n.config.Incarnation, requestID: routed.id, copies: []uint32{routed.copies}}
		routed.unsettled[routed.copies] = true
		n.serve(now, g, self, routed.payload)
		return
	}
	target := n.chooseTarget(routed)
	if target == "" {
		routed.target = ""
		routed.retryAt = now.Add(notLeaderDelay)
		return
	}
	routed.copies++
	routed.target = target
	routed.unsettled[routed.copies] = true
	n.send(target, Forward{
		Incarnation: n.config.Incarnation, RequestID: routed.id, Copy: routed.copies, Shard: routed.shard,
		Hops: routed.hops + 1, Payload: routed.payload,
	})
}

// chooseTarget prefers the hint of another node, then the leader known here, then
// any live node of the cell.
func (n *Node) chooseTarget(routed *routedRequest) string {
	if hint := routed.hint; hint != "" && hint != n.config.Node {
		routed.hint = ""
		return hint
	}
	if leader := n.leaderNode(routed.shard); leader != "" && leader != n.config.Node && leader != routed.denied {
		return leader
	}
	cell := n.config.Topology.CellOfShard(routed.shard)
	var candidates []string
	for _, node := range n.config.Topology.CellMembers(cell) {
		known := cell == n.cell
		if node == n.config.Node || (known && !n.detector.NodeAlive(node)) || node == routed.target {
			continue
		}
		candidates = append(candidates, node)
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[n.random.IntN(len(candidates))]
}

// leaderNode returns the live node that leads a shard as far as this node knows.
func (n *Node) leaderNode(number uint32) string {
	g := n.groups[number]
	if g == nil || g.raft.IsRemoved() {
		return ""
	}
	leader := g.raft.Leader()
	if leader == "" || !n.detector.Alive(leader) {
		return ""
	}
	return nodeOf(leader)
}

// receiveForward serves a request, passes it on, or says who leads.
func (n *Node) receiveForward(now time.Time, from string, forward Forward) {
	origin := waiter{node: from, incarnation: forward.Incarnation, requestID: forward.RequestID, copies: []uint32{forward.Copy}}
	g := n.groups[forward.Shard]
	if g != nil && g.leading && !n.draining {
		n.serve(now, g, origin, forward.Payload)
		return
	}
	leader := n.leaderNode(forward.Shard)
	if forward.Hops >= maxHops || leader == "" || leader == n.config.Node {
		n.replyNotLeader(origin, leader)
		return
	}
	n.submit(now, forward.Shard, forward.Payload, forward.Hops, now.Add(relayTimeout), func(_ time.Time, reply Reply, settled bool) {
		if reply.Error != nil && reply.Error.Code == verdict.CodeUnavailable {
			if settled {
				n.replyNotLeader(origin, "")
			}
			return // the fate is unknown: the origin asks again
		}
		n.send(origin.node, ForwardReply{
			Incarnation: origin.incarnation, RequestID: origin.requestID,
			Copies: settledCopies(origin, settled), Reply: reply,
		})
	})
}

func settledCopies(origin waiter, settled bool) []uint32 {
	if settled {
		return origin.copies
	}
	return nil
}

func (n *Node) replyNotLeader(origin waiter, leader string) {
	n.send(origin.node, ForwardReply{
		Incarnation: origin.incarnation, RequestID: origin.requestID,
		Copies: origin.copies, NotLeader: true, Leader: leader,
	})
}

// respond answers a waiter, local or remote.
func (n *Node) respond(now time.Time, to waiter, reply Reply) {
	message := ForwardReply{Incarnation: to.incarnation, RequestID: to.requestID, Copies: to.copies, Reply: reply}
	if to.node == n.config.Node {
		n.receiveReply(now, message)
		return
	}
	n.send(to.node, message)
}

// respondNotLeader tells a waiter to ask the next leader.
func (n *Node) respondNotLeader(now time.Time, to waiter) {
	if to.node == n.config.Node {
		n.receiveReply(now, ForwardReply{Incarnation: to.incarnation, RequestID: to.requestID, Copies: to.copies, NotLeader: true})
		return
	}
	n.replyNotLeader(to, "")
}

func (n *Node) receiveReply(now time.Time, message ForwardReply) {
	routed := n.routed[message.RequestID]
	if routed == nil || message.Incarnation != n.config.Incarnation {
		return
	}
	for _, copyNumber := range message.Copies {
		delete(routed.unsettled, copyNumber)
	}
	if message.NotLeader {
		routed.hint = message.Leader
		routed.denied = routed.target
		routed.recheck = firstRecheck
		routed.retryAt = now.Add(notLeaderDelay)
		if message.Leader != "" && message.Leader != routed.target {
			routed.retryAt = now
		}
		return
	}
	n.resolveRouted(now, routed, message.Reply)
}

func (n *Node) resolveRouted(now time.Time, routed *routedRequest, reply Reply) {
	delete(n.routed, routed.id)
	routed.resolve(now, reply, len(routed.unsettled) == 0)
}

// tickRouted sends again what has no answer and gives up what has run out of time.
func (n *Node) tickRouted(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.routed)) {
		routed := n.routed[id]
		if routed == nil {
			continue // resolved by an earlier one
		}
		if !now.Before(routed.giveUp) {
			n.resolveRouted(now, routed, Reply{Error: verdict.Refuse(verdict.CodeUnavailable, unavailableRetry, "the session's shard did not answer in time")})
			continue
		}
		lost := routed.target != "" && routed.target != n.config.Node && n.lostNode(routed.target)
		if lost && routed.retryAt.After(now.Add(notLeaderDelay)) {
			routed.retryAt = now
			routed.recheck = firstRecheck
		}
		if !now.Before(routed.retryAt) {
			n.sendCopy(now, routed)
		}
	}
}

// lostNode reports whether a node of this cell fell silent.
func (n *Node) lostNode(node string) bool {
	return n.config.Topology.CellOfNode(node) == n.cell && !n.detector.NodeAlive(node)
}

// callerGone forgets a local caller. The call itself goes on: its outcome is
// recorded and can be asked for by its number.
func (n *Node) callerGone(requestID uint64) {
	if id, found := n.callerRequests[requestID]; found {
		delete(n.callerRequests, requestID)
		delete(n.routed, id)
	}
}

// addWaiter adds a requester once, joining the copies of a repeated request.
func addWaiter(list []waiter, added waiter) []waiter {
	for i := range list {
		if list[i].node == added.node && list[i].incarnation == added.incarnation && list[i].requestID == added.requestID {
			list[i].copies = append(list[i].copies, added.copies...)
			return list
		}
	}
	return append(list, added)
}

// serve handles a request at the leader of its shard.
func (n *Node) serve(now time.Time, g *group, from waiter, payload any) {
	switch p := payload.(type) {
	case CallPayload:
		from.caller = p.Caller
		n.serveCall(now, g, from, p)
	case AnswerPayload:
		from.caller = p.Caller
		n.serveAnswer(now, g, from, p)
	case SessionPayload:
		n.serveSession(now, g, from, p)
	case EndPayload:
		n.serveEnd(now, g, from, p)
	case GrantPayload:
		n.serveGrant(now, g, from, p)
	case CreditPayload:
		n.serveCredit(now, g, from, p)
	case AttemptReport:
		n.serveReport(now, g, from, p)
	case HoldPayload:
		n.serveHold(now, g, from, p)
	}
}
