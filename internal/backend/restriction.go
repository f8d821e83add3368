package backend

import (
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/place"
)

// Restriction is the placement rule that keeps a request off all instances of its service although
// some are listed. Waiting for capacity does not lift it.
type Restriction uint8

const (
	// NotRestricted means that some instance may get the request, now or once it has capacity, or
	// that no instance is listed.
	NotRestricted Restriction = iota
	// RestrictedByVersion means that no instance runs the software version that the request requires.
	RestrictedByVersion
	// RestrictedByHomes means that no instance is in a region where the request may run.
	RestrictedByHomes
	// RestrictedByEvacuation means that all instances that may run the request are in evacuated
	// zones.
	RestrictedByEvacuation
)

// String returns the reason as it appears in the log and in refusals.
func (r Restriction) String() string {
	switch r {
	case RestrictedByVersion:
		return "no instance runs the software version that began the stream"
	case RestrictedByHomes:
		return "no instance is in a region where the request may run"
	case RestrictedByEvacuation:
		return "the zones of all instances that may run it are evacuated"
	default:
		return "not restricted"
	}
}

// SetEvacuated replaces the list of zones whose instances get no new requests, and returns the
// zones that may get requests again. Requests that already run in an evacuated zone finish. The
// instances of a zone that returns may have become cold in the meantime, so they count as cold
// until their entries say otherwise.
//
// The list is always honored, even if no instance is left: when an operator evacuates every zone,
// requests are refused, because only the operator knows what those zones are about to lose.
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
	for _, m := range d.members {
		m.evacuated = d.evacuated[m.instance.Zone]
	}
	clear(d.versions)
	d.reportCold(now)
	return returned
}

// EvacuatedInFlight returns the number of this gateway's requests in flight in evacuated zones.
func (d *Directory) EvacuatedInFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	inFlight := 0
	for _, m := range d.members {
		if m.evacuated {
			inFlight += m.inFlight
		}
	}
	return inFlight
}

// Restriction returns the placement rule that excludes every instance for the request, if there is
// one. It scans all instances of the service, so callers use it only after Pick has found none.
func (d *Directory) Restriction(now time.Time, demand Demand) Restriction {
	d.mu.Lock()
	defer d.mu.Unlock()
	if pinned := d.pinnedMember(demand); pinned != nil && pinned.isActive(now) {
		return d.restrictionFor(pinned, demand)
	}
	restriction := NotRestricted
	if demand.Version != "" {
		restriction = RestrictedByVersion // also if no instance is listed: waiting brings none of this version
	}
	for _, m := range d.byService[demand.Service] {
		if !m.isActive(now) {
			continue
		}
		reason := d.restrictionFor(m, demand)
		if reason == NotRestricted {
			return NotRestricted
		}
		restriction = max(restriction, reason)
	}
	return restriction
}

// restrictionFor returns the placement rule that excludes an instance for the request, if there is
// one. The caller must hold the lock.
func (d *Directory) restrictionFor(m *member, demand Demand) Restriction {
	switch {
	case !demand.allowsVersionOf(m):
		return RestrictedByVersion
	case !demand.isHome(m, d.network.places):
		return RestrictedByHomes
	case m.evacuated:
		return RestrictedByEvacuation
	default:
		return NotRestricted
	}
}

// allowsVersionOf reports whether the instance runs a software version that may get the request.
func (d Demand) allowsVersionOf(m *member) bool {
	return d.Version == "" || d.Version == m.instance.SoftwareVersion()
}

// isHome reports whether the request may run in the instance's region.
func (d Demand) isHome(m *member, places place.Map) bool {
	return d.Homes.Allows(places.Region(m.instance.Zone))
}
