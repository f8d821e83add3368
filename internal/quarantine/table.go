// Package quarantine tracks requests that end the instances that run them. Everything that retries sends
// such a request again, until no instance is left; a quarantined request is not sent any more.
//
// A gateway records a run when the run's instance ended or fell silent. Records of a request are shared by
// all gateways, and merge to the same result in any order. What several requests ran on an instance when it
// ended is not known, so each of them becomes a suspect; one that completes is released.
//
// A run goes through these states:
//
//   - Under way. The gateway that sent it holds it, of a suspect also a quorum of the voters that store the records. That
//     gateway moves it on, when the instance answers or the run is lost.
//   - Lost, with an outcome that is open: Running and Lost, Unproven, or Silent. A quorum and all gateways hold it. Its gateway and
//     those that adopt it move it to Ended or Survived.
//   - Survived and Lost: the instance is exposed, and may still end of it. The same hold and watch it; its late end is a run of
//     its own.
//   - Ended, or Survived for good. All hold it until it expires, or the request is released.
//
// The package is deterministic: callers pass the time in.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// recordTTL is how long a request is remembered after its last change, clearedTTL how long once nothing
	// counts against it any more: messages about it that were sent before may still arrive.
	recordTTL  = time.Hour
	clearedTTL = time.Minute
	// openTTL is how long an open run counts as about to be resolved. A gateway resolves its own runs within it
	// unless the store is away; others that are still open then belong to a gateway that ended.
	openTTL = 10 * time.Second
	// lostTTL is how long it takes at most until the gateway of a lost run knows whether the instance ended, if it
	// accepts connections.
	lostTTL = 2700 * time.Millisecond
	// missedRunWindow is how long after a gateway was lost a caller may come back whose request it ran.
	missedRunWindow = 10 * time.Second
	// provenTTL is how long an instance outlives lost runs of a request until it is known not to end of them.
	provenTTL = time.Minute
	// maxUnsettledRetry is the longest pause after which a request is tried again that is withheld because another
	// turn of its program has not ended.
	maxUnsettledRetry = time.Second
	// maxRecords and maxRuns bound the memory of a table: 4096 records of a few runs take about 1 MB.
	maxRecords = 4096
	maxRuns    = 24
	// evictedShare is the share of the records that are evicted together from a full table.
	evictedShare = 4
)

const (
	// RecordTTL is how long replicas keep the runs of a request.
	RecordTTL = recordTTL
	// ExposedTTL is how long an instance may still end of a lost run after it has outlived it at first.
	ExposedTTL = 10 * time.Second
)

// Table holds the known runs of requests. It is not safe for concurrent use.
type Table struct {
	records map[Key]*record
	// gatewayLostAt is when a gateway that ended without leaving was last known to live.
	gatewayLostAt time.Time
}

type record struct {
	runs []knownRun
	// beganAt is when the first run became known, changedAt when any of the runs last changed.
	beganAt, changedAt time.Time
	// mayMissRun is set if a gateway that was lost may have run the request, without a record.
	mayMissRun bool
}

// knownRun is a run, with the time at which the present outcome became known here.
type knownRun struct {
	Run
	since time.Time
}

// openFor returns how long it may take until the outcome of an open run is known; 0 if it will not become known.
func (r knownRun) openFor(now time.Time) time.Duration {
	if r.Unproven {
		return 0
	}
	age := now.Sub(r.since)
	if r.Lost && age < lostTTL {
		return lostTTL - age
	}
	return max(0, openTTL-age)
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[Key]*record{}} }

// Size returns the number of requests.
func (t *Table) Size() int { return len(t.records) }

// Merge adds runs of a request and returns those that were new or knew more. Runs of an unknown request that
// do not count against it, and expose no instance to it, are ignored.
func (t *Table) Merge(now time.Time, key Key, runs ...Run) (changed []Run) {
	known := t.records[key]
	if known == nil {
		if !slices.ContainsFunc(runs, func(run Run) bool { return run.counts() || run.IsExposed() }) {
			return nil
		}
		t.makeRoom(now)
		known = &record{beganAt: now}
		t.records[key] = known
	}
	for _, run := range runs {
		if known.merge(now, run) {
			changed = append(changed, run)
		}
	}
	if len(changed) > 0 {
		known.changedAt = now
	}
	return changed
}

