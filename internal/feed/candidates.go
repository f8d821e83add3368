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

// otherUpstreams bounds the replicas of other zones that a gateway may fall back on. It
// outlives the loss of its zone and of seven replicas more without reading the store.
const otherUpstreams = 8

// Upstream is a process that may be followed.
type Upstream struct {
	// Node is its name; seeds, which settings name by their addresses alone, have none.
	Node string
	// Address is where it is polled. Several, separated by commas, are tried at the same
	// time, and the first that accepts a connection is followed.
	Address string
	Zone    string
}

// hasSeveral reports whether there are several addresses.
func (u Upstream) hasSeveral() bool { return strings.Contains(u.Address, addressSeparator) }

// addressSeparator stands between several addresses of an Upstream.
const addressSeparator = ","

// ReplicaUpstreams returns the upstreams of a replica: those of its zone that rank before
// it, first the first. The order by name is the same everywhere, so nobody follows in a
// circle.
func ReplicaUpstreams(node, zone string, replicas map[string]replicaset.Node) []Upstream {
	var upstreams []Upstream
	for _, name := range slices.Sorted(maps.Keys(replicas)) {
		other := replicas[name]
		if name < node && other.Zone == zone && mayBeFollowed(other) {
			upstreams = append(upstreams, upstreamOf(other))
		}
	}
	return upstreams
}

// GatewayUpstreams returns the upstreams of a gateway: the replicas of its zone, then some
// of other zones, those of its region first. Each gateway has an order of its own, so that
// they spread. Before it knows of any replica these are its seeds.
func GatewayUpstreams(node, zone string, places place.Map, replicas map[string]replicaset.Node, seeds []string) []Upstream {
	var near, far []Upstream
	for _, other := range replicas {
		switch {
		case !mayBeFollowed(other):
		case other.Zone == zone:
			near = append(near, upstreamOf(other))
		default:
			far = append(far, upstreamOf(other))
		}
	}
	if len(near)+len(far) == 0 {
		return seedUpstreams(seeds)
	}
	sortFor(node, near)
	sortFor(node, far)
	slices.SortStableFunc(far, func(a, b Upstream) int {
		return cmp.Compare(places.Distance(zone, a.Zone), places.Distance(zone, b.Zone))
	})
	return append(near, far[:min(otherUpstreams, len(far))]...)
}

func mayBeFollowed(node replicaset.Node) bool { return node.Feed != "" && !node.Leaving }

func upstreamOf(node replicaset.Node) Upstream {
	return Upstream{Node: node.Name, Address: node.Feed, Zone: node.Zone}
}

// seedUpstreams returns the seeds as one upstream: a process that starts knows nothing, and
// some of the seeds may be gone.
func seedUpstreams(seeds []string) []Upstream {
	if len(seeds) == 0 {
		return nil
	}
	return []Upstream{{Address: strings.Join(seeds, addressSeparator)}}
}

// sortFor sorts upstreams by a hash of both names (rendezvous hashing): a change of the
// list moves few gateways.
func sortFor(node string, upstreams []Upstream) {
	rank := func(u Upstream) uint64 { return xxhash.Sum64String(node + "\x00" + u.Node) }
	slices.SortFunc(upstreams, func(a, b Upstream) int { return cmp.Compare(rank(a), rank(b)) })
}
