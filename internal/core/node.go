package core

import (
	"math/rand/v2"
	"time"

	"swiftbank.dev/swiftbank/internal/catalogue"
	"swiftbank.dev/swiftbank/internal/membership"
	"swiftbank.dev/swiftbank/internal/raft"
	"swiftbank.dev/swiftbank/internal/schedule"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/topology"
)

const (
	// TickInterval is how often the owner sends Tick.
	TickInterval = 50 * time.Millisecond
	// maintenanceInterval spaces the work that goes through whole shards.
	maintenanceInterval = time.Second
	// keptEntries is how many applied entries a shard's log keeps for followers
	// that are a little behind; others get a snapshot.
	keptEntries = 2048
)

// Config is what a node knows at its start.
type Config struct {
	Node        string
	Incarnation uint64
	Topology    *topology.Topology
	// Seed feeds the node's only random source.
	Seed     uint64
	Timeouts Timeouts
	// Policy is how engine calls are placed.
	Policy schedule.Policy
}

// Timeouts bound attempts by kind of call.
type Timeouts struct {
	Engine      time.Duration
	Application time.Duration
	Tool        time.Duration
}

// DefaultTimeouts are used where the settings give none.
func DefaultTimeouts() Timeouts {
	return Timeouts{Engine: 10 * time.Minute, Application: 30 * time.Second, Tool: time.Minute}
}

// Node is the state of one node. It is not safe for concurrent use.
type Node struct {
	config   Config
	member   raft.MemberID
	cell     int
	random   *rand.Rand
	detector *membership.Detector
	links    *linkTable

	// formed is set once the node knows who founded its cell.
	formed   bool
	founders []raft.MemberID
	// foundingPulledAt is when a peer was last asked for the founders.
	foundingPulledAt time.Time

	groups  map[uint32]*group
	numbers []uint32 // the keys of groups, in order
	// raftQueue collects replication messages until the end of a step.
	raftQueue   map[string][]raft.Message
	raftTargets []string

	catalogue *catalogue.Catalogue
	scheduler *schedule.Scheduler
	// machines is the newest machine list known.
	machines         MachinesPush
	machinesPulledAt time.Time
	nextLoadPoll     time.Time

	routed     map[uint64]*routedRequest
	nextRouted uint64
	// callerRequests maps the owner's request ids to routed requests.
	callerRequests map[uint64]uint64

	attempts  map[shard.AttemptID]*attempt
	abandoned map[shard.AttemptID]bool
	// proposedAt is when this node proposed the attempts that it is to dispatch.
	proposedAt  map[shard.AttemptID]time.Time
	timers      timerQueue
	retryTokens float64

	draining        bool
	drainingSince   time.Time
	stopReadySent   bool
	nextHeartbeat   time.Time
	nextGossip      time.Time
	newsUntil       time.Time
	nextMaintenance time.Time
	nextFormation   time.Time
	nextConfigRead  time.Time
	nextSweep       time.Time
	pulledAt        time.Time

	// stepTime is the time of the step in progress.
	stepTime time.Time
	actions  []Action
}

// New returns a node that belongs to no group yet.
func New(config Config) *Node {
	random := rand.New(rand.NewPCG(config.Seed, config.Incarnation))
	info, _ := config.Topology.Node(config.Node)
	return &Node{
		config:         config,
		member:         membership.MemberID(config.Node, config.Incarnation),
		cell:           config.Topology.CellOfNode(config.Node),
		random:         random,
		detector:       membership.New(config.Node, config.Incarnation),
		links:          newLinkTable(config.Node, config.Incarnation),
		groups:         map[uint32]*group{},
		raftQueue:      map[string][]raft.Message{},
		catalogue:      catalogue.New(),
		scheduler:      schedule.New(config.Node, info.Zone, config.Policy, random),
		routed:         map[uint64]*routedRequest{},
		callerRequests: map[uint64]uint64{},
		attempts:       map[shard.AttemptID]*attempt{},
		abandoned:      map[shard.AttemptID]bool{},
		proposedAt:     map[shard.AttemptID]time.Time{},
		retryTokens:    maxRetryTokens,
	}
}

// Step handles one event at the given time and returns what must be done, in order.
func (n *Node) Step(now time.Time, event Event) []Action {
	n.stepTime = now
	n.detector.Advance(now)
	n.handle(now, event)
	n.assignWork(now)
	n.drainGroups(now)
	n.checkStop()
	actions := n.actions
	n.actions = nil
	return actions
}

func (n *Node) handle(now time.Time, event Event) {
	switch e := event.(type) {
	case Tick:
		n.tick(now)
	case PeerReceived:
		n.receive(now, e.Envelope)
	case CallReceived:
		n.receiveCall(now, e)
	case AnswerWanted:
		payload := AnswerPayload{ID: e.ID, Caller: n.callerReference(e.RequestID, e.Stream, e.Offset), Wait: e.Wait}
		n.submitCaller(now, e.RequestID, n.shardOf(e.ID.Key), payload, time.Time{})
	case SessionWanted:
		n.submitCaller(now, e.RequestID, n.shardOf(e.Key), SessionPayload{Key: e.Key}, now.Add(readTimeout))
	case EndWanted:
		n.submitCaller(now, e.RequestID, n.shardOf(e.Key), EndPayload{Key: e.Key}, now.Add(readTimeout))
	case CallerGone:
		n.callerGone(e.RequestID)
	case AttemptFinished:
		n.attemptFinished(now, e)
	case BackEndsListed:
		n.machinesRead(now, e.BackEnds)
	case LoadReported:
		n.scheduler.Report(e.Report)
	case HoldsReported:
		n.holdsReported(now, e)
	case ReleaseFinished:
		n.releaseFinished(now, e)
	case ChangesRead:
		n.applyChanges(now, e.Changes)
	case CellFormed:
		n.form(e.Members)
	case StopWanted:
		n.beginDrain(now)
	}
}

