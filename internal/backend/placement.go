package backend

import (
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/coldstart"
	"swiftbank.dev/swiftbank/internal/place"
)

// The predicted cost of a placement is in milliseconds. The costs of the instances' work are
// learned (serviceSpeed); the constants here are costs of the network path and of failures.
const (
	// connectCost is the cost of a new connection: a round trip, the instance's time to accept it,
	// and one of the limited connections that the instance accepts from all gateways.
	connectCost = 5.0
	// sampleSize bounds the instances that one placement compares, in addition to
	// preferredCandidates. Up to sameZoneSample of them come from the gateway's zone first, and up
	// to sameRegionSample from its region.
	sampleSize       = 24
	sameZoneSample   = sampleSize / 2
	sameRegionSample = sampleSize * 3 / 4
	// failureCost is the cost of each recent failure of an instance: a single failure has little
	// effect, an instance that fails repeatedly is avoided.
	failureCost = 40.0
	// fullBackoff is how long an instance that refused a request for lack of capacity is avoided.
	fullBackoff = 40 * time.Millisecond
)

// PromptPart is a part of a prompt, which several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// CachedPrompt records that an instance has cached a prompt up to some tokens of one of its parts.
type CachedPrompt struct {
	Instance string
	// Born is the start time of the instance's run that processed the prompt; 0 if unknown.
	Born uint64
	// PartIndex is the index of the part in the prompt, Tokens the number of its tokens that are
	// cached. All earlier parts are cached as well.
	PartIndex int
	Tokens    int
}

// Demand holds the placement requirements of a request.
type Demand struct {
	// RequestID is the id under which the request is sent; a connection that carried it cannot carry it again.
	RequestID string
	Service   string
	// Generates is set for requests to model engines.
	Generates bool
	// PromptParts are the parts of the prompt, in order.
	PromptParts []PromptPart
	// CachedPrompts are the parts of the prompt that instances have cached according to earlier
	// requests, which other gateways may have served.
	CachedPrompts []CachedPrompt
	// Preferred is the instance that ran the previous turn, or "".
	Preferred string
	// Pinned is the only instance that may get the request as long as it is listed; "" allows any.
	// While its zone is evacuated, no instance may get the request.
	Pinned string
	// Version is the software version that the instance must run; "" allows any.
	Version string
	// IsWithheld reports whether an instance that refused the request cannot be asked again now; nil withholds none.
	IsWithheld func(instance string) bool
	// Exclude lists instances that were already tried.
	Exclude []string
	// Homes limits the regions whose instances may get the request.
	Homes place.Homes
	// Priority is the rank of the request's route; 0 is the most urgent.
	Priority int
	// ByExpectedEnd places the request where it is expected to complete first, using the instance
	// speeds that all gateways learn together.
	ByExpectedEnd bool
	// EndsBehind is the number of instances that ended, or may have ended, under the request.
	EndsBehind int
	// DiscountOldReports discounts the load reports of other gateways by their age.
	DiscountOldReports bool
}

// Choice is the instance chosen for a request, with the estimates behind the choice.
type Choice struct {
	Instance Instance
	PickedAt time.Time
	// Load is the estimated number of requests on the instance, Cost the predicted cost in
	// milliseconds.
	Load int
	Cost float64
	// ExpectedLoad is the load after reports are discounted by age, ReportAge the mean age of those
	// reports. They are set only for demands with DiscountOldReports.
	ExpectedLoad float64
	ReportAge    time.Duration
	// UncachedTokens is the estimated number of prompt tokens that the instance has to read.
	UncachedTokens int
	// Candidates is the number of instances that were compared.
	Candidates int
	// member is the member in the run of the instance for which it was chosen.
	member *member
	// permit allows one send to the instance if its service limits cold starts.
	permit coldstart.Permit
	// suspect is set if instances ended under the request before.
	suspect bool
	// byExpectedEnd is set if the demand asked for ByExpectedEnd: the instance's speed is learned
	// from the request.
	byExpectedEnd bool
}

