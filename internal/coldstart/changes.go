package coldstart

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Change says that an instance became cold, or warm again.
type Change struct {
	Instance string
	Service  string
	Cold     bool
	// Remaining is how long it will be cold, Share how many of its places this gateway has.
	Remaining time.Duration
	Share     int
}

// Changes returns which instances became cold or warm since the last call, in the order of
// their ids, and how many are cold.
func (g *Limiter) Changes(now time.Time) (changes []Change, cold int) {
	maps.Copy(g.changed, g.cold) // these become warm as time passes
	for id, known := range g.changed {
		delete(g.changed, id)
		isCold := known.missingSince.IsZero() && g.isCold(now, known)
		if isCold == (g.cold[id] != nil) {
			continue
		}
		change := Change{Instance: id, Service: known.entry.Service, Cold: isCold}
		if isCold {
			g.cold[id] = known
			change.Remaining, change.Share = g.coldUntil(known).Sub(now), g.share(now, known)
		} else {
			delete(g.cold, id)
		}
		changes = append(changes, change)
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Instance, b.Instance) })
	return changes, len(g.cold)
}

// NextChange returns when the first cold instance becomes warm, zero if none is cold.
func (g *Limiter) NextChange() time.Time {
	var next time.Time
	for _, known := range g.cold {
		if until := g.coldUntil(known); next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return next
}
