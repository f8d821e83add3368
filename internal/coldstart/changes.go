package coldstart

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Change reports that an instance became cold or warm.
type Change struct {
	Instance string
	Service  string
	Cold     bool
	// Remaining is how long it will stay cold, Share the number of its places that this gateway
	// has.
	Remaining time.Duration
	Share     int
}

// Changes returns the instances that became cold or warm since the last call, sorted by id, and the
// number of cold instances.
func (l *Limiter) Changes(now time.Time) (changes []Change, cold int) {
	maps.Copy(l.changed, l.cold) // cold instances become warm without an event
	for id, inst := range l.changed {
		delete(l.changed, id)
		isCold := inst.unlistedSince.IsZero() && l.isCold(now, inst)
		if isCold == (l.cold[id] != nil) {
			continue
		}
		change := Change{Instance: id, Service: inst.entry.Service, Cold: isCold}
		if isCold {
			l.cold[id] = inst
			change.Remaining, change.Share = l.coldUntil(inst).Sub(now), l.share(now, inst)
		} else {
			delete(l.cold, id)
		}
		changes = append(changes, change)
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Instance, b.Instance) })
	return changes, len(l.cold)
}

// NextChange returns when the next cold instance becomes warm, the zero time if none is cold.
func (l *Limiter) NextChange() time.Time {
	var next time.Time
	for _, inst := range l.cold {
		if until := l.coldUntil(inst); next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return next
}
