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
	// mostFailing bounds the share of requests that an instance is believed to fail: it has to be
	// tried again.
	mostFailing = 0.9
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
		ranks[candidate] = -math.Log(uniform) * d.speeds.View(now, candidate.key).Factor() * d.detour(candidate)
	}
	slices.SortFunc(candidates, func(a, b *member) int { return cmp.Compare(ranks[a], ranks[b]) })
	return candidates[:compared]
}

// loadBySpeed returns how many requests to expect at an instance: as expectedLoad does, but of what
// is over as many are expected again as its speed draws, for fast instances have more than slow
// ones. A prompt is not left for an instance that only its last report lets seem empty. The caller
// holds the lock.
func (d *Directory) loadBySpeed(now time.Time, candidate *member) float64 {
	service := candidate.instance.Service
	trusted := d.intervals.stillRunning(d.paceOf(service).durationMS())
	share := d.stableSpeed(now, candidate) / d.meanSpeed(now, service)
	usual := d.remotePerSlot(now, service) * float64(max(1, candidate.instance.Slots)) * share
	own := float64(candidate.inFlight + candidate.heldFailures(now))
	return own + trusted*float64(candidate.remote) + (1-trusted)*usual
}

// stableSpeed returns how many times as fast as usual an instance works. The caller holds the lock.
func (d *Directory) stableSpeed(now time.Time, known *member) float64 {
	return math.Exp(-d.speeds.View(now, known.key).Stable)
}

// meanSpeedLife is how long a mean of all instances' speeds is used again: stable speeds change
// over half a minute, and a mean over 10,000 instances takes a millisecond.
const meanSpeedLife = time.Second

// speedMean is the mean speed of a service's instances by their slots, as it was at a time.
type speedMean struct {
	value float64
	at    time.Time
}

// meanSpeed returns the mean of a service's stable speeds. The caller holds the lock.
func (d *Directory) meanSpeed(now time.Time, service string) float64 {
	known := d.meanSpeeds[service]
	if age := now.Sub(known.at); known.value > 0 && age >= 0 && age < meanSpeedLife {
		return known.value
	}
	sum, slots := 0.0, 0.0
	for _, listed := range d.byService[service] {
		weight := float64(max(1, listed.instance.Slots))
		sum += weight * d.stableSpeed(now, listed)
		slots += weight
	}
	known = speedMean{value: sum / max(1, slots), at: now}
	d.meanSpeeds[service] = known
	return known.value
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
	ids := []string{demand.Preferred, d.lastRun(demand.Parts)}
	for _, cached := range demand.Cached {
		ids = append(ids, cached.Instance)
	}
	return ids
}

// expectedEnd predicts how long a request takes at an instance, in milliseconds, with what it
// adds to the times of the requests that are there. It answers loads on instances of unequal
// speed: fast ones get all requests while they are calm, and as many more than slow ones under
// load as they work faster. Each time is the instance's own: what waits at a slow instance waits
// longer. The caller holds the lock.
func (d *Directory) expectedEnd(now time.Time, candidate *member, load float64, missing int, demand Demand) float64 {
	slots := max(1, candidate.instance.Slots)
	base, growth := d.usualTimes(demand.Service, slots)
	view := d.speeds.View(now, candidate.key)
	running := min(load, float64(slots))
	waiting := max(0, load-float64(slots)+1)
	reading := float64(missing) * d.paceOf(demand.Service).readingMS()
	own := base + growth*running + reading
	others := running * (growth + reading)
	if !demand.Generates {
		own, others = base+growth*running, load
	}
	queue := waiting * (base + growth*float64(slots)) / float64(slots)
	lost := 1 - min(mostFailing, view.Failing)
	return view.Factor()*(own+others+queue)/lost + view.Refusing*milliseconds(fullPause)
}

// usualTimes returns how long a request takes on an instance of usual speed without others, and by
// how much longer for each one there, in milliseconds. The caller holds the lock.
func (d *Directory) usualTimes(service string, slots int) (base, growth float64) {
	if base, growth, ok := d.modelOf(service).Times(slots); ok {
		return base, growth
	}
	duration := d.paceOf(service).durationMS()
	return duration, duration / float64(slots)
}

// modelOf returns what is known of a service apart from its instances' speeds. The caller holds
// the lock.
func (d *Directory) modelOf(service string) *instancespeed.Model {
	known := d.models[service]
	if known == nil {
		known = instancespeed.NewModel()
		d.models[service] = known
	}
	return known
}

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
