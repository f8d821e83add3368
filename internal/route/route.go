// Package route holds the routing configuration: routes by host and path prefix, the services
// behind them, and the limits on callers. A Table is immutable; each change of the
// configuration creates a new Table.
package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/tenant"
)

// Kind is the execution semantics of a route's requests.
type Kind uint8

const (
	// Safe requests may be executed more than once.
	Safe Kind = iota + 1
	// Unsafe requests are executed at most once for each request id.
	Unsafe
	// Streaming requests are answered with a stream of events; they are executed at most once
	// unless the route is resumable.
	Streaming
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Unsafe:
		return "unsafe"
	case Streaming:
		return "streaming"
	default:
		return "unknown"
	}
}

// Target is one of the services that a route's requests are split over.
type Target struct {
	Service string
	// Weight is the target's share of the requests, relative to the other targets.
	Weight int
}

// Route configures the handling of requests for one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the total time of a request.
	Timeout time.Duration
	// Objective is the latency objective for a response, or for the first event of a stream.
	Objective time.Duration
	// GapObjective is the latency objective for the pause between two events of a stream.
	GapObjective time.Duration
	// Attempts is the maximum number of instances that may execute one request.
	Attempts int
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// Targets are the services that the route's requests are split over.
	Targets []Target
	// Retained is set when each turn is stored for the duration Retention, so that later turns
	// can continue it.
	Retained  bool
	Retention time.Duration
	// Resumable is set when another instance may continue a stream after an event.
	Resumable bool
	// Public is set when requests need no key.
	Public bool
	// Homes restricts the regions in which the route's requests may be run, cached and stored.
	Homes place.Homes
}

// Repeatable reports whether a request may be executed again after an attempt with unknown
// outcome.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Service is a set of interchangeable instances.
type Service struct {
	Name string
	// ConnectionLimit is the total number of connections that one instance accepts.
	ConnectionLimit int
	// Generates is set for services whose instances are model engines.
	Generates bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// CacheTokens is the size of the prompt cache of one engine, in tokens.
	CacheTokens int
	// ColdPerSecond is the number of requests per second, from all gateways together, that an
	// instance can handle while it is cold; 0 means no limit. ColdStart is how long an instance
	// is cold after its start.
	ColdPerSecond float64
	ColdStart     time.Duration
}

// Limits bound the requests that callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime is how long a caller may take to send the header of a request.
	HeaderTime time.Duration
	// IdleTime is how long a keep-alive connection may be idle.
	IdleTime time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// Tenants maps keys to tenants. It is nil when the configuration has no tenants; no route
	// needs a key then.
	Tenants *tenant.Index
	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]*Route
	// minPriority is the lowest priority value of the routes to each service.
	minPriority map[string]int
	// streamAttempts is the maximum Attempts of the streaming routes to each service.
	streamAttempts map[string]int
}

// NewTable returns a table of the routes and services, without tenants.
func NewTable(version uint64, routes []*Route, services []Service, limits Limits) *Table {
	table := &Table{
		Version: version, Services: map[string]Service{}, Limits: limits, byHost: map[string][]*Route{}, minPriority: map[string]int{},
		streamAttempts: map[string]int{},
	}
	for _, service := range services {
		table.Services[service.Name] = service
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
		table.indexTargets(route)
	}
	for _, list := range table.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return table
}

func (t *Table) indexTargets(route *Route) {
	for _, target := range route.Targets {
		lowest, known := t.minPriority[target.Service]
		if !known || route.Priority < lowest {
			t.minPriority[target.Service] = route.Priority
		}
		if route.Kind == Streaming {
			t.streamAttempts[target.Service] = max(t.streamAttempts[target.Service], route.Attempts)
		}
	}
}

// RelativePriority returns the priority of a route relative to the most urgent route of the
// same service; 0 is the most urgent.
func (t *Table) RelativePriority(route *Route, service string) int {
	return max(0, route.Priority-t.minPriority[service])
}

// StreamAttempts returns the maximum number of instances that may execute one streaming request
// of the service.
func (t *Table) StreamAttempts(service string) int { return t.streamAttempts[service] }

// MaxStreamAttempts returns the maximum of StreamAttempts over all services.
func (t *Table) MaxStreamAttempts() int {
	largest := 0
	for _, attempts := range t.streamAttempts {
		largest = max(largest, attempts)
	}
	return largest
}

// Match returns the route for a request, or nil if there is none. It ignores the port of the
// host.
func (t *Table) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, route := range t.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Routes returns all routes, ordered by host and then longest prefix first.
func (t *Table) Routes() []*Route {
	var all []*Route
	for _, host := range slices.Sorted(maps.Keys(t.byHost)) {
		all = append(all, t.byHost[host]...)
	}
	return all
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	count := 0
	for _, list := range t.byHost {
		count += len(list)
	}
	return count
}