// GatewayLost records when a gateway that ended without leaving was last known to live. It may have run any request for the
// first time, without a record: one of which the first run becomes known soon after may have had another run before.
func (t *Table) GatewayLost(at time.Time) {
	if at.After(t.gatewayLostAt) {
		t.gatewayLostAt = at
	}
}

// mayMissRunOf reports whether a gateway that was lost may have run the request, without a record.
func (t *Table) mayMissRunOf(known *record) bool {
	since := known.beganAt.Sub(t.gatewayLostAt)
	if !t.gatewayLostAt.IsZero() && since >= 0 && since < missedRunWindow {
		known.mayMissRun = true
	}
	return known.mayMissRun
}

// hasClosed reports whether the run's instance ended, or closed all its connections. Single connections that break are
// ordinary.
func (r knownRun) hasClosed() bool { return r.Outcome == Ended || r.Outcome == Running && r.Unproven }

// Unsettled returns the runs of all requests of which it matters whether their instances end: those without an outcome that
// may become known, and those that their instances have outlived so far.
func (t *Table) Unsettled(now time.Time) []Record {
	var unsettled []Record
	for key, known := range t.records {
		var runs []Run
		for _, run := range known.runs {
			if run.isWatchable(now) {
				runs = append(runs, run.Run)
			}
		}
		if len(runs) > 0 {
			unsettled = append(unsettled, Record{Key: key, Runs: runs})
		}
	}
	return unsettled
}

// isWatchable reports whether it matters whether the run's instance ends, and may become known.
func (r knownRun) isWatchable(now time.Time) bool {
	switch {
	case r.isLate(), r.Unproven:
		return false
	case r.IsExposed():
		return now.Sub(r.since) < r.ExposedFor()
	default:
		return (r.Outcome == Silent || r.Outcome == Running && r.Lost) && now.Sub(r.since) < openTTL
	}
}

// RunOf returns a run of a request.
func (t *Table) RunOf(key Key, id string) (run Run, known bool) {
	for _, run := range t.Runs(key) {
		if run.ID == id {
			return run, true
		}
	}
	return Run{}, false
}

// MergeRead is like Merge, for runs that were recorded before this process knew of lost gateways.
func (t *Table) MergeRead(now time.Time, key Key, runs ...Run) (changed []Run) {
	wasKnown := t.records[key] != nil
	changed = t.Merge(now, key, runs...)
	if known := t.records[key]; known != nil && !wasKnown {
		known.beganAt = time.Time{}
	}
	return changed
}

// counts reports whether the run counts, or may count, against its request.
func (r Run) counts() bool { return r.Outcome == Ended || r.Outcome.isOpen() }

// merge adds a run and reports whether anything changed. A record of maxRuns runs takes another one in place of
// one that matters less.
func (r *record) merge(now time.Time, run Run) bool {
	index := slices.IndexFunc(r.runs, func(known knownRun) bool { return known.ID == run.ID })
	if index < 0 {
		if len(r.runs) >= maxRuns && !r.makeRoomFor(run) {
			return false
		}
		r.runs = append(r.runs, knownRun{Run: run, since: now})
		return true
	}
	merged, changed := r.runs[index].Merge(run)
	if changed {
		r.runs[index] = knownRun{Run: merged, since: now}
	}
	return changed
}

// makeRoomFor drops a run that matters less than the given one, and reports whether there was one.
func (r *record) makeRoomFor(run Run) bool {
	if !run.counts() && !run.IsExposed() {
		return false
	}
	if r.drop(func(known knownRun) bool { return !known.counts() && !known.IsExposed() }) {
		return true
	}
	return run.counts() && (r.drop(func(known knownRun) bool { return !known.counts() }) || r.dropRepeated())
}

