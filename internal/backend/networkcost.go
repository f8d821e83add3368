package backend

import (
	"time"

	"swiftbank.dev/swiftbank/internal/place"
)

const (
	// zoneCost is the cost of a round trip to another zone of the region and of the bytes sent
	// there, in milliseconds.
	zoneCost = 6.0
	// priorRegionRoundTrip is the round trip to another region, in milliseconds, assumed until
	// minDials connections to the region were opened: a usual value between two regions of one
	// country.
	priorRegionRoundTrip = 40.0
	// roundTripGain is the weight of a new connection in a region's mean round trip: one packet
	// that is retransmitted after a second must not make a region look far away.
	roundTripGain = 0.05
	// roundTripOutlier caps one measured round trip at this multiple of the estimate.
	roundTripOutlier = 3
	// minDials is how many connections must be measured before their mean replaces the prior.
	minDials = 3
)

// networkCosts estimates the cost of the network path from this gateway to instances of other zones
// and regions. It is a pure value.
type networkCosts struct {
	zone   string
	places place.Map
	// roundTrips holds the measured round trip to each other region in milliseconds.
	roundTrips map[string]*mean
}

// cost returns the cost of a round trip to a zone, in milliseconds; connected says whether there is
// an idle connection. Another region costs its round trip, twice if the connection must be opened
// first, plus the cost of traffic between zones.
func (n *networkCosts) cost(zone string, connected bool) float64 {
	cost := 0.0
	if !connected {
		cost = connectCost
	}
	switch n.places.Distance(n.zone, zone) {
	case place.SameZone:
		return cost
	case place.SameRegion:
		return cost + zoneCost
	}
	roundTrip := n.roundTrip(n.places.Region(zone))
	if !connected {
		cost += roundTrip
	}
	return cost + zoneCost + roundTrip
}

// roundTrip returns the estimated round trip to a region, in milliseconds.
func (n *networkCosts) roundTrip(region string) float64 {
	estimate := n.roundTrips[region]
	if estimate == nil || estimate.count < minDials {
		return priorRegionRoundTrip
	}
	return estimate.value
}

// observeDial adds the time that opening a connection to a zone took. Round trips within the region
// are negligible and not measured.
func (n *networkCosts) observeDial(zone string, took time.Duration) {
	if n.places.Distance(n.zone, zone) != place.OtherRegion {
		return
	}
	region := n.places.Region(zone)
	estimate := n.roundTrips[region]
	if estimate == nil {
		estimate = &mean{}
		n.roundTrips[region] = estimate
	}
	limit := roundTripOutlier * n.roundTrip(region)
	estimate.add(min(milliseconds(took), limit), roundTripGain)
}
