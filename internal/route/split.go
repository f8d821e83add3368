package route

import "github.com/cespare/xxhash/v2"

// maxInitialSkips bounds the number of positions that a splitter skips before its first request.
const maxInitialSkips = 1000

// Splitter distributes the requests of split routes over their targets in proportion to the
// weights and evenly over time (smooth weighted round robin). Each owner starts at a different
// position of the sequence. Otherwise many gateways with few requests each would all start with
// the heaviest target and together miss the weights. It is not safe for concurrent use.
type Splitter struct {
	owner string
	// started holds the routes for which the initial positions were skipped.
	started map[string]bool
	// currentWeights holds, for each route and service, how far the service is behind its
	// share.
	currentWeights map[splitKey]int
}

type splitKey struct{ route, service string }

// NewSplitter returns a splitter. The name of the owner determines its start positions.
func NewSplitter(owner string) *Splitter {
	return &Splitter{owner: owner, started: map[string]bool{}, currentWeights: map[splitKey]int{}}
}

// Next returns the service for the next request of the route. For a route with other than one
// target it returns "" if no target has a positive weight.
func (s *Splitter) Next(route *Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	if !s.started[route.Name] {
		s.started[route.Name] = true
		for range xxhash.Sum64String(s.owner+"\x00"+route.Name) % maxInitialSkips {
			s.advance(route)
		}
	}
	return s.advance(route)
}

// advance selects the service for one request and updates the current weights.
func (s *Splitter) advance(route *Route) string {
	total, chosen := 0, ""
	best := 0
	for _, target := range route.Targets {
		if target.Weight <= 0 {
			continue
		}
		total += target.Weight
		key := splitKey{route.Name, target.Service}
		s.currentWeights[key] += target.Weight
		if chosen == "" || s.currentWeights[key] > best {
			chosen, best = target.Service, s.currentWeights[key]
		}
	}
	if chosen != "" {
		s.currentWeights[splitKey{route.Name, chosen}] -= total
	}
	return chosen
}
