package backend

import (
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/coldstart"
	"swiftbank.dev/swiftbank/internal/place"
)

// The predicted cost of a placement is in milliseconds. What depends on how fast the
// instances work is learned (pace); these are prices of the network path.
const (
	// connectCost is a new connection: a round trip, the instance's time for it, and a
	// place among the connections that the instance accepts from all gateways.
	connectCost = 5.0
	// sampleSize bounds the instances that one placement compares, besides those that are
	// likely; up to nearShare of them come from the own zone first, and up to regionShare
	// from the own region.
	sampleSize  = 24
	nearShare   = sampleSize / 2
	regionShare = sampleSize * 3 / 4
	// failureCost is what each recent failure of an instance adds: one failure in
	// passing moves little, an instance that fails time and again is left alone.
	failureCost = 40.0
	// fullPause is how long an instance that refused for lack of room is avoided.
	fullPause = 40 * time.Millisecond
)

// PromptPart is one part of a prompt, which requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// CachedPrompt says that an instance holds a prompt up to some tokens of one of its parts.
type CachedPrompt struct {
	Instance string
	// Born is the start of the instance's life in which it took the prompt; 0 where that is not
	// known.
	Born uint64
	// PartIndex is the index of the part in the prompt, Tokens how many of it are held. All
	// parts before it are held as well.
	PartIndex int
	Tokens    int
}

// Demand is what a request needs.
type Demand struct {
	Service string
	// Generates is true for model engines.
	Generates bool
	// PromptParts are the parts of the prompt, in order.
	PromptParts []PromptPart
	// CachedPrompts is what instances hold of the prompt as reported by earlier requests, which
	// other gateways may have served.
	CachedPrompts []CachedPrompt
	// Preferred is the instance that ran the previous turn, or "".
	Preferred string
	// Pinned is the instance that alone may get the request as long as it is listed; "" leaves
	// the choice open. While its zone is evacuated nothing may get the request.
	Pinned string
	// Exclude lists instances that were tried.
	Exclude []string
	// Homes limits the regions whose instances may get the request.
	Homes place.Homes
	// Priority is the rank of the request's route; 0 is the most urgent.
	Priority int
	// ByExpectedEnd places the request where it is expected to end soonest, by the speeds of the
	// single instances that all gateways learn together.
	ByExpectedEnd bool
	// DiscountOldReports says that what other gateways report of instances counts less the older it is.
	DiscountOldReports bool
}

// Choice is where a request goes and why.
type Choice struct {
	Instance Instance
	PickedAt time.Time
	// Load is the requests believed to be there, Cost the predicted cost in ms.
	Load int
	Cost float64
	// ExpectedLoad is the load as far as the reports' age lets it be told, ReportsAge the mean age of
	// those reports; both are set where the demand asked for it.
	ExpectedLoad float64
	ReportAge    time.Duration
	// UncachedTokens is how many prompt tokens it has to read by what is believed here.
	UncachedTokens int
	// Candidates is how many instances were compared.
	Candidates int
	// member is what is believed of the instance, in the life in which it was chosen.
	member *member
	// permit is the leave to send there once, where the instance's service limits that.
	permit coldstart.Permit
	// byExpectedEnd is set on placements by the speeds of single instances: their ends are
	// learned from.
	byExpectedEnd bool
}

