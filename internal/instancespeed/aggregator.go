package instancespeed

import (
	"cmp"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/tally"
)

const (
	// sourceTTL is how long a source's statistics are used after its last report.
	sourceTTL = 10 * time.Second
	// minWeight is the decayed number of observations below which statistics are dropped.
	minWeight = 0.05
	// scanInterval is how often all instances are scanned for those to report first.
	scanInterval = 250 * time.Millisecond
	// maxEntriesPerSource bounds the instances for which one source's statistics are kept.
	maxEntriesPerSource = 1024
	// prioritizedDivisor reserves 1/prioritizedDivisor of a report for the instances that currently
	// deviate most from their stable speed; the rest goes to all instances in round-robin order.
	prioritizedDivisor = 3
)

// Entry is the part of a report about one instance.
type Entry struct {
	Key        Key
	Statistics Statistics
}

// record holds the statistics of one instance, decayed up to the time at.
type record struct {
	at time.Time
	// local are this gateway's observations, zone those of all gateways of its zone, all those of
	// other zones as well.
	local, zone, all Statistics
}

// advance decays the statistics up to a later time.
func (r *record) advance(now time.Time) {
	elapsed := now.Sub(r.at)
	if elapsed <= 0 {
		return
	}
	r.local, r.zone, r.all = r.local.decayed(elapsed), r.zone.decayed(elapsed), r.all.decayed(elapsed)
	r.at = now
}

// add adds a source's statistics, or subtracts them with a factor of -1.
func (r *record) add(source tally.Source, statistics Statistics, factor float64) {
	if source.Zone == "" {
		r.zone = r.zone.plus(statistics, factor)
	}
	r.all = r.all.plus(statistics, factor)
}

// timedStatistics are a source's statistics of an instance with the time of the report.
type timedStatistics struct {
	statistics Statistics
	at         time.Time
}

// sourceState holds the reports of a source.
type sourceState struct {
	version    tally.Version
	lastReport time.Time
	entries    map[Key]timedStatistics
}

// Aggregator holds the observations of this gateway and those that others report. Each entry of a
// source replaces its previous entry for the instance, so lost and duplicated reports cause no
// lasting error. All statistics decay with age. It is not safe for concurrent use.
type Aggregator struct {
	records map[Key]*record
	sources map[tally.Source]*sourceState
	// scannedAt is the time of the last scan of all instances. localFirst and zoneFirst are the
	// instances to report first, order is the round-robin order of all instances; nextLocal and
	// nextZone are the positions in it.
	scannedAt             time.Time
	localFirst, zoneFirst []Key
	order                 []Key
	nextLocal, nextZone   int
}

// NewAggregator returns an empty aggregator.
func NewAggregator() *Aggregator {
	return &Aggregator{records: map[Key]*record{}, sources: map[tally.Source]*sourceState{}}
}

// recordOf returns the record of an instance, decayed up to now. It creates the record if
// necessary.
func (a *Aggregator) recordOf(now time.Time, key Key) *record {
	r := a.records[key]
	if r == nil {
		r = &record{at: now}
		a.records[key] = r
		a.order = append(a.order, key)
	}
	r.advance(now)
	return r
}

// observe adds local statistics of an instance.
func (a *Aggregator) observe(now time.Time, key Key, statistics Statistics) {
	r := a.recordOf(now, key)
	r.local = r.local.plus(statistics, 1)
	r.add(tally.Source{}, statistics, 1)
}

// Observe adds a request that was slower than usual by logSlowdown, a logarithm, with the given
// weight.
func (a *Aggregator) Observe(now time.Time, key Key, logSlowdown, weight float64) {
	logSlowdown = max(-maxLogSlowdown, min(maxLogSlowdown, logSlowdown))
	sum := WeightedSum{Weight: weight, Sum: weight * logSlowdown}
	a.observe(now, key, Statistics{Stable: sum, Recent: sum})
}

// ObserveOverdue adds a running request that has already taken longer than usual by logSlowdown. It
// affects only the recent statistics, because the end of the request will be observed as well.
func (a *Aggregator) ObserveOverdue(now time.Time, key Key, logSlowdown, weight float64) {
	logSlowdown = max(-maxLogSlowdown, min(maxLogSlowdown, logSlowdown))
	a.observe(now, key, Statistics{Recent: WeightedSum{Weight: weight, Sum: weight * logSlowdown}})
}

// ObserveFailure adds a failure of an instance, ObserveRefusal a refusal for lack of capacity.
func (a *Aggregator) ObserveFailure(now time.Time, key Key) {
	a.observe(now, key, Statistics{Failed: 1})
}
func (a *Aggregator) ObserveRefusal(now time.Time, key Key) {
	a.observe(now, key, Statistics{Refused: 1})
}

// Estimate returns the estimated speed and failure rates of an instance.
func (a *Aggregator) Estimate(now time.Time, key Key) Estimate {
	r := a.records[key]
	if r == nil {
		return Estimate{}
	}
	r.advance(now)
	return r.all.estimate()
}

