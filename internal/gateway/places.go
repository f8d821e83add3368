package gateway

import (
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// ineligibleRetry is the Retry-After of a request that no zone may serve: the operator has to
	// change something first, which takes seconds.
	ineligibleRetry = time.Second
	// evacuationsTimeout is how long a gateway that knows the instances waits for the list of
	// evacuated zones. Both are listed at the same time; a list takes 2 s at most. Copies
	// written by an older version do not contain evacuations: a fleet that starts from them
	// while the store is unavailable serves after this time.
	evacuationsTimeout = 2 * time.Second
)

// homes returns the regions in which the request may be handled: those allowed by both its route
// and its tenant.
func (r *request) homes() place.Homes {
	homes := r.route.Homes
	if r.tenant != nil {
		homes = homes.Intersect(r.tenant.Homes)
	}
	return homes
}

// refuseIfIneligible returns the refusal of a request that no zone may serve, or nil. It is called
// before the request is counted against any limit, because such a request will not run.
func (s *Server) refuseIfIneligible(r *request) *refusal {
	bar := s.directory.Restriction(time.Now(), backend.Demand{Service: r.service.Name, Homes: r.homes()})
	if bar == backend.NotRestricted {
		return nil
	}
	return refuseIneligible(bar)
}

// placementFailure returns the failure of a request for which no instance was found and none
// becomes eligible by waiting, or nil.
func (s *Server) placementFailure(demand backend.Demand, found bool) *backend.Failure {
	if found {
		return nil
	}
	bar := s.directory.Restriction(time.Now(), demand)
	if bar == backend.NotRestricted {
		return nil
	}
	return &backend.Failure{Verdict: verdict.NotRun, Restriction: bar, Reason: bar.String()}
}

// refuseIneligible refuses a request that no zone may serve; the code states that it has not run.
func refuseIneligible(bar backend.Restriction) *refusal {
	switch bar {
	case backend.RestrictedByVersion:
		return refuseFor(verdict.CodeVersionGone, 0, bar.String())
	case backend.RestrictedByHomes:
		return refuseFor(verdict.CodeNoInstanceInHome, ineligibleRetry, bar.String())
	default:
		return refuseFor(verdict.CodeEvacuated, ineligibleRetry, bar.String())
	}
}

// EvacuationsChanged replaces the zones whose instances receive no further requests.
func (s *Server) EvacuationsChanged(zones []string) {
	returned := s.directory.SetEvacuated(time.Now(), zones)
	s.evacuationsKnown.Store(true)
	s.metrics.evacuated.Set(float64(len(zones)))
	s.log.Info().Str("event", "evacuations_changed").Strs("zones", zones).Strs("returned", returned).
		Int("running", s.directory.EvacuatedInFlight()).Dur("age", s.stateAge()).Msg("")
}

// hasPlacementState reports whether enough is known to place requests. If the list of evacuated
// zones is overdue, it logs that once and stops requiring the list.
func (s *Server) hasPlacementState() bool {
	if !s.instancesKnown.Load() || s.awaitsConfirmation() {
		return false
	}
	if !s.options.Evacuations || s.evacuationsKnown.Load() {
		return true
	}
	waited := time.Since(s.started) - time.Duration(s.instancesKnownAt.Load())
	if waited < evacuationsTimeout {
		return false
	}
	if !s.evacuationsKnown.Swap(true) {
		s.log.Warn().Str("event", "evacuations_unknown").Dur("waited", waited).Dur("age", s.stateAge()).Msg("")
	}
	return true
}
