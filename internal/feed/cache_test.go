package feed

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"swiftbank.dev/swiftbank/internal/backend"
)

func instance(name string, revision uint64) Record {
	return Record{Name: name, Revision: revision, Instance: &backend.Instance{ID: name, Service: "s", Slots: int(revision)}}
}

func deleted(name string, revision uint64) Record {
	return Record{Name: name, Revision: revision, Deleted: true}
}

func snapshotAt(at uint64, records ...Record) Batch {
	return Batch{Kind: Instances, Snapshot: true, At: at, Records: records}
}

func changesTo(after, at uint64, records ...Record) Batch {
	return Batch{Kind: Instances, After: after, At: at, Records: records}
}

// heldRevisions returns the revisions of the records of a kind by name.
func heldRevisions(c *Cache, kind Kind) map[string]uint64 {
	revisions := map[string]uint64{}
	for _, record := range c.Records(kind) {
		revisions[record.Name] = record.Revision
	}
	return revisions
}

func TestCacheIgnoresOutdatedBatches(t *testing.T) {
	c := NewCache()
	apply := func(batch Batch) Outcome { outcome, _ := c.Apply(batch); return outcome }
	require.Equal(t, Gap, apply(changesTo(0, 5, instance("a", 5))), "no list yet")
	require.Equal(t, Applied, apply(snapshotAt(10, instance("a", 5), instance("b", 9))))
	require.Equal(t, Outdated, apply(snapshotAt(8, instance("a", 5))))
	require.Equal(t, Outdated, apply(changesTo(5, 9, deleted("b", 9))))
	require.Equal(t, Gap, apply(changesTo(11, 12, deleted("b", 9))), "changes from 10 to 11 are missing")
	require.Equal(t, Applied, apply(changesTo(7, 12, instance("b", 9), deleted("a", 11))))
	require.Equal(t, map[string]uint64{"b": 9}, heldRevisions(c, Instances))
	require.Equal(t, Position{Known: true, At: 12}, c.Positions()[Instances])
	require.Equal(t, Invalid, apply(Batch{Kind: kindCount, Snapshot: true, At: 20}))
	require.Equal(t, Invalid, apply(snapshotAt(20, Record{Name: "c", Revision: 15})))
	require.Equal(t, Invalid, apply(changesTo(30, 20)))
	require.Equal(t, map[string]uint64{"b": 9}, heldRevisions(c, Instances))
}

// A deletion carries either the revision of the object's last change or its own.
func TestCacheAcceptsEitherRevisionOnDeletion(t *testing.T) {
	for _, revision := range []uint64{5, 11} {
		c := NewCache()
		c.Apply(snapshotAt(10, instance("a", 5)))
		c.Apply(changesTo(10, 11, deleted("a", revision)))
		require.Empty(t, heldRevisions(c, Instances))
	}
}

func TestCacheSinceReturnsMissingChanges(t *testing.T) {
	c := NewCache()
	c.Apply(snapshotAt(10, instance("a", 5), instance("b", 9)))
	c.Apply(changesTo(10, 14, instance("c", 12), deleted("a", 5)))
	c.Apply(changesTo(14, 20, instance("c", 18)))
	at := func(position uint64) []Batch {
		var known Positions
		known[Instances] = Position{Known: true, At: position}
		return c.Since(known)
	}
	require.Equal(t, []Batch{snapshotAt(20, instance("b", 9), instance("c", 18))}, at(9), "deletions before the first list are unknown")
	require.Equal(t, []Batch{changesTo(10, 20, deleted("a", 5), instance("c", 18))}, at(10), "one record for each name")
	require.Equal(t, []Batch{changesTo(14, 20, instance("c", 18))}, at(14))
	require.Empty(t, at(20))
	require.Empty(t, at(25), "a process that is ahead gets nothing")
	require.Equal(t, []Batch{snapshotAt(20, instance("b", 9), instance("c", 18))}, c.Since(Positions{}))
}

