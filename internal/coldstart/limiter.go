package coldstart

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Window is the time window of the rate limit.
	Window = time.Second
	// permitTTL is how long a permit is valid before its send, which includes the time to open a
	// connection. A process that was suspended must not send by shares that may have changed since.
	permitTTL = 400 * time.Millisecond
	// settlePeriod is how long a gateway must own a place before it uses it. During this time
	// requests may still arrive that the gateway sent before a restart or that the place's previous
	// owner sent, and the previous owner learns of the change.
	settlePeriod = 3 * time.Second
	// maxDeliveryDelay is how long a sent request without a response may still arrive after it was
	// abandoned: a machine that is briefly disconnected retransmits.
	maxDeliveryDelay = 5 * time.Second
	// unlistedTTL is how long an unlisted instance is remembered. Entries may expire while the
	// instance keeps running; one that returns under its id did not restart.
	unlistedTTL = time.Minute
)

// Permit allows one request to be sent to an instance, and identifies the place that it holds. The
// zero value is valid for instances without a limit.
type Permit struct {
	instance string
	number   uint64
}

// Limiter decides what one gateway may send to cold instances. It is a pure state machine and not
// safe for concurrent use.
type Limiter struct {
	self     uint64
	policy   Policy
	services map[string]ServiceConfig
	// memberships are the lists of gateways that were in force within settlePeriod, the latest
	// last. version counts changes of the lists and of the service configuration.
	memberships []membership
	version     uint64
	instances   map[string]*instance
	// unlisted holds the instances missing from the list, changed those that may have become cold
	// or warm since the last call of Changes.
	unlisted map[string]*instance
	changed  map[string]*instance
	// cold holds the instances that Changes last reported as cold.
	cold map[string]*instance
	// initialized is set after the first list of instances.
	initialized bool
	lastPermit  uint64
}

// ServiceConfig is the configuration of a service's cold instances.
type ServiceConfig struct {
	Limit
	// ColdPeriod is how long an instance is cold after it started.
	ColdPeriod time.Duration
}

// membership is a list of gateways and the time since when it is in force.
type membership struct {
	gateways []Gateway
	since    time.Time
}

// Entry is the registry entry of an instance.
type Entry struct {
	ID      string
	Service string
	Zone    string
	// ColdFor is how much longer the instance is cold as of the time it wrote its entry; 0 if it is
	// warm.
	ColdFor time.Duration
	// Born is the instance's start time in Unix milliseconds; 0 if unknown.
	Born uint64
}

// hasRestarted reports whether an entry belongs to a later run of the instance than the entry
// before.
func (e Entry) hasRestarted(before Entry) bool {
	return before.Born != 0 && e.Born > before.Born
}

// instance is the state of an instance.
type instance struct {
	entry Entry
	// appearedAt is when the instance started as far as known: when it first appeared or restarted;
	// zero if it was in the first list.
	appearedAt time.Time
	// reportedUntil is until when the instance is cold by its entry, or by AssumeCold.
	reportedUntil time.Time
	// unlistedSince is when the instance was first missing from the list; zero while it is listed.
	unlistedSince time.Time
	places        []heldPlace
	// cachedShare is the smallest share by any membership, computed at cachedVersion of the
	// limiter's version.
	cachedShare   int
	cachedVersion uint64
}

// heldPlace is a place held by a request.
type heldPlace struct {
	number uint64
	// sent is set once the request was passed to the connection.
	sent bool
	// freeAt is when the place becomes free; zero while the response is awaited.
	freeAt time.Time
}

// NewLimiter returns a limiter for the gateway with the given name. Without a list of gateways it
// admits no requests to cold instances.
func NewLimiter(self string, policy Policy) *Limiter {
	return &Limiter{
		self: xxhash.Sum64String(self), policy: policy,
		instances: map[string]*instance{}, unlisted: map[string]*instance{}, changed: map[string]*instance{}, cold: map[string]*instance{},
	}
}

// SetServices replaces the configuration, by service. An unchanged configuration, which is the
// usual case, is detected first, so that thousands of instances are not reexamined.
func (l *Limiter) SetServices(services map[string]ServiceConfig) {
	if maps.Equal(services, l.services) {
		return
	}
	l.services = services
	l.version++
	maps.Copy(l.changed, l.instances)
}

