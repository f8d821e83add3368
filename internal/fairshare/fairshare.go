// Package fairshare computes how far tenants are above their fair share of a service while slots
// are short. It tracks the slot time recently given to each tenant, over all gateways.
//
// It protects against a tenant that sends many times its usual load within its limit: without fair
// shares its programs take the slots of all others. Programs of tenants above their share are
// started after those of other tenants. No capacity is reserved: a share that its tenant does not
// use is available to others, and unused shares do not accumulate.
//
// Shares does no I/O and reads no clock: the time is passed to each call. It is not safe for
// concurrent use.
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
	// window is the time constant of the recorded usage: several times the delay of reports to all
	// gateways, and about the duration of a program.
	window = 2 * time.Second
	// reportTTL is how long the last report of a gateway counts.
	reportTTL = 2 * time.Second
	// maxReportedTenants is how many tenants a report contains; all others are summed in one entry.
	maxReportedTenants = 12
	// minUsage is the usage below which a tenant is dropped.
	minUsage = time.Millisecond
)

// Key identifies a tenant in reports: the lower half of a hash of its name. Among 10,000 tenants
// two have the same key with a probability of about 1 in 90; they are treated as one tenant.
type Key uint32

// otherTenants is the key of the sum over the tenants that are not in a report.
const otherTenants Key = 0

// KeyOf returns a tenant's key.
func KeyOf(tenant string) Key { return max(1, Key(xxhash.Sum64String(tenant))) }

// Usage is slot time by tenant, in milliseconds, as contained in reports.
type Usage = map[Key]float64

// Shares tracks the slot time used by tenants.
type Shares struct {
	// own is the usage at this gateway, decayed exponentially up to decayedAt.
	own       Usage
	decayedAt time.Time
	// reports holds the reports of other gateways.
	reports *tally.Tally[Key]
	// weights are the configured weights of tenants.
	weights map[Key]float64
	// defaultWeight is the weight of tenants without a configured one.
	defaultWeight float64
}

// New returns shares without any usage.
func New() *Shares {
	return &Shares{own: Usage{}, reports: tally.New[Key](reportTTL), defaultWeight: 1}
}

// SetWeights replaces the weights of tenants. Tenants without a weight get the mean of the given
// ones.
func (s *Shares) SetWeights(weights map[string]float64) {
	s.weights = make(map[Key]float64, len(weights))
	for tenant, weight := range weights {
		s.weights[KeyOf(tenant)] = weight
	}
	s.defaultWeight = meanOf(s.weights)
}

// RecordUsage records the slot time of a request of the tenant.
func (s *Shares) RecordUsage(now time.Time, tenant string, slotTime time.Duration) {
	s.decay(now)
	s.own[KeyOf(tenant)] += milliseconds(slotTime)
}

// decay applies the decay of the usage up to now.
func (s *Shares) decay(now time.Time) {
	elapsed := now.Sub(s.decayedAt)
	if elapsed <= 0 {
		return
	}
	s.decayedAt = now
	remaining := math.Exp(-elapsed.Seconds() / window.Seconds())
	for key, usage := range s.own {
		if usage *= remaining; usage < milliseconds(minUsage) {
			delete(s.own, key)
		} else {
			s.own[key] = usage
		}
	}
}

func milliseconds(span time.Duration) float64 { return span.Seconds() * 1000 }

// LocalReport returns the report of this gateway.
func (s *Shares) LocalReport(now time.Time) Usage {
	s.decay(now)
	return truncate(s.own)
}

// ZoneReport returns the report of this gateway's zone, over all its gateways.
func (s *Shares) ZoneReport(now time.Time) Usage {
	s.decay(now)
	return truncate(s.reports.ZoneTotals(now, s.own))
}

// ReplaceReport replaces the previous report of the source. It takes ownership of usage.
func (s *Shares) ReplaceReport(now time.Time, source tally.Source, usage Usage) {
	s.reports.Replace(now, source, usage)
}

// truncate keeps the tenants with the highest usage and sums up the others. The error for an
// omitted tenant is at most the smallest usage kept, at each gateway.
func truncate(usage Usage) Usage {
	keys := slices.SortedFunc(maps.Keys(usage), func(a, b Key) int {
		if a == otherTenants || b == otherTenants {
			return cmp.Compare(b, a) // the sum of other tenants sorts last
		}
		return cmp.Or(cmp.Compare(usage[b], usage[a]), cmp.Compare(a, b))
	})
	result := Usage{}
	for i, key := range keys {
		if i >= maxReportedTenants {
			key = otherTenants
		}
		result[key] += usage[keys[i]]
	}
	for key, total := range result {
		result[key] = math.Round(total) // integers encode in fewer bytes
	}
	return result
}

// Excess returns how far a tenant is above its fair share: 0 within it, 1 at twice the share. The
// fair share is the tenant's weighted part of the usage of all reported tenants. Tenants that are
// not reported are within their share.
func (s *Shares) Excess(now time.Time, tenant string) float64 {
	s.decay(now)
	usage := s.reports.Sums(now)
	for key, local := range s.own {
		usage[key] += local
	}
	delete(usage, otherTenants)
	key := KeyOf(tenant)
	if len(usage) < 2 || usage[key] == 0 {
		return 0
	}
	var total, weights float64
	// Sum in the order of the keys, so that rounding does not depend on the order of the map.
	for _, k := range slices.Sorted(maps.Keys(usage)) {
		total += usage[k]
		weights += s.weight(k)
	}
	fairUsage := total * s.weight(key) / weights
	return max(0, usage[key]/fairUsage-1)
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
	return s.defaultWeight
}
