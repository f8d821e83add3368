package gateway

// loadControlled reports whether load control decides where the requests to a service go: where
// the operator enables it, and where streams may run on several instances, because their retries
// add to the load that made them fail.
func (s *Server) loadControlled(r *request) bool {
	return r.service.Generates && (s.options.LoadControl || r.table.StreamAttempts(r.service.Name) > 1)
}

// usesAdmissionControl reports whether callers compete for the capacity of a service, so that load
// control decides who gets it: only where the operator enables that. Elsewhere a service is
// expected to have capacity for all its callers except for short periods, in which refusing costs
// callers more than waiting.
func (s *Server) usesAdmissionControl(r *request) bool {
	return r.service.Generates && s.options.LoadControl
}
