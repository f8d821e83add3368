package feed

import (
	"cmp"
	"maps"
	"slices"
)

// maxTombstones bounds the deleted records kept for each kind, which tell followers about
// deletions. A follower that is further behind gets a snapshot. The bound is above any expected
// load: no deployment replaces 1,000 instances within the duration of one poll.
const maxTombstones = 1024

// maxUnseenSpans bounds the spans between two successive lists that are kept for each kind. The
// store discards its history a few times a day at most, which forces a new list.
const maxUnseenSpans = 16

// Outcome is the result of applying a batch.
type Outcome uint8

const (
	// Applied means that the cache now contains the batch.
	Applied Outcome = iota + 1
	// Outdated means that the batch ends at or before the position of the cache.
	Outdated
	// Gap means that changes before the batch are missing and must be requested.
	Gap
	// Invalid means that the batch is malformed and no part of it was applied.
	Invalid
)

// Difference is what a batch changed.
type Difference struct {
	// First is set when the cache held no position for the kind before.
	First bool
	// Records are the changed records, including deletions, in the order of the changes.
	Records []Record
}

// Empty reports whether nothing changed.
func (d Difference) Empty() bool { return !d.First && len(d.Records) == 0 }

// Cache holds the records of all kinds. Positions never decrease: a batch that is older
// than the cache has no effect, whatever its source. It is not safe for concurrent use.
type Cache struct {
	kinds [kindCount]collection
}

// collection holds the records of one kind.
type collection struct {
	// position is the revision up to which all changes are known.
	position Position
	// base is the lowest position after which individual changes are available; tombstones
	// cover all deletions after it.
	base uint64
	// unseen are the spans between two lists whose individual changes are unknown: a record
	// that was created and deleted within a span never reached this cache.
	unseen     []span
	records    map[string]entry
	tombstones map[string]entry
	// lacksVersions is set on instances after a batch without software versions, until a snapshot
	// with them is applied.
	lacksVersions bool
}

// span is the range of positions strictly between after and before.
type span struct{ after, before uint64 }

// entry is a record with the position at which this cache received it.
type entry struct {
	record    Record
	learnedAt uint64
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	c := &Cache{}
	for kind := range c.kinds {
		c.kinds[kind] = collection{records: map[string]entry{}, tombstones: map[string]entry{}}
	}
	return c
}

// Positions returns the position of each kind.
func (c *Cache) Positions() Positions {
	var positions Positions
	for kind := range c.kinds {
		positions[kind] = c.kinds[kind].position
	}
	return positions
}

// Apply applies a batch and returns the outcome and what it changed.
func (c *Cache) Apply(batch Batch) (Outcome, Difference) {
	if batch.Kind >= kindCount || !batch.Snapshot && batch.At < batch.After {
		return Invalid, Difference{}
	}
	for _, record := range batch.Records {
		if !record.valid(batch.Kind) {
			return Invalid, Difference{}
		}
	}
	current := &c.kinds[batch.Kind]
	addsVersions := current.lacksVersions && batch.Snapshot && batch.HasVersions && batch.At == current.position.At
	switch {
	case current.position.Known && batch.At <= current.position.At && !addsVersions:
		return Outdated, Difference{}
	case batch.Snapshot:
		current.lacksVersions = batch.Kind == Instances && !batch.HasVersions
		return Applied, current.replace(batch)
	case !current.position.Known || batch.After > current.position.At || batch.Exact && batch.After != current.position.At:
		return Gap, Difference{}
	}
	var changed Difference
	for _, record := range batch.Records {
		current.put(record, batch.At, &changed)
	}
	current.lacksVersions = current.lacksVersions || batch.Kind == Instances && !batch.HasVersions && len(batch.Records) > 0
	if batch.Exact { // changes missing from this batch are also missing for followers of this process
		current.addUnseenSpan(span{batch.After, batch.At})
	}
	current.position.At = batch.At
	current.trim()
	return Applied, changed
}

// replace replaces all records by a snapshot. A record that the snapshot lacks was deleted.
func (c *collection) replace(batch Batch) (changed Difference) {
	listed := make(map[string]bool, len(batch.Records))
	for _, record := range batch.Records {
		listed[record.Name] = true
		c.put(record, batch.At, &changed)
	}
	for name, existing := range c.records {
		// A record newer than the snapshot came with a later page of another list and stays.
		if !listed[name] && existing.record.Revision <= batch.At {
			c.put(Record{Name: name, Revision: existing.record.Revision, Deleted: true}, batch.At, &changed)
		}
	}
	switch {
	case !c.position.Known:
		c.base = batch.At
		changed.First = true
	case batch.At > c.position.At:
		c.addUnseenSpan(span{c.position.At, batch.At})
	}
	c.position = Position{Known: true, At: batch.At}
	c.trim()
	return changed
}

// addUnseenSpan records a span whose individual changes are unknown, and raises base past the
// oldest span when there are more than maxUnseenSpans.
func (c *collection) addUnseenSpan(unseen span) {
	c.unseen = append(c.unseen, unseen)
	if len(c.unseen) > maxUnseenSpans {
		c.base = max(c.base, c.unseen[0].before)
		c.unseen = c.unseen[1:]
	}
}

