// Package tally adds up figures that gateways tell each other. Each source replaces what it
// said before, so lost, repeated and reordered reports leave no error behind; a source that
// falls silent stops counting. It is pure: time comes from the caller.
package tally

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Source is whose figures a report holds: those of one gateway of the own zone, or those of
// all gateways of another zone. One field is set.
type Source struct {
	Gateway string
	Zone    string
}

// Version orders the reports of one source: by the start of the process that made them, in
// Unix nanoseconds, then by their number in its life.
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

// Tally holds the newest figures of each source and their sums by key. It is not safe for
// concurrent use.
type Tally[K comparable] struct {
	// life is how long a source's figures count after its last report.
	life    time.Duration
	sources map[Source]report[K]
	sums    map[K]float64
}

// report is what one source said last.
type report[K comparable] struct {
	figures map[K]float64
	at      time.Time
}

// New returns a tally whose sources count for the given time after their last report.
func New[K comparable](life time.Duration) *Tally[K] {
	return &Tally[K]{life: life, sources: map[Source]report[K]{}, sums: map[K]float64{}}
}

// Replace takes a source's figures in place of what it said before. The map belongs to the
// tally afterwards.
func (t *Tally[K]) Replace(now time.Time, source Source, figures map[K]float64) {
	t.expire(now)
	t.drop(source)
	t.sources[source] = report[K]{figures: figures, at: now}
	for key, value := range figures {
		t.sums[key] += value
	}
}

// Sums returns the sums of all keys over all sources, without this gateway's own figures.
func (t *Tally[K]) Sums(now time.Time) map[K]float64 {
	t.expire(now)
	return maps.Clone(t.sums)
}

// ZoneTotals returns the own figures with those of the own zone's other gateways: what a zone
// tells another one.
func (t *Tally[K]) ZoneTotals(now time.Time, own map[K]float64) map[K]float64 {
	t.expire(now)
	total := maps.Clone(own)
	if total == nil {
		total = map[K]float64{}
	}
	for _, source := range t.sorted() {
		if source.Zone != "" {
			continue
		}
		for key, value := range t.sources[source].figures {
			total[key] += value
		}
	}
	return total
}

// sorted returns the sources in an order of their own, so that rounding does not depend on the
// order of the map.
func (t *Tally[K]) sorted() []Source {
	return slices.SortedFunc(maps.Keys(t.sources), func(a, b Source) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Gateway, b.Gateway))
	})
}

// SourceCount returns how many sources count.
func (t *Tally[K]) SourceCount(now time.Time) int {
	t.expire(now)
	return len(t.sources)
}

// expire drops the sources that have been silent for too long.
func (t *Tally[K]) expire(now time.Time) {
	for source, said := range t.sources {
		if now.Sub(said.at) > t.life {
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
	// Summing anew keeps rounding errors from growing with each report.
	for _, other := range t.sorted() {
		said := t.sources[other].figures
		for key := range dropped {
			if value, known := said[key]; known {
				t.sums[key] += value
			}
		}
	}
}
