package replica

import (
	"context"
	"encoding/json"
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
	// leaveGrace is how long gateways may still write to a replica after it said
	// that it leaves.
	leaveGrace = 400 * time.Millisecond
)

// membership is what a replica knows of the replica set. It belongs to the loop.
type membership struct {
	set      replicaset.Set
	hasSet   bool
	revision uint64
	// fresh is false until the registry was read once.
	fresh bool
	nodes map[string]replicaset.Node
	// changing is set while a change is under way at the registry; after a failure
	// the next try waits until notBefore, a pause that doubles.
	changing  bool
	notBefore time.Time
	pause     time.Duration
	leaving   bool
	leftAt    time.Time
	left      func()
	reason    string
}

// RegistryChanged takes in the registry's objects.
func (s *Server) RegistryChanged(objects []registry.Object) {
	s.post(func() { s.readRegistry(objects) })
}

func (s *Server) readRegistry(objects []registry.Object) {
	s.members.fresh = true
	nodes := map[string]replicaset.Node{}
	for _, object := range objects {
		if object.Name == replicaset.SetName {
			s.readSet(object)
			continue
		}
		var node replicaset.Node
		if json.Unmarshal(object.Value, &node) == nil && node.Role == replicaset.RoleReplica {
			nodes[node.Name] = node
			s.meet(node)
		}
	}
	s.members.nodes = nodes
}

func (s *Server) readSet(object registry.Object) {
	set, err := replicaset.Decode(object.Value)
	if err != nil || s.members.hasSet && set.Epoch <= s.members.set.Epoch {
		return
	}
	s.members.set, s.members.hasSet, s.members.revision = set, true, object.Revision
	s.log.Info().Str("event", "set_changed").Uint64("epoch", set.Epoch).Int("voters", len(set.Voters)).
		Bool("voter", set.Has(s.state.Disk())).Msg("")
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
		go s.register(s.context)
	})
}

// tickMembership takes the next step of joining or leaving, if one is due.
func (s *Server) tickMembership(now time.Time) {
	if !s.members.fresh || s.members.changing || now.Before(s.members.notBefore) {
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
		Own: replicaset.Voter{Node: s.options.Node, Disk: s.state.Disk()},
		Set: s.members.set, HasSet: s.members.hasSet, Leaving: s.members.leaving, Tolerate: s.options.Tolerate,
		Disks: map[string]string{s.options.Node: s.state.Disk()}, Adopted: map[string]bool{}, Silence: map[string]time.Duration{},
	}
	view.Adopted[s.state.Disk()] = s.state.Set().Epoch >= s.members.set.Epoch
	for name, node := range s.members.nodes {
		if name != s.options.Node {
			view.Disks[name] = node.Disk
		}
	}
	for _, voter := range s.members.set.Voters {
		peer := s.peers[voter.Node]
		if peer == nil {
			view.Silence[voter.Disk] = now.Sub(s.started)
			continue
		}
		if peer.disk == voter.Disk && peer.adopted >= s.members.set.Epoch {
			view.Adopted[voter.Disk] = true
		}
		if !peer.up || now.Sub(peer.heardAt) > replyLimit {
			since := peer.heardAt
			if since.IsZero() {
				since = s.started
			}
			view.Silence[voter.Disk] = now.Sub(since)
		}
	}
	return view
}

// change writes the next set in the background; the loop goes on serving.
func (s *Server) change(change replicaset.Change) {
	s.members.changing = true
	revision := s.members.revision
	s.log.Info().Str("event", "set_change").Uint64("epoch", change.Next.Epoch).Str("reason", change.Reason).
		Int("voters", len(change.Next.Voters)).Msg("")
	go func() {
		ctx, cancel := context.WithTimeout(s.context, registryTimeout)
		defer cancel()
		var err error
		if change.Kind == replicaset.Found {
			err = s.options.Registry.Create(ctx, replicaset.SetName, change.Next.Encode())
		} else {
			err = s.options.Registry.Replace(ctx, replicaset.SetName, change.Next.Encode(), revision)
		}
		object, readErr := s.options.Registry.Get(ctx, replicaset.SetName)
		s.post(func() {
			s.members.changing = false
			s.members.pause = min(2*s.members.pause, changePauseMost)
			if err == nil {
				s.members.pause = changePauseFirst
			} else {
				s.members.notBefore = time.Now().Add(s.members.pause)
				s.log.Warn().Str("event", "set_change_failed").Uint64("epoch", change.Next.Epoch).Err(err).Msg("")
			}
			if readErr == nil {
				s.readSet(object)
			}
		})
	}()
}

// tickLeaving reports this machine empty once every reachable replica holds all
// its turns and none is written to it any more.
func (s *Server) tickLeaving(now time.Time) {
	if !s.members.leaving || s.members.left == nil || now.Sub(s.members.leftAt) < leaveGrace {
		return
	}
	holders := 0
	for _, peer := range s.peers {
		registered, known := s.members.nodes[peer.node.Name]
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

// register describes this node in the registry and tries until that is done.
func (s *Server) register(ctx context.Context) {
	own := make(chan replicaset.Node, 1)
	s.post(func() { own <- s.own() })
	select {
	case node := <-own:
		replicaset.Register(ctx, s.options.Registry, node, func(err error) {
			s.log.Warn().Str("event", "register_failed").Err(err).Msg("")
		})
	case <-ctx.Done():
	}
}