// drop drops the oldest run of a kind, and reports whether there was one.
func (r *record) drop(isOfKind func(knownRun) bool) bool {
	index := slices.IndexFunc(r.runs, isOfKind)
	if index >= 0 {
		r.runs = slices.Delete(r.runs, index, index+1)
	}
	return index >= 0
}

// dropRepeated drops one open run of an instance that another run counts for, and reports whether there was one.
func (r *record) dropRepeated() bool {
	index := slices.IndexFunc(r.runs, func(run knownRun) bool {
		return run.Outcome.isOpen() && slices.ContainsFunc(r.runs, func(other knownRun) bool {
			return other.ID != run.ID && other.counts() && other.incarnation() == run.incarnation()
		})
	})
	if index >= 0 {
		r.runs = slices.Delete(r.runs, index, index+1)
	}
	return index >= 0
}

// makeRoom drops expired records, and if the table is still full, those with the fewest ends, the oldest
// first.
func (t *Table) makeRoom(now time.Time) {
	if len(t.records) < maxRecords {
		return
	}
	t.Expire(now)
	if len(t.records) < maxRecords {
		return
	}
	keys := slices.SortedFunc(maps.Keys(t.records), func(a, b Key) int {
		first, second := t.records[a], t.records[b]
		return cmp.Or(cmp.Compare(countIncarnations(first.runs, Ended), countIncarnations(second.runs, Ended)),
			first.changedAt.Compare(second.changedAt), slices.Compare(a[:], b[:]))
	})
	for _, key := range keys[:len(keys)/evictedShare] {
		delete(t.records, key)
	}
}

// Expire drops the records that have not changed for their time to live.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.records, func(_ Key, known *record) bool { return known.hasExpired(now) })
}

func (r *record) hasExpired(now time.Time) bool {
	return now.Sub(r.changedAt) >= r.timeToLive()
}

func (r *record) timeToLive() time.Duration {
	switch {
	case slices.ContainsFunc(r.runs, func(run knownRun) bool { return run.counts() }):
		return recordTTL
	case !slices.ContainsFunc(r.runs, func(run knownRun) bool { return !run.IsRefusal() }):
		return lostTTL
	default:
		return clearedTTL
	}
}

// Suspicion is one request of a table with its standing, for operators.
type Suspicion struct {
	Record
	Standing Standing
	// Age is the time since the last change.
	Age time.Duration
}

// List returns the requests that something counts against, those with the most ends first.
func (t *Table) List(now time.Time) []Suspicion {
	var listed []Suspicion
	for key, known := range t.records {
		if standing := t.Standing(now, key, ""); standing.Ended+standing.Possible > 0 {
			listed = append(listed, Suspicion{Record: Record{Key: key, Runs: t.Runs(key)}, Standing: standing, Age: now.Sub(known.changedAt)})
		}
	}
	slices.SortFunc(listed, func(a, b Suspicion) int {
		return cmp.Or(cmp.Compare(b.Standing.Ended, a.Standing.Ended), cmp.Compare(a.Age, b.Age), slices.Compare(a.Key[:], b.Key[:]))
	})
	return listed
}

// Runs returns the known runs of a request.
func (t *Table) Runs(key Key) []Run {
	known := t.records[key]
	if known == nil {
		return nil
	}
	runs := make([]Run, 0, len(known.runs))
	for _, run := range known.runs {
		runs = append(runs, run.Run)
	}
	return runs
}

// UnprovenAt returns the unproven runs of a request at an instance, without those that became unproven after their
// instance had outlived them.
func (t *Table) UnprovenAt(key Key, instance string) []Run {
	return slices.DeleteFunc(t.Runs(key), func(run Run) bool {
		return run.Instance != instance || run.Outcome != Running || !run.Unproven || run.isLate()
	})
}

// ReleasedRuns returns the runs of a request, marked as released. It does not change the table.
func (t *Table) ReleasedRuns(key Key) []Run {
	runs := t.Runs(key)
	for index := range runs {
		runs[index].Outcome = Released
	}
	return runs
}
