package gateway

import (
	"maps"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/feed"
	"swiftbank.dev/swiftbank/internal/quorum"
	"swiftbank.dev/swiftbank/internal/registry"
	"swiftbank.dev/swiftbank/internal/route"
)

// ConfigurationChanged applies a configuration unless the current one is as new or newer.
func (s *Server) ConfigurationChanged(table *route.Table) {
	current := s.table.Load()
	if current != nil && current.Version >= table.Version {
		return
	}
	s.table.Store(table)
	s.limitConnections()
	s.shares.setWeights(table.Tenants)
	s.directory.SetColdServices(time.Now(), coldServices(table))
	s.log.Info().Str("event", "configuration_changed").Uint64("version", table.Version).Int("routes", table.RouteCount()).
		Dur("age", s.stateAge()).Msg("")
}

// limitConnections divides each service's connection limit among the gateways.
func (s *Server) limitConnections() {
	table := s.table.Load()
	if table == nil {
		return
	}
	gateways := max(1, int(s.gatewayCount.Load()))
	for name, service := range table.Services {
		if service.ConnectionLimit > 0 {
			s.pool.SetConnectionLimit(name, service.ConnectionLimit, gateways)
		}
	}
}

// maxLoggedInstances bounds the instances named in one log line.
const maxLoggedInstances = 32

// InstancesChanged applies changes of the list of instances. An incomplete list may lack
// instances that exist.
func (s *Server) InstancesChanged(changes backend.Changes, incomplete bool) {
	removed := s.directory.ApplyChanges(time.Now(), changes, incomplete)
	for _, id := range removed {
		s.pool.Forget(id)
	}
	s.instancesChangedAt.Store(int64(time.Since(s.started)))
	s.instancesKnownAt.CompareAndSwap(0, int64(time.Since(s.started)))
	s.instancesKnown.Store(true)
	leaving := 0
	var versions []string
	for _, instance := range changes.Listed {
		if instance.Leaving {
			leaving++
		}
		if len(versions) < maxLoggedInstances {
			versions = append(versions, instance.ID+" "+instance.Version)
		}
	}
	s.log.Info().Str("event", "back_ends_changed").Int("instances", s.directory.Size()).Bool("all", changes.Snapshot).
		Int("listed", len(changes.Listed)).Int("leaving", leaving).Int("unlisted", len(changes.Removed)).
		Bool("incomplete", incomplete).Int("ended", len(removed)).Strs("gone", removed[:min(maxLoggedInstances, len(removed))]).Strs("versions", versions).Dur("age", s.stateAge()).Msg("")
}

// MembersChanged applies the registry's objects that describe the fleet itself: the cells of
// replicas and the other gateways.
func (s *Server) MembersChanged(objects []registry.Object, gossip *Gossip, relays *quorum.Relays) {
	membership := s.members.Read(objects)
	s.replicas.SetMembership(membership)
	gossip.SetGateways(membership.Gateways)
	gossip.SetReplicas(membership.Replicas)
	s.gossip.Store(gossip)
	relays.SetGateways(membership.Gateways)
	s.gatewayCount.Store(int64(len(membership.Gateways)))
	names := slices.Sorted(maps.Keys(membership.Gateways))
	s.gatewayNames.Store(&names)
	s.directory.SetGateways(time.Now(), coldGateways(membership.Gateways))
	s.limitConnections()
}

// instanceListAge returns the time since the list of instances last changed.
func (s *Server) instanceListAge() time.Duration {
	return time.Since(s.started) - time.Duration(s.instancesChangedAt.Load())
}

// feedStatus is the last reported freshness of the configuration and the instances.
type feedStatus struct {
	status    feed.Status
	updatedAt time.Time
	// staleSince is when the status stopped being fresh; zero while it is. freshSince is when it became fresh
	// last.
	staleSince, freshSince time.Time
}

// FeedStatusChanged records how fresh the configuration and the instances are.
func (s *Server) FeedStatusChanged(status feed.Status) {
	now := time.Now()
	next := &feedStatus{status: status, updatedAt: now}
	previous := s.feedStatus.Load()
	switch {
	case status.Fresh() && previous != nil && previous.status.Fresh():
		next.freshSince = previous.freshSince
	case status.Fresh():
		next.freshSince = now
	case previous != nil && !previous.staleSince.IsZero():
		next.staleSince = previous.staleSince
	default:
		next.staleSince = now
	}
	s.feedStatus.Store(next)
	s.log.Info().Str("event", "knowledge_changed").Bool("fresh", status.Fresh()).Bool("confirmed", status.Confirmed).
		Bool("lost", status.Lost).Dur("age", status.Age).Msg("")
}

// confirmationTimeout is how long a starting gateway waits for the store to confirm its state.
// After that it serves by the copy on a replica's disk, because the store may be unavailable for
// a long time.
const confirmationTimeout = 500 * time.Millisecond

// awaitsConfirmation reports whether the state is a copy that the store may soon report to be
// outdated. By an outdated configuration callers' keys may be forwarded to instances, and limits
// may not be enforced.
func (s *Server) awaitsConfirmation() bool {
	current := s.feedStatus.Load()
	if current == nil || current.status.Confirmed || current.status.Lost {
		return false
	}
	return time.Since(s.started)-time.Duration(s.instancesKnownAt.Load()) < confirmationTimeout
}

// freshFor returns for how long the knowledge of the store has been fresh without a break, 0 if it is not.
func (s *Server) freshFor(now time.Time) time.Duration {
	current := s.feedStatus.Load()
	if current == nil || !current.status.Fresh() {
		return 0
	}
	return now.Sub(current.freshSince)
}

// stateAge returns the age of the gateway's state at its last status report, for the logs.
func (s *Server) stateAge() time.Duration {
	current := s.feedStatus.Load()
	if current == nil {
		return 0
	}
	return current.status.Age
}

// configurationStale reports whether the configuration may be out of date.
func (s *Server) configurationStale() bool {
	current := s.feedStatus.Load()
	if current == nil || !current.status.Confirmed {
		return true
	}
	return !current.staleSince.IsZero() && time.Since(current.staleSince) > maxConfigurationStaleness
}