// The later pages of a list may contain records newer than the revision of the list.
func TestCacheKeepsRecordNewerThanItsList(t *testing.T) {
	c := NewCache()
	c.Apply(snapshotAt(10, instance("a", 13)))
	c.Apply(changesTo(10, 12, deleted("a", 12)))
	require.Equal(t, map[string]uint64{"a": 13}, heldRevisions(c, Instances), "created again after that deletion")
	c.Apply(changesTo(12, 14, instance("a", 13)))
	require.Equal(t, map[string]uint64{"a": 13}, heldRevisions(c, Instances))
}

func TestCacheReportsRecreatedObjectAsRecord(t *testing.T) {
	c := NewCache()
	c.Apply(snapshotAt(10, instance("a", 5)))
	c.Apply(changesTo(10, 12, deleted("a", 12)))
	c.Apply(changesTo(12, 15, instance("a", 15)))
	var known Positions
	known[Instances] = Position{Known: true, At: 10}
	require.Equal(t, []Batch{changesTo(10, 15, instance("a", 15))}, c.Since(known))
}

// A second list, after the store dropped its history, is passed on to followers as changes.
func TestCacheTurnsRelistIntoChanges(t *testing.T) {
	c := NewCache()
	c.Apply(snapshotAt(10, instance("a", 5), instance("b", 9)))
	c.Apply(snapshotAt(40, instance("b", 9), instance("d", 33)))
	var known Positions
	known[Instances] = Position{Known: true, At: 10}
	expected := changesTo(10, 40, deleted("a", 5), instance("d", 33))
	expected.Exact = true
	require.Equal(t, []Batch{expected}, c.Since(known))
}

func TestCacheBoundsTombstones(t *testing.T) {
	c := NewCache()
	c.Apply(snapshotAt(1))
	at := uint64(1)
	for i := range 3 * maxTombstones {
		name := fmt.Sprintf("i-%d", i)
		c.Apply(changesTo(at, at+1, instance(name, at+1)))
		c.Apply(changesTo(at+1, at+2, deleted(name, at+2)))
		at += 2
	}
	require.LessOrEqual(t, len(c.kinds[Instances].tombstones), maxTombstones)
	var old Positions
	old[Instances] = Position{Known: true, At: 2}
	require.True(t, c.Since(old)[0].Snapshot, "a process that is far behind gets a snapshot")
	old[Instances].At = at - 2
	require.False(t, c.Since(old)[0].Snapshot)
}

// history is a store that keeps its contents at each revision.
type history struct {
	contents []map[string]uint64
	changes  []Record
}

func newHistory() *history { return &history{contents: []map[string]uint64{{}}} }

// at returns the newest revision.
func (h *history) at() uint64 { return uint64(len(h.contents) - 1) }

// change writes or deletes an object.
func (h *history) change(name string, remove bool) {
	next := map[string]uint64{}
	for known, revision := range h.contents[h.at()] {
		next[known] = revision
	}
	revision := h.at() + 1
	if remove {
		h.changes = append(h.changes, deleted(name, next[name]))
		delete(next, name)
	} else {
		h.changes = append(h.changes, instance(name, revision))
		next[name] = revision
	}
	h.contents = append(h.contents, next)
}

func (h *history) list() Batch {
	batch := snapshotAt(h.at())
	for name, revision := range h.contents[h.at()] {
		batch.Records = append(batch.Records, instance(name, revision))
	}
	return batch
}

// watch returns the changes between two revisions.
func (h *history) watch(after, at uint64) Batch {
	return changesTo(after, at, h.changes[after:at]...)
}

