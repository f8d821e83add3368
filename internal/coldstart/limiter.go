package coldstart

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Window is the span in which requests are counted.
	Window = time.Second
	// permitLife is how long a permit may wait for its send, a new connection included. A
	// process that was suspended must not send by shares that may have moved since.
	permitLife = 400 * time.Millisecond
	// settleTime is how long a gateway must have been entitled to a place before it uses it:
	// the window in which what it sent before a restart, or what the place's earlier holder
	// sent, may still arrive, and the time in which the holder hears of the change.
	settleTime = 3 * time.Second
	// unansweredTime is how long a send without an answer may still arrive after it was given
	// up: a machine that is cut off for moments retransmits what it was given.
	unansweredTime = 5 * time.Second
	// forgetTime is how long an unlisted instance is remembered. Entries also lapse while the
	// instance runs on; one that comes back under its id did not start again.
	forgetTime = time.Minute
)

// Permit allows one request to be sent to an instance, and names the place that it holds. The zero value is for instances
// without a limit.
type Permit struct {
	instance string
	number   uint64
}

// Limiter decides what one gateway may send to cold instances. It is a pure state machine and
// not safe for concurrent use.
type Limiter struct {
	self   uint64
	policy Policy
	limits map[string]ServiceConfig
	// rosters are the lists of gateways in force within settleTime, the newest last; version
	// counts their changes, and those of the limits.
	rosters   []roster
	version   uint64
	instances map[string]*instance
	// missing are those that the list lacks, changed those that may have become cold or warm
	// since the last call of Changes.
	missing map[string]*instance
	changed map[string]*instance
	// cold are the instances last reported as cold by Changes.
	cold map[string]*instance
	// listed is set once there was a list of instances.
	listed  bool
	permits uint64
}

// ServiceConfig is what the configuration says of a service.
type ServiceConfig struct {
	Limit
	// ColdPeriod is how long an instance is cold after it started.
	ColdPeriod time.Duration
}

// roster is a list of gateways and since when it is in force.
type roster struct {
	gateways []Gateway
	since    time.Time
}

// Entry is an instance as it is listed.
type Entry struct {
	ID      string
	Service string
	Zone    string
	// ColdFor is how much longer it is cold as it says; 0 says that it is not.
	ColdFor time.Duration
	// Born is when it started, in Unix milliseconds; 0 where it does not say.
	Born uint64
}

// startedAgain reports whether an entry is of a later life of the instance.
func (e Entry) startedAgain(before Entry) bool {
	return before.Born != 0 && e.Born > before.Born
}

// instance is what is known of an instance.
type instance struct {
	entry Entry
	// startedAt is when it first appeared; zero if it stood in the first list.
	startedAt time.Time
	// saidUntil is until when it is cold by its entry, or by what AssumeCold assumed.
	saidUntil time.Time
	// missingSince is when the list began to lack it; zero while it is listed.
	missingSince time.Time
	places       []heldPlace
	// leastShare is the least share by any roster, computed at shareVersion of the gate.
	leastShare   int
	shareVersion uint64
}

// heldPlace is a place that a send holds.
type heldPlace struct {
	number uint64
	// sent is set once the request was handed to the connection.
	sent bool
	// freeAt is when it is free again; zero while an answer is awaited.
	freeAt time.Time
}

// NewLimiter returns a gate of the named gateway that knows nothing, and thus lets nothing go to
// cold instances.
func NewLimiter(self string, policy Policy) *Limiter {
	return &Limiter{
		self: xxhash.Sum64String(self), policy: policy,
		instances: map[string]*instance{}, missing: map[string]*instance{}, changed: map[string]*instance{}, cold: map[string]*instance{},
	}
}

// SetServices replaces what the configuration says, by service. Most configurations say the same
// as the one before, and none of thousands of instances becomes cold or warm by them.
func (g *Limiter) SetServices(services map[string]ServiceConfig) {
	if maps.Equal(services, g.limits) {
		return
	}
	g.limits = services
	g.version++
	maps.Copy(g.changed, g.instances)
}

