// Package place describes locations: the zones of a deployment, the regions they
// belong to, how far apart two zones are, and in which regions a request may be handled.
//
// Everything that chooses a machine by its location uses this package: the placement on
// instances, the choice of replicas, relays between gateways, the feed and the reports of
// load.
package place

import "slices"

// Distance says how far apart two zones are. Larger is farther.
type Distance uint8

// The distances, nearest first.
const (
	// SameZone is a fraction of a millisecond; bytes are free.
	SameZone Distance = iota
	// SameRegion is about a millisecond; bytes between zones are charged for.
	SameRegion
	// OtherRegion is tens of milliseconds, over a link that all traffic shares.
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

// Map says to which region each zone belongs. It is never changed once it is in use. The
// nil map, and zones that a map lacks, stand for one single region: a deployment that says
// nothing of regions has one.
type Map map[string]string

// Region returns the zone's region, "" if the zone is not listed.
func (m Map) Region(zone string) string { return m[zone] }

// Distance returns how far apart two zones are. Zones of unknown region count as being in
// the same region: only a known boundary is one.
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

// Regions returns the regions in the order of their names.
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

// Homes limits the regions in which a request may be run, cached and stored (data residency).
// The zero value limits nothing.
type Homes struct {
	// Limited is set where there is a limit; Regions are then all that is allowed.
	Limited bool
	Regions []string
}

// HomesOf returns a limit to the regions. No regions limit nothing.
func HomesOf(regions []string) Homes {
	if len(regions) == 0 {
		return Homes{}
	}
	return Homes{Limited: true, Regions: slices.Clone(regions)}
}

// Intersect returns the limit under which both hold. It may leave no region at all, and then
// nothing may handle the request.
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

// Allows reports whether a region is within the limit. A region that is not known is not
// within any.
func (h Homes) Allows(region string) bool { return !h.Limited || slices.Contains(h.Regions, region) }
