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
	// changePauseFirst and changePauseMost bound the pause after a change that failed.
	changePauseFirst = 50 * time.Millisecond
	changePauseMost  = time.Second
	// foundingQuiet is how long no further replica may have registered before the
	// cells are founded: their number stays for good.
	foundingQuiet = 900 * time.Millisecond
	// leaveGrace is how long gateways may still write to a replica after it said
	// that it leaves.
	leaveGrace = 400 * time.Millisecond
)

// membership is what a replica knows of its cell. It belongs to the loop.
type membership struct {
	// reader decodes the registry's objects; read is their content, fresh is false until it was
	// read once.
	reader *replicaset.Reader
	read   replicaset.Membership
	fresh  bool
	// newsFresh says that what was read is as good as the store's own word; cutOff that neither the
	// store nor a quorum of the cell was heard of late.
	newsFresh, cutOff bool
	// newcomerAt is when a further replica was last seen.
	newcomerAt time.Time
	// cell is the own cell, or NoCell; set its newest set, at a revision.
	cell     int
	set      replicaset.Set
	revision uint64
	// changing is set while a change is under way at the registry; after a failure
	// the next try waits until notBefore, a pause that doubles.
	changing  bool
	notBefore time.Time
	pause     time.Duration
	// registration is cancelled when the node describes itself anew.
	registration context.CancelFunc
	leaving      bool
	leftAt       time.Time
	left         func()
	reason       string
}

// MembersChanged replaces the registry's objects.
func (s *Server) MembersChanged(objects []registry.Object) {
	s.post(func() { s.readRegistry(s.members.reader.Read(objects)) })
}

func (s *Server) readRegistry(read replicaset.Membership) {
	if len(read.Replicas) > len(s.members.read.Replicas) {
		s.members.newcomerAt = time.Now()
	}
	s.members.read = read
	s.members.fresh = true
	s.options.Traffic.SetMembers(read)
	if !read.HasLayout {
		return
	}
	s.findCell()
	s.readSet(read.Sets[s.members.cell], read.Revisions[s.members.cell])
	for _, node := range read.Replicas {
		if read.CellOfNode(node) == s.members.cell {
			s.meet(node)
		}
	}
}

// findCell decides on the own cell once, and registers it.
func (s *Server) findCell() {
	if s.members.cell != replicaset.NoCell {
		return
	}
	own := s.own()
	own.Cell = s.members.read.Replicas[s.options.Node].Cell
	zones := map[string]string{}
	for name, node := range s.members.read.Replicas {
		zones[name] = node.Zone
	}
	layout, ownRegion := s.members.read.Layout, s.options.Places.Region(s.options.Zone)
	s.members.cell = replicaset.ChooseCell(own, ownRegion, layout, s.members.read.Sets, zones)
	s.log.Info().Str("event", "cell_found").Int("cell", s.members.cell).Int("cells", len(s.members.read.Sets)).
		Str("region", layout.Region(s.members.cell)).Str("own_region", ownRegion).Msg("")
	if !own.HasCell() || *own.Cell != s.members.cell {
		s.register()
	}
}

