package backend

import (
	"cmp"
	"math"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/instancespeed"
	"swiftbank.dev/swiftbank/internal/tally"
)

const (
	// streamWeight and plainWeight are the weights of a request in its instance's speed: the
	// interval between two events varies little from stream to stream, the duration of whole
	// responses varies much.
	streamWeight = 1.0
	plainWeight  = 0.3
	// overdueFactor is the multiple of the instance's expected time after which a request without a
	// response counts against the instance; a wait shorter than minOverdueMS never does.
	overdueFactor = 2.5
	minOverdueMS  = 20.0
)

// learnSpeed adds a request to the speed statistics of its instance. The caller must hold the lock.
func (d *Directory) learnSpeed(now time.Time, m *member, observed Observation) {
	unit, ok := observed.unitTimeMS()
	if !ok {
		return
	}
	weight := plainWeight
	if observed.Events > 0 {
		weight = streamWeight
	}
	logSlowdown := d.modelOf(m.instance.Service).Observe(now, instancespeed.Sample{
		Kind: observed.Kind, UnitTime: time.Duration(unit * float64(time.Millisecond)), Duration: observed.Duration,
		Load: observed.Load, Slots: m.instance.Slots, Estimate: d.speeds.Estimate(now, m.key),
	})
	d.speeds.Observe(now, m.key, logSlowdown, weight)
}

// learnOutcome adds a failure or a refusal to the statistics of an instance. The caller must hold
// the lock.
func (d *Directory) learnOutcome(now time.Time, m *member, outcome Outcome) {
	switch outcome {
	case Failed, Unreachable:
		d.speeds.ObserveFailure(now, m.key)
	case Full:
		d.speeds.ObserveRefusal(now, m.key)
	}
}

// ResponseExpectation is the expected first response of an instance to a request: the first event
// of a stream, or the whole response otherwise.
type ResponseExpectation struct {
	// OverdueAfter is the time after which a missing response shows that the instance is slow; 0 if
	// instance speeds are not learned for the request.
	OverdueAfter time.Duration
	// logSlowdown is the instance's slowdown that the expectation assumes, weight the weight of the
	// observation if the response is overdue.
	logSlowdown, weight float64
}

// ExpectResponse returns the expected first response to a request that is sent now.
func (d *Directory) ExpectResponse(now time.Time, choice Choice, streams bool) ResponseExpectation {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.memberOf(choice)
	if m == nil || !choice.byExpectedEnd {
		return ResponseExpectation{}
	}
	service := m.instance.Service
	base, growth := d.baselineTimes(service, m.instance.Slots)
	expectation := ResponseExpectation{logSlowdown: max(0, d.speeds.Estimate(now, m.key).LogSlowdown()), weight: plainWeight}
	expected := base + growth*float64(choice.Load)
	if streams {
		expected = d.serviceSpeedOf(service).firstEventMS() + float64(choice.UncachedTokens)*d.serviceSpeedOf(service).tokenMS()
		expectation.weight = streamWeight
	}
	within := max(minOverdueMS, overdueFactor*expected*math.Exp(expectation.logSlowdown))
	expectation.OverdueAfter = time.Duration(within * float64(time.Millisecond))
	return expectation
}

// ObserveOverdue records that a request has had no response for the given multiple of OverdueAfter.
// Without it gateways would learn only from the end of the request that the instance is currently
// slow.
func (d *Directory) ObserveOverdue(now time.Time, choice Choice, expectation ResponseExpectation, multiple float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m := d.memberOf(choice); m != nil {
		d.speeds.ObserveOverdue(now, m.key, expectation.logSlowdown+math.Log(overdueFactor*multiple), expectation.weight)
	}
}

// SpeedSources returns the number of other gateways and zones that report instance speeds.
func (d *Directory) SpeedSources() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.speeds.SourceCount()
}

// SpeedReport returns at most limit entries of this gateway's observations of instance speeds, or
// of those of its whole zone.
func (d *Directory) SpeedReport(now time.Time, wholeZone bool, limit int) []instancespeed.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if wholeZone {
		return d.speeds.ZoneEntries(now, limit)
	}
	return d.speeds.LocalEntries(now, limit)
}

// ApplySpeedReport applies a source's report of instance speeds.
func (d *Directory) ApplySpeedReport(now time.Time, source tally.Source, version tally.Version, entries []instancespeed.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.speeds.ApplyReport(now, source, version, entries)
}

// InstanceSpeed is the estimated speed of an instance.
type InstanceSpeed struct {
	Instance, Service string
	Estimate          instancespeed.Estimate
	// Sources is the number of other gateways and zones whose reports the estimate may include.
	Sources int
}

// Speeds returns the estimates of all instances with observations, sorted by service and then from
// fast to slow.
func (d *Directory) Speeds(now time.Time) []InstanceSpeed {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.speeds.InstanceCount() == 0 {
		return nil
	}
	var all []InstanceSpeed
	for id, m := range d.members {
		if estimate := d.speeds.Estimate(now, m.key); estimate.Weight > 0 {
			all = append(all, InstanceSpeed{Instance: id, Service: m.instance.Service, Estimate: estimate, Sources: d.speeds.SourceCount()})
		}
	}
	slices.SortFunc(all, func(a, b InstanceSpeed) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Estimate.LogSlowdown(), b.Estimate.LogSlowdown()), cmp.Compare(a.Instance, b.Instance))
	})
	return all
}
