package gateway

import (
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/feed"
	"swiftbank.dev/swiftbank/internal/quorum"
	"swiftbank.dev/swiftbank/internal/registry"
	"swiftbank.dev/swiftbank/internal/route"
)

// ConfigurationChanged puts a configuration in force unless a newer one is.
func (s *Server) ConfigurationChanged(table *route.Table) {
	present := s.table.Load()
	if present != nil && present.Version >= table.Version {
		return
	}
	s.table.Store(table)
	s.boundIdle()
	s.shares.setWeights(table.Tenants)
	s.directory.SetColdServices(time.Now(), coldServices(table))
	s.log.Info().Str("event", "configuration_changed").Uint64("version", table.Version).Int("routes", table.RouteCount()).
		Dur("age", s.knowledgeAge()).Msg("")
}

// boundIdle shares each service's limit of connections among the gateways: those that
// are idle here may take half of this one's part.
func (s *Server) boundIdle() {
	table := s.table.Load()
	if table == nil {
		return
	}
	gateways := max(1, int(s.gateways.Load()))
	for name, service := range table.Services {
		if service.ConnectionLimit > 0 {
			s.pool.SetIdleLimit(name, max(1, service.ConnectionLimit/(2*gateways)))
		}
	}
}

// mostNamed bounds the instances that one log line names.
const mostNamed = 32

// InstancesChanged applies changes of the list of instances. An incomplete list may lack some
// that are there.
func (s *Server) InstancesChanged(changes backend.Changes, incomplete bool) {
	ended := s.directory.ApplyChanges(time.Now(), changes, incomplete)
	for _, id := range ended {
		s.pool.Forget(id)
	}
	s.listedAt.Store(int64(time.Since(s.started)))
	s.knownAt.CompareAndSwap(0, int64(time.Since(s.started)))
	s.known.Store(true)
	leaving := 0
	for _, instance := range changes.Listed {
		if instance.Leaving {
			leaving++
		}
	}
	s.log.Info().Str("event", "back_ends_changed").Int("instances", s.directory.Size()).Bool("all", changes.Snapshot).
		Int("listed", len(changes.Listed)).Int("leaving", leaving).Int("unlisted", len(changes.Removed)).
		Bool("incomplete", incomplete).Int("ended", len(ended)).Strs("gone", ended[:min(mostNamed, len(ended))]).Dur("age", s.knowledgeAge()).Msg("")
}

// MembersChanged replaces the product's own objects: the cells of replicas and the other
// gateways.
func (s *Server) MembersChanged(objects []registry.Object, gossip *Gossip, relays *quorum.Relays) {
	membership := s.members.Read(objects)
	s.replicas.SetMembership(membership)
	gossip.SetGateways(membership.Gateways)
	gossip.SetReplicas(membership.Replicas)
	s.gossip.Store(gossip)
	relays.SetGateways(membership.Gateways)
	s.gateways.Store(int64(len(membership.Gateways)))
	s.directory.SetGateways(time.Now(), coldGateways(membership.Gateways))
	s.boundIdle()
}

// listAge returns how long ago the list of instances last changed.
func (s *Server) listAge() time.Duration {
	return time.Since(s.started) - time.Duration(s.listedAt.Load())
}

// knowledge is what the gateway was told of the worth of what it knows.
type knowledge struct {
	status feed.Status
	toldAt time.Time
	// staleSince is when the status stopped being fresh; zero while it is.
	staleSince time.Time
}

// FeedStatusChanged says how fresh configuration and instances are from now on.
func (s *Server) FeedStatusChanged(status feed.Status) {
	now := time.Now()
	next := &knowledge{status: status, toldAt: now}
	if !status.Fresh() {
		next.staleSince = now
		if before := s.knowledge.Load(); before != nil && !before.staleSince.IsZero() {
			next.staleSince = before.staleSince
		}
	}
	s.knowledge.Store(next)
	s.log.Info().Str("event", "knowledge_changed").Bool("fresh", status.Fresh()).Bool("confirmed", status.Confirmed).
		Bool("lost", status.Lost).Dur("age", status.Age).Msg("")
}

// confirmationWait is how long a gateway that starts waits for the store's own word. Then it serves by
// the copy that a replica's disk kept, for the store may be away for long.
const confirmationWait = 500 * time.Millisecond

// awaitsConfirmation reports whether what is known is a copy of which the store may tell in a moment
// that it is old. By an old configuration callers' keys may go on to instances, and limits not hold.
func (s *Server) awaitsConfirmation() bool {
	known := s.knowledge.Load()
	if known == nil || known.status.Confirmed || known.status.Lost {
		return false
	}
	return time.Since(s.started)-time.Duration(s.knownAt.Load()) < confirmationWait
}

// knowledgeAge returns how old the gateway's knowledge was when it was last told, for the
// logs.
func (s *Server) knowledgeAge() time.Duration {
	known := s.knowledge.Load()
	if known == nil {
		return 0
	}
	return known.status.Age
}

// configurationStale reports whether the configuration may be out of date.
func (s *Server) configurationStale() bool {
	known := s.knowledge.Load()
	if known == nil || !known.status.Confirmed {
		return true
	}
	return !known.staleSince.IsZero() && time.Since(known.staleSince) > configurationStaleLimit
}
