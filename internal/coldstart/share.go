// Package coldstart bounds what a fleet of gateways sends to a cold instance in one second.
// An instance is cold for a while after its start, and may become cold again; it then
// withstands a fraction of its usual rate and collapses above it.
//
// A place is one unit of a cold instance's rate limit: the instance has as many places as
// requests may reach it in one second (Policy.InSecond). Gateways do not coordinate: rendezvous
// hashing divides the places among the gateways that the registry lists, most of them among
// those of the instance's own zone (Share). A send takes a place until a second after its
// answer began (Gate). All sends that arrive within one second therefore hold a place at its
// end, however late they arrive, and the places of all gateways together are bounded. Network
// partitions and lost messages leave places unused, and never add any.
//
// Everything here is pure: time comes in with each call.
package coldstart

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Gateway is a gateway that the registry lists.
type Gateway struct {
	Name string
	Zone string
	hash uint64
}

// Limit is what a cold instance of a service withstands.
type Limit struct {
	// PerSecond is in requests from all gateways together; 0 is no limit.
	PerSecond float64
}

// Policy is how exactly limits must hold.
type Policy struct {
	// Overage is the factor by which an instance may get more than its limit in a second,
	// Slack a number of requests on top of that.
	Overage float64
	Slack   float64
}

// MaxPerWindow returns how many requests may arrive at a cold instance in any one second.
func (p Policy) MaxPerWindow(limit Limit) int {
	return int(math.Floor(limit.PerSecond*p.Overage + p.Slack))
}

const (
	// maxDisagreement and disagreementDivisor bound by how many members the gateways' lists of
	// each other may differ: an eighth of the list, and at most four. Lists differ longer
	// than settleTime only at gateways that are cut off, and few are at once.
	maxDisagreement     = 4
	disagreementDivisor = 8
	// marginDivisor bounds the places kept for disagreement to half of the bound: a bound of
	// few requests must still let some through.
	marginDivisor = 2
)

// disagreement returns by how many members other gateways' lists may differ from a list of so
// many gateways.
func disagreement(gateways, bound int) int {
	return min(maxDisagreement, (gateways+disagreementDivisor-1)/disagreementDivisor, bound/marginDivisor)
}

// ownZoneShare is the part of an instance's places that belongs to the gateways of its own
// zone: the path there is cheapest for them, so they use more of their places.
const ownZoneShare = 0.85

// Share returns how many of the places of a cold instance belong to one gateway, of all that
// are listed. Places for the gateways of the instance's zone and for all others are apart, so
// that the sum is bounded even where lists differ in whether the zone has gateways.
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
	return divide(near, self, hash, zonePlaces, disagreement(len(gateways), zonePlaces)) +
		divide(far, self, hash, bound-zonePlaces, disagreement(len(gateways), bound-zonePlaces))
}

// divide returns how many of an instance's places belong to one of the gateways. They are
// dealt out in rounds, in the order of the scores.
//
// As long as lists differ by no more than disagreement, the places sum to at most the bound.
// A place has a number, its round times the gateways on the list and the gateway's rank. On
// the list of all gateways that any list has, the number is larger by at most one difference
// for each round begun, and two places never have the same one. So it is enough that the
// places dealt out and a difference for each round stay within the bound.
func divide(gateways []uint64, self, instance uint64, bound, differing int) int {
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
	count, dealt := len(gateways), 0
	for rounds := 1; rounds*count <= bound+count; rounds++ {
		dealt = max(dealt, min(rounds*count, bound-rounds*differing))
	}
	return max(0, (dealt-rank+count-1)/count)
}

// score ranks a gateway for an instance; every gateway computes the same one.
func score(gateway, instance uint64) uint64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:8], gateway)
	binary.LittleEndian.PutUint64(both[8:], instance)
	return xxhash.Sum64(both[:])
}
