package gateway

import (
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// barredRetry is the Retry-After of a request that no zone may serve: the operator has to
	// change something first, which takes seconds.
	barredRetry = time.Second
	// evacuationsWait is how long a gateway that knows the instances waits to hear which
	// zones are evacuated. Both are listed side by side; a list takes 2 s at most. Copies
	// that an older version wrote say nothing of evacuations: a fleet that starts from them
	// while the store is away serves after this time.
	evacuationsWait = 2 * time.Second
)

// homes returns in which regions the request may be handled. Those of its route and of its
// tenant both bind.
func (r *request) homes() place.Homes {
	homes := r.route.Homes
	if r.tenant != nil {
		homes = homes.Intersect(r.tenant.Homes)
	}
	return homes
}

// refusalIfBarred returns the refusal of a request that no zone may serve, or nil. It is asked
// before the request is counted anywhere: it will not run.
func (s *Server) refusalIfBarred(r *request) *refusal {
	bar := s.directory.Restriction(time.Now(), backend.Demand{Service: r.service.Name, Homes: r.homes()})
	if bar == backend.NotRestricted {
		return nil
	}
	return refuseBarred(bar)
}

// barred returns why a request for which no instance was found need not wait for one.
func (s *Server) barred(demand backend.Demand, found bool) *backend.Failure {
	if found {
		return nil
	}
	bar := s.directory.Restriction(time.Now(), demand)
	if bar == backend.NotRestricted {
		return nil
	}
	return &backend.Failure{Verdict: verdict.NotRun, Restriction: bar, Reason: bar.String()}
}

// refuseBarred refuses a request that no zone may serve; the code says that it has not run.
func refuseBarred(bar backend.Restriction) *refusal {
	code := verdict.CodeEvacuated
	if bar == backend.RestrictedByHomes {
		code = verdict.CodeNoInstanceInHome
	}
	return refuseFor(code, barredRetry, bar.String())
}

// EvacuationsChanged replaces the zones whose instances are to get nothing further.
func (s *Server) EvacuationsChanged(zones []string) {
	returned := s.directory.SetEvacuated(time.Now(), zones)
	s.evacuationsKnown.Store(true)
	s.metrics.evacuated.Set(float64(len(zones)))
	s.log.Info().Str("event", "evacuations_changed").Strs("zones", zones).Strs("returned", returned).
		Int("running", s.directory.EvacuatedInFlight()).Dur("age", s.knowledgeAge()).Msg("")
}

// isInformed reports whether enough is known to place requests. It logs once when the list of
// evacuated zones is overdue, and then does without.
func (s *Server) isInformed() bool {
	if !s.known.Load() || s.awaitsConfirmation() {
		return false
	}
	if !s.options.Evacuations || s.evacuationsKnown.Load() {
		return true
	}
	waited := time.Since(s.started) - time.Duration(s.knownAt.Load())
	if waited < evacuationsWait {
		return false
	}
	if !s.evacuationsKnown.Swap(true) {
		s.log.Warn().Str("event", "evacuations_unknown").Dur("waited", waited).Dur("age", s.knowledgeAge()).Msg("")
	}
	return true
}
