// Package route holds the configuration that says where a request of a caller
// goes: routes by host and path prefix, the services behind them, and the limits
// on callers. A Table is immutable; a change of the configuration is a new Table.
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

// Kind says how often a request may run.
type Kind uint8

const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once for each request id.
	Unsafe
	// Streaming requests are answered by events; they run at most once unless the
	// route is resumable.
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

// Target is one part of a split route.
type Target struct {
	Service string
	// Weight is the part's share of the requests, relative to the others.
	Weight int
}

// Route says how requests of one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time a request is held.
	Timeout time.Duration
	// Objective is the time within which an answer, or a stream's first event,
	// has its full value.
	Objective time.Duration
	// GapObjective is the longest pause between events that is still in time.
	GapObjective time.Duration
	// Attempts is the largest number of instances that may run one request.
	Attempts int
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// Targets are the services the route's requests are split over.
	Targets []Target
	// Retained routes keep each turn for Retention, to be continued by later ones.
	Retained  bool
	Retention time.Duration
	// Resumable streams may be continued by another instance after an event.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Homes limits where the route's requests may be run, cached and stored.
	Homes place.Homes
}

// Repeatable reports whether a request may run again after an unknown outcome.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Service is a set of equal instances.
type Service struct {
	Name string
	// ConnectionLimit is how many connections an instance accepts in all.
	ConnectionLimit int
	// Generates is true for services of model engines.
	Generates bool
	// TokensPerEvent is how many tokens one event of a stream stands for.
	TokensPerEvent int
	// CacheTokens is the prompt memory of one engine, in tokens.
	CacheTokens int
	// ColdPerSecond is how many requests a second an instance withstands while it is cold,
	// from all gateways together; 0 is no limit. ColdStart is how long it is cold after a
	// start.
	ColdPerSecond float64
	ColdStart     time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime is how long a caller may take to send a request's header.
	HeaderTime time.Duration
	// IdleTime is how long a kept connection may rest.
	IdleTime time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// Tenants maps keys to tenants; nil where the configuration names none, and then no
	// route needs a key.
	Tenants *tenant.Index
	// byHost holds each host's routes, the longest prefix first.
	byHost map[string][]*Route
	// mostUrgent is the least priority of the routes to each service.
	mostUrgent map[string]int
	// mostAttempts is the largest number of attempts of the streaming routes to each service.
	mostAttempts map[string]int
}

// NewTable indexes the routes.
func NewTable(version uint64, routes []*Route, services []Service, limits Limits) *Table {
	table := &Table{
		Version: version, Services: map[string]Service{}, Limits: limits, byHost: map[string][]*Route{}, mostUrgent: map[string]int{},
		mostAttempts: map[string]int{},
	}
	for _, service := range services {
		table.Services[service.Name] = service
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
		table.noteUrgency(route)
	}
	for _, list := range table.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return table
}

func (t *Table) noteUrgency(route *Route) {
	for _, target := range route.Targets {
		least, known := t.mostUrgent[target.Service]
		if !known || route.Priority < least {
			t.mostUrgent[target.Service] = route.Priority
		}
		if route.Kind == Streaming {
			t.mostAttempts[target.Service] = max(t.mostAttempts[target.Service], route.Attempts)
		}
	}
}

// RelativePriority returns how much less urgent a route's requests are than the most urgent ones of
// the same service.
func (t *Table) RelativePriority(route *Route, service string) int {
	return max(0, route.Priority-t.mostUrgent[service])
}

// StreamAttempts returns how many instances may run one streaming request of the service at most.
func (t *Table) StreamAttempts(service string) int { return t.mostAttempts[service] }

// MaxStreamAttempts returns the largest StreamAttempts of all services.
func (t *Table) MaxStreamAttempts() int {
	most := 0
	for _, attempts := range t.mostAttempts {
		most = max(most, attempts)
	}
	return most
}

// Match returns the route of a request, or nil when there is none. The port of
// the host is ignored.
func (t *Table) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, route := range t.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Routes returns all routes in the order of their hosts.
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