// An upstream that lists again does not know the records created and deleted since its previous
// list, but a follower may hold them.
func TestCacheReportsDeletionOfRecordItNeverHeld(t *testing.T) {
	upstream, follower := NewCache(), NewCache()
	upstream.Apply(snapshotAt(1))
	follower.Apply(snapshotAt(2, instance("c", 2)))
	upstream.Apply(snapshotAt(3))
	for _, batch := range upstream.Since(follower.Positions()) {
		follower.Apply(batch)
	}
	require.Empty(t, heldRevisions(follower, Instances))
	require.Equal(t, uint64(3), follower.Positions()[Instances].At)

	// A reply that was in flight while the follower received more must not be applied either.
	delayed := upstream.Since(Positions{Instances: Position{Known: true, At: 1}})
	follower = NewCache()
	follower.Apply(snapshotAt(2, instance("c", 2)))
	for _, batch := range delayed {
		outcome, _ := follower.Apply(batch)
		require.Equal(t, Gap, outcome)
	}
}

// Processes read from the store and follow each other, with messages that are lost, duplicated,
// delayed and reordered. At all times each cache must equal the contents of the store at the
// position of the cache, and positions must never decrease.
func TestCacheMatchesStoreAtItsPosition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := newHistory()
		const processes = 4
		caches := make([]*Cache, processes)
		for i := range caches {
			caches[i] = NewCache()
		}
		type message struct {
			to      int
			batches []Batch
		}
		var inFlight []message
		pick := func(label string) int { return rapid.IntRange(0, processes-1).Draw(rt, label) }
		check := func(process int, before Position) {
			position := caches[process].Positions()[Instances]
			if position.At < before.At || before.Known && !position.Known {
				rt.Fatalf("process %d went back from %v to %v", process, before, position)
			}
			if position.Known {
				require.Equal(rt, store.contents[position.At], heldRevisions(caches[process], Instances), "process %d at %d", process, position.At)
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"write": func(*rapid.T) {
				store.change(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "name"), false)
			},
			"remove": func(*rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "name")
				if _, exists := store.contents[store.at()][name]; exists {
					store.change(name, true)
				}
			},
			"list": func(*rapid.T) { inFlight = append(inFlight, message{pick("to"), []Batch{store.list()}}) },
			"watch": func(*rapid.T) {
				to := pick("to")
				position := caches[to].Positions()[Instances]
				if position.Known {
					at := rapid.Uint64Range(position.At, store.at()).Draw(rt, "at")
					inFlight = append(inFlight, message{to, []Batch{store.watch(position.At, at)}})
				}
			},
			"poll": func(*rapid.T) {
				from, to := pick("from"), pick("to")
				inFlight = append(inFlight, message{to, caches[from].Since(caches[to].Positions())})
			},
			"arrive": func(*rapid.T) {
				if len(inFlight) == 0 {
					return
				}
				which := rapid.IntRange(0, len(inFlight)-1).Draw(rt, "which")
				arrived := inFlight[which]
				if !rapid.Bool().Draw(rt, "comes again") {
					inFlight = append(inFlight[:which], inFlight[which+1:]...)
				}
				before := caches[arrived.to].Positions()[Instances]
				for _, batch := range arrived.batches {
					caches[arrived.to].Apply(batch)
				}
				check(arrived.to, before)
			},
			"restart": func(*rapid.T) { caches[pick("process")] = NewCache() },
		})
	})
}

// FuzzApply applies batches as a faulty or malicious peer may send them.
func FuzzApply(f *testing.F) {
	f.Add(uint8(1), true, uint64(0), uint64(5), "a", uint64(4), false)
	f.Add(uint8(9), false, uint64(7), uint64(5), "", uint64(0), true)
	f.Fuzz(func(t *testing.T, kind uint8, snapshot bool, after, at uint64, name string, revision uint64, isDeletion bool) {
		c := NewCache()
		c.Apply(snapshotAt(10, instance("a", 5)))
		record := Record{Name: name, Revision: revision, Deleted: isDeletion, Member: []byte("m")}
		before := c.Positions()
		outcome, _ := c.Apply(Batch{Kind: Kind(kind), Snapshot: snapshot, After: after, At: at, Records: []Record{record}})
		for _, kind := range Kinds() {
			require.GreaterOrEqual(t, c.Positions()[kind].At, before[kind].At)
		}
		if outcome == Invalid {
			require.Equal(t, before, c.Positions())
		}
		c.Since(before)
		c.Snapshot()
	})
}
