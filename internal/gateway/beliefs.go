package gateway

import (
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/route"
)

// ConfigurationChanged takes in a configuration of the store unless a newer one is in
// force.
func (s *Server) ConfigurationChanged(table *route.Table) {
	s.sources.Lock()
	defer s.sources.Unlock()
	s.heard.configuration = true
	s.fromCopy.Store(false)
	s.adoptConfiguration(table)
}

func (s *Server) adoptConfiguration(table *route.Table) {
	for {
		present := s.table.Load()
		if present != nil && present.Version >= table.Version {
			return
		}
		if s.table.CompareAndSwap(present, table) {
			break
		}
	}
	s.boundIdle()
	s.log.Info().Str("event", "configuration_changed").Uint64("version", table.Version).Int("routes", table.RouteCount()).Msg("")
}

// boundIdle shares each service's limit of connections among the gateways: what
// rests here may take half of this one's part.
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

// BackEndsChanged takes in the store's list of instances.
func (s *Server) BackEndsChanged(instances []backend.Instance) {
	s.sources.Lock()
	defer s.sources.Unlock()
	s.heard.instances = true
	s.adoptInstances(instances)
}

func (s *Server) adoptInstances(instances []backend.Instance) {
	doubtful := s.sourceDoubtful()
	gone := s.directory.Update(time.Now(), instances, doubtful)
	for _, id := range gone {
		s.pool.Forget(id)
	}
	s.listedAt.Store(int64(time.Since(s.started)))
	s.known.Store(true)
	leaving := 0
	for _, instance := range instances {
		if instance.Leaving {
			leaving++
		}
	}
	s.log.Info().Str("event", "back_ends_changed").Int("instances", len(instances)).Int("leaving", leaving).
		Bool("doubtful", doubtful).Strs("gone", gone).Msg("")
}

// listAge returns how long ago the list of instances last changed.
func (s *Server) listAge() time.Duration {
	return time.Since(s.started) - time.Duration(s.listedAt.Load())
}

// ConfigurationContact notes whether the source of the configuration is in reach.
func (s *Server) ConfigurationContact(lost bool) {
	if !lost {
		s.lostSince.Store(0)
		s.regainedAt.Store(int64(time.Since(s.started)) + 1)
		return
	}
	s.lostSince.Store(int64(time.Since(s.started)) + 1)
}

// sourceDoubtful reports whether the source of the instances is lost or was until
// moments ago.
func (s *Server) sourceDoubtful() bool {
	regained := s.regainedAt.Load()
	return s.lostSince.Load() != 0 || regained != 0 && time.Since(s.started)-time.Duration(regained) < listDoubt
}

// configurationDoubtful reports whether the configuration may be out of date.
func (s *Server) configurationDoubtful() bool {
	if s.fromCopy.Load() {
		return true
	}
	since := s.lostSince.Load()
	return since != 0 && time.Since(s.started)-time.Duration(since) > configurationDoubt
}