// SetGateways replaces the list of gateways.
func (g *Limiter) SetGateways(now time.Time, listed []Gateway) {
	gateways := slices.Clone(listed)
	for index := range gateways {
		gateways[index].hash = xxhash.Sum64String(gateways[index].Name)
	}
	slices.SortFunc(gateways, func(a, b Gateway) int { return strings.Compare(a.Name, b.Name) })
	if last := len(g.rosters) - 1; last >= 0 && slices.Equal(g.rosters[last].gateways, gateways) {
		return
	}
	g.rosters = append(g.rosters, roster{gateways: gateways, since: now})
	g.version++
	g.dropRosters(now)
}

// dropRosters forgets lists that were replaced longer than settleTime ago.
func (g *Limiter) dropRosters(now time.Time) {
	for len(g.rosters) > 1 && now.Sub(g.rosters[1].since) >= settleTime {
		g.rosters = g.rosters[1:]
		g.version++
	}
}

// ApplyChanges takes entries that are new or changed, and the ids of instances that the list lacks now.
// The first call lists all instances: they were there before this process and are not new; they
// are cold if they say so.
func (g *Limiter) ApplyChanges(now time.Time, entries []Entry, gone []string) {
	for _, entry := range entries {
		g.hear(now, entry)
	}
	for _, id := range gone {
		if known := g.instances[id]; known != nil && known.missingSince.IsZero() {
			known.missingSince = now
			g.missing[id], g.changed[id] = known, known
		}
	}
	for id, known := range g.missing {
		if now.Sub(known.missingSince) >= forgetTime {
			delete(g.missing, id)
			delete(g.changed, id)
			delete(g.instances, id)
			delete(g.cold, id)
		}
	}
	g.listed = true
}

// hear takes an instance's entry. The same value delivered again starts nothing anew, unless
// its entry had been away: it may have started again meanwhile.
func (g *Limiter) hear(now time.Time, entry Entry) {
	known := g.instances[entry.ID]
	appeared := known == nil
	if appeared {
		known = &instance{}
		g.instances[entry.ID] = known
	}
	if g.listed && (appeared || entry.startedAgain(known.entry)) {
		known.startedAt = now
	}
	if appeared || !known.missingSince.IsZero() || known.entry.ColdFor != entry.ColdFor {
		known.saidUntil = now.Add(entry.ColdFor)
	}
	known.entry = entry
	known.missingSince = time.Time{}
	delete(g.missing, entry.ID)
	g.changed[entry.ID] = known
}

// AssumeCold takes the instances of a zone as just started, until they say otherwise.
func (g *Limiter) AssumeCold(now time.Time, zone string) {
	for _, known := range g.instances {
		until := now.Add(g.limits[known.entry.Service].ColdPeriod)
		if known.entry.Zone == zone && until.After(known.saidUntil) {
			known.saidUntil = until
			g.changed[known.entry.ID] = known
		}
	}
}

// coldUntil returns until when an instance is cold; a time in the past if it is not.
func (g *Limiter) coldUntil(known *instance) time.Time {
	until := known.saidUntil
	if started := known.startedAt.Add(g.limits[known.entry.Service].ColdPeriod); !known.startedAt.IsZero() && started.After(until) {
		until = started
	}
	return until
}

// limited reports whether a limit holds for the service's cold instances.
func (g *Limiter) limited(service string) bool { return g.limits[service].PerSecond > 0 }

func (g *Limiter) isCold(now time.Time, known *instance) bool {
	return g.limited(known.entry.Service) && now.Before(g.coldUntil(known))
}

// Cold reports whether an instance is cold and has a limit.
func (g *Limiter) Cold(now time.Time, id string) bool {
	known := g.instances[id]
	return known != nil && g.isCold(now, known)
}

// Admits reports whether a request may go to an instance.
func (g *Limiter) Admits(now time.Time, id string) bool {
	known := g.instances[id]
	if known == nil || !g.isCold(now, known) {
		return true
	}
	known.release(now)
	return len(known.places) < g.share(now, known)
}

