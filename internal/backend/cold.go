package backend

import (
	"time"

	"swiftbank.dev/swiftbank/internal/coldstart"
)

const (
	// coldShare is the part of a usual request's time that a placement on a cold instance
	// costs the most urgent kind of request; the n-th kind below it pays an n-th of that. It
	// is less than one more request on a warm instance costs: cold instances must get what
	// they withstand, or the warm ones have to serve it.
	coldShare = 0.06
	// coldReading is the part of the time to read the missing prompt tokens that is added: of
	// instances with the same load, a long prompt goes to a warm one.
	coldReading = 0.1
)

// ColdObserver is told what the directory believes of cold instances. It is called with the
// directory locked and must not call back.
type ColdObserver interface {
	// ColdChanged says that an instance became cold or warm, ColdCount how many are cold.
	ColdChanged(change coldstart.Change)
	ColdCount(cold int)
	// ColdSent counts a request to a cold instance, ColdWithheld one for which no instance
	// was found but cold ones in which this gateway has no free place.
	ColdSent()
	ColdWithheld()
}

// LimitColdStarts makes the directory keep what cold instances withstand as one of the
// fleet's gateways. It must be called before the first Update.
func (d *Directory) LimitColdStarts(gateway string, policy coldstart.Policy, observer ColdObserver) {
	d.cold, d.coldObserver = coldstart.NewLimiter(gateway, policy), observer
}

// SetColdServices replaces what the configuration says of cold instances, by service.
func (d *Directory) SetColdServices(now time.Time, services map[string]coldstart.ServiceConfig) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cold.SetServices(services)
	d.reportCold(now)
}

// SetGateways replaces the list of gateways, this one included, among which the places of
// cold instances are divided.
func (d *Directory) SetGateways(now time.Time, gateways []coldstart.Gateway) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cold.SetGateways(now, gateways)
}

// listCold tells the gate of entries that are listed, and of instances that the list lacks. The
// caller holds the lock.
func (d *Directory) listCold(now time.Time, listed []Instance, lacking []string) {
	entries := make([]coldstart.Entry, 0, len(listed))
	for _, instance := range listed {
		entries = append(entries, coldstart.Entry{
			ID: instance.ID, Service: instance.Service, Zone: instance.Zone, ColdFor: instance.ColdFor, Born: instance.Born,
		})
	}
	d.cold.ApplyChanges(now, entries, lacking)
	d.reportCold(now)
}

// reportCold tells the observer what changed. The caller holds the lock.
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

// reportColdIfDue calls reportCold once the next instance is due to become warm. The caller holds the lock.
func (d *Directory) reportColdIfDue(now time.Time) {
	if !d.nextColdChange.IsZero() && !now.Before(d.nextColdChange) {
		d.reportCold(now)
	}
}

// withheld notes a placement that found no instance for want of a place.
func (d *Directory) withheld() {
	if d.coldObserver != nil {
		d.coldObserver.ColdWithheld()
	}
}

// MaySend reports whether a request may be sent now by a choice made before, and must be asked
// just before the send: the process may have been suspended since.
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

// ResponseStarted notes that the answer to a request begins.
func (d *Directory) ResponseStarted(now time.Time, choice Choice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cold.ResponseStarted(now, choice.permit)
}

// Misdirected notes that a request went to another instance, which has the address now and
// refused it.
func (d *Directory) Misdirected(choice Choice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cold.Release(choice.permit)
}

// Abandon notes that no answer to a request is awaited any more, or that it was never sent.
func (d *Directory) Abandon(now time.Time, choice Choice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cold.Abandon(now, choice.permit)
}

// AllCold reports whether a service has instances that may get new work, and all of them
// are cold. If so, wait is when one of them has a place for this gateway, and shared is false
// if none ever has.
func (d *Directory) AllCold(now time.Time, service string) (wait time.Duration, shared, only bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	serving := 0
	for _, known := range d.byService[service] {
		if !known.mayServe(now) {
			continue
		}
		if !d.cold.Cold(now, known.instance.ID) {
			return 0, false, false
		}
		serving++
	}
	wait, shared = d.cold.NextFreePlace(now, service)
	return wait, shared, serving > 0
}

// coldCost returns the price of choosing a cold instance, in milliseconds.
func (d *Directory) coldCost(demand Demand, missing int) float64 {
	known := d.paceOf(demand.Service)
	return coldShare*known.durationMS()/float64(1+demand.Priority) + coldReading*float64(missing)*known.readingMS()
}
