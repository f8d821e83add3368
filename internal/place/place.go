// Package place describes locations: the zones of a deployment, the regions they belong to,
// the distance between two zones, and the regions in which a request may be handled.
//
// All code that selects a machine by location uses this package: placement on instances, the
// choice of replicas, relays between gateways, the feed and the load reports.
package place

import "slices"

// Distance is how far apart two zones are. A larger value is farther.
type Distance uint8

// The distances, nearest first.
const (
	// SameZone means a fraction of a millisecond and no charge for traffic.
	SameZone Distance = iota
	// SameRegion means about a millisecond; traffic between zones is charged.
	SameRegion
	// OtherRegion means tens of milliseconds, over a link that all traffic shares.
	OtherRegion
)

// String returns the name used in logs and metrics.
func (d Distance) String() string {
	switch d {
	case SameZone:
		return "zone"
	case SameRegion:
		return "region"
	default:
		return "other_region"
	}
}

// Map maps each zone to its region. It must not be changed once it is in use. Zones that are
// not in the map, or all zones for a nil map, have an unknown region: a deployment that does
// not configure regions has a single one.
type Map map[string]string

// Region returns the region of a zone, or "" if the zone is not in the map.
func (m Map) Region(zone string) string { return m[zone] }

// Distance returns how far apart two zones are. A zone of unknown region counts as being in the
// same region as any other.
func (m Map) Distance(a, b string) Distance {
	if a == b {
		return SameZone
	}
	first, second := m[a], m[b]
	if first == second || first == "" || second == "" {
		return SameRegion
	}
	return OtherRegion
}

// Regions returns the distinct regions in order of their names.
func (m Map) Regions() []string {
	var regions []string
	for _, region := range m {
		if !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return regions
}

// Homes restricts the regions in which a request may be run, cached and stored (data
// residency). The zero value allows all regions.
type Homes struct {
	// Limited is set when only Regions are allowed.
	Limited bool
	Regions []string
}

// HomesOf returns a restriction to the given regions, or no restriction if there are none.
func HomesOf(regions []string) Homes {
	if len(regions) == 0 {
		return Homes{}
	}
	return Homes{Limited: true, Regions: slices.Clone(regions)}
}

// Intersect returns the restriction that satisfies both. It may allow no region at all; the
// request cannot be handled then.
func (h Homes) Intersect(other Homes) Homes {
	switch {
	case !h.Limited:
		return other
	case !other.Limited:
		return h
	}
	both := Homes{Limited: true}
	for _, region := range h.Regions {
		if slices.Contains(other.Regions, region) {
			both.Regions = append(both.Regions, region)
		}
	}
	return both
}

// Allows reports whether the restriction allows a region. An unknown region ("") is allowed
// only without a restriction.
func (h Homes) Allows(region string) bool { return !h.Limited || slices.Contains(h.Regions, region) }