func (n *Node) receive(now time.Time, envelope Envelope) {
	if !n.links.accept(envelope) {
		return
	}
	switch m := envelope.Message.(type) {
	case membership.Heartbeat:
		n.detector.Receive(envelope.From, m)
		n.noticeRevision(now, envelope.From, m.ConfigRevision)
		n.noticeMachines(now, envelope.From, m.MachinesVersion)
		n.pullFounding(now, envelope.From, m)
	case RaftMessages:
		n.receiveRaft(now, m)
	case Forward:
		n.receiveForward(now, envelope.From, m)
	case ForwardReply:
		n.receiveReply(now, m)
	case AttemptQuery:
		n.answerQuery(envelope.From, m)
	case BindRequest:
		n.emit(BindStream(m))
	case AttemptReport:
		n.receiveReport(now, m)
	case ConfigPull:
		n.answerPull(envelope.From, m)
	case FoundingPull:
		n.answerFoundingPull(envelope.From)
	case FoundingPush:
		n.form(m.Members)
	case MachinesPull:
		n.answerMachinesPull(envelope.From)
	case MachinesPush:
		n.adoptMachines(m)
	case ConfigPush:
		n.applyChanges(now, m.Changes)
	}
}

func (n *Node) tick(now time.Time) {
	n.sendHeartbeats(now)
	n.tryFormation(now)
	for _, number := range n.numbers {
		n.groups[number].raft.Tick(now)
	}
	n.timers.run(now)
	n.expireWork(now)
	n.tickAttempts(now)
	n.tickRouted(now)
	n.tickConfiguration(now)
	n.pollLoads(now)
	n.drainLeadership()
	if !now.Before(n.nextMaintenance) {
		n.nextMaintenance = now.Add(maintenanceInterval)
		n.maintain(now)
	}
}

// maintain does the work that goes through each led shard.
func (n *Node) maintain(now time.Time) {
	for _, number := range n.numbers {
		g := n.groups[number]
		g.raft.Compact(keptEntries)
		if !g.raft.LeaderReady() {
			continue
		}
		n.maintainMembers(now, g)
		n.checkOpenCalls(now, g)
		n.orderReleases(g)
		n.maintainAllowances(now, g)
		n.purgeEnded(now, g)
	}
	n.sweepEngines(now)
	n.balanceLeadership(now)
}

func (n *Node) emit(action Action) { n.actions = append(n.actions, action) }

func (n *Node) send(to string, message any) {
	n.emit(SendPeer{To: to, Envelope: n.links.wrap(to, message)})
}

func (n *Node) shardOf(key shard.SessionKey) uint32 {
	return n.config.Topology.ShardOfSession(key)
}

// Catalogue returns the configuration in force, for the owner to read.
func (n *Node) Catalogue() *catalogue.Catalogue { return n.catalogue }

// Scheduler returns the node's scheduler, for the owner to read.
func (n *Node) Scheduler() *schedule.Scheduler { return n.scheduler }

// Status is a summary of the node for operators and tests.
type Status struct {
	Node           string `json:"node"`
	Incarnation    uint64 `json:"incarnation"`
	Formed         bool   `json:"formed"`
	Draining       bool   `json:"draining"`
	ConfigRevision uint64 `json:"configRevision"`
	Shards         int    `json:"shards"`
	Leading        int    `json:"leading"`
	Sessions       int    `json:"sessions"`
	Waiting        int    `json:"waiting"`
	Attempts       int    `json:"attempts"`
	LiveBackEnds   int    `json:"liveBackEnds"`
	// Whole is set when every shard of the cell has all its replicas, so that a
	// node may stop without harm.
	Whole bool `json:"whole"`
	// Ready is set when the node serves: it knows its cell, and the leaders of the
	// shards that it holds.
	Ready bool `json:"ready"`
}

// Status returns the node's summary.
func (n *Node) Status() Status {
	status := Status{
		Node: n.config.Node, Incarnation: n.config.Incarnation, Formed: n.formed, Draining: n.draining,
		ConfigRevision: n.catalogue.Revision(), Shards: len(n.groups),
		Waiting: n.scheduler.QueueLength(), Attempts: len(n.attempts), Ready: n.formed && !n.draining, Whole: n.cellWhole(),
	}
	for _, number := range n.numbers {
		g := n.groups[number]
		if g.raft.LeaderReady() {
			status.Leading++
			status.Sessions += len(g.state.Sessions)
		}
		if g.raft.IsRemoved() {
			continue
		}
		if g.raft.Leader() == "" || !n.detector.Alive(g.raft.Leader()) {
			status.Ready = false
		}
	}
	for _, backEnd := range n.scheduler.BackEnds() {
		if !backEnd.Leaving {
			status.LiveBackEnds++
		}
	}
	return status
}

// Leads reports whether this node leads the shard and may decide for it.
func (n *Node) Leads(number uint32) bool {
	g := n.groups[number]
	return g != nil && g.leading
}