// Pick chooses the instance with the least predicted cost and counts the request
// there. The caller must call End. It reports false when there is no instance that
// may get new work.
func (d *Directory) Pick(now time.Time, demand Demand) (Choice, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reportColdIfDue(now)
	choice := Choice{PickedAt: now, byExpectedEnd: demand.ByExpectedEnd}
	// Where all instances work alike, loads and prompts decide.
	demand.ByExpectedEnd = demand.ByExpectedEnd && !d.spreadOf(now, demand.Service).alike
	candidates := d.candidates(now, demand)
	if demand.ByExpectedEnd {
		candidates = d.finalists(now, candidates, demand)
	}
	if len(candidates) == 0 {
		return Choice{}, false
	}
	var best *member
	choice.Candidates = len(candidates)
	for _, candidate := range candidates { // of equals the first one, which differs each time
		load := candidate.load(now)
		expected := float64(load)
		switch {
		case demand.DiscountOldReports && demand.ByExpectedEnd:
			expected = d.loadBySpeed(now, candidate)
		case demand.DiscountOldReports:
			expected = d.expectedLoad(now, candidate)
		}
		cost, missing := d.cost(now, candidate, expected, demand)
		if best == nil || cost < choice.Cost {
			best = candidate
			choice.Load, choice.ExpectedLoad, choice.Cost, choice.UncachedTokens = load, expected, cost, missing
		}
	}
	best.inFlight++
	d.inFlight[best.instance.Service]++
	d.loaded[best.instance.ID] = best
	select {
	case d.placed <- struct{}{}:
	default:
	}
	choice.member = best
	choice.ReportAge = d.reportsAge(demand)
	best.cache.add(now, demand.PromptParts)
	d.remember(best.instance.ID, demand.PromptParts)
	choice.Instance = best.instance
	choice.permit = d.cold.Acquire(now, best.instance.ID)
	return choice, true
}

// candidates returns a bounded sample of the instances that may get the request, in an
// order that differs each time. Of a large service these are the ones that probably hold
// parts of the prompt, those with an idle connection here, and others in turn, those of
// the own zone first: a gateway with few requests thus keeps to few instances. Leaving and
// excluded ones are left out, suspected ones too unless there are no others.
func (d *Directory) candidates(now time.Time, demand Demand) []*member {
	d.samples++
	picked := sample{now: now, demand: demand, number: d.samples, places: d.network.places, cold: d.cold}
	if only := d.members[demand.Pinned]; only != nil {
		picked.add(only) // while it leaves there is none: it may still be at work on the request
		return append(picked.sound, picked.suspected...)
	}
	all, near := d.byService[demand.Service], d.near[demand.Service]
	if len(all) > sampleSize {
		for _, id := range d.likely(demand) {
			picked.add(d.members[id])
		}
		picked.addInTurn(near, d.firstOf(len(near)), nearShare)
		region := d.regional[demand.Service]
		picked.addInTurn(region, d.firstOf(len(region)), regionShare)
	}
	picked.addInTurn(all, d.firstOf(len(all)), sampleSize)
	if len(picked.sound) == 0 && len(picked.suspected) == 0 && picked.withheld {
		d.withheld()
	}
	if len(picked.sound) == 0 {
		return picked.suspected
	}
	return picked.sound
}

// likely returns the instances that probably hold parts of the prompt, and those with an
// idle connection here.
func (d *Directory) likely(demand Demand) []string {
	ids := d.holders(demand)
	if d.idle != nil {
		ids = append(ids, d.idle()...)
	}
	return ids
}

// sample gathers candidates for one placement.
type sample struct {
	now    time.Time
	demand Demand
	places place.Map
	// number marks the instances that were looked at.
	number           uint64
	sound, suspected []*member
	cold             *coldstart.Limiter
	// withheld is set if a cold instance was left out that has no free place.
	withheld bool
}

// add takes an instance if it may get the request.
func (s *sample) add(known *member) {
	if known == nil || known.sampled == s.number || known.instance.Service != s.demand.Service {
		return
	}
	known.sampled = s.number
	switch {
	case !known.mayServe(s.now) || slices.Contains(s.demand.Exclude, known.instance.ID):
	case !s.demand.isHome(known, s.places): // no overflow to other regions: the data stays at its homes
	case !s.cold.Admits(s.now, known.instance.ID):
		s.withheld = true
	case s.now.Before(known.avoidUntil):
		s.suspected = append(s.suspected, known)
	default:
		s.sound = append(s.sound, known)
	}
}

// addInTurn takes instances from the given place on until there are so many.
func (s *sample) addInTurn(all []*member, first, most int) {
	for step := range all {
		if len(s.sound) >= most {
			return
		}
		s.add(all[(first+step)%len(all)])
	}
}

// firstOf returns where the next placement begins among so many instances. The places
// are spread evenly whatever their number, and differently at each gateway: otherwise
// all gateways would give what is equal to the same instances.
func (d *Directory) firstOf(count int) int {
	if count == 0 {
		return 0
	}
	return int(d.nextMixed() % uint64(count))
}

