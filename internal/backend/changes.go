package backend

import (
	"slices"
	"strings"
	"time"

	"swiftbank.dev/swiftbank/internal/instancespeed"
	"swiftbank.dev/swiftbank/internal/place"
)

const (
	// unlistedGracePeriod is how long an instance that is missing from an incomplete list stays in
	// service: slightly more than one renewal interval of its entry, and less than the two seconds
	// within which an instance that did leave must stop getting requests.
	unlistedGracePeriod = 1500 * time.Millisecond
	// maxIncrementalUpdates is the number of members up to which the indexes are updated one member
	// at a time. Each update shifts half an index, which takes 2 us for 10,000 members; a pass over
	// all indexes takes some tens of microseconds.
	maxIncrementalUpdates = 16
)

// ApplyChanges applies changes to the list of instances. It returns the ids of instances that were
// removed or have restarted: all state held for them is invalid. The cost depends on the number of
// changes, not on the number of instances.
//
// Entries expire when instances cannot renew them, so a list read from a source that was
// unavailable moments ago may be incomplete. In that case an instance that is missing from the list
// without having announced that it leaves stays in service for unlistedGracePeriod.
func (d *Directory) ApplyChanges(now time.Time, changes Changes, incomplete bool) (invalidated []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	removed := changes.Removed
	if changes.Snapshot {
		removed = d.missingFrom(changes.Listed)
	}
	var moved []*member
	for _, instance := range changes.Listed {
		restarted, added := d.upsert(instance)
		if restarted {
			invalidated = append(invalidated, instance.ID)
		}
		if added != nil {
			moved = append(moved, added)
		}
	}
	for _, id := range removed {
		d.markUnlisted(now, id, incomplete)
	}
	expired := d.expireUnlisted(now)
	for _, m := range expired {
		invalidated = append(invalidated, m.instance.ID)
	}
	d.updateIndexes(moved, expired)
	clear(d.versions)
	d.updateCold(now, changes.Listed, removed)
	slices.Sort(invalidated)
	return invalidated
}

