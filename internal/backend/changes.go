package backend

import (
	"slices"
	"strings"
	"time"

	"swiftbank.dev/swiftbank/internal/instancespeed"
	"swiftbank.dev/swiftbank/internal/place"
)

const (
	// unlistedLife is how long an instance serves on that an incomplete list lacks: one
	// interval of its entry and a little more, and less than the two seconds within
	// which an instance that did leave must get nothing new.
	unlistedLife = 1500 * time.Millisecond
	// relistedSingly is up to how many members are moved one after the other. Each move shifts
	// half a list, 2 us among 10,000, where a pass over all lists takes some tens.
	relistedSingly = 16
)

// ApplyChanges applies changes of the list of instances. It returns the ids of instances that are
// gone, and of those that started again: nothing that was believed of them holds. Its work
// follows the changes, not the instances there are.
//
// Entries lapse when instances cannot renew them, so a list read from a source that was lost
// moments ago may be incomplete: what it lacks, and did not say that it leaves, serves on for
// unlistedLife.
func (d *Directory) ApplyChanges(now time.Time, changes Changes, incomplete bool) (ended []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lacking := changes.Removed
	if changes.Snapshot {
		lacking = d.notIn(changes.Listed)
	}
	var moved []*member
	for _, instance := range changes.Listed {
		reborn, listed := d.list(instance)
		if reborn {
			ended = append(ended, instance.ID)
		}
		if listed != nil {
			moved = append(moved, listed)
		}
	}
	for _, id := range lacking {
		d.unlist(now, id, incomplete)
	}
	gone := d.dropUnlisted(now)
	for _, known := range gone {
		ended = append(ended, known.instance.ID)
	}
	d.relist(moved, gone)
	d.listCold(now, changes.Listed, lacking)
	slices.Sort(ended)
	return ended
}

// notIn returns the ids of the members that a list lacks. The caller holds the lock.
func (d *Directory) notIn(instances []Instance) []string {
	listed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = true
	}
	var lacking []string
	for id := range d.members {
		if !listed[id] {
			lacking = append(lacking, id)
		}
	}
	return lacking
}

// list takes an entry. It returns whether the instance has started again, and its member if the
// lists by service and place lack that. The caller holds the lock.
func (d *Directory) list(instance Instance) (reborn bool, moved *member) {
	known := d.members[instance.ID]
	if known != nil && instance.Born < known.instance.Born && instance.Born != 0 {
		return false, nil // an entry of an earlier life
	}
	delete(d.unlisted, instance.ID)
	switch {
	case known == nil:
		known = &member{cache: newPromptCache()}
		moved = known
	case startedAgain(known.instance, instance):
		d.inFlight[known.instance.Service] -= known.inFlight
		known = &member{cache: newPromptCache()}
		moved, reborn = known, true
		d.forgetReports(instance.ID)
	case known.instance.Service != instance.Service || known.instance.Zone != instance.Zone:
		d.inFlight[known.instance.Service] -= known.inFlight
		d.inFlight[instance.Service] += known.inFlight
		moved = known
	}
	if moved != nil {
		d.remove(instance.ID)
		d.members[instance.ID] = known
	}
	known.instance = instance
	known.key = instancespeed.KeyOf(instance.ID, instance.Address, instance.Born)
	known.unlistedUntil = time.Time{}
	known.evacuated = d.evacuated[instance.Zone]
	return reborn, moved
}

// startedAgain reports whether two entries under one id are of two lives of the instance.
func startedAgain(before, after Instance) bool {
	if before.Born != 0 && after.Born != 0 {
		return after.Born > before.Born
	}
	return before.Address != after.Address
}

// forgetReports drops what other gateways told of an instance's load. The caller holds the lock.
func (d *Directory) forgetReports(id string) {
	for _, report := range d.reports {
		delete(report.loads, id)
	}
}

// unlist notes that the list lacks an instance. The caller holds the lock.
func (d *Directory) unlist(now time.Time, id string, incomplete bool) {
	known := d.members[id]
	if known == nil || d.unlisted[id] {
		return
	}
	d.unlisted[id] = true
	if incomplete && !known.instance.Leaving {
		known.unlistedUntil = now.Add(unlistedLife)
	}
}