// SetGateways replaces the list of gateways.
func (l *Limiter) SetGateways(now time.Time, listed []Gateway) {
	gateways := slices.Clone(listed)
	for index := range gateways {
		gateways[index].hash = xxhash.Sum64String(gateways[index].Name)
	}
	slices.SortFunc(gateways, func(a, b Gateway) int { return strings.Compare(a.Name, b.Name) })
	if last := len(l.memberships) - 1; last >= 0 && slices.Equal(l.memberships[last].gateways, gateways) {
		return
	}
	l.memberships = append(l.memberships, membership{gateways: gateways, since: now})
	l.version++
	l.dropExpiredMemberships(now)
}

// dropExpiredMemberships removes lists that were replaced at least settlePeriod ago.
func (l *Limiter) dropExpiredMemberships(now time.Time) {
	for len(l.memberships) > 1 && now.Sub(l.memberships[1].since) >= settlePeriod {
		l.memberships = l.memberships[1:]
		l.version++
	}
}

// ApplyChanges applies new and changed entries, and the ids of instances that were removed from the
// list. The first call must pass all instances: they started before this process and are cold only
// if their entries say so.
func (l *Limiter) ApplyChanges(now time.Time, entries []Entry, removed []string) {
	for _, entry := range entries {
		l.upsert(now, entry)
	}
	for _, id := range removed {
		if inst := l.instances[id]; inst != nil && inst.unlistedSince.IsZero() {
			inst.unlistedSince = now
			l.unlisted[id], l.changed[id] = inst, inst
		}
	}
	for id, inst := range l.unlisted {
		if now.Sub(inst.unlistedSince) >= unlistedTTL {
			delete(l.unlisted, id)
			delete(l.changed, id)
			delete(l.instances, id)
			delete(l.cold, id)
		}
	}
	l.initialized = true
}

// upsert applies an instance's entry. Receiving the same value of ColdFor again does not restart
// the cold period, unless the entry had been missing: the instance may have restarted in the
// meantime.
func (l *Limiter) upsert(now time.Time, entry Entry) {
	inst := l.instances[entry.ID]
	isNew := inst == nil
	if isNew {
		inst = &instance{}
		l.instances[entry.ID] = inst
	}
	if l.initialized && (isNew || entry.hasRestarted(inst.entry)) {
		inst.appearedAt = now
	}
	if isNew || !inst.unlistedSince.IsZero() || inst.entry.ColdFor != entry.ColdFor {
		inst.reportedUntil = now.Add(entry.ColdFor)
	}
	inst.entry = entry
	inst.unlistedSince = time.Time{}
	delete(l.unlisted, entry.ID)
	l.changed[entry.ID] = inst
}

// AssumeCold treats the instances of a zone as just started, until their entries say otherwise.
func (l *Limiter) AssumeCold(now time.Time, zone string) {
	for _, inst := range l.instances {
		until := now.Add(l.services[inst.entry.Service].ColdPeriod)
		if inst.entry.Zone == zone && until.After(inst.reportedUntil) {
			inst.reportedUntil = until
			l.changed[inst.entry.ID] = inst
		}
	}
}

// coldUntil returns until when an instance is cold; a time in the past if it is warm.
func (l *Limiter) coldUntil(inst *instance) time.Time {
	until := inst.reportedUntil
	if startUntil := inst.appearedAt.Add(l.services[inst.entry.Service].ColdPeriod); !inst.appearedAt.IsZero() && startUntil.After(until) {
		until = startUntil
	}
	return until
}

// isLimited reports whether the service's cold instances have a rate limit.
func (l *Limiter) isLimited(service string) bool { return l.services[service].PerSecond > 0 }

func (l *Limiter) isCold(now time.Time, inst *instance) bool {
	return l.isLimited(inst.entry.Service) && now.Before(l.coldUntil(inst))
}

// Cold reports whether an instance is cold and has a rate limit.
func (l *Limiter) Cold(now time.Time, id string) bool {
	inst := l.instances[id]
	return inst != nil && l.isCold(now, inst)
}

// Admits reports whether a request may be placed on an instance.
func (l *Limiter) Admits(now time.Time, id string) bool {
	inst := l.instances[id]
	if inst == nil || !l.isCold(now, inst) {
		return true
	}
	inst.releaseExpired(now)
	return len(inst.places) < l.share(now, inst)
}

