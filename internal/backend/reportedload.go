package backend

import (
	"math"
	"time"
)

// The load pattern that this file answers: many gateways, each of which hears of a neighbour's
// requests more seldom than those take. What is reported of an instance is then mostly over,
// and the instance that looks emptiest is the one whose report errs most. Programs that follow
// such differences leave the instances that hold their prompts, and find as many requests at
// the next one.

// reportGain is the weight of a new interval in the mean interval between reports: the last
// fifty count, which are a few seconds of all sources together.
const reportGain = 0.02

// reportIntervals is how often sources of load reports are heard of. It is a pure value.
type reportIntervals struct {
	// neighbours and zones are the mean intervals between two reports of one gateway of the
	// own zone, and of one other zone, in milliseconds.
	neighbours, zones mean
}

// heard notes the time since the report before of the same source.
func (r *reportIntervals) heard(source LoadSource, since time.Duration) {
	if source.Zone != "" {
		r.zones.add(milliseconds(since), reportGain)
		return
	}
	r.neighbours.add(milliseconds(since), reportGain)
}

// age returns how old reported loads are on average, in milliseconds. A zone's report holds
// what its gateways last heard of each other, which is as old as it is here.
func (r *reportIntervals) age() float64 {
	return (r.neighbours.or(0) + r.zones.or(0)) / 2
}

// stillRunning returns the share of the reported requests that are still under way, where they
// take the given time in milliseconds on average.
func (r *reportIntervals) stillRunning(durationMS float64) float64 {
	return math.Exp(-r.age() / max(1, durationMS))
}

// expectedLoad returns how many requests to expect at an instance: this gateway's own as they
// are, and those reported as far as they are still under way. What is over made room for
// others, which are as likely at any instance of the service by its slots. The caller holds
// the lock.
func (d *Directory) expectedLoad(now time.Time, candidate *member) float64 {
	service := candidate.instance.Service
	trusted := d.intervals.stillRunning(d.paceOf(service).durationMS())
	usual := d.remotePerSlot(now, service) * float64(max(1, candidate.instance.Slots))
	own := float64(candidate.inFlight + candidate.heldFailures(now))
	return own + trusted*float64(candidate.remote) + (1-trusted)*usual
}

// reportsAge returns how old reported loads are on average, where a placement goes by that. The
// caller holds the lock.
func (d *Directory) reportsAge(demand Demand) time.Duration {
	if !demand.DiscountOldReports {
		return 0
	}
	return time.Duration(d.intervals.age() * float64(time.Millisecond))
}

// remotePerSlot returns the mean of the reported requests at a slot of a service. It is summed
// again each capacityLife only, also where the service is small. The caller holds the lock.
func (d *Directory) remotePerSlot(now time.Time, service string) float64 {
	known := d.remotes[service]
	if age := now.Sub(known.at); known.slots > 0 && age >= 0 && age < capacityLife {
		return known.perSlot()
	}
	known = remoteSum{at: now}
	for _, listed := range d.byService[service] {
		if !listed.mayServe(now) || listed.failures > 0 {
			continue
		}
		known.slots += max(1, listed.instance.Slots)
		known.requests += listed.remote
	}
	d.remotes[service] = known
	return known.perSlot()
}

// remoteSum is a sum of what other gateways report over a service's instances.
type remoteSum struct {
	at              time.Time
	slots, requests int
}

func (s remoteSum) perSlot() float64 {
	return float64(s.requests) / float64(max(1, s.slots))
}
