// Package coldstart bounds what a fleet of gateways sends to a cold instance in one second.
// An instance is cold for a while after its start, and may become cold again; it then
// withstands a fraction of its usual rate and collapses above it.
//
// The gateways ask nobody: for each cold instance a set of them, chosen by rendezvous hashing
// over the gateways that the registry lists, has an equal number of places (Share). A send
// takes a place until a second after its answer began (Gate). All sends that arrive within
// one second therefore hold a place at its end, however late they arrive, and the places of
// all gateways together are bounded. Cuts and losses leave places unused, and never add any.
//
// Everything here is pure: time comes in with each call.
package coldstart

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

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

// InSecond returns how many requests may arrive at a cold instance in any one second.
func (p Policy) InSecond(limit Limit) int {
	return int(math.Floor(limit.PerSecond*p.Overage + p.Slack))
}

const (
	// mostDisagreement and disagreementShare bound by how many members the gateways' lists of
	// each other may differ: an eighth of the list, and at most four. Lists differ longer
	// than settleTime only at gateways that are cut off, and few are at once.
	mostDisagreement  = 4
	disagreementShare = 8
	// marginShare is the part of the bound that may be kept for disagreement: a bound of few
	// requests must still let some through.
	marginShare = 4
)

// disagreement returns by how many members other gateways' lists may differ from one of so
// many.
func disagreement(gateways, bound int) int {
	return min(mostDisagreement, (gateways+disagreementShare-1)/disagreementShare, bound/marginShare)
}

// Share returns how many of the places of a cold instance belong to one gateway, of all that
// are listed. As long as lists differ by no more than disagreement, the shares sum to at most
// the bound: where each listed gateway gets places, they are few enough for all on any of the
// lists; where there are more gateways than places, those of the highest scores get one each,
// and each difference adds at most one to them.
func Share(gateways []uint64, self, instance uint64, bound int) int {
	differing := disagreement(len(gateways), bound)
	places := max(1, bound/(len(gateways)+differing))
	chosen := min(len(gateways), bound/places-differing)
	own := score(self, instance)
	listed, ahead := false, 0
	for _, gateway := range gateways {
		switch {
		case gateway == self:
			listed = true
		case score(gateway, instance) > own:
			ahead++
		}
	}
	if !listed || ahead >= chosen {
		return 0
	}
	return places
}

// score ranks a gateway for an instance; every gateway computes the same one.
func score(gateway, instance uint64) uint64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:8], gateway)
	binary.LittleEndian.PutUint64(both[8:], instance)
	return xxhash.Sum64(both[:])
}
