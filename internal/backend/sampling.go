package backend

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// sampledUnderLoad is how many instances are compared in addition to those that may hold the
	// prompt. Load reports are older than a request takes: if each of many gateways chose the best
	// of all instances, all would choose the same few until the next reports.
	sampledUnderLoad = 2
	// sampledAtLowLoad is that number while less than 1/lowLoadDivisor of the service's slots are
	// in use: the speed of an instance matters more than its load there.
	sampledAtLowLoad = 6
	// otherZonePenalty and noConnectionPenalty are the factors by which an instance of another
	// zone, or without an idle connection, is less likely to be sampled.
	otherZonePenalty    = 2.0
	noConnectionPenalty = 2.0
)

// shortlist returns the candidates that may hold parts of the prompt, and the best of a few others.
// Those are sampled with a probability proportional to their speed and compared by their reported
// load. Random sampling is needed because all gateways act on the same load reports and would
// otherwise choose the same instances. The caller must hold the lock.
func (d *Directory) shortlist(now time.Time, candidates []*member, demand Demand) []*member {
	holders := d.promptHolders(demand)
	var shortlisted, others []*member
	for _, candidate := range candidates {
		if slices.Contains(holders, candidate.instance.ID) {
			shortlisted = append(shortlisted, candidate)
		} else {
			others = append(others, candidate)
		}
	}
	var best *member
	lowest := math.Inf(1)
	for _, candidate := range d.weightedSample(now, others, demand) {
		if cost, _ := d.cost(now, candidate, float64(candidate.load(now)), demand); cost < lowest {
			best, lowest = candidate, cost
		}
	}
	if best != nil {
		shortlisted = append(shortlisted, best)
	}
	return shortlisted
}

// weightedSample returns a few of the candidates, with a preference for fast and near ones. The
// caller must hold the lock.
func (d *Directory) weightedSample(now time.Time, candidates []*member, demand Demand) []*member {
	size := sampledUnderLoad
	if slots, busy := d.slotsOf(now, demand.Service); busy*lowLoadDivisor < slots {
		size = sampledAtLowLoad
	}
	if len(candidates) <= size {
		return candidates
	}
	// Weighted sampling without replacement: the smallest of exponentially distributed numbers whose
	// rates are proportional to speed.
	ranks := make(map[*member]float64, len(candidates))
	for _, candidate := range candidates {
		uniform := (float64(d.nextRandom()>>uniformShift) + 1) / uniformRange
		ranks[candidate] = -math.Log(uniform) * d.speeds.Estimate(now, candidate.key).Slowdown() * d.samplingPenalty(candidate, demand)
	}
	slices.SortFunc(candidates, func(a, b *member) int { return cmp.Compare(ranks[a], ranks[b]) })
	return candidates[:size]
}

// samplingPenalty returns the factor by which an instance is less likely to be sampled because of
// its network path: traffic between zones and new connections use resources that other requests
// share. The caller must hold the lock.
func (d *Directory) samplingPenalty(candidate *member, demand Demand) float64 {
	penalty := 1.0
	if candidate.instance.Zone != d.zone {
		penalty *= otherZonePenalty
	}
	if d.connected != nil && !d.connected(candidate.instance.ID, demand.RequestID) {
		penalty *= noConnectionPenalty
	}
	return penalty
}

// uniformRange is the number of distinct values in (0, 1]: as many as the mantissa of a float64
// holds.
const (
	uniformRange = 1 << 53
	uniformShift = 64 - 53
)

// promptHolders returns the instances that may hold parts of the prompt. The caller must hold the
// lock.
func (d *Directory) promptHolders(demand Demand) []string {
	ids := []string{demand.Preferred, d.lastInstanceOf(demand.PromptParts)}
	for _, cached := range demand.CachedPrompts {
		ids = append(ids, cached.Instance)
	}
	return ids
}