// coversChangesAfter reports whether all individual changes after a position are available.
func (c *collection) coversChangesAfter(position uint64) bool {
	isWithin := func(s span) bool { return s.after < position && position < s.before }
	return position >= c.base && !slices.ContainsFunc(c.unseen, isWithin)
}

// hasUnseenAfter reports whether some individual changes after a position are unknown.
func (c *collection) hasUnseenAfter(position uint64) bool {
	return slices.ContainsFunc(c.unseen, func(s span) bool { return s.before > position })
}

// put applies one record unless the collection holds a newer one, and adds it to changed. A
// deletion may carry the revision of the object's last change or a revision of its own.
func (c *collection) put(record Record, at uint64, changed *Difference) {
	existing, exists := c.records[record.Name]
	if exists && existing.record.Revision > record.Revision {
		return
	}
	record = keepVersion(existing.record, record)
	switch {
	case record.Deleted && !exists:
		return
	case record.Deleted:
		delete(c.records, record.Name)
		c.tombstones[record.Name] = entry{record: record, learnedAt: at}
	case exists && existing.record.Revision == record.Revision && versionOf(existing.record) == versionOf(record):
		return
	default:
		delete(c.tombstones, record.Name)
		c.records[record.Name] = entry{record: record, learnedAt: at}
	}
	changed.Records = append(changed.Records, record)
}

// keepVersion returns the record with the software version known before, if it lacks one. An instance's
// id stands for one run of it, so its version does not change.
func keepVersion(known, record Record) Record {
	if versionOf(record) != "" || versionOf(known) == "" || record.Instance == nil || known.Instance.Born != record.Instance.Born {
		return record
	}
	instance := *record.Instance
	instance.Version = known.Instance.Version
	record.Instance = &instance
	return record
}

// versionOf returns the software version of an instance's record, "" for other records.
func versionOf(record Record) string {
	if record.Instance == nil {
		return ""
	}
	return record.Instance.Version
}

// trim drops the oldest half of the tombstones when there are more than maxTombstones.
func (c *collection) trim() {
	if len(c.tombstones) <= maxTombstones {
		return
	}
	oldest := slices.SortedFunc(maps.Values(c.tombstones), func(a, b entry) int { return cmp.Compare(a.learnedAt, b.learnedAt) })
	c.base = oldest[len(oldest)/2].learnedAt
	maps.DeleteFunc(c.tombstones, func(_ string, tombstone entry) bool { return tombstone.learnedAt <= c.base })
}

// Answer returns the changes that the sender of a poll lacks.
func (c *Cache) Answer(request Request) []Batch {
	known := request.Positions
	current := c.kinds[Instances]
	if request.LacksVersions && !current.lacksVersions && current.position.At >= known[Instances].At {
		known[Instances] = Position{}
	}
	return c.Since(known)
}

// LacksVersions reports whether the software versions of some instances are missing.
func (c *Cache) LacksVersions() bool { return c.kinds[Instances].lacksVersions }

// Since returns the changes that a process at the given positions lacks, one batch for each
// kind that differs. There is no batch for kinds in which the process is ahead of the cache.
func (c *Cache) Since(known Positions) []Batch {
	var batches []Batch
	for _, kind := range Kinds() {
		current := &c.kinds[kind]
		position := known[kind]
		switch {
		case !current.position.Known || position.Known && position.At >= current.position.At:
		case !position.Known || !current.coversChangesAfter(position.At):
			batches = append(batches, current.snapshot(kind))
		default:
			batches = append(batches, current.changesAfter(kind, position.At))
		}
	}
	return batches
}

func (c *collection) snapshot(kind Kind) Batch {
	batch := Batch{Kind: kind, Snapshot: true, At: c.position.At, HasVersions: kind == Instances && !c.lacksVersions}
	for _, name := range slices.Sorted(maps.Keys(c.records)) {
		batch.Records = append(batch.Records, c.records[name].record)
	}
	return batch
}

// changesAfter returns the changes after a position, deletions first, so that an object that
// was deleted and created again ends up as a record.
func (c *collection) changesAfter(kind Kind, after uint64) Batch {
	batch := Batch{Kind: kind, After: after, At: c.position.At, Exact: c.hasUnseenAfter(after), HasVersions: kind == Instances && !c.lacksVersions}
	for _, entries := range []map[string]entry{c.tombstones, c.records} {
		var changed []string
		for name, stored := range entries {
			if stored.learnedAt > after {
				changed = append(changed, name)
			}
		}
		slices.Sort(changed)
		for _, name := range changed {
			batch.Records = append(batch.Records, entries[name].record)
		}
	}
	return batch
}

// Snapshot returns the whole contents as one snapshot batch for each known kind.
func (c *Cache) Snapshot() []Batch { return c.Since(Positions{}) }

// Records returns the records of a kind in no particular order. There may be thousands, so
// callers that need an order sort them.
func (c *Cache) Records(kind Kind) []Record {
	entries := c.kinds[kind].records
	records := make([]Record, 0, len(entries))
	for _, stored := range entries {
		records = append(records, stored.record)
	}
	return records
}

// Record returns the record of that name and whether it exists.
func (c *Cache) Record(kind Kind, name string) (Record, bool) {
	stored, exists := c.kinds[kind].records[name]
	return stored.record, exists
}
