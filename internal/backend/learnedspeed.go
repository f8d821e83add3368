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
	// streamWeight and plainWeight are how much a request tells of its instance's speed: the
	// pause between two events varies little from stream to stream, the time of whole answers
	// much.
	streamWeight = 1.0
	plainWeight  = 0.3
	// overdueFactor times the time expected of an instance is how long a request may go without a
	// sign of life before that counts against the instance; a wait of overdueLeast (ms) never does.
	overdueFactor = 2.5
	overdueLeast  = 20.0
)

// learnSpeed adds a request to what is known of its instance's speed. The caller holds the lock.
func (d *Directory) learnSpeed(now time.Time, known *member, seen Observation) {
	unit, ok := seen.unit()
	if !ok {
		return
	}
	weight := plainWeight
	if seen.Events > 0 {
		weight = streamWeight
	}
	slower := d.modelOf(known.instance.Service).Observe(now, instancespeed.Sample{
		Kind: seen.Kind, UnitTime: time.Duration(unit * float64(time.Millisecond)), Duration: seen.Duration,
		Load: seen.Load, Slots: known.instance.Slots, Estimate: d.speeds.Estimate(now, known.key),
	})
	d.speeds.Observe(now, known.key, slower, weight)
}

// learnEnd adds a failure or a refusal to what is known of an instance. The caller holds the lock.
func (d *Directory) learnEnd(now time.Time, known *member, ended Outcome) {
	switch ended {
	case Failed, Unreachable:
		d.speeds.ObserveFailure(now, known.key)
	case Full:
		d.speeds.ObserveRefusal(now, known.key)
	}
}

// ResponseExpectation is the first sign of life that is expected of a request's instance: its first event, or its
// answer if it is no stream.
type ResponseExpectation struct {
	// OverdueAfter is how long it may take before that tells that the instance is slow; 0 where
	// instances' speeds are not learned.
	OverdueAfter time.Duration
	// slower is what the expectation rests on, weight how much it tells if it fails.
	slower, weight float64
}

// ExpectResponse returns the sign of life that is expected of a request that goes out now.
func (d *Directory) ExpectResponse(now time.Time, choice Choice, streams bool) ResponseExpectation {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.chosen(choice)
	if known == nil || !choice.byExpectedEnd {
		return ResponseExpectation{}
	}
	service := known.instance.Service
	base, growth := d.usualTimes(service, known.instance.Slots)
	sign := ResponseExpectation{slower: max(0, d.speeds.Estimate(now, known.key).LogSlowdown()), weight: plainWeight}
	expected := base + growth*float64(choice.Load)
	if streams {
		expected = d.paceOf(service).firstMS() + float64(choice.UncachedTokens)*d.paceOf(service).readingMS()
		sign.weight = streamWeight
	}
	within := max(overdueLeast, overdueFactor*expected*math.Exp(sign.slower))
	sign.OverdueAfter = time.Duration(within * float64(time.Millisecond))
	return sign
}

// ObserveOverdue notes that a request has been without a sign of life for so many times as long as one is
// expected within: gateways must not wait for its end to learn that the instance is slow at the
// moment.
func (d *Directory) ObserveOverdue(now time.Time, choice Choice, sign ResponseExpectation, times float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.chosen(choice); known != nil {
		d.speeds.ObserveOverdue(now, known.key, sign.slower+math.Log(overdueFactor*times), sign.weight)
	}
}

// SpeedSources returns how many other sources tell of the instances' speeds.
func (d *Directory) SpeedSources() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.speeds.SourceCount()
}

// SpeedReport returns what this gateway tells of the instances' speeds, or what its whole zone has
// observed.
func (d *Directory) SpeedReport(now time.Time, wholeZone bool, most int) []instancespeed.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if wholeZone {
		return d.speeds.ZoneEntries(now, most)
	}
	return d.speeds.LocalEntries(now, most)
}

// ApplySpeedReport applies what others told of the instances' speeds.
func (d *Directory) ApplySpeedReport(now time.Time, source tally.Source, version tally.Version, entries []instancespeed.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.speeds.ApplyReport(now, source, version, entries)
}

// InstanceSpeed is what is believed of an instance's speed.
type InstanceSpeed struct {
	Instance, Service string
	Estimate          instancespeed.Estimate
	// Sources is how many other sources the belief may rest on.
	Sources int
}

// Speeds returns what is believed of all instances that there are observations of, in the order of
// their services and from fast to slow.
func (d *Directory) Speeds(now time.Time) []InstanceSpeed {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.speeds.InstanceCount() == 0 {
		return nil
	}
	var all []InstanceSpeed
	for id, known := range d.members {
		if view := d.speeds.Estimate(now, known.key); view.Weight > 0 {
			all = append(all, InstanceSpeed{Instance: id, Service: known.instance.Service, Estimate: view, Sources: d.speeds.SourceCount()})
		}
	}
	slices.SortFunc(all, func(a, b InstanceSpeed) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Estimate.LogSlowdown(), b.Estimate.LogSlowdown()), cmp.Compare(a.Instance, b.Instance))
	})
	return all
}
