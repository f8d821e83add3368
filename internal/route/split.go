package route

import "github.com/cespare/xxhash/v2"

// headStart bounds the requests that a splitter counts as dealt before its first one.
const headStart = 1000

// Splitter deals the requests of split routes over their targets in proportion
// to the weights, as evenly in time as possible (smooth weighted round robin). Each
// owner begins at a place of its own: many gateways that deal few requests each would
// else all begin with the heaviest target, and together miss the weights.
// It is not safe for concurrent use.
type Splitter struct {
	owner string
	// begun holds the routes that were dealt before.
	begun map[string]bool
	// current holds, for each route and service, how far the service is behind
	// its share.
	current map[splitKey]int
}

type splitKey struct{ route, service string }

// NewSplitter returns the splitter of an owner.
func NewSplitter(owner string) *Splitter {
	return &Splitter{owner: owner, begun: map[string]bool{}, current: map[splitKey]int{}}
}

// Next returns the service for the next request of the route, or "" when no
// target has a positive weight.
func (s *Splitter) Next(route *Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	if !s.begun[route.Name] {
		s.begun[route.Name] = true
		for range xxhash.Sum64String(s.owner+"\x00"+route.Name) % headStart {
			s.deal(route)
		}
	}
	return s.deal(route)
}

// deal moves one request on.
func (s *Splitter) deal(route *Route) string {
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
