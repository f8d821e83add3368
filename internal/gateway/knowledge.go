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
	current := s.table.Load()
	if current != nil && current.Version >= table.Version {
		return
	}
	s.table.Store(table)
	s.limitIdleConnections()
	s.shares.setWeights(table.Tenants)
	s.directory.SetColdServices(time.Now(), coldServices(table))
	s.log.Info().Str("event", "configuration_changed").Uint64("version", table.Version).Int("routes", table.RouteCount()).
		Dur("age", s.stateAge()).Msg("")
}

// limitIdleConnections shares each service's limit of connections among the gateways: those that
// are idle here may take half of this one's part.
func (s *Server) limitIdleConnections() {
	table := s.table.Load()
	if table == nil {
		return
	}
	gateways := max(1, int(s.gatewayCount.Load()))
	for name, service := range table.Services {
		if service.ConnectionLimit > 0 {
			s.pool.SetIdleLimit(name, max(1, service.ConnectionLimit/(2*gateways)))
		}
	}
}

// maxLoggedInstances bounds the instances that one log line names.
const maxLoggedInstances = 32

// InstancesChanged applies changes of the list of instances. An incomplete list may lack some
// that are there.
func (s *Server) InstancesChanged(changes backend.Changes, incomplete bool) {
	removed := s.directory.Change(time.Now(), changes, incomplete)
	for _, id := range removed {
		s.pool.Forget(id)
	}
	s.instancesChangedAt.Store(int64(time.Since(s.started)))
	s.instancesKnownAt.CompareAndSwap(0, int64(time.Since(s.started)))
	s.instancesKnown.Store(true)
	leaving := 0
	for _, instance := range changes.Listed {
		if instance.Leaving {
			leaving++
		}
	}
	s.log.Info().Str("event", "back_ends_changed").Int("instances", s.directory.Size()).Bool("all", changes.All).
		Int("listed", len(changes.Listed)).Int("leaving", leaving).Int("unlisted", len(changes.Gone)).
		Bool("incomplete", incomplete).Int("ended", len(removed)).Strs("gone", removed[:min(maxLoggedInstances, len(removed))]).Dur("age", s.stateAge()).Msg("")
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
	s.gatewayCount.Store(int64(len(membership.Gateways)))
	s.directory.SetGateways(time.Now(), coldGateways(membership.Gateways))
	s.limitIdleConnections()
}

// instanceListAge returns how long ago the list of instances last changed.
func (s *Server) instanceListAge() time.Duration {
	return time.Since(s.started) - time.Duration(s.instancesChangedAt.Load())
}

// feedStatus is what the gateway was told of the worth of what it knows.
type feedStatus struct {
	status    feed.Status
	updatedAt time.Time
	// staleSince is when the status stopped being fresh; zero while it is.
	staleSince time.Time
}

// FeedStatusChanged says how fresh configuration and instances are from now on.
func (s *Server) FeedStatusChanged(status feed.Status) {
	now := time.Now()
	next := &feedStatus{status: status, updatedAt: now}
	if !status.Fresh() {
		next.staleSince = now
		if previous := s.feedStatus.Load(); previous != nil && !previous.staleSince.IsZero() {
			next.staleSince = previous.staleSince
		}
	}
	s.feedStatus.Store(next)
	s.log.Info().Str("event", "knowledge_changed").Bool("fresh", status.Fresh()).Bool("confirmed", status.Confirmed).
		Bool("lost", status.Lost).Dur("age", status.Age).Msg("")
}

// confirmationTimeout is how long a gateway that starts waits for the store's own word. Then it serves by
// the copy that a replica's disk kept, for the store may be away for long.
const confirmationTimeout = 500 * time.Millisecond

// awaitsConfirmation reports whether what is known is a copy of which the store may tell in a moment
// that it is old. By an old configuration callers' keys may go on to instances, and limits not hold.
func (s *Server) awaitsConfirmation() bool {
	known := s.feedStatus.Load()
	if known == nil || known.status.Confirmed || known.status.Lost {
		return false
	}
	return time.Since(s.started)-time.Duration(s.instancesKnownAt.Load()) < confirmationTimeout
}

// stateAge returns how old the gateway's knowledge was when it was last told, for the
// logs.
func (s *Server) stateAge() time.Duration {
	known := s.feedStatus.Load()
	if known == nil {
		return 0
	}
	return known.status.Age
}

// configurationStale reports whether the configuration may be out of date.
func (s *Server) configurationStale() bool {
	known := s.feedStatus.Load()
	if known == nil || !known.status.Confirmed {
		return true
	}
	return !known.staleSince.IsZero() && time.Since(known.staleSince) > maxConfigurationStaleness
}