// share returns the number of an instance's places that this gateway may use: the smallest by any
// list of gateways in force within settlePeriod, and none until a list was in force for that long.
func (l *Limiter) share(now time.Time, inst *instance) int {
	l.dropExpiredMemberships(now)
	if len(l.memberships) == 0 || now.Sub(l.memberships[0].since) < settlePeriod {
		return 0
	}
	if inst.cachedVersion == l.version {
		return inst.cachedShare
	}
	bound := l.policy.MaxPerWindow(l.services[inst.entry.Service].Limit)
	inst.cachedShare, inst.cachedVersion = bound, l.version
	for _, list := range l.memberships {
		inst.cachedShare = min(inst.cachedShare, Share(list.gateways, l.self, inst.entry.ID, inst.entry.Zone, bound))
	}
	return inst.cachedShare
}

// releaseExpired frees the places whose time is over.
func (i *instance) releaseExpired(now time.Time) {
	i.places = slices.DeleteFunc(i.places, func(held heldPlace) bool {
		return !held.freeAt.IsZero() && !now.Before(held.freeAt)
	})
}

// Acquire takes a place for a request that Admits allowed. Requests to warm instances take places
// as well: they count if the instance becomes cold within the window.
func (l *Limiter) Acquire(now time.Time, id string) Permit {
	inst := l.instances[id]
	if inst == nil || !l.isLimited(inst.entry.Service) {
		return Permit{}
	}
	inst.releaseExpired(now)
	l.lastPermit++
	inst.places = append(inst.places, heldPlace{number: l.lastPermit, freeAt: now.Add(permitTTL)})
	return Permit{instance: id, number: l.lastPermit}
}

// BeginSend reports whether the request may be sent now, and marks it as sent if so. It must be
// called immediately before the send; the request must not be sent if it returns false.
func (l *Limiter) BeginSend(now time.Time, permit Permit) bool {
	held := l.placeOf(permit)
	if held == nil {
		return permit == Permit{}
	}
	if !now.Before(held.freeAt) {
		return false
	}
	held.sent, held.freeAt = true, time.Time{}
	return true
}

// placeOf returns the place that a permit holds, nil if it holds none.
func (l *Limiter) placeOf(permit Permit) *heldPlace {
	inst := l.instances[permit.instance]
	if inst == nil {
		return nil
	}
	index := slices.IndexFunc(inst.places, func(held heldPlace) bool { return held.number == permit.number })
	if index < 0 {
		return nil
	}
	return &inst.places[index]
}

// ResponseStarted records that the response to a request has started, so the request must have
// arrived before.
func (l *Limiter) ResponseStarted(now time.Time, permit Permit) {
	if held := l.placeOf(permit); held != nil && held.freeAt.IsZero() {
		held.freeAt = now.Add(Window)
	}
}

// Abandon records that a request was given up, whether it was sent or not.
func (l *Limiter) Abandon(now time.Time, permit Permit) {
	held := l.placeOf(permit)
	switch {
	case held == nil:
	case !held.sent:
		l.Release(permit)
	case held.freeAt.IsZero():
		held.freeAt = now.Add(maxDeliveryDelay + Window)
	}
}

// Release frees a permit's place immediately: the request was not sent, or it reached another
// instance that now has the address.
func (l *Limiter) Release(permit Permit) {
	if inst := l.instances[permit.instance]; inst != nil {
		inst.places = slices.DeleteFunc(inst.places, func(held heldPlace) bool { return held.number == permit.number })
	}
}

// NextFreePlace returns the time until this gateway has a free place on a cold instance of the
// service, and false if it has no places on any.
func (l *Limiter) NextFreePlace(now time.Time, service string) (time.Duration, bool) {
	next, found := time.Duration(0), false
	for _, inst := range l.instances {
		if inst.entry.Service != service || !inst.unlistedSince.IsZero() || !l.isCold(now, inst) {
			continue
		}
		share := l.share(now, inst)
		if share == 0 {
			continue
		}
		if wait := min(inst.untilFree(now, share), l.coldUntil(inst).Sub(now)); !found || wait < next {
			next, found = wait, true
		}
	}
	return next, found
}

// untilFree returns the time until fewer than share places are held. A request whose response is
// awaited is assumed to hold its place for the window, which is the minimum.
func (i *instance) untilFree(now time.Time, share int) time.Duration {
	i.releaseExpired(now)
	if len(i.places) < share {
		return 0
	}
	var waits []time.Duration
	for _, held := range i.places {
		wait := Window
		if !held.freeAt.IsZero() {
			wait = held.freeAt.Sub(now)
		}
		waits = append(waits, wait)
	}
	slices.Sort(waits)
	return waits[len(waits)-share]
}
