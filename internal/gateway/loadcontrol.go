package gateway

// loadControlled reports whether load control decides about the requests to a service: where
// the operator asks for it, and where streams may be run by several instances, for then what
// is sent again adds to the load that made it fail.
func (s *Server) loadControlled(r *request) bool {
	if !r.service.Generates {
		return false
	}
	return s.options.LoadControl || r.table.StreamAttempts(r.service.Name) > 1
}
