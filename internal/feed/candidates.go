package feed

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// maxOtherZoneUpstreams bounds the replicas of other zones that a gateway may fall back on.
// With 8 the gateway survives the loss of its zone and of seven more replicas without
// reading the store.
const maxOtherZoneUpstreams = 8

// Upstream is a process that other processes may follow.
type Upstream struct {
	// Node is its name. It is empty for seeds, of which the settings list only addresses.
	Node string
	// Address is the address to poll. Several addresses, separated by commas, are dialled
	// concurrently, and the first one that accepts a connection is used.
	Address string
	Zone    string
}

// hasMultipleAddresses reports whether Address lists several addresses.
func (u Upstream) hasMultipleAddresses() bool { return strings.Contains(u.Address, addressSeparator) }

// addressSeparator separates the addresses of an Upstream.
const addressSeparator = ","

// ReplicaUpstreams returns the upstreams of a replica: the replicas of its zone that rank
// before it by name, in that order. All processes use the same order, so there are no cycles.
func ReplicaUpstreams(node, zone string, replicas map[string]replicaset.Node) []Upstream {
	var upstreams []Upstream
	for _, name := range slices.Sorted(maps.Keys(replicas)) {
		other := replicas[name]
		if name < node && other.Zone == zone && canFollow(other) {
			upstreams = append(upstreams, upstreamOf(other))
		}
	}
	return upstreams
}

// GatewayUpstreams returns the upstreams of a gateway: the replicas of its zone, then up to
// maxOtherZoneUpstreams of other zones, its own region first. Each gateway has its own order,
// which spreads the gateways over the replicas. Without a known replica it returns the seeds.
func GatewayUpstreams(node, zone string, places place.Map, replicas map[string]replicaset.Node, seeds []string) []Upstream {
	var ownZone, otherZones []Upstream
	for _, other := range replicas {
		switch {
		case !canFollow(other):
		case other.Zone == zone:
			ownZone = append(ownZone, upstreamOf(other))
		default:
			otherZones = append(otherZones, upstreamOf(other))
		}
	}
	if len(ownZone)+len(otherZones) == 0 {
		return seedUpstreams(seeds)
	}
	sortByHash(node, ownZone)
	sortByHash(node, otherZones)
	slices.SortStableFunc(otherZones, func(a, b Upstream) int {
		return cmp.Compare(places.Distance(zone, a.Zone), places.Distance(zone, b.Zone))
	})
	return append(ownZone, otherZones[:min(maxOtherZoneUpstreams, len(otherZones))]...)
}

func canFollow(node replicaset.Node) bool { return node.Feed != "" && !node.Leaving }

func upstreamOf(node replicaset.Node) Upstream {
	return Upstream{Node: node.Name, Address: node.Feed, Zone: node.Zone}
}

// seedUpstreams returns the seeds as one upstream with several addresses, because a starting
// process cannot know which of the seeds are still running.
func seedUpstreams(seeds []string) []Upstream {
	if len(seeds) == 0 {
		return nil
	}
	return []Upstream{{Address: strings.Join(seeds, addressSeparator)}}
}

// sortByHash sorts upstreams by a hash of both names (rendezvous hashing), so that a change of
// the list moves few gateways to another upstream.
func sortByHash(node string, upstreams []Upstream) {
	rank := func(u Upstream) uint64 { return xxhash.Sum64String(node + "\x00" + u.Node) }
	slices.SortFunc(upstreams, func(a, b Upstream) int { return cmp.Compare(rank(a), rank(b)) })
}
