package backend

import (
	"time"

	"swiftbank.dev/swiftbank/internal/coldstart"
)

const (
	// coldCostShare is the cost of placing a request of the highest priority on a cold instance, as
	// a fraction of the service's mean request duration; a request of priority n pays 1/(1+n) of
	// that. It is lower than the cost of one more request on a warm instance: cold instances must
	// get as many requests as they can take, or the warm ones have to serve them.
	coldCostShare = 0.06
	// coldReadShare is the fraction of the time to read the uncached prompt tokens that is added to
	// the cost: among equally loaded instances, a long prompt goes to a warm one.
	coldReadShare = 0.1
)

// ColdObserver receives the directory's events about cold instances. Its methods are called with
// the directory locked and must not call back.
type ColdObserver interface {
	// ColdChanged reports that an instance became cold or warm, ColdCount the number of cold
	// instances.
	ColdChanged(change coldstart.Change)
	ColdCount(cold int)
	// ColdSent counts a request sent to a cold instance, ColdWithheld a request that could be
	// placed only on cold instances on which this gateway has no free place.
	ColdSent()
	ColdWithheld()
}

// LimitColdStarts makes the directory enforce the rate limits of cold instances as one of the
// fleet's gateways. It must be called before the first ApplyChanges.
func (d *Directory) LimitColdStarts(gateway string, policy coldstart.Policy, observer ColdObserver) {
	d.cold, d.coldObserver = coldstart.NewLimiter(gateway, policy), observer
}

// SetColdServices replaces the configuration of cold instances, by service.
func (d *Directory) SetColdServices(now time.Time, services map[string]coldstart.ServiceConfig) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cold.SetServices(services)
	d.reportCold(now)
}

// SetGateways replaces the list of gateways, including this one, that share the places of cold
// instances.
func (d *Directory) SetGateways(now time.Time, gateways []coldstart.Gateway) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cold.SetGateways(now, gateways)
}

// updateCold passes added, changed and removed entries to the limiter. The caller must hold the
// lock.
func (d *Directory) updateCold(now time.Time, listed []Instance, removed []string) {
	entries := make([]coldstart.Entry, 0, len(listed))
	for _, instance := range listed {
		entries = append(entries, coldstart.Entry{
			ID: instance.ID, Service: instance.Service, Zone: instance.Zone, ColdFor: instance.ColdFor, Born: instance.Born,
		})
	}
	d.cold.ApplyChanges(now, entries, removed)
	d.reportCold(now)
}

// reportCold passes changes since the last call to the observer. The caller must hold the lock.
func (d *Directory) reportCold(now time.Time) {
	changes, cold := d.cold.Changes(now)
	d.nextColdChange = d.cold.NextChange()
	if d.coldObserver == nil {
		return
	}
	d.coldObserver.ColdCount(cold)
	for _, change := range changes {
		d.coldObserver.ColdChanged(change)
	}
}

// reportColdIfDue calls reportCold once the next instance is due to become warm. The caller must
// hold the lock.
func (d *Directory) reportColdIfDue(now time.Time) {
	if !d.nextColdChange.IsZero() && !now.Before(d.nextColdChange) {
		d.reportCold(now)
	}
}

// reportWithheld counts a placement that found no instance because cold instances had no free
// place.
func (d *Directory) reportWithheld() {
	if d.coldObserver != nil {
		d.coldObserver.ColdWithheld()
	}
}

// MaySend reports whether a request may still be sent to the instance chosen by Pick. It must be
// called immediately before the send, because the process may have been suspended since Pick.
func (d *Directory) MaySend(now time.Time, choice Choice) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.cold.BeginSend(now, choice.permit) {
		return false
	}
	if d.coldObserver != nil && d.cold.Cold(now, choice.Instance.ID) {
		d.coldObserver.ColdSent()
	}
	return true
}

// ResponseStarted records that the response to a request has started.
func (d *Directory) ResponseStarted(now time.Time, choice Choice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cold.ResponseStarted(now, choice.permit)
}

// Misdirected records that a request reached a different instance, which now has the address and
// rejected it.
func (d *Directory) Misdirected(choice Choice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cold.Release(choice.permit)
}

// Abandon records that the response to a request is no longer awaited, or that the request was
// never sent.
func (d *Directory) Abandon(now time.Time, choice Choice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cold.Abandon(now, choice.permit)
}

// AllCold reports whether a service has instances that may get new requests and all of them are
// cold. If so, wait is the time until this gateway has a free place on one of them; hasShare is
// false if it has no places on any.
func (d *Directory) AllCold(now time.Time, service string) (wait time.Duration, hasShare, allCold bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	serving := 0
	for _, m := range d.byService[service] {
		if !m.mayServe(now) {
			continue
		}
		if !d.cold.Cold(now, m.instance.ID) {
			return 0, false, false
		}
		serving++
	}
	wait, hasShare = d.cold.NextFreePlace(now, service)
	return wait, hasShare, serving > 0
}

// coldCost returns the cost of choosing a cold instance, in milliseconds.
func (d *Directory) coldCost(demand Demand, uncached int) float64 {
	speed := d.serviceSpeedOf(demand.Service)
	return coldCostShare*speed.durationMS()/float64(1+demand.Priority) + coldReadShare*float64(uncached)*speed.tokenMS()
}
