package backend

import (
	"math"
	"time"
)

// This file handles many gateways whose load reports arrive less often than requests take. Most
// reported requests have then finished, and the instance that looks least loaded is the one whose
// report is most wrong. Programs that follow such differences leave the instances that hold their
// prompts, and find the same load at the next instance.

// reportGain is the weight of a new interval in the mean interval between reports: the last fifty
// count, which cover a few seconds of all sources together.
const reportGain = 0.02

// reportIntervals holds the mean intervals between load reports. It is a pure value.
type reportIntervals struct {
	// neighbours and zones are the mean intervals between two reports of one gateway of the same
	// zone, and of one other zone, in milliseconds.
	neighbours, zones mean
}

// observe adds the time since the previous report of the same source.
func (r *reportIntervals) observe(source LoadSource, since time.Duration) {
	if source.Zone != "" {
		r.zones.add(milliseconds(since), reportGain)
		return
	}
	r.neighbours.add(milliseconds(since), reportGain)
}

// age returns the mean age of reported loads, in milliseconds. A zone's report contains what its
// gateways last reported to each other, which is as old as reports are here.
func (r *reportIntervals) age() float64 {
	return (r.neighbours.valueOr(0) + r.zones.valueOr(0)) / 2
}

// fractionRunning returns the fraction of the reported requests that are still running, given their
// mean duration in milliseconds.
func (r *reportIntervals) fractionRunning(durationMS float64) float64 {
	return math.Exp(-r.age() / max(1, durationMS))
}

// expectedLoad returns the expected number of requests at an instance: this gateway's own, and the
// reported ones as far as they are still running. Finished requests have made room for others,
// which are spread over the service's instances by slots. The caller must hold the lock.
func (d *Directory) expectedLoad(now time.Time, candidate *member) float64 {
	service := candidate.instance.Service
	trusted := d.intervals.fractionRunning(d.serviceSpeedOf(service).durationMS())
	usual := d.remotePerSlot(now, service) * float64(max(1, candidate.instance.Slots))
	own := float64(candidate.inFlight + candidate.heldFailures(now))
	return own + trusted*float64(candidate.remoteInFlight) + (1-trusted)*usual
}

// reportAge returns the mean age of reported loads if the demand discounts them by age, 0
// otherwise. The caller must hold the lock.
func (d *Directory) reportAge(demand Demand) time.Duration {
	if !demand.DiscountOldReports {
		return 0
	}
	return time.Duration(d.intervals.age() * float64(time.Millisecond))
}

// remotePerSlot returns the mean number of reported requests per slot of a service. It is cached
// for capacityCacheTTL, also for small services. The caller must hold the lock.
func (d *Directory) remotePerSlot(now time.Time, service string) float64 {
	sum := d.remoteSums[service]
	if age := now.Sub(sum.at); sum.slots > 0 && age >= 0 && age < capacityCacheTTL {
		return sum.perSlot()
	}
	sum = remoteSum{at: now}
	for _, listed := range d.byService[service] {
		if !listed.mayServe(now) || listed.failures > 0 {
			continue
		}
		sum.slots += max(1, listed.instance.Slots)
		sum.requests += listed.remoteInFlight
	}
	d.remoteSums[service] = sum
	return sum.perSlot()
}

// remoteSum is the sum of the reported loads over a service's instances.
type remoteSum struct {
	at              time.Time
	slots, requests int
}

func (s remoteSum) perSlot() float64 {
	return float64(s.requests) / float64(max(1, s.slots))
}
