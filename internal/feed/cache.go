package feed

import (
	"cmp"
	"maps"
	"slices"
)

// mostTombstones bounds the deleted records kept of a kind, by which a process that is
// behind learns of deletions. One that is further behind gets a snapshot. Worked out: a
// fleet that replaces 1,000 instances within a poll's time is not in sight.
const mostTombstones = 1024

// mostUnseen bounds the spans kept of a kind between a list and the list before: the store
// forgets its history a few times a day at most.
const mostUnseen = 16

// Outcome says what applying a batch did.
type Outcome uint8

const (
	// Applied means that the cache holds the batch now.
	Applied Outcome = iota + 1
	// Behind means that the cache knew all of it, or that the batch is older than the cache.
	Behind
	// Gap means that changes before the batch are missing; they must be asked for.
	Gap
	// Invalid means that the batch is not well-formed; nothing of it was applied.
	Invalid
)

// Difference is what a batch changed.
type Difference struct {
	// First is set where nothing was known of the kind before.
	First bool
	// Records are those that changed, deletions included, in the order of the changes.
	Records []Record
}

// Empty reports whether nothing changed.
func (d Difference) Empty() bool { return !d.First && len(d.Records) == 0 }

// Cache holds the records of all kinds. Positions never go back: a batch that is older
// than what the cache holds changes nothing, wherever it comes from.
type Cache struct {
	kinds [kindCount]collection
}

// collection holds the records of one kind.
type collection struct {
	// position is up to where all changes are known.
	position Position
	// base is the lowest position from which changes can be told one by one; tombstones
	// cover all deletions after it.
	base uint64
	// unseen are the spans between two lists of which the changes in between are not known: a
	// record that came and went within one was never known here.
	unseen     []span
	records    map[string]entry
	tombstones map[string]entry
}

// span holds the positions between two others.
type span struct{ after, before uint64 }

// entry is a record with the position at which this cache learned of it.
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

// Apply applies a batch and returns what it changed.
func (c *Cache) Apply(batch Batch) (Outcome, Difference) {
	if batch.Kind >= kindCount || !batch.Snapshot && batch.At < batch.After {
		return Invalid, Difference{}
	}
	for _, record := range batch.Records {
		if !record.valid(batch.Kind) {
			return Invalid, Difference{}
		}
	}
	held := &c.kinds[batch.Kind]
	switch {
	case held.position.Known && batch.At <= held.position.At:
		return Behind, Difference{}
	case batch.Snapshot:
		return Applied, held.replace(batch)
	case !held.position.Known || batch.After > held.position.At || batch.Exact && batch.After != held.position.At:
		return Gap, Difference{}
	}
	var changed Difference
	for _, record := range batch.Records {
		held.put(record, batch.At, &changed)
	}
	if batch.Exact { // what is missing here is missing for those who learn from this process
		held.noteUnseen(span{batch.After, batch.At})
	}
	held.position.At = batch.At
	held.trim()
	return Applied, changed
}

// replace takes a snapshot in place of all records. What it lacks was deleted.
func (h *collection) replace(batch Batch) (changed Difference) {
	listed := make(map[string]bool, len(batch.Records))
	for _, record := range batch.Records {
		listed[record.Name] = true
		h.put(record, batch.At, &changed)
	}
	for name, held := range h.records {
		// A record newer than the snapshot was listed by a later page of another list.
		if !listed[name] && held.record.Revision <= batch.At {
			h.put(Record{Name: name, Revision: held.record.Revision, Deleted: true}, batch.At, &changed)
		}
	}
	if h.position.Known {
		h.noteUnseen(span{h.position.At, batch.At})
	} else {
		h.base = batch.At
		changed.First = true
	}
	h.position = Position{Known: true, At: batch.At}
	h.trim()
	return changed
}

// noteUnseen keeps a span of which the changes are not known.
func (h *collection) noteUnseen(between span) {
	h.unseen = append(h.unseen, between)
	if len(h.unseen) > mostUnseen {
		h.base = max(h.base, h.unseen[0].before)
		h.unseen = h.unseen[1:]
	}
}