// Pick chooses the instance with the lowest predicted cost and counts the request there. It reports
// false if no instance may get the request. After a successful Pick the caller must call End or
// EndFailed.
func (d *Directory) Pick(now time.Time, demand Demand) (Choice, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reportColdIfDue(now)
	choice := Choice{PickedAt: now, byExpectedEnd: demand.ByExpectedEnd}
	// Among homogeneous instances only load and cached prompts matter.
	demand.ByExpectedEnd = demand.ByExpectedEnd && !d.spreadOf(now, demand.Service).homogeneous
	candidates := d.candidates(now, demand)
	if demand.ByExpectedEnd {
		candidates = d.shortlist(now, candidates, demand)
	}
	if len(candidates) == 0 {
		return Choice{}, false
	}
	var best *member
	choice.Candidates = len(candidates)
	for _, candidate := range candidates { // the first of equals wins; the order differs each time
		load := candidate.load(now)
		expected := float64(load)
		switch {
		case demand.DiscountOldReports && demand.ByExpectedEnd:
			expected = d.expectedLoadBySpeed(now, candidate)
		case demand.DiscountOldReports:
			expected = d.expectedLoad(now, candidate)
		}
		cost, uncached := d.cost(now, candidate, expected, demand)
		if best == nil || cost < choice.Cost {
			best = candidate
			choice.Load, choice.ExpectedLoad, choice.Cost, choice.UncachedTokens = load, expected, cost, uncached
		}
	}
	best.inFlight++
	if demand.EndsBehind > 0 {
		best.suspects++
		choice.suspect = true
	}
	d.inFlight[best.instance.Service]++
	d.loaded[best.instance.ID] = best
	select {
	case d.placed <- struct{}{}:
	default:
	}
	choice.member = best
	choice.ReportAge = d.reportAge(demand)
	best.cache.add(now, demand.PromptParts)
	d.recordInstance(best.instance.ID, demand.PromptParts)
	choice.Instance = best.instance
	choice.permit = d.cold.Acquire(now, best.instance.ID)
	return choice, true
}

// candidates returns a bounded sample of the instances that may get the request, in an order that
// differs each time. For a large service these are the preferred candidates, and others in
// round-robin order, starting with the gateway's zone: a gateway with few requests thus uses few
// instances. Leaving and excluded instances are omitted, suspected ones too unless there are no
// others.
func (d *Directory) candidates(now time.Time, demand Demand) []*member {
	d.samples++
	sampled := sample{now: now, demand: demand, number: d.samples, places: d.network.places, cold: d.cold}
	sampled.scarceVersions = d.versionsOf(now, demand.Service).scarce
	if pinned := d.pinnedMember(demand); pinned != nil {
		sampled.add(pinned) // no fallback while it is leaving: it may still be running the request
		return append(sampled.healthy, sampled.suspected...)
	}
	all, near := d.byService[demand.Service], d.sameZone[demand.Service]
	if len(all) > sampleSize {
		for _, id := range d.preferredCandidates(demand) {
			sampled.add(d.members[id])
		}
		sampled.addRoundRobin(near, d.startIndex(len(near)), sameZoneSample)
		region := d.sameRegion[demand.Service]
		sampled.addRoundRobin(region, d.startIndex(len(region)), sameRegionSample)
	}
	sampled.addRoundRobin(all, d.startIndex(len(all)), sampleSize)
	if len(sampled.healthy) == 0 && len(sampled.suspected) == 0 && sampled.coldWithheld {
		d.reportWithheld()
	}
	if len(sampled.healthy) == 0 {
		return sampled.suspected
	}
	return sampled.healthy
}

// pinnedMember returns the only instance that may get the request, nil if any may. An instance that
// has changed its software version no longer runs what it was pinned for. The caller must hold the lock.
func (d *Directory) pinnedMember(demand Demand) *member {
	pinned := d.members[demand.Pinned]
	if pinned == nil || !demand.allowsVersionOf(pinned) {
		return nil
	}
	return pinned
}

// preferredCandidates returns the instances that probably hold parts of the prompt, and those with
// an idle connection.
func (d *Directory) preferredCandidates(demand Demand) []string {
	ids := d.promptHolders(demand)
	if d.idle != nil {
		ids = append(ids, d.idle()...)
	}
	return ids
}

// sample collects the candidates for one placement.
type sample struct {
	now    time.Time
	demand Demand
	places place.Map
	// number is the placement's number; it marks the instances that were considered.
	number             uint64
	healthy, suspected []*member
	cold               *coldstart.Limiter
	// scarceVersions are the software versions that only few slots run.
	scarceVersions map[string]bool
	// coldWithheld is set if a cold instance was omitted because it has no free place.
	coldWithheld bool
}

// add adds an instance if it may get the request.
func (s *sample) add(m *member) {
	if m == nil || m.lastSample == s.number || m.instance.Service != s.demand.Service || !s.demand.allowsVersionOf(m) {
		return
	}
	m.lastSample = s.number
	switch {
	case !m.mayServe(s.now) || slices.Contains(s.demand.Exclude, m.instance.ID):
	case s.demand.IsWithheld != nil && s.demand.IsWithheld(m.instance.ID):
	case !s.demand.isHome(m, s.places): // no overflow to other regions: data must stay in its home regions
	case !s.cold.Admits(s.now, m.instance.ID):
		s.coldWithheld = true
	case s.now.Before(m.avoidUntil) || s.isReserved(m):
		s.suspected = append(s.suspected, m)
	default:
		s.healthy = append(s.healthy, m)
	}
}

// addRoundRobin adds instances, starting at the index first, until there are limit healthy
// candidates.
func (s *sample) addRoundRobin(all []*member, first, limit int) {
	for step := range all {
		if len(s.healthy) >= limit {
			return
		}
		s.add(all[(first+step)%len(all)])
	}
}

