// Package coldstart limits the requests that a fleet of gateways sends to a cold instance in one
// second. An instance is cold for a while after its start, and may become cold again. While cold it
// can serve only a fraction of its usual rate and collapses above that.
//
// A place is one unit of a cold instance's rate limit: the instance has as many places as requests
// may reach it in one second (Policy.MaxPerWindow). Gateways do not coordinate: rendezvous hashing
// divides the places among the gateways that the registry lists, most of them among those of the
// instance's own zone (Share). A request holds a place until one second after its response started
// (Limiter). All requests that arrive within one second therefore hold a place at its end, however
// late they arrive, and the number of places of all gateways together is bounded. Network
// partitions and lost messages leave places unused, and never add any.
//
// The package is pure: callers pass the time.
package coldstart

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Gateway is a gateway listed in the registry.
type Gateway struct {
	Name string
	Zone string
	hash uint64
}

// Limit is the rate limit of a service's cold instances.
type Limit struct {
	// PerSecond is the limit in requests per second from all gateways together; 0 means no limit.
	PerSecond float64
}

// Policy is the tolerance of rate limits.
type Policy struct {
	// Overage is the factor by which the requests of one second may exceed the limit, Slack a
	// number of requests allowed on top of that.
	Overage float64
	Slack   float64
}

// MaxPerWindow returns the number of requests that may arrive at a cold instance in any one second.
func (p Policy) MaxPerWindow(limit Limit) int {
	return int(math.Floor(limit.PerSecond*p.Overage + p.Slack))
}

const (
	// maxMembershipDifference and membershipDifferenceDivisor bound the number of members by which
	// the gateways' lists of each other may differ: an eighth of the list, and at most four. Lists
	// differ for longer than settlePeriod only at gateways that are partitioned, and few are at the
	// same time.
	maxMembershipDifference     = 4
	membershipDifferenceDivisor = 8
	// marginDivisor bounds the places reserved for differing lists to half of the limit: a limit of
	// few requests must still let some through.
	marginDivisor = 2
)

// membershipDifference returns the number of members by which other gateways' lists may differ from
// a list of the given length.
func membershipDifference(gateways, bound int) int {
	return min(maxMembershipDifference, (gateways+membershipDifferenceDivisor-1)/membershipDifferenceDivisor, bound/marginDivisor)
}

// ownZoneShare is the fraction of an instance's places that belongs to the gateways of its own
// zone: they have the cheapest path to the instance, so they use more of their places.
const ownZoneShare = 0.85

// Share returns the number of places of a cold instance that belong to one of the listed gateways.
// The places of the gateways in the instance's zone and those of all others are divided separately,
// so that the sum is bounded even if lists differ in whether the zone has gateways.
func Share(gateways []Gateway, self uint64, instance, zone string, bound int) int {
	zonePlaces := int(math.Ceil(ownZoneShare * float64(bound)))
	var near, far []uint64
	for _, gateway := range gateways {
		if gateway.Zone == zone {
			near = append(near, gateway.hash)
		} else {
			far = append(far, gateway.hash)
		}
	}
	hash := xxhash.Sum64String(instance)
	return placesOf(near, self, hash, zonePlaces, membershipDifference(len(gateways), zonePlaces)) +
		placesOf(far, self, hash, bound-zonePlaces, membershipDifference(len(gateways), bound-zonePlaces))
}

// placesOf returns the number of an instance's places that belong to one of the gateways. Places
// are assigned in rounds, in the order of the scores.
//
// As long as lists differ by at most margin members, the places sum to at most total. A place has a
// number: its round times the number of gateways on the list, plus the gateway's rank. On the union
// of all lists, the number is larger by at most margin for each round begun, and no two places have
// the same number. It is therefore sufficient that the places assigned, plus margin for each round,
// do not exceed total.
func placesOf(gateways []uint64, self, instance uint64, total, margin int) int {
	own, listed, rank := score(self, instance), false, 0
	for _, gateway := range gateways {
		switch {
		case gateway == self:
			listed = true
		case score(gateway, instance) > own:
			rank++
		}
	}
	if !listed {
		return 0
	}
	count, assigned := len(gateways), 0
	for rounds := 1; rounds*count <= total+count; rounds++ {
		assigned = max(assigned, min(rounds*count, total-rounds*margin))
	}
	return max(0, (assigned-rank+count-1)/count)
}

// score ranks a gateway for an instance by a hash, which is equal at every gateway.
func score(gateway, instance uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], gateway)
	binary.LittleEndian.PutUint64(buffer[8:], instance)
	return xxhash.Sum64(buffer[:])
}