// missingFrom returns the ids of the members that are missing from a list. The caller must hold the
// lock.
func (d *Directory) missingFrom(instances []Instance) []string {
	listed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = true
	}
	var missing []string
	for id := range d.members {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// upsert adds or updates the member of an entry. It reports whether the instance has restarted, and
// returns the member if it must be added to the indexes by service and locality. The caller must
// hold the lock.
func (d *Directory) upsert(instance Instance) (restarted bool, moved *member) {
	m := d.members[instance.ID]
	if m != nil && instance.Born < m.instance.Born && instance.Born != 0 {
		return false, nil // a stale entry from before a restart
	}
	delete(d.unlisted, instance.ID)
	switch {
	case m == nil:
		m = &member{cache: newPromptCache()}
		moved = m
	case hasRestarted(m.instance, instance):
		d.inFlight[m.instance.Service] -= m.inFlight
		m = &member{cache: newPromptCache()}
		moved, restarted = m, true
		d.dropReports(instance.ID)
	case m.instance.Service != instance.Service || m.instance.Zone != instance.Zone:
		d.inFlight[m.instance.Service] -= m.inFlight
		d.inFlight[instance.Service] += m.inFlight
		moved = m
	}
	if moved != nil {
		d.remove(instance.ID)
		d.members[instance.ID] = m
	}
	m.instance = instance
	d.addresses[instance.Address] = instance.ID
	m.key = instancespeed.KeyOf(instance.ID, instance.Address, instance.Born)
	m.unlistedUntil = time.Time{}
	m.evacuated = d.evacuated[instance.Zone]
	return restarted, moved
}

// hasRestarted reports whether two entries with the same id belong to different runs of the
// instance.
func hasRestarted(before, after Instance) bool {
	if before.Version != "" && after.Version != "" && before.Version != after.Version {
		return true
	}
	if before.Born != 0 && after.Born != 0 {
		return after.Born > before.Born
	}
	return before.Address != after.Address
}

// dropReports removes an instance from the load reports of other gateways. The caller must hold the
// lock.
func (d *Directory) dropReports(id string) {
	for _, report := range d.reports {
		delete(report.loads, id)
	}
}

// markUnlisted records that an instance is missing from the list. The caller must hold the lock.
func (d *Directory) markUnlisted(now time.Time, id string, incomplete bool) {
	m := d.members[id]
	if m == nil || d.unlisted[id] {
		return
	}
	d.unlisted[id] = true
	if incomplete && !m.instance.Leaving {
		m.unlistedUntil = now.Add(unlistedGracePeriod)
	}
}

// expireUnlisted removes the unlisted members whose grace period is over, and returns them. The
// caller must hold the lock.
func (d *Directory) expireUnlisted(now time.Time) (expired []*member) {
	for id := range d.unlisted {
		m := d.members[id]
		if now.Before(m.unlistedUntil) {
			continue
		}
		delete(d.unlisted, id)
		delete(d.members, id)
		if d.addresses[m.instance.Address] == id {
			delete(d.addresses, m.instance.Address)
		}
		d.inFlight[m.instance.Service] -= m.inFlight
		expired = append(expired, m)
	}
	return expired
}

// updateIndexes updates the indexes by service and locality. Moved members, which are new or have
// changed service or zone, are missing from them; removed ones are still present. The caller must
// hold the lock.
func (d *Directory) updateIndexes(moved, removed []*member) {
	if len(moved)+len(removed) > maxIncrementalUpdates {
		d.updateIndexesInBulk(moved, removed)
		return
	}
	for _, m := range removed {
		d.removeMember(m)
	}
	for _, m := range moved {
		for _, lists := range d.indexesOf(m) {
			service := m.instance.Service
			lists[service] = insertSorted(lists[service], m)
		}
	}
}

// updateIndexesInBulk does the work of updateIndexes in one pass over each index. The caller must
// hold the lock.
func (d *Directory) updateIndexesInBulk(moved, removed []*member) {
	dropped := make(map[*member]bool, len(removed))
	for _, m := range removed {
		dropped[m] = true
	}
	for _, lists := range []map[string][]*member{d.byService, d.sameZone, d.sameRegion} {
		for service, list := range lists {
			lists[service] = slices.DeleteFunc(list, func(m *member) bool { return dropped[m] })
		}
	}
	slices.SortFunc(moved, byID)
	byService, sameZone, sameRegion := map[string][]*member{}, map[string][]*member{}, map[string][]*member{}
	for _, m := range moved {
		service := m.instance.Service
		byService[service] = append(byService[service], m)
		inZone, inRegion := d.locality(m)
		if inZone {
			sameZone[service] = append(sameZone[service], m)
		}
		if inRegion {
			sameRegion[service] = append(sameRegion[service], m)
		}
	}
	mergeInto(d.byService, byService)
	mergeInto(d.sameZone, sameZone)
	mergeInto(d.sameRegion, sameRegion)
}

// mergeInto merges sorted members into sorted indexes.
func mergeInto(lists, added map[string][]*member) {
	for service, more := range added {
		lists[service] = mergeSorted(lists[service], more)
	}
}

// mergeSorted merges two sorted lists.
func mergeSorted(a, b []*member) []*member {
	merged := make([]*member, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if byID(a[0], b[0]) < 0 {
			merged, a = append(merged, a[0]), a[1:]
		} else {
			merged, b = append(merged, b[0]), b[1:]
		}
	}
	return append(append(merged, a...), b...)
}

// remove removes the member with an id from the indexes, if there is one. The caller must hold the
// lock.
func (d *Directory) remove(id string) {
	if m := d.members[id]; m != nil {
		d.removeMember(m)
	}
}

func (d *Directory) removeMember(m *member) {
	for _, lists := range d.indexesOf(m) {
		service := m.instance.Service
		lists[service] = removeSorted(lists[service], m)
	}
}

// indexesOf returns the indexes that contain a member: by service, and where they apply those of
// the gateway's zone and region. The caller must hold the lock.
func (d *Directory) indexesOf(m *member) []map[string][]*member {
	lists := []map[string][]*member{d.byService}
	inZone, inRegion := d.locality(m)
	if inZone {
		lists = append(lists, d.sameZone)
	}
	if inRegion {
		lists = append(lists, d.sameRegion)
	}
	return lists
}

// locality reports whether a member is indexed as in the gateway's zone, and as in the gateway's
// region; the latter index is used only if there are several regions. The caller must hold the
// lock.
func (d *Directory) locality(m *member) (inZone, inRegion bool) {
	distance := d.network.places.Distance(d.zone, m.instance.Zone)
	return distance == place.SameZone, d.severalRegions && distance != place.OtherRegion
}

// insertSorted adds a member to a list that is sorted by id.
func insertSorted(list []*member, m *member) []*member {
	at, _ := slices.BinarySearchFunc(list, m, byID)
	return slices.Insert(list, at, m)
}

// removeSorted removes a member from a list that is sorted by id, if it is present.
func removeSorted(list []*member, m *member) []*member {
	at, found := slices.BinarySearchFunc(list, m, byID)
	if !found || list[at] != m {
		return list
	}
	return slices.Delete(list, at, at+1)
}

func byID(a, b *member) int { return strings.Compare(a.instance.ID, b.instance.ID) }
