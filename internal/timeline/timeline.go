// Package timeline summarizes the request lines of gateways' logs by spans of time, and within
// them by route, zone or tenant. It shows which callers are affected by overload, and when.
// Its input is an explain.Log.
package timeline

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/explain"
)

// Group is the attribute by which the requests of a span are grouped.
type Group string

// The groups.
const (
	ByRoute  Group = "route"
	ByZone   Group = "zone"
	ByTenant Group = "tenant"
)

// Groups lists all groups.
func Groups() []Group { return []Group{ByRoute, ByZone, ByTenant} }

// Row summarizes the outcomes of the requests of one group in one span of time.
type Row struct {
	// FromS is the start of the span in seconds after the first request.
	FromS float64 `json:"from_s"`
	Group string  `json:"group"`
	// Answered counts requests with a complete response, Refused those rejected for lack of
	// capacity, credit, budget or current state, Failed all others, whether or not they ran.
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// LateStarts counts the requests whose program deadline had passed when they arrived.
	LateStarts int `json:"late_starts"`
	// FirstEventMS and TookMS are the median and the 95th percentile of the time to the first event
	// and of the whole time of answered requests, in milliseconds.
	FirstEventMS Quantiles `json:"first_ms"`
	DurationMS   Quantiles `json:"took_ms"`
	// Reasons counts the refused and failed requests by result.
	Reasons map[string]int `json:"reasons,omitempty"`
}

// Quantiles are two quantiles of a set of values; zero if the set is empty.
type Quantiles struct {
	Median float64 `json:"median"`
	P95    float64 `json:"p95"`
}

// requestEvent is the log event of a finished request. startEvent is the event of a node's start,
// which carries its zone.
const (
	requestEvent = "request"
	startEvent   = "start"
)

// Summarize returns the rows of a log, sorted by time and, within a span, by group name.
func Summarize(log *explain.Log, span time.Duration, by Group) []Row {
	zones := zonesOf(log)
	aggregates := map[aggregateKey]*aggregate{}
	var first time.Time
	for _, line := range log.Lines {
		if line.Event == requestEvent && (first.IsZero() || line.Time.Before(first)) {
			first = line.Time
		}
	}
	for _, line := range log.Lines {
		request := entry(line)
		if line.Event != requestEvent || request.text("route") == "" {
			continue
		}
		key := aggregateKey{span: int64(line.Time.Sub(first) / span), group: request.group(by, zones)}
		if aggregates[key] == nil {
			aggregates[key] = newAggregate()
		}
		aggregates[key].add(request)
	}
	return buildRows(aggregates, span)
}

type aggregateKey struct {
	span  int64
	group string
}

func buildRows(aggregates map[aggregateKey]*aggregate, span time.Duration) []Row {
	keys := slices.SortedFunc(maps.Keys(aggregates), func(a, b aggregateKey) int {
		return cmp.Or(cmp.Compare(a.span, b.span), cmp.Compare(a.group, b.group))
	})
	all := make([]Row, 0, len(keys))
	for _, key := range keys {
		row := aggregates[key].row()
		row.FromS = (time.Duration(key.span) * span).Seconds()
		row.Group = key.group
		all = append(all, row)
	}
	return all
}

// zonesOf returns the zone of each node, taken from its start line.
func zonesOf(log *explain.Log) map[string]string {
	zones := map[string]string{}
	for _, line := range log.Lines {
		if line.Event == startEvent {
			zones[line.Node] = entry(line).text("zone")
		}
	}
	return zones
}