// nextMixed returns the next of this gateway's pseudorandom numbers.
func (d *Directory) nextMixed() uint64 {
	d.turn++
	// The steps of splitmix64 (Steele, Lea, Flood: Fast Splittable Pseudorandom Number
	// Generators, 2014).
	mixed := d.seed + d.turn*0x9e3779b97f4a7c15
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// remember notes where the parts of a prompt were used last.
func (d *Directory) remember(id string, parts []PromptPart) {
	const most = 16384
	if len(d.ranLast) > most {
		clear(d.ranLast)
	}
	for _, part := range parts {
		d.ranLast[part.ID] = id
	}
}

// lastRun returns the instance that had the newest known part of the prompt.
func (d *Directory) lastRun(parts []PromptPart) string {
	for _, part := range slices.Backward(parts) {
		if id, known := d.ranLast[part.ID]; known {
			return id
		}
	}
	return ""
}

// cost predicts what a placement costs, in milliseconds, and the tokens to be read.
func (d *Directory) cost(now time.Time, candidate *member, load float64, demand Demand) (float64, int) {
	cost := failureCost * candidate.recentFailures(now)
	connected := d.connected == nil || d.connected(candidate.instance.ID)
	cost += d.network.cost(candidate.instance.Zone, connected)
	missing := d.missing(now, candidate, demand)
	if d.cold.Cold(now, candidate.instance.ID) {
		cost += d.coldCost(demand, missing)
	}
	if demand.ByExpectedEnd {
		return cost + d.expectedEnd(now, candidate, load, missing, demand), missing
	}
	known := d.paceOf(demand.Service)
	slots := float64(max(1, candidate.instance.Slots))
	waiting := max(0, load-slots+1)
	cost += (max(candidate.slowness.factor(now), d.toldSlowness(now, candidate)) - 1) * known.durationMS()
	if !demand.Generates {
		return cost + load + known.durationMS()*waiting, 0
	}
	running := min(load, slots)
	// Each request there reads its prompt between the steps of the others: this one waits
	// for theirs, and all wait for this one's.
	cost += running * known.readTokens() * known.readingMS()
	cost += (1 + running) * float64(missing) * known.readingMS()
	return cost + waiting*known.durationMS()/slots, missing
}

// missing returns the prompt tokens that the instance would have to read.
func (d *Directory) missing(now time.Time, candidate *member, demand Demand) int {
	missing := min(candidate.cache.missing(now, demand.PromptParts), demand.missingAt(candidate.instance))
	if candidate.instance.ID == demand.Preferred && len(demand.PromptParts) > 0 && !demand.knowsEarlierLife(candidate.instance) {
		missing = min(missing, demand.PromptParts[len(demand.PromptParts)-1].Tokens)
	}
	return missing
}

// missingAt returns the tokens that an instance would have to read as reported by
// earlier requests.
func (d Demand) missingAt(instance Instance) int {
	total := 0
	for _, part := range d.PromptParts {
		total += part.Tokens
	}
	missing := total
	for _, cached := range d.CachedPrompts {
		if !cached.isIn(instance) {
			continue
		}
		behind := 0
		for _, part := range d.PromptParts[cached.PartIndex+1:] {
			behind += part.Tokens
		}
		missing = min(missing, behind+max(0, d.PromptParts[cached.PartIndex].Tokens-cached.Tokens))
	}
	return missing
}

// isIn reports whether the prompt is held by the instance in its present life.
func (c CachedPrompt) isIn(instance Instance) bool {
	return c.Instance == instance.ID && (c.Born == 0 || instance.Born == 0 || c.Born == instance.Born)
}

// knowsEarlierLife reports whether the program's turns left prompts at the instance in an
// earlier life of it, and none in the present one.
func (d Demand) knowsEarlierLife(instance Instance) bool {
	earlier := false
	for _, cached := range d.CachedPrompts {
		if cached.isIn(instance) {
			return false
		}
		earlier = earlier || cached.Instance == instance.ID
	}
	return earlier
}
