package instancespeed

import (
	"cmp"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/tally"
)

const (
	// sourceLife is how long figures count after the last report of their source.
	sourceLife = 10 * time.Second
	// leastWeight is the number of observations below which figures are forgotten.
	leastWeight = 0.05
	// surveyInterval is how often all instances are looked at for those to tell of first.
	surveyInterval = 250 * time.Millisecond
	// mostOfSource bounds the instances of which one source's figures are kept.
	mostOfSource = 1024
	// newsShare is the part of a report, one in so many, that is kept for the instances that
	// are most unlike their stable speed just now; the rest goes to all in turn.
	newsShare = 3
)

// Entry is what a report tells of one instance.
type Entry struct {
	Key        Key
	Statistics Statistics
}

// record is what is known of one instance; all figures are of the moment at.
type record struct {
	at time.Time
	// own are this gateway's observations, zone those of the own zone's gateways with them, all
	// those of other zones as well.
	own, zone, all Statistics
}

// advance brings the figures to a later moment.
func (r *record) advance(now time.Time) {
	elapsed := now.Sub(r.at)
	if elapsed <= 0 {
		return
	}
	r.own, r.zone, r.all = r.own.after(elapsed), r.zone.after(elapsed), r.all.after(elapsed)
	r.at = now
}

// add counts figures of a source, or takes them off with a factor of -1.
func (r *record) add(source tally.Source, figures Statistics, factor float64) {
	if source.Zone == "" {
		r.zone = r.zone.plus(figures, factor)
	}
	r.all = r.all.plus(figures, factor)
}

// told is what a source said of an instance, and when.
type told struct {
	figures Statistics
	at      time.Time
}

// reporter is a source of figures.
type reporter struct {
	version tally.Version
	heardAt time.Time
	told    map[Key]told
}

// Aggregator holds the observations of this gateway and what others told of theirs. Each entry of a
// source replaces what that source said of the instance before, so lost and repeated reports
// leave no error behind; figures fade with their age. It is not safe for concurrent use.
type Aggregator struct {
	records   map[Key]*record
	reporters map[tally.Source]*reporter
	// surveyedAt is when all instances were looked at last. ownNews and zoneNews are those to
	// tell of first, order are all others' turns; next is whose turn it is.
	surveyedAt        time.Time
	ownNews, zoneNews []Key
	order             []Key
	nextOwn, nextZone int
}

// NewAggregator returns a board that knows nothing.
func NewAggregator() *Aggregator {
	return &Aggregator{records: map[Key]*record{}, reporters: map[tally.Source]*reporter{}}
}

// of returns the record of an instance at the given time.
func (b *Aggregator) of(now time.Time, key Key) *record {
	known := b.records[key]
	if known == nil {
		known = &record{at: now}
		b.records[key] = known
		b.order = append(b.order, key)
	}
	known.advance(now)
	return known
}

// observe adds own figures of an instance.
func (b *Aggregator) observe(now time.Time, key Key, figures Statistics) {
	known := b.of(now, key)
	known.own = known.own.plus(figures, 1)
	known.add(tally.Source{}, figures, 1)
}

// Observe adds a request that was so much slower than usual, as a logarithm, and counts as so
// many.
func (b *Aggregator) Observe(now time.Time, key Key, slower, weight float64) {
	slower = max(-mostSlower, min(mostSlower, slower))
	seen := WeightedSum{Weight: weight, Sum: weight * slower}
	b.observe(now, key, Statistics{Stable: seen, Recent: seen})
}

// ObserveOverdue adds a request that has taken at least so much longer than usual and goes on. It
// counts for the moment only: the request's end will tell what it was.
func (b *Aggregator) ObserveOverdue(now time.Time, key Key, slower, weight float64) {
	slower = max(-mostSlower, min(mostSlower, slower))
	b.observe(now, key, Statistics{Recent: WeightedSum{Weight: weight, Sum: weight * slower}})
}

// ObserveFailure adds a failure of an instance, Refused a refusal for lack of room.
func (b *Aggregator) ObserveFailure(now time.Time, key Key) {
	b.observe(now, key, Statistics{Failed: 1})
}
func (b *Aggregator) ObserveRefusal(now time.Time, key Key) {
	b.observe(now, key, Statistics{Refused: 1})
}

// Estimate returns what is believed of an instance.
func (b *Aggregator) Estimate(now time.Time, key Key) Estimate {
	known := b.records[key]
	if known == nil {
		return Estimate{}
	}
	known.advance(now)
	return known.all.view()
}

