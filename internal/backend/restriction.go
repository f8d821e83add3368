package backend

import (
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/place"
)

// Restriction is why no instance of a service may get a request though some are there. Waiting for
// room changes nothing about it.
type Restriction uint8

const (
	// NotRestricted means that some instance may get the request, now or once it has room, or
	// that none is listed.
	NotRestricted Restriction = iota
	// RestrictedByHomes means that no instance stands in a region where the request may run.
	RestrictedByHomes
	// RestrictedByEvacuation means that all that might run it stand in evacuated zones.
	RestrictedByEvacuation
)

// String returns the reason in the words of the log and of refusals.
func (b Restriction) String() string {
	switch b {
	case RestrictedByHomes:
		return "no instance is in a region where the request may run"
	case RestrictedByEvacuation:
		return "the zones of all instances that may run it are evacuated"
	default:
		return "not barred"
	}
}

// SetEvacuated replaces the list of zones whose instances are to get nothing further, and
// returns the zones that may get work again since now. What runs in an evacuated zone goes
// on to its end. The instances of a zone that returns may have turned cold meanwhile, and
// count as cold until their entries say otherwise.
//
// The list always binds, whatever else is lost: an operator who evacuates every zone gets
// refusals, for only the operator knows what those zones are about to lose.
func (d *Directory) SetEvacuated(now time.Time, zones []string) (returned []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.evacuated
	d.evacuated = map[string]bool{}
	for _, zone := range zones {
		d.evacuated[zone] = true
	}
	for zone := range before {
		if !d.evacuated[zone] {
			returned = append(returned, zone)
			d.cold.AssumeCold(now, zone)
		}
	}
	slices.Sort(returned)
	for _, known := range d.members {
		known.evacuated = d.evacuated[known.instance.Zone]
	}
	d.reportCold(now)
	return returned
}

// EvacuatedInFlight returns this gateway's requests in flight in evacuated zones.
func (d *Directory) EvacuatedInFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	running := 0
	for _, known := range d.members {
		if known.evacuated {
			running += known.inFlight
		}
	}
	return running
}

// Restriction returns why no instance may get the request, if that is a rule about places. It
// looks at all instances of the service: callers ask only once Pick has found none.
func (d *Directory) Restriction(now time.Time, demand Demand) Restriction {
	d.mu.Lock()
	defer d.mu.Unlock()
	if only := d.members[demand.Pinned]; only != nil && only.isStaying(now) {
		return d.barFor(only, demand)
	}
	bar := NotRestricted
	for _, known := range d.byService[demand.Service] {
		if !known.isStaying(now) {
			continue
		}
		each := d.barFor(known, demand)
		if each == NotRestricted {
			return NotRestricted
		}
		bar = max(bar, each)
	}
	return bar
}

// barFor returns why an instance may not get the request, if that is a rule about places. The
// caller holds the lock.
func (d *Directory) barFor(known *member, demand Demand) Restriction {
	switch {
	case !demand.isHome(known, d.network.places):
		return RestrictedByHomes
	case known.evacuated:
		return RestrictedByEvacuation
	default:
		return NotRestricted
	}
}

// isHome reports whether the request may run where the instance stands.
func (d Demand) isHome(known *member, places place.Map) bool {
	return d.Homes.Allows(places.Region(known.instance.Zone))
}