func (s *Server) readSet(set replicaset.Set, revision uint64) {
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

// Leave empties this machine: it leaves the replica set, waits until its turns are
// durable elsewhere, and then calls done.
func (s *Server) Leave(done func()) {
	s.post(func() {
		if s.members.leaving {
			return
		}
		s.members.leaving = true
		s.members.left = done
		s.members.leftAt = time.Now()
		s.log.Info().Str("event", "leave_begun").Msg("")
		s.register()
	})
}

// tickMembership takes the next step of founding, joining or leaving, if one is due.
func (s *Server) tickMembership(now time.Time) {
	if !s.members.fresh || s.members.changing || now.Before(s.members.notBefore) {
		return
	}
	if !s.members.read.HasLayout {
		s.found(now)
		return
	}
	change := replicaset.Plan(s.view(now))
	switch change.Kind {
	case replicaset.None:
		s.tickLeaving(now)
	case replicaset.Wait:
		s.askAdoption(now, change.Reason)
	default:
		s.change(change)
	}
}

// found writes the layout once no further replica registers.
func (s *Server) found(now time.Time) {
	_, registered := s.members.read.Replicas[s.options.Node]
	if s.members.leaving || !registered || now.Sub(s.members.newcomerAt) < foundingQuiet {
		return
	}
	var nodes []replicaset.Node
	for _, node := range s.members.read.Replicas {
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

// askAdoption asks the voters to adopt the present epoch.
func (s *Server) askAdoption(now time.Time, reason string) {
	if reason != s.members.reason {
		s.members.reason = reason
		s.log.Info().Str("event", "membership_waits").Str("reason", reason).Uint64("epoch", s.members.set.Epoch).Msg("")
	}
	for _, peer := range s.peers {
		peer.requestAdoption(now, s.members.set)
	}
}

func (s *Server) view(now time.Time) replicaset.View {
	view := replicaset.View{
		Self: replicaset.Voter{Node: s.options.Node, Disk: s.state.Disk()},
		Set:  s.members.set, Leaving: s.members.leaving, Tolerate: s.options.Tolerate,
		Disks: map[string]string{s.options.Node: s.state.Disk()}, Adopted: map[string]bool{}, Unreachable: map[string]time.Duration{}, ReachableFrom: map[string]int{},
	}
	view.Adopted[s.state.Disk()] = s.state.Set().Epoch >= s.members.set.Epoch
	for name, node := range s.members.read.Replicas {
		if name != s.options.Node {
			view.Disks[name] = node.Disk
		}
	}
	for _, voter := range s.members.set.Voters {
		s.viewPeer(now, &view, voter)
	}
	return view
}

// viewPeer adds what is known of another voter.
func (s *Server) viewPeer(now time.Time, view *replicaset.View, voter replicaset.Voter) {
	peer := s.peers[voter.Node]
	if peer != nil && peer.disk == voter.Disk && peer.adopted >= s.members.set.Epoch {
		view.Adopted[voter.Disk] = true
	}
	if away := s.unreachableFor(now, voter); away > 0 {
		view.Unreachable[voter.Disk] = away
		return
	}
	for _, other := range s.members.set.Voters {
		if peer != nil && other != voter && !slices.Contains(peer.silentVoters, other.Disk) {
			view.ReachableFrom[other.Disk]++
		}
	}
}

// unreachableFor returns how long a voter has been out of reach; 0 if it is in reach.
func (s *Server) unreachableFor(now time.Time, voter replicaset.Voter) time.Duration {
	peer := s.peers[voter.Node]
	switch {
	case voter.Disk == s.state.Disk():
		return 0
	case peer == nil || peer.heardAt.IsZero():
		return now.Sub(s.started)
	case peer.up && now.Sub(peer.heardAt) <= replyLimit:
		return 0
	default:
		return now.Sub(peer.heardAt)
	}
}

// silentVoters returns the disks of the voters that may be taken out as far as this replica hears.
func (s *Server) silentVoters(now time.Time) []string {
	var silent []string
	for _, voter := range s.members.set.Voters {
		if s.unreachableFor(now, voter) >= replicaset.UnreachableTimeout {
			silent = append(silent, voter.Disk)
		}
	}
	return silent
}

// change writes the next set of the own cell.
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

// write makes one conditional write in the background and reads the cell's set
// again; the loop goes on serving.
func (s *Server) write(what string, write func(context.Context) error) {
	s.members.changing = true
	name := replicaset.SetName(max(0, s.members.cell))
	go func() {
		ctx, cancel := context.WithTimeout(s.context, registryTimeout)
		defer cancel()
		err := write(ctx)
		object, readErr := s.options.Registry.Get(ctx, name)
		s.post(func() {
			s.written(what, err)
			if readErr != nil || s.members.cell == replicaset.NoCell {
				return
			}
			if set, err := replicaset.DecodeSet(object.Value); err == nil {
				s.readSet(set, object.Revision)
			}
		})
	}()
}

// written notes the end of a write and when the next one may be tried.
func (s *Server) written(what string, err error) {
	s.members.changing = false
	if err == nil {
		s.members.pause = changePauseFirst
		return
	}
	s.log.Warn().Str("event", "set_change_failed").Str("what", what).Err(err).Msg("")
	s.members.pause = min(2*s.members.pause, changePauseMost)
	s.members.notBefore = time.Now().Add(s.members.pause)
}

// tickLeaving reports this machine empty once every reachable replica of the cell
// holds all its turns and none is written to it any more.
func (s *Server) tickLeaving(now time.Time) {
	if !s.members.leaving || s.members.left == nil || now.Sub(s.members.leftAt) < leaveGrace {
		return
	}
	holders := 0
	for _, peer := range s.peers {
		registered, known := s.members.read.Replicas[peer.node.Name]
		if !known || registered.Leaving || !peer.up {
			continue
		}
		if s.state.PeerPosition(peer.disk) < s.state.Position() {
			return
		}
		holders++
	}
	if holders == 0 {
		return
	}
	s.log.Info().Str("event", "leave_complete").Int("holders", holders).Int("turns", s.state.Position()).Msg("")
	s.members.left()
	s.members.left = nil
}

// register describes this node in the registry, in the background, until that is
// done or there is something newer to say.
func (s *Server) register() {
	if s.members.registration != nil {
		s.members.registration()
	}
	ctx, cancel := context.WithCancel(s.context)
	s.members.registration = cancel
	own := s.own()
	go replicaset.Register(ctx, s.options.Registry, own, s.options.LookupCached, func(err error) {
		s.log.Warn().Str("event", "register_failed").Err(err).Msg("")
	})
}
