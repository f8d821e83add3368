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
	for id, known := range l.changed {
		delete(l.changed, id)
		isCold := known.unlistedSince.IsZero() && l.isCold(now, known)
		if isCold == (l.cold[id] != nil) {
			continue
		}
		change := Change{Instance: id, Service: known.entry.Service, Cold: isCold}
		if isCold {
			l.cold[id] = known
			change.Remaining, change.Share = l.coldUntil(known).Sub(now), l.share(now, known)
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
	for _, known := range l.cold {
		if until := l.coldUntil(known); next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return next
}
