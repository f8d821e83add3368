package gateway

// loadControlled reports whether load control decides where the requests to a service go: where
// the operator asks for it, and where streams may be run by several instances, for then what
// is sent again adds to the load that made it fail.
func (s *Server) loadControlled(r *request) bool {
	return r.service.Generates && (s.options.LoadControl || r.table.StreamAttempts(r.service.Name) > 1)
}

// rationed reports whether callers compete for the room of a service, so that load control
// decides who gets it: only where the operator asks for that. Elsewhere a service is expected to
// have room for all its callers but for moments, in which refusing costs them more than waiting.
func (s *Server) rationed(r *request) bool {
	return r.service.Generates && s.options.LoadControl
}
