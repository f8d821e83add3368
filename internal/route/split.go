package route

// Splitter deals the requests of split routes over their targets in proportion
// to the weights, as evenly in time as possible (smooth weighted round robin).
// It is not safe for concurrent use.
type Splitter struct {
	// current holds, for each route and service, how far the service is behind
	// its share.
	current map[splitKey]int
}

type splitKey struct{ route, service string }

// NewSplitter returns a splitter without history.
func NewSplitter() *Splitter { return &Splitter{current: map[splitKey]int{}} }

// Next returns the service for the next request of the route, or "" when no
// target has a positive weight.
func (s *Splitter) Next(route *Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	total, chosen := 0, ""
	best := 0
	for _, target := range route.Targets {
		if target.Weight <= 0 {
			continue
		}
		total += target.Weight
		key := splitKey{route.Name, target.Service}
		s.current[key] += target.Weight
		if chosen == "" || s.current[key] > best {
			chosen, best = target.Service, s.current[key]
		}
	}
	if chosen != "" {
		s.current[splitKey{route.Name, chosen}] -= total
	}
	return chosen
}
