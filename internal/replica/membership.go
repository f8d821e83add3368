package replica

import (
	"context"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/registry"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

const (
	// registryTimeout bounds one call to the registry.
	registryTimeout = 2 * time.Second
	// minChangeBackoff and maxChangeBackoff bound the backoff after a failed change.
	minChangeBackoff = 50 * time.Millisecond
	maxChangeBackoff = time.Second
	// foundingDelay is how long no further replica may have registered before the
	// cells are founded: their number cannot change later.
	foundingDelay = 900 * time.Millisecond
	// leaveGrace is how long gateways may still write to a replica after it registered
	// as leaving.
	leaveGrace = 400 * time.Millisecond
)

// membership is what a replica knows of its cell. Only the loop accesses it.
type membership struct {
	// reader decodes the registry's objects; registered is their content, loaded is false until
	// they were read once.
	reader     *replicaset.Reader
	registered replicaset.Membership
	loaded     bool
	// registryFresh is set while the registered content is as current as a read from the store;
	// isolated while neither that holds nor a quorum of the cell is reachable.
	registryFresh, isolated bool
	// lastNewReplicaAt is when the number of registered replicas last grew.
	lastNewReplicaAt time.Time
	// cell is this replica's cell, or NoCell; set is its newest set, read at revision.
	cell     int
	set      replicaset.Set
	revision uint64
	// changing is set while a write to the registry is in progress; after a failure
	// the next attempt waits until notBefore, with exponential backoff.
	changing  bool
	notBefore time.Time
	backoff   time.Duration
	// registration cancels the registration in progress, before a newer one starts.
	registration context.CancelFunc
	// leaving is set once this replica is asked to leave; onLeft is called when that is complete.
	leaving        bool
	leaveStartedAt time.Time
	onLeft         func()
	waitReason     string
	// settling is the epoch whose settlement is being made durable.
	settling uint64
	// polledAt is when this replica last asked the others what they have settled.
	polledAt time.Time
}

// MembersChanged applies a new list of all registry objects.
func (s *Server) MembersChanged(objects []registry.Object) {
	s.post(func() { s.applyRegistry(s.members.reader.Read(objects)) })
}

func (s *Server) applyRegistry(registered replicaset.Membership) {
	if len(registered.Replicas) > len(s.members.registered.Replicas) {
		s.members.lastNewReplicaAt = time.Now()
	}
	s.members.registered = registered
	s.members.loaded = true
	s.options.Traffic.SetMembers(registered)
	if !registered.HasLayout {
		return
	}
	s.findCell()
	s.applySet(registered.Sets[s.members.cell], registered.Revisions[s.members.cell])
	for _, node := range registered.Replicas {
		if registered.CellOfNode(node) == s.members.cell {
			s.connectPeer(node)
		}
	}
}

// findCell chooses this replica's cell once, and registers it.
func (s *Server) findCell() {
	if s.members.cell != replicaset.NoCell {
		return
	}
	self := s.self()
	self.Cell = s.members.registered.Replicas[s.options.Node].Cell
	zones := map[string]string{}
	for name, node := range s.members.registered.Replicas {
		zones[name] = node.Zone
	}
	layout, ownRegion := s.members.registered.Layout, s.options.Places.Region(s.options.Zone)
	s.members.cell = replicaset.ChooseCell(self, ownRegion, layout, s.members.registered.Sets, zones)
	s.log.Info().Str("event", "cell_found").Int("cell", s.members.cell).Int("cells", len(s.members.registered.Sets)).
		Str("region", layout.Region(s.members.cell)).Str("own_region", ownRegion).Msg("")
	if !self.HasCell() || *self.Cell != s.members.cell {
		s.register()
	}
}

func (s *Server) applySet(set replicaset.Set, revision uint64) {
	if revision > s.members.revision {
		s.members.revision = revision
	}
	if set.Epoch <= s.members.set.Epoch {
		return
	}
	s.members.set = set
	s.log.Info().Str("event", "set_changed").Int("cell", s.members.cell).Uint64("epoch", set.Epoch).
		Int("voters", len(set.Voters)).Int("losses_borne", set.FaultTolerance()).Bool("voter", set.Has(s.state.Disk())).Msg("")
	output := s.state.Step(time.Now(), ledger.Request{Adopt: &ledger.Adopt{Set: set}})
	s.persist(output.Records, nil)
}

// Leave drains this machine: the replica leaves the replica set, waits until its turns are
// durable on other replicas, and then calls done.
func (s *Server) Leave(done func()) {
	s.post(func() {
		if s.members.leaving {
			return
		}
		s.members.leaving = true
		s.members.onLeft = done
		s.members.leaveStartedAt = time.Now()
		s.log.Info().Str("event", "leave_begun").Msg("")
		s.register()
	})
}

// tickMembership takes the next step of founding, joining or leaving, if one is due.
func (s *Server) tickMembership(now time.Time) {
	if !s.members.loaded || s.members.changing || now.Before(s.members.notBefore) {
		return
	}
	if !s.members.registered.HasLayout {
		s.found(now)
		return
	}
	view := s.view(now)
	s.settle(now, view)
	change := replicaset.Plan(view)
	switch change.Kind {
	case replicaset.None:
		s.tickLeaving(now)
	case replicaset.Wait:
		s.requestAdoption(now, change.Reason)
	default:
		s.change(change)
	}
}

// found writes the layout once no further replica has registered for foundingDelay.
func (s *Server) found(now time.Time) {
	_, isRegistered := s.members.registered.Replicas[s.options.Node]
	if s.members.leaving || !isRegistered || now.Sub(s.members.lastNewReplicaAt) < foundingDelay {
		return
	}
	var nodes []replicaset.Node
	for _, node := range s.members.registered.Replicas {
		nodes = append(nodes, node)
	}
	layout := replicaset.NewLayout(nodes, s.options.Tolerate, s.options.Places)
	s.log.Info().Str("event", "layout_founded").Int("replicas", len(nodes)).Int("cells", layout.Cells).Msg("")
	for cell, set := range layout.Founding {
		s.log.Info().Str("event", "cell_founded").Int("cell", cell).Str("region", layout.Region(cell)).Int("voters", len(set.Voters)).
			Int("losses_borne", set.FaultTolerance()).Int("losses_asked", s.options.Tolerate).Msg("")
	}
	s.write("layout", func(ctx context.Context) error {
		return s.options.Registry.Create(ctx, replicaset.LayoutName, layout.Encode())
	})
}

// requestAdoption asks the voters to adopt the current epoch, and logs what the change waits for.
func (s *Server) requestAdoption(now time.Time, reason string) {
	if reason != s.members.waitReason {
		s.members.waitReason = reason
		s.log.Info().Str("event", "membership_waits").Str("reason", reason).Uint64("epoch", s.members.set.Epoch).Msg("")
	}
	for _, peer := range s.peers {
		peer.requestAdoption(now, s.members.set)
	}
	s.pollSettlement(now)
}

func (s *Server) view(now time.Time) replicaset.View {
	view := replicaset.View{
		Self: replicaset.Voter{Node: s.options.Node, Disk: s.state.Disk()},
		Set:  s.members.set, Leaving: s.members.leaving, Tolerate: s.options.Tolerate,
		Disks: map[string]string{s.options.Node: s.state.Disk()}, Adopted: map[string]bool{}, Unreachable: map[string]time.Duration{}, ReachableFrom: map[string]int{},
		Settled: map[string]bool{}, InContact: s.isInContact(now),
	}
	view.Adopted[s.state.Disk()] = s.state.Set().Epoch >= s.members.set.Epoch
	view.Settled[s.state.Disk()] = s.state.Settled() >= s.members.set.Epoch
	for name, node := range s.members.registered.Replicas {
		if name != s.options.Node {
			view.Disks[name] = node.Disk
		}
	}
	for _, voter := range s.members.set.Voters {
		s.addPeerView(now, &view, voter)
	}
	return view
}

// addPeerView adds what is known of a voter to the view.
func (s *Server) addPeerView(now time.Time, view *replicaset.View, voter replicaset.Voter) {
	peer := s.peers[voter.Node]
	if peer != nil && peer.disk == voter.Disk && peer.adoptedEpoch >= s.members.set.Epoch {
		view.Adopted[voter.Disk] = true
	}
	if s.hasVoterSettled(voter) {
		view.Settled[voter.Disk] = true
	}
	if duration := s.unreachableFor(now, voter); duration > 0 {
		view.Unreachable[voter.Disk] = min(duration, now.Sub(s.observingSince))
		return
	}
	for _, other := range s.members.set.Voters {
		if peer != nil && other != voter && !slices.Contains(peer.silentVoters, other.Disk) {
			view.ReachableFrom[other.Disk]++
		}
	}
}

// unreachableFor returns how long a voter has been unreachable; 0 if it is reachable. A machine that responds with another
// disk no longer is the voter.
func (s *Server) unreachableFor(now time.Time, voter replicaset.Voter) time.Duration {
	peer := s.peers[voter.Node]
	switch {
	case voter.Disk == s.state.Disk():
		return 0
	case peer == nil || peer.lastReplyAt.IsZero():
		return now.Sub(s.started)
	case peer.disk != voter.Disk:
		return max(replicaset.UnreachableTimeout, now.Sub(peer.diskSince))
	case peer.connected && now.Sub(peer.lastReplyAt) <= replyTimeout:
		return 0
	default:
		return now.Sub(peer.lastReplyAt)
	}
}

// silentVoters returns the disks of the voters that this replica could not reach for
// UnreachableTimeout or longer.
func (s *Server) silentVoters(now time.Time) []string {
	var silent []string
	for _, voter := range s.members.set.Voters {
		if s.unreachableFor(now, voter) >= replicaset.UnreachableTimeout {
			silent = append(silent, voter.Disk)
		}
	}
	return silent
}

// change writes the next set of this replica's cell.
func (s *Server) change(change replicaset.Change) {
	revision := s.members.revision
	name := replicaset.SetName(s.members.cell)
	s.log.Info().Str("event", "set_change").Int("cell", s.members.cell).Uint64("epoch", change.Next.Epoch).
		Str("reason", change.Reason).Int("voters", len(change.Next.Voters)).Msg("")
	s.write("set", func(ctx context.Context) error {
		if revision == 0 {
			return s.options.Registry.Create(ctx, name, change.Next.Encode())
		}
		return s.options.Registry.Replace(ctx, name, change.Next.Encode(), revision)
	})
}

// write runs one conditional write to the registry and then reads the cell's set, both in the
// background. kind names the object in the log.
func (s *Server) write(kind string, write func(context.Context) error) {
	s.members.changing = true
	name := replicaset.SetName(max(0, s.members.cell))
	go func() {
		ctx, cancel := context.WithTimeout(s.context, registryTimeout)
		defer cancel()
		err := write(ctx)
		object, readErr := s.options.Registry.Get(ctx, name)
		s.post(func() {
			s.writeDone(kind, err)
			if readErr != nil || s.members.cell == replicaset.NoCell {
				return
			}
			if set, err := replicaset.DecodeSet(object.Value); err == nil {
				s.applySet(set, object.Revision)
			}
		})
	}()
}

// writeDone records the result of a write and schedules the next attempt.
func (s *Server) writeDone(kind string, err error) {
	s.members.changing = false
	if err == nil {
		s.members.backoff = minChangeBackoff
		return
	}
	s.log.Warn().Str("event", "set_change_failed").Str("what", kind).Err(err).Msg("")
	s.members.backoff = min(2*s.members.backoff, maxChangeBackoff)
	s.members.notBefore = time.Now().Add(s.members.backoff)
}

// tickLeaving completes leaving once leaveGrace has passed, every reachable replica of the cell has stored all turns of
// this one, and the set is as it will be without it.
func (s *Server) tickLeaving(now time.Time) {
	if !s.members.leaving || s.members.onLeft == nil || now.Sub(s.members.leaveStartedAt) < leaveGrace {
		return
	}
	holders := 0
	for _, peer := range s.peers {
		node, known := s.members.registered.Replicas[peer.node.Name]
		if !known || node.Leaving || !peer.connected {
			continue
		}
		if s.state.PeerPosition(peer.disk) < s.state.Position() {
			return
		}
		holders++
	}
	if holders == 0 || !s.isRestSettled(now) {
		return
	}
	s.log.Info().Str("event", "leave_complete").Int("holders", holders).Int("turns", s.state.Position()).Uint64("epoch", s.members.set.Epoch).
		Int("losses_borne", s.members.set.FaultTolerance()).Int("losses_asked", s.options.Tolerate).Msg("")
	s.members.onLeft()
	s.members.onLeft = nil
}

// register writes this node's description to the registry in the background. It retries until it
// succeeds or is replaced by a newer registration.
func (s *Server) register() {
	if s.members.registration != nil {
		s.members.registration()
	}
	ctx, cancel := context.WithCancel(s.context)
	s.members.registration = cancel
	self := s.self()
	go replicaset.Register(ctx, s.options.Registry, self, s.options.LookupCached, func(err error) {
		s.log.Warn().Str("event", "register_failed").Err(err).Msg("")
	})
}
