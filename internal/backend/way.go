package backend

import (
	"time"

	"swiftbank.dev/swiftbank/internal/place"
)

const (
	// zoneCost is the way to another zone of the region and back, in milliseconds, and the
	// bytes that go over it.
	zoneCost = 6.0
	// priorRegionRoundTrip holds, in milliseconds, until a connection to another region was
	// opened: a usual figure between two regions of one country.
	priorRegionRoundTrip = 40.0
	// roundTripGain is the weight of a new connection in a region's round trip: one packet
	// that was lost and sent again after a second must not make a region look far.
	roundTripGain = 0.05
	// roundTripOutlier bounds one measured round trip by so many times the estimate.
	roundTripOutlier = 3
	// fewestDials is how many connections a round trip needs before it stands without the
	// prior.
	fewestDials = 3
)

// ways prices the way from this gateway to instances of other zones and regions. It is a pure
// value.
type ways struct {
	zone   string
	places place.Map
	// roundTrips holds the measured round trip to each other region in milliseconds.
	roundTrips map[string]*mean
}

// cost returns what the way to a zone and back costs, in milliseconds; connected says that
// there is a connection already. Another region costs its round trip, twice where the
// connection must be opened first, and the bytes as between zones.
func (w *ways) cost(zone string, connected bool) float64 {
	cost := 0.0
	if !connected {
		cost = connectCost
	}
	switch w.places.Distance(w.zone, zone) {
	case place.SameZone:
		return cost
	case place.SameRegion:
		return cost + zoneCost
	}
	roundTrip := w.roundTrip(w.places.Region(zone))
	if !connected {
		cost += roundTrip
	}
	return cost + zoneCost + roundTrip
}

func (w *ways) roundTrip(region string) float64 {
	known := w.roundTrips[region]
	if known == nil || known.count < fewestDials {
		return priorRegionRoundTrip
	}
	return known.value
}

// dialed adds the time in which a connection to a zone came up. Ways within the region are
// short beside all else and are not measured.
func (w *ways) dialed(zone string, took time.Duration) {
	if w.places.Distance(w.zone, zone) != place.OtherRegion {
		return
	}
	region := w.places.Region(zone)
	known := w.roundTrips[region]
	if known == nil {
		known = &mean{}
		w.roundTrips[region] = known
	}
	most := roundTripOutlier * w.roundTrip(region)
	known.add(min(milliseconds(took), most), roundTripGain)
}