// dropUnlisted removes the members whose time is over, and returns them. The caller holds the
// lock.
func (d *Directory) dropUnlisted(now time.Time) (gone []*member) {
	for id := range d.unlisted {
		known := d.members[id]
		if now.Before(known.unlistedUntil) {
			continue
		}
		delete(d.unlisted, id)
		delete(d.members, id)
		d.inFlight[known.instance.Service] -= known.inFlight
		gone = append(gone, known)
	}
	return gone
}

// relist brings the lists by service and place up to date: moved members are missing in them,
// gone ones still stand there. The caller holds the lock.
func (d *Directory) relist(moved, gone []*member) {
	if len(moved)+len(gone) > relistedSingly {
		d.relistAtOnce(moved, gone)
		return
	}
	for _, known := range gone {
		d.removeMember(known)
	}
	for _, known := range moved {
		for _, lists := range d.listsOf(known) {
			service := known.instance.Service
			lists[service] = insert(lists[service], known)
		}
	}
}

// relistAtOnce is relist with one pass over each list. The caller holds the lock.
func (d *Directory) relistAtOnce(moved, gone []*member) {
	dropped := make(map[*member]bool, len(gone))
	for _, known := range gone {
		dropped[known] = true
	}
	for _, lists := range []map[string][]*member{d.byService, d.near, d.regional} {
		for service, list := range lists {
			lists[service] = slices.DeleteFunc(list, func(known *member) bool { return dropped[known] })
		}
	}
	slices.SortFunc(moved, byID)
	byService, near, regional := map[string][]*member{}, map[string][]*member{}, map[string][]*member{}
	for _, known := range moved {
		service := known.instance.Service
		byService[service] = append(byService[service], known)
		inZone, inRegion := d.isNear(known)
		if inZone {
			near[service] = append(near[service], known)
		}
		if inRegion {
			regional[service] = append(regional[service], known)
		}
	}
	mergeInto(d.byService, byService)
	mergeInto(d.near, near)
	mergeInto(d.regional, regional)
}

// mergeInto adds sorted members to sorted lists.
func mergeInto(lists, added map[string][]*member) {
	for service, more := range added {
		lists[service] = merge(lists[service], more)
	}
}

// merge returns the members of two sorted lists in their order.
func merge(a, b []*member) []*member {
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

// remove takes the member under an id out of the lists, if there is one. The caller holds the
// lock.
func (d *Directory) remove(id string) {
	if known := d.members[id]; known != nil {
		d.removeMember(known)
	}
}

func (d *Directory) removeMember(known *member) {
	for _, lists := range d.listsOf(known) {
		service := known.instance.Service
		lists[service] = without(lists[service], known)
	}
}

// listsOf returns the lists in which a member stands: those of all instances, of its zone's and
// of its region's. The caller holds the lock.
func (d *Directory) listsOf(known *member) []map[string][]*member {
	lists := []map[string][]*member{d.byService}
	inZone, inRegion := d.isNear(known)
	if inZone {
		lists = append(lists, d.near)
	}
	if inRegion {
		lists = append(lists, d.regional)
	}
	return lists
}

// isNear reports whether a member is listed among those of the own zone, and of the own region
// where there are others. The caller holds the lock.
func (d *Directory) isNear(known *member) (inZone, inRegion bool) {
	distance := d.network.places.Distance(d.zone, known.instance.Zone)
	return distance == place.SameZone, d.severalRegions && distance != place.OtherRegion
}

// insert adds a member to a list in the order of ids.
func insert(list []*member, known *member) []*member {
	at, _ := slices.BinarySearchFunc(list, known, byID)
	return slices.Insert(list, at, known)
}

// without removes a member from a list in the order of ids, if it stands there.
func without(list []*member, known *member) []*member {
	at, found := slices.BinarySearchFunc(list, known, byID)
	if !found || list[at] != known {
		return list
	}
	return slices.Delete(list, at, at+1)
}

func byID(a, b *member) int { return strings.Compare(a.instance.ID, b.instance.ID) }
