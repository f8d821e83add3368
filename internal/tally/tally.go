// Package tally sums figures that gateways report to each other. Each report replaces the
// previous one of its source, so lost, repeated and reordered reports cause no lasting error. The
// figures of a source that stops reporting expire. The package is deterministic: callers pass the
// time in.
package tally

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Source identifies whose figures a report holds: those of one gateway of the local zone, or
// those of all gateways of another zone. Exactly one field is set.
type Source struct {
	Gateway string
	Zone    string
}

// Version orders the reports of one source: by the start time of the reporting process, in Unix
// nanoseconds, then by the sequence number of the report within that process.
type Version struct {
	Started int64
	Number  uint64
}

// Before reports whether v is older than other.
func (v Version) Before(other Version) bool {
	if v.Started != other.Started {
		return v.Started < other.Started
	}
	return v.Number < other.Number
}

// Tally holds the latest figures of each source and their sums by key. It is not safe for
// concurrent use.
type Tally[K comparable] struct {
	// ttl is how long a source's figures count after its last report.
	ttl     time.Duration
	sources map[Source]report[K]
	sums    map[K]float64
}

// report is the latest report of one source.
type report[K comparable] struct {
	figures    map[K]float64
	receivedAt time.Time
}

// New returns an empty tally whose sources expire ttl after their last report.
func New[K comparable](ttl time.Duration) *Tally[K] {
	return &Tally[K]{ttl: ttl, sources: map[Source]report[K]{}, sums: map[K]float64{}}
}

// Replace replaces the figures of a source. The tally takes ownership of the map.
func (t *Tally[K]) Replace(now time.Time, source Source, figures map[K]float64) {
	t.expire(now)
	t.drop(source)
	t.sources[source] = report[K]{figures: figures, receivedAt: now}
	for key, value := range figures {
		t.sums[key] += value
	}
}

// Sums returns the sum of each key over all sources. It does not include this gateway's own
// figures.
func (t *Tally[K]) Sums(now time.Time) map[K]float64 {
	t.expire(now)
	return maps.Clone(t.sums)
}

// ZoneTotals returns this gateway's own figures plus those of the other gateways of its zone. This
// is what a zone reports to another one.
func (t *Tally[K]) ZoneTotals(now time.Time, own map[K]float64) map[K]float64 {
	t.expire(now)
	total := maps.Clone(own)
	if total == nil {
		total = map[K]float64{}
	}
	for _, source := range t.sortedSources() {
		if source.Zone != "" {
			continue
		}
		for key, value := range t.sources[source].figures {
			total[key] += value
		}
	}
	return total
}

// sortedSources returns the sources in a fixed order, so that rounding does not depend on the
// iteration order of the map.
func (t *Tally[K]) sortedSources() []Source {
	return slices.SortedFunc(maps.Keys(t.sources), func(a, b Source) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Gateway, b.Gateway))
	})
}

// SourceCount returns the number of sources that have not expired.
func (t *Tally[K]) SourceCount(now time.Time) int {
	t.expire(now)
	return len(t.sources)
}

// expire drops the sources whose last report is older than the TTL.
func (t *Tally[K]) expire(now time.Time) {
	for source, latest := range t.sources {
		if now.Sub(latest.receivedAt) > t.ttl {
			t.drop(source)
		}
	}
}

func (t *Tally[K]) drop(source Source) {
	for key := range t.sources[source].figures {
		delete(t.sums, key)
	}
	dropped := t.sources[source].figures
	delete(t.sources, source)
	// Recomputing the sums keeps rounding errors from growing with each report.
	for _, other := range t.sortedSources() {
		figures := t.sources[other].figures
		for key := range dropped {
			if value, known := figures[key]; known {
				t.sums[key] += value
			}
		}
	}
}
