package backend

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// comparedAtOnce is how many instances are compared besides those that may hold the prompt.
	// The loads that gateways tell each other are older than a request takes: if each of many
	// gateways chose the best of all instances, all would choose the same few until the next
	// reports.
	comparedAtOnce = 2
	// comparedCalm is that number while less than a part in calmShare of the service's slots is in
	// use: there the speed of an instance counts, and hardly its load.
	comparedCalm = 6
	// detourOfZone and detourOfConnection are how many times less often an instance of another
	// zone, or without an idle connection, is drawn.
	detourOfZone       = 2.0
	detourOfConnection = 2.0
)

// finalists returns the instances that may hold parts of the prompt, and the best of a few others.
// These are drawn with a probability in proportion to their speed, and compared by what is reported
// of them. It answers loads that come through many gateways, whose placements would otherwise
// follow the same reports. The caller holds the lock.
func (d *Directory) finalists(now time.Time, candidates []*member, demand Demand) []*member {
	holders := d.holders(demand)
	var finalists, others []*member
	for _, candidate := range candidates {
		if slices.Contains(holders, candidate.instance.ID) {
			finalists = append(finalists, candidate)
		} else {
			others = append(others, candidate)
		}
	}
	var best *member
	least := math.Inf(1)
	for _, candidate := range d.draw(now, others, demand) {
		if cost, _ := d.cost(now, candidate, float64(candidate.load(now)), demand); cost < least {
			best, least = candidate, cost
		}
	}
	if best != nil {
		finalists = append(finalists, best)
	}
	return finalists
}

// draw returns a few of the candidates, the fast and near ones more often. The caller holds the
// lock.
func (d *Directory) draw(now time.Time, candidates []*member, demand Demand) []*member {
	compared := comparedAtOnce
	if slots, busy := d.slotsOf(now, demand.Service); busy*calmShare < slots {
		compared = comparedCalm
	}
	if len(candidates) <= compared {
		return candidates
	}
	// The least of exponential numbers with rates in proportion to speed.
	ranks := make(map[*member]float64, len(candidates))
	for _, candidate := range candidates {
		uniform := (float64(d.nextMixed()>>uniformShift) + 1) / uniformRange
		ranks[candidate] = -math.Log(uniform) * d.speeds.Estimate(now, candidate.key).Slowdown() * d.detour(candidate)
	}
	slices.SortFunc(candidates, func(a, b *member) int { return cmp.Compare(ranks[a], ranks[b]) })
	return candidates[:compared]
}

// detour returns how many times less often an instance is drawn for the way to it: what crosses
// zones, and each connection that is opened, takes from what others have. The caller holds the
// lock.
func (d *Directory) detour(candidate *member) float64 {
	times := 1.0
	if candidate.instance.Zone != d.zone {
		times *= detourOfZone
	}
	if d.connected != nil && !d.connected(candidate.instance.ID) {
		times *= detourOfConnection
	}
	return times
}

// uniformRange is how many numbers in (0, 1] are told apart: as many as a float64 holds.
const (
	uniformRange = 1 << 53
	uniformShift = 64 - 53
)

// holders returns the instances that may hold parts of the prompt. The caller holds the lock.
func (d *Directory) holders(demand Demand) []string {
	ids := []string{demand.Preferred, d.lastRun(demand.PromptParts)}
	for _, cached := range demand.CachedPrompts {
		ids = append(ids, cached.Instance)
	}
	return ids
}
