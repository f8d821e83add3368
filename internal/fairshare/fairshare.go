// Package fairshare says how far tenants are above their fair share of a service while room is
// short. It counts the slot time that instances gave to each tenant of late, over all gateways.
//
// It answers the load of one tenant that sends many times its usual, within its limit: without
// shares its programs take the slots of all others. Who had more than its share goes after the
// others. Nothing is kept free for anybody: a share that its tenant does not use goes to those
// who ask, and what a tenant did not use is not saved up for later.
//
// Shares is a pure state machine: time comes in with each call. It is not safe for concurrent
// use.
package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftbank.dev/swiftbank/internal/tally"
)

const (
	// window is over which time service is counted: several times as long as reports take to
	// reach all gateways, and as short as programs are.
	window = 2 * time.Second
	// reportLife is how long a silent gateway's figures count.
	reportLife = 2 * time.Second
	// heaviest is how many tenants a report tells of; the others are one entry together.
	heaviest = 12
	// leastServed is below which a tenant's service is forgotten.
	leastServed = time.Millisecond
)

// Key stands for a tenant in reports: the lower half of a hash of its name. Among 10,000 tenants
// two share a key with a probability of about 1 in 90; they count as one.
type Key uint32

// others is the entry of the tenants that a report does not name.
const others Key = 0

// KeyOf returns a tenant's key.
func KeyOf(tenant string) Key { return max(1, Key(xxhash.Sum64String(tenant))) }

// Usage are slot times in milliseconds, as they travel in reports.
type Usage = map[Key]float64

// Shares counts the service that tenants had.
type Shares struct {
	// own is the slot time of this gateway's requests in milliseconds, which loses its weight
	// over the window; at is when that was last applied.
	own Usage
	at  time.Time
	// reported is what the other gateways said.
	reported *tally.Tally[Key]
	// weights are the tenants' weights by the configuration.
	weights map[Key]float64
	// mean is the weight of tenants without one.
	mean float64
}

// New returns shares of which nothing is known.
func New() *Shares {
	return &Shares{own: Usage{}, reported: tally.New[Key](reportLife), mean: 1}
}

// SetWeights replaces the weights of tenants; those without one weigh as the mean of the others.
func (s *Shares) SetWeights(weights map[string]float64) {
	s.weights = make(map[Key]float64, len(weights))
	for tenant, weight := range weights {
		s.weights[KeyOf(tenant)] = weight
	}
	s.mean = meanOf(s.weights)
}

// RecordUsage counts slot time that a request of the tenant had.
func (s *Shares) RecordUsage(now time.Time, tenant string, slotTime time.Duration) {
	s.settle(now)
	s.own[KeyOf(tenant)] += milliseconds(slotTime)
}

// settle lets what was counted lose its weight.
func (s *Shares) settle(now time.Time) {
	passed := now.Sub(s.at)
	if passed <= 0 {
		return
	}
	s.at = now
	kept := math.Exp(-passed.Seconds() / window.Seconds())
	for key, served := range s.own {
		if served *= kept; served < milliseconds(leastServed) {
			delete(s.own, key)
		} else {
			s.own[key] = served
		}
	}
}

func milliseconds(span time.Duration) float64 { return span.Seconds() * 1000 }

// LocalReport returns what this gateway reports.
func (s *Shares) LocalReport(now time.Time) Usage {
	s.settle(now)
	return shorten(s.own)
}

// ZoneReport returns what this gateway reports of its zone's gateways together.
func (s *Shares) ZoneReport(now time.Time) Usage {
	s.settle(now)
	return shorten(s.reported.ZoneTotals(now, s.own))
}

// ReplaceReport takes what a source said in place of what it said before. The figures belong to
// the shares afterwards.
func (s *Shares) ReplaceReport(now time.Time, source tally.Source, figures Usage) {
	s.reported.Replace(now, source, figures)
}

// shorten keeps the heaviest tenants and adds up the others. What a tenant is missing by that is
// at most the last of the heaviest at each gateway.
func shorten(figures Usage) Usage {
	keys := slices.SortedFunc(maps.Keys(figures), func(a, b Key) int {
		if a == others || b == others {
			return cmp.Compare(b, a) // the entry of the others is last
		}
		return cmp.Or(cmp.Compare(figures[b], figures[a]), cmp.Compare(a, b))
	})
	short := Usage{}
	for place, key := range keys {
		if place >= heaviest {
			key = others
		}
		short[key] += figures[keys[place]]
	}
	for key, served := range short {
		short[key] = math.Round(served) // whole numbers travel in few bytes
	}
	return short
}

// Excess returns how far above its fair share a tenant is: 0 within it, 1 at twice as much. The
// fair share is of the service of the tenants that reports name, by their weights; tenants that no
// report names are within theirs.
func (s *Shares) Excess(now time.Time, tenant string) float64 {
	s.settle(now)
	served := s.reported.Sums(now)
	for key, own := range s.own {
		served[key] += own
	}
	delete(served, others)
	key := KeyOf(tenant)
	if len(served) < 2 || served[key] == 0 {
		return 0
	}
	var total, weights float64
	// In the order of the keys, so that rounding does not depend on the order of the map.
	for _, known := range slices.Sorted(maps.Keys(served)) {
		total += served[known]
		weights += s.weight(known)
	}
	fair := total * s.weight(key) / weights
	return max(0, served[key]/fair-1)
}

// meanOf returns the mean of the weights, 1 if there are none.
func meanOf(weights map[Key]float64) float64 {
	if len(weights) == 0 {
		return 1
	}
	sum := 0.0
	for _, key := range slices.Sorted(maps.Keys(weights)) {
		sum += weights[key]
	}
	return sum / float64(len(weights))
}

func (s *Shares) weight(key Key) float64 {
	if weight := s.weights[key]; weight > 0 {
		return weight
	}
	return s.mean
}