// startIndex returns the index at which the next placement starts in a list of count instances. The
// indexes are uniformly distributed for any count and differ between gateways: otherwise all
// gateways would choose the same ones among equal instances.
func (d *Directory) startIndex(count int) int {
	if count == 0 {
		return 0
	}
	return int(d.nextRandom() % uint64(count))
}

// nextRandom returns the next pseudorandom number of this gateway.
func (d *Directory) nextRandom() uint64 {
	d.sequence++
	// The steps of splitmix64 (Steele, Lea, Flood: Fast Splittable Pseudorandom Number
	// Generators, 2014).
	mixed := d.seed + d.sequence*0x9e3779b97f4a7c15
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// recordInstance records the instance that processes the parts of a prompt.
func (d *Directory) recordInstance(id string, parts []PromptPart) {
	const maxEntries = 16384
	if len(d.lastInstances) > maxEntries {
		clear(d.lastInstances)
	}
	for _, part := range parts {
		d.lastInstances[part.ID] = id
	}
}

// lastInstanceOf returns the instance that last processed the latest known part of the prompt, or
// "".
func (d *Directory) lastInstanceOf(parts []PromptPart) string {
	for _, part := range slices.Backward(parts) {
		if id, found := d.lastInstances[part.ID]; found {
			return id
		}
	}
	return ""
}

// cost predicts the cost of a placement in milliseconds, and the number of prompt tokens to be
// read.
func (d *Directory) cost(now time.Time, candidate *member, load float64, demand Demand) (float64, int) {
	cost := failureCost * candidate.recentFailures(now)
	connected := d.connected == nil || d.connected(candidate.instance.ID, demand.RequestID)
	cost += d.network.cost(candidate.instance.Zone, connected)
	uncached := d.uncachedTokens(now, candidate, demand)
	if d.cold.Cold(now, candidate.instance.ID) {
		cost += d.coldCost(demand, uncached)
	}
	if demand.EndsBehind > 0 || candidate.suspects > 0 {
		cost += d.containmentCost(candidate, load, demand)
	}
	if demand.ByExpectedEnd {
		return cost + d.expectedCompletion(now, candidate, load, uncached, demand), uncached
	}
	speed := d.serviceSpeedOf(demand.Service)
	slots := float64(max(1, candidate.instance.Slots))
	waiting := max(0, load-slots+1)
	cost += (max(candidate.slowness.slowdown(now), d.sharedSlowdown(now, candidate)) - 1) * speed.durationMS()
	if !demand.Generates {
		return cost + load + speed.durationMS()*waiting, 0
	}
	running := min(load, slots)
	// Prompt reading alternates with the steps of running requests: this request waits for
	// the prompts of the others, and all of them wait for its prompt.
	cost += running * speed.meanUncachedTokens() * speed.tokenMS()
	cost += (1 + running) * float64(uncached) * speed.tokenMS()
	return cost + waiting*speed.durationMS()/slots, uncached
}

// uncachedTokens returns the estimated number of prompt tokens that the instance would have to
// read.
func (d *Directory) uncachedTokens(now time.Time, candidate *member, demand Demand) int {
	uncached := min(candidate.cache.uncachedTokens(now, demand.PromptParts), demand.uncachedTokensAt(candidate.instance))
	if candidate.instance.ID == demand.Preferred && len(demand.PromptParts) > 0 && !demand.cachedInEarlierRunOnly(candidate.instance) {
		uncached = min(uncached, demand.PromptParts[len(demand.PromptParts)-1].Tokens)
	}
	return uncached
}

// uncachedTokensAt returns the number of prompt tokens that an instance would have to read
// according to earlier requests.
func (d Demand) uncachedTokensAt(instance Instance) int {
	total := 0
	for _, part := range d.PromptParts {
		total += part.Tokens
	}
	uncached := total
	for _, cached := range d.CachedPrompts {
		if !cached.isHeldBy(instance) {
			continue
		}
		after := 0
		for _, part := range d.PromptParts[cached.PartIndex+1:] {
			after += part.Tokens
		}
		uncached = min(uncached, after+max(0, d.PromptParts[cached.PartIndex].Tokens-cached.Tokens))
	}
	return uncached
}

// isHeldBy reports whether the instance, in its current run, has cached the prompt.
func (c CachedPrompt) isHeldBy(instance Instance) bool {
	return c.Instance == instance.ID && (c.Born == 0 || instance.Born == 0 || c.Born == instance.Born)
}

// cachedInEarlierRunOnly reports whether earlier requests cached prompts at the instance only
// before its restart.
func (d Demand) cachedInEarlierRunOnly(instance Instance) bool {
	earlier := false
	for _, cached := range d.CachedPrompts {
		if cached.isHeldBy(instance) {
			return false
		}
		earlier = earlier || cached.Instance == instance.ID
	}
	return earlier
}