// knowsChangesAfter reports whether the changes after a position can be told one by one.
func (h *collection) knowsChangesAfter(position uint64) bool {
	isWithin := func(s span) bool { return s.after < position && position < s.before }
	return position >= h.base && !slices.ContainsFunc(h.unseen, isWithin)
}

// hasUnseenAfter reports whether some changes after a position are not known.
func (h *collection) hasUnseenAfter(position uint64) bool {
	return slices.ContainsFunc(h.unseen, func(s span) bool { return s.before > position })
}

// put applies one record unless a newer one is held, and adds it to the changes. A deletion may
// carry the revision of the object's last change or its own.
func (h *collection) put(record Record, at uint64, changed *Difference) {
	held, exists := h.records[record.Name]
	if exists && held.record.Revision > record.Revision {
		return
	}
	switch {
	case record.Deleted && !exists:
		return
	case record.Deleted:
		delete(h.records, record.Name)
		h.tombstones[record.Name] = entry{record: record, learnedAt: at}
	case exists && held.record.Revision == record.Revision:
		return
	default:
		delete(h.tombstones, record.Name)
		h.records[record.Name] = entry{record: record, learnedAt: at}
	}
	changed.Records = append(changed.Records, record)
}

// trim drops the oldest half of the tombstones once there are too many.
func (h *collection) trim() {
	if len(h.tombstones) <= mostTombstones {
		return
	}
	oldest := slices.SortedFunc(maps.Values(h.tombstones), func(a, b entry) int { return cmp.Compare(a.learnedAt, b.learnedAt) })
	h.base = oldest[len(oldest)/2].learnedAt
	maps.DeleteFunc(h.tombstones, func(_ string, dropped entry) bool { return dropped.learnedAt <= h.base })
}

// Since returns what a process at the given positions lacks, a batch for each kind that
// differs. A process that knows more than the cache gets nothing.
func (c *Cache) Since(known Positions) []Batch {
	var batches []Batch
	for _, kind := range Kinds() {
		held := &c.kinds[kind]
		asked := known[kind]
		switch {
		case !held.position.Known || asked.Known && asked.At >= held.position.At:
		case !asked.Known || !held.knowsChangesAfter(asked.At):
			batches = append(batches, held.snapshot(kind))
		default:
			batches = append(batches, held.changesAfter(kind, asked.At))
		}
	}
	return batches
}

func (h *collection) snapshot(kind Kind) Batch {
	batch := Batch{Kind: kind, Snapshot: true, At: h.position.At}
	for _, name := range slices.Sorted(maps.Keys(h.records)) {
		batch.Records = append(batch.Records, h.records[name].record)
	}
	return batch
}

// changesAfter returns deletions first: an object that was made anew is a record again.
func (h *collection) changesAfter(kind Kind, after uint64) Batch {
	batch := Batch{Kind: kind, After: after, At: h.position.At, Exact: h.hasUnseenAfter(after)}
	for _, held := range []map[string]entry{h.tombstones, h.records} {
		var changed []string
		for name, each := range held {
			if each.learnedAt > after {
				changed = append(changed, name)
			}
		}
		slices.Sort(changed)
		for _, name := range changed {
			batch.Records = append(batch.Records, held[name].record)
		}
	}
	return batch
}

// Snapshot returns all that is known, as batches.
func (c *Cache) Snapshot() []Batch { return c.Since(Positions{}) }

// Records returns the records of a kind, in no order: there may be thousands, and whoever
// needs an order has one of its own.
func (c *Cache) Records(kind Kind) []Record {
	held := c.kinds[kind].records
	records := make([]Record, 0, len(held))
	for _, each := range held {
		records = append(records, each.record)
	}
	return records
}

// Record returns one record, if it is known.
func (c *Cache) Record(kind Kind, name string) (Record, bool) {
	held, exists := c.kinds[kind].records[name]
	return held.record, exists
}