// ApplyReport applies what a source told. Reports that are older than what it said before are passed
// over.
func (b *Aggregator) ApplyReport(now time.Time, source tally.Source, version tally.Version, entries []Entry) {
	b.expire(now)
	known := b.reporters[source]
	if known == nil {
		known = &reporter{told: map[Key]told{}}
		b.reporters[source] = known
	}
	// The reports of a zone come from all of its gateways, whose versions have no common order.
	if source.Zone == "" && version.Before(known.version) {
		return
	}
	known.version, known.heardAt = version, now
	for _, entry := range entries {
		if _, replaces := known.told[entry.Key]; !replaces && len(known.told) >= mostOfSource {
			continue
		}
		record := b.of(now, entry.Key)
		b.takeBack(now, source, known, entry.Key)
		record.add(source, entry.Statistics, 1)
		known.told[entry.Key] = told{figures: entry.Statistics, at: now}
	}
}

// takeBack takes off what a source said of an instance.
func (b *Aggregator) takeBack(now time.Time, source tally.Source, known *reporter, key Key) {
	if before, counted := known.told[key]; counted {
		b.of(now, key).add(source, before.figures.after(now.Sub(before.at)), -1)
		delete(known.told, key)
	}
}

// expire drops the sources that have been silent for too long.
func (b *Aggregator) expire(now time.Time) {
	for source, known := range b.reporters {
		if now.Sub(known.heardAt) <= sourceLife {
			continue
		}
		for key := range known.told {
			b.takeBack(now, source, known, key)
		}
		delete(b.reporters, source)
	}
}

// LocalEntries returns at most so many entries of this gateway's observations, Zone of those of the own
// zone together: the instances first that are most unlike their stable speed just now or fail,
// then others in turn.
func (b *Aggregator) LocalEntries(now time.Time, most int) []Entry {
	b.survey(now, most)
	return b.entries(now, most, b.ownNews, &b.nextOwn, func(known *record) Statistics { return known.own })
}

// ZoneEntries returns entries of the own zone; see Own.
func (b *Aggregator) ZoneEntries(now time.Time, most int) []Entry {
	b.survey(now, most)
	return b.entries(now, most, b.zoneNews, &b.nextZone, func(known *record) Statistics { return known.zone })
}

// entries returns the entries of the given instances and then of others in turn.
func (b *Aggregator) entries(now time.Time, most int, first []Key, next *int, of func(*record) Statistics) []Entry {
	entries := make([]Entry, 0, most)
	add := func(key Key) {
		known := b.records[key]
		if known == nil {
			return
		}
		known.advance(now)
		if figures := of(known); figures.isTold() {
			entries = append(entries, Entry{Key: key, Statistics: figures})
		}
	}
	for _, key := range first {
		add(key)
	}
	for step := 0; step < len(b.order) && len(entries) < most; step++ {
		key := b.order[*next%len(b.order)]
		*next++
		if !slices.Contains(first, key) {
			add(key)
		}
	}
	return entries
}

// isTold reports whether figures say anything.
func (f Statistics) isTold() bool {
	return f.Stable.Weight >= leastWeight || f.Recent.Weight+f.Failed+f.Refused >= leastWeight
}

// news returns how much others would change their belief by what is new in the figures.
func (f Statistics) news() float64 {
	seen := f.view()
	return max(seen.Transient, -seen.Transient) + seen.FailureRate + seen.RefusalRate
}

// survey forgets what no longer counts, and finds the instances to tell of first, unless it did
// so moments ago.
func (b *Aggregator) survey(now time.Time, most int) {
	if now.Sub(b.surveyedAt) < surveyInterval {
		return
	}
	b.surveyedAt = now
	b.expire(now)
	b.order = b.order[:0]
	for key, known := range b.records {
		known.advance(now)
		if !known.all.isTold() && !b.isHeld(key) {
			delete(b.records, key)
			continue
		}
		b.order = append(b.order, key)
	}
	slices.Sort(b.order)
	b.ownNews = b.foremost(most/newsShare, func(known *record) Statistics { return known.own })
	b.zoneNews = b.foremost(most/newsShare, func(known *record) Statistics { return known.zone })
}

// isHeld reports whether any source's figures of an instance are still counted.
func (b *Aggregator) isHeld(key Key) bool {
	for _, known := range b.reporters {
		if _, held := known.told[key]; held {
			return true
		}
	}
	return false
}

// foremost returns the instances with most news, at most so many.
func (b *Aggregator) foremost(most int, of func(*record) Statistics) []Key {
	type ranked struct {
		key  Key
		news float64
	}
	first := make([]ranked, 0, most+1)
	for _, key := range b.order {
		candidate := ranked{key, of(b.records[key]).news()}
		if candidate.news < leastNews || len(first) == most && first[most-1].news >= candidate.news {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, candidate, func(a, b ranked) int { return -cmp.Compare(a.news, b.news) })
		first = slices.Insert(first, at, candidate)
		first = first[:min(most, len(first))]
	}
	keys := make([]Key, len(first))
	for i, known := range first {
		keys[i] = known.key
	}
	return keys
}

// leastNews is the change of a belief, as a logarithm or a share, that is told first.
const leastNews = 0.1

// InstanceCount returns how many instances there are observations of, Reporters how many sources count.
func (b *Aggregator) InstanceCount() int { return len(b.records) }
func (b *Aggregator) SourceCount() int   { return len(b.reporters) }
