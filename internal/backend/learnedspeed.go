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
		Kind: seen.Kind, Unit: time.Duration(unit * float64(time.Millisecond)), Took: seen.Took,
		Load: seen.Load, Slots: known.instance.Slots, Believed: d.speeds.View(now, known.key),
	})
	d.speeds.Observe(now, known.key, slower, weight)
}

// learnEnd adds a failure or a refusal to what is known of an instance. The caller holds the lock.
func (d *Directory) learnEnd(now time.Time, known *member, ended Ended) {
	switch ended {
	case Failed, Unreachable:
		d.speeds.Failed(now, known.key)
	case Full:
		d.speeds.Refused(now, known.key)
	}
}

// Sign is the first sign of life that is expected of a request's instance: its first event, or its
// answer if it is no stream.
type Sign struct {
	// Within is how long it may take before that tells that the instance is slow; 0 where
	// instances' speeds are not learned.
	Within time.Duration
	// slower is what the expectation rests on, weight how much it tells if it fails.
	slower, weight float64
}

// ExpectSign returns the sign of life that is expected of a request that goes out now.
func (d *Directory) ExpectSign(now time.Time, choice Choice, streams bool) Sign {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.chosen(choice)
	if known == nil || !choice.byExpectedEnd {
		return Sign{}
	}
	service := known.instance.Service
	base, growth := d.usualTimes(service, known.instance.Slots)
	sign := Sign{slower: max(0, d.speeds.View(now, known.key).Slower()), weight: plainWeight}
	expected := base + growth*float64(choice.Load)
	if streams {
		expected = d.paceOf(service).firstMS() + float64(choice.Missing)*d.paceOf(service).readingMS()
		sign.weight = streamWeight
	}
	within := max(overdueLeast, overdueFactor*expected*math.Exp(sign.slower))
	sign.Within = time.Duration(within * float64(time.Millisecond))
	return sign
}

// Overdue notes that a request has been without a sign of life for so many times as long as one is
// expected within: gateways must not wait for its end to learn that the instance is slow at the
// moment.
func (d *Directory) Overdue(now time.Time, choice Choice, sign Sign, times float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.chosen(choice); known != nil {
		d.speeds.Overdue(now, known.key, sign.slower+math.Log(overdueFactor*times), sign.weight)
	}
}

// SpeedReporters returns how many other sources tell of the instances' speeds.
func (d *Directory) SpeedReporters() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.speeds.Reporters()
}

// SpeedReport returns what this gateway tells of the instances' speeds, or what its whole zone has
// observed.
func (d *Directory) SpeedReport(now time.Time, wholeZone bool, most int) []instancespeed.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if wholeZone {
		return d.speeds.Zone(now, most)
	}
	return d.speeds.Own(now, most)
}

// TakeSpeeds applies what others told of the instances' speeds.
func (d *Directory) TakeSpeeds(now time.Time, source tally.Source, version tally.Version, entries []instancespeed.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.speeds.Take(now, source, version, entries)
}

// SpeedOf is what is believed of an instance's speed.
type SpeedOf struct {
	Instance, Service string
	Believed          instancespeed.View
	// Reporters is how many other sources the belief may rest on.
	Reporters int
}

// Speeds returns what is believed of all instances that there are observations of, in the order of
// their services and from fast to slow.
func (d *Directory) Speeds(now time.Time) []SpeedOf {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.speeds.Known() == 0 {
		return nil
	}
	var all []SpeedOf
	for id, known := range d.members {
		if view := d.speeds.View(now, known.key); view.Weight > 0 {
			all = append(all, SpeedOf{Instance: id, Service: known.instance.Service, Believed: view, Reporters: d.speeds.Reporters()})
		}
	}
	slices.SortFunc(all, func(a, b SpeedOf) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Believed.Slower(), b.Believed.Slower()), cmp.Compare(a.Instance, b.Instance))
	})
	return all
}