// share returns how many places of an instance this gateway may use: the least by any list of
// gateways in force within settleTime, and none before a list was in force that long.
func (g *Limiter) share(now time.Time, known *instance) int {
	g.dropRosters(now)
	if len(g.rosters) == 0 || now.Sub(g.rosters[0].since) < settleTime {
		return 0
	}
	if known.shareVersion == g.version {
		return known.leastShare
	}
	bound := g.policy.MaxPerWindow(g.limits[known.entry.Service].Limit)
	known.leastShare, known.shareVersion = bound, g.version
	for _, list := range g.rosters {
		known.leastShare = min(known.leastShare, Share(list.gateways, g.self, known.entry.ID, known.entry.Zone, bound))
	}
	return known.leastShare
}

// release frees the places whose time is over.
func (i *instance) release(now time.Time) {
	i.places = slices.DeleteFunc(i.places, func(held heldPlace) bool {
		return !held.freeAt.IsZero() && !now.Before(held.freeAt)
	})
}

// Acquire takes a place for a request that Admits let through. Sends to instances that are warm
// take places as well: they count if the instance becomes cold within the window.
func (g *Limiter) Acquire(now time.Time, id string) Permit {
	known := g.instances[id]
	if known == nil || !g.limited(known.entry.Service) {
		return Permit{}
	}
	known.release(now)
	g.permits++
	known.places = append(known.places, heldPlace{number: g.permits, freeAt: now.Add(permitLife)})
	return Permit{instance: id, number: g.permits}
}

// BeginSend reports whether the request may be sent now, and is asked just before it is. It must
// not be sent if not.
func (g *Limiter) BeginSend(now time.Time, permit Permit) bool {
	held := g.held(permit)
	if held == nil {
		return permit == Permit{}
	}
	if !now.Before(held.freeAt) {
		return false
	}
	held.sent, held.freeAt = true, time.Time{}
	return true
}

// held returns the place that a permit holds, nil if it has none.
func (g *Limiter) held(permit Permit) *heldPlace {
	known := g.instances[permit.instance]
	if known == nil {
		return nil
	}
	index := slices.IndexFunc(known.places, func(held heldPlace) bool { return held.number == permit.number })
	if index < 0 {
		return nil
	}
	return &known.places[index]
}

// ResponseStarted notes that the answer to a request begins: the request arrived before.
func (g *Limiter) ResponseStarted(now time.Time, permit Permit) {
	if held := g.held(permit); held != nil && held.freeAt.IsZero() {
		held.freeAt = now.Add(Window)
	}
}

// Abandon notes that a request was given up, sent or not.
func (g *Limiter) Abandon(now time.Time, permit Permit) {
	held := g.held(permit)
	switch {
	case held == nil:
	case !held.sent:
		g.Release(permit)
	case held.freeAt.IsZero():
		held.freeAt = now.Add(unansweredTime + Window)
	}
}

// Release gives a place back at once: the request was not sent, or went to another
// instance that has the address now.
func (g *Limiter) Release(permit Permit) {
	if known := g.instances[permit.instance]; known != nil {
		known.places = slices.DeleteFunc(known.places, func(held heldPlace) bool { return held.number == permit.number })
	}
}

// NextFreePlace returns when a place of a cold instance of the service is free for this gateway,
// and false if it has none in any.
func (g *Limiter) NextFreePlace(now time.Time, service string) (time.Duration, bool) {
	next, found := time.Duration(0), false
	for _, known := range g.instances {
		if known.entry.Service != service || !known.missingSince.IsZero() || !g.isCold(now, known) {
			continue
		}
		share := g.share(now, known)
		if share == 0 {
			continue
		}
		if wait := min(known.nextFree(now, share), g.coldUntil(known).Sub(now)); !found || wait < next {
			next, found = wait, true
		}
	}
	return next, found
}

// nextFree returns when less than so many places are held. A send whose answer is awaited
// holds its place for the window at least.
func (i *instance) nextFree(now time.Time, share int) time.Duration {
	i.release(now)
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