// ApplyReport applies a source's report. Reports that are older than the source's last one are
// ignored.
func (a *Aggregator) ApplyReport(now time.Time, source tally.Source, version tally.Version, entries []Entry) {
	a.expire(now)
	state := a.sources[source]
	if state == nil {
		state = &sourceState{entries: map[Key]timedStatistics{}}
		a.sources[source] = state
	}
	// The reports of a zone come from all of its gateways, whose versions have no common order.
	if source.Zone == "" && version.Before(state.version) {
		return
	}
	state.version, state.lastReport = version, now
	for _, entry := range entries {
		if _, exists := state.entries[entry.Key]; !exists && len(state.entries) >= maxEntriesPerSource {
			continue
		}
		record := a.recordOf(now, entry.Key)
		a.subtract(now, source, state, entry.Key)
		record.add(source, entry.Statistics, 1)
		state.entries[entry.Key] = timedStatistics{statistics: entry.Statistics, at: now}
	}
}

// subtract removes a source's statistics of an instance from the sums.
func (a *Aggregator) subtract(now time.Time, source tally.Source, state *sourceState, key Key) {
	if before, counted := state.entries[key]; counted {
		a.recordOf(now, key).add(source, before.statistics.decayed(now.Sub(before.at)), -1)
		delete(state.entries, key)
	}
}

// expire drops the sources without a report for sourceTTL.
func (a *Aggregator) expire(now time.Time) {
	for source, state := range a.sources {
		if now.Sub(state.lastReport) <= sourceTTL {
			continue
		}
		for key := range state.entries {
			a.subtract(now, source, state, key)
		}
		delete(a.sources, source)
	}
}

// LocalEntries returns at most limit entries of this gateway's observations: first the instances
// that currently deviate most from their stable speed or fail, then others in round-robin order.
func (a *Aggregator) LocalEntries(now time.Time, limit int) []Entry {
	a.scan(now, limit)
	return a.entries(now, limit, a.localFirst, &a.nextLocal, func(r *record) Statistics { return r.local })
}

// ZoneEntries returns entries of the observations of all gateways of this gateway's zone; see
// LocalEntries.
func (a *Aggregator) ZoneEntries(now time.Time, limit int) []Entry {
	a.scan(now, limit)
	return a.entries(now, limit, a.zoneFirst, &a.nextZone, func(r *record) Statistics { return r.zone })
}

// entries returns the entries of the given instances, then those of others in round-robin order.
func (a *Aggregator) entries(now time.Time, limit int, first []Key, next *int, statisticsOf func(*record) Statistics) []Entry {
	entries := make([]Entry, 0, limit)
	add := func(key Key) {
		r := a.records[key]
		if r == nil {
			return
		}
		r.advance(now)
		if statistics := statisticsOf(r); statistics.isSignificant() {
			entries = append(entries, Entry{Key: key, Statistics: statistics})
		}
	}
	for _, key := range first {
		add(key)
	}
	for step := 0; step < len(a.order) && len(entries) < limit; step++ {
		key := a.order[*next%len(a.order)]
		*next++
		if !slices.Contains(first, key) {
			add(key)
		}
	}
	return entries
}

// isSignificant reports whether the statistics contain enough observations to be kept.
func (s Statistics) isSignificant() bool {
	return s.Stable.Weight >= minWeight || s.Recent.Weight+s.Failed+s.Refused >= minWeight
}

// deviation returns how much the recent statistics change the estimate of an instance.
func (s Statistics) deviation() float64 {
	estimate := s.estimate()
	return max(estimate.Transient, -estimate.Transient) + estimate.FailureRate + estimate.RefusalRate
}

// scan drops expired records and finds the instances to report first. It does nothing within
// scanInterval of the last scan.
func (a *Aggregator) scan(now time.Time, limit int) {
	if now.Sub(a.scannedAt) < scanInterval {
		return
	}
	a.scannedAt = now
	a.expire(now)
	a.order = a.order[:0]
	for key, r := range a.records {
		r.advance(now)
		if !r.all.isSignificant() && !a.isReported(key) {
			delete(a.records, key)
			continue
		}
		a.order = append(a.order, key)
	}
	slices.Sort(a.order)
	a.localFirst = a.mostDeviating(limit/prioritizedDivisor, func(r *record) Statistics { return r.local })
	a.zoneFirst = a.mostDeviating(limit/prioritizedDivisor, func(r *record) Statistics { return r.zone })
}

// isReported reports whether statistics of any source for an instance are still included.
func (a *Aggregator) isReported(key Key) bool {
	for _, state := range a.sources {
		if _, held := state.entries[key]; held {
			return true
		}
	}
	return false
}

// mostDeviating returns at most limit instances with the largest deviation.
func (a *Aggregator) mostDeviating(limit int, statisticsOf func(*record) Statistics) []Key {
	type ranked struct {
		key       Key
		deviation float64
	}
	first := make([]ranked, 0, limit+1)
	for _, key := range a.order {
		candidate := ranked{key, statisticsOf(a.records[key]).deviation()}
		if candidate.deviation < minDeviation || len(first) == limit && first[limit-1].deviation >= candidate.deviation {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, candidate, func(a, b ranked) int { return -cmp.Compare(a.deviation, b.deviation) })
		first = slices.Insert(first, at, candidate)
		first = first[:min(limit, len(first))]
	}
	keys := make([]Key, len(first))
	for i, entry := range first {
		keys[i] = entry.key
	}
	return keys
}

// minDeviation is the deviation, as a logarithm or a rate, from which an instance is reported
// first.
const minDeviation = 0.1

// InstanceCount returns the number of instances with observations, SourceCount the number of
// sources whose reports are included.
func (a *Aggregator) InstanceCount() int { return len(a.records) }
func (a *Aggregator) SourceCount() int   { return len(a.sources) }
