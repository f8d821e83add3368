// Package backend knows the instances that run requests: which there are, how
// loaded they are believed to be, and how a request is exchanged with one of them
// over kept connections.
package backend

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftbank.dev/swiftbank/internal/coldstart"
	"swiftbank.dev/swiftbank/internal/instancespeed"
	"swiftbank.dev/swiftbank/internal/place"
)

// Instance is one running back end.
type Instance struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Leaving instances finish what they have and get nothing new.
	Leaving bool
	// ColdFor is how much longer the instance is cold, as it said when it wrote its entry;
	// 0 says that it is not.
	ColdFor time.Duration
	// Born is when it started, in Unix milliseconds; 0 where it does not say. An instance may
	// start again under its id, and then holds nothing of before.
	Born uint64
}

// Changes are what became of the list of instances.
type Changes struct {
	// Snapshot says that Listed are all instances there are. Otherwise they are those that are new
	// or whose entries changed, and Gone the ids of those whose entries went.
	Snapshot bool
	Listed   []Instance
	Removed  []string
}

const (
	// suspicionFirst and suspicionMost bound how long an instance is avoided after
	// it could not be reached; the time doubles with each failure in a row.
	suspicionFirst = 250 * time.Millisecond
	suspicionMost  = 2 * time.Second
	// failureHalfLife is how long a failure counts for the half.
	failureHalfLife = 2 * time.Second
	// remoteLoadLimit is how long a report of load counts.
	remoteLoadLimit = 1500 * time.Millisecond
)

// member is an instance with what this gateway believes of it.
type member struct {
	instance Instance
	// inFlight are this gateway's own requests.
	inFlight int
	// remote are the requests of all other gateways by the last reports.
	remote int
	// failures counts failures to reach it in a row; avoidUntil is set by them.
	failures   int
	avoidUntil time.Time
	// failing counts the failures of late, halved every failureHalfLife since failingAt.
	failing   float64
	failingAt time.Time
	// held are the ends of the times for which requests that failed at once count on;
	// quickFailures is how many failed so in a row.
	held          []time.Time
	quickFailures int
	// unlistedUntil is set on an instance that the list lacks, while the list may be
	// wrong: it serves on until then.
	unlistedUntil time.Time
	// evacuated is set while the instance's zone is to get nothing further.
	evacuated bool
	// sampled is the number of the last placement that looked at it.
	sampled  uint64
	cache    promptCache
	slowness slowness
	// key names the instance in its life among those of which all gateways learn.
	key instancespeed.Key
}

// LoadSource is whose requests a report of load counts: those of one gateway of the
// own zone, or of all gateways of another zone. One field is set.
type LoadSource struct {
	Gateway string
	Zone    string
}

// remoteReport is what was last heard of a source's requests in flight.
type remoteReport struct {
	loads map[string]int
	at    time.Time
}

// Directory holds the instances of all services. It is safe for concurrent use.
type Directory struct {
	zone string
	// network prices the network path to other zones and regions.
	network networkCosts
	// severalRegions says that there are instances in other regions.
	severalRegions bool
	// evacuated lists the zones whose instances are to get nothing further.
	evacuated map[string]bool
	// connected reports whether there is an idle connection to an instance, idle lists the
	// instances with one; nil knows of none.
	connected func(instance string) bool
	idle      func() []string

	// placed is signalled when a request was placed.
	placed chan struct{}

	mu      sync.Mutex
	members map[string]*member
	// unlisted holds the ids of members that the list lacks, loaded those on which requests of
	// this gateway count: nothing that is done many times a second looks at all members.
	unlisted map[string]bool
	loaded   map[string]*member
	// byService lists the members of each service in the order of their ids.
	byService map[string][]*member
	// near lists those of the own zone among them; regional those of the own region, where
	// there are others.
	near     map[string][]*member
	regional map[string][]*member
	reports  map[LoadSource]remoteReport
	// ranLast is the instance that had a prompt part last, for the parts of this
	// gateway's own requests.
	ranLast map[string]string
	// turn counts placements; seed is what they begin from at this gateway.
	turn, seed uint64
	// samples numbers the placements.
	samples uint64
	// inFlight counts this gateway's requests by service; sums holds the last sums of capacity.
	inFlight map[string]int
	sums     map[string]capacitySum
	// remotes holds the last sums of what other gateways report, intervals how often they do.
	remotes   map[string]remoteSum
	intervals reportIntervals
	// paces is what is known of how fast each service works.
	paces map[string]*pace
	// cold bounds what goes to cold instances; nextColdChange is when the first of them becomes
	// warm. coldObserver may be nil.
	cold           *coldstart.Limiter
	nextColdChange time.Time
	coldObserver   ColdObserver
	// speeds is what all gateways observed of the instances, models what this one knows of each
	// service; for requests that are placed by their expected end.
	speeds  *instancespeed.Aggregator
	models  map[string]*instancespeed.Model
	spreads map[string]speedSpread
}

// NewDirectory returns an empty directory of a gateway in the zone.
func NewDirectory(zone string) *Directory {
	return &Directory{
		zone: zone, placed: make(chan struct{}, 1), members: map[string]*member{}, unlisted: map[string]bool{}, loaded: map[string]*member{},
		byService: map[string][]*member{}, near: map[string][]*member{}, regional: map[string][]*member{},
		reports: map[LoadSource]remoteReport{}, ranLast: map[string]string{},
		inFlight: map[string]int{}, sums: map[string]capacitySum{}, remotes: map[string]remoteSum{}, paces: map[string]*pace{}, network: networkCosts{zone: zone, roundTrips: map[string]*mean{}},
		cold:   coldstart.NewLimiter("", coldstart.Policy{}),
		speeds: instancespeed.NewAggregator(), models: map[string]*instancespeed.Model{}, spreads: map[string]speedSpread{},
	}
}

// UseConnections makes placements prefer instances with an idle connection. It must be
// called before the first Pick.
func (d *Directory) UseConnections(pool *Pool) {
	d.connected, d.idle = pool.isIdle, pool.idleInstances
	pool.dialed = d.ObserveDial
}

// UsePlaces tells the directory which regions the zones belong to. It must be called before
// the first Pick.
func (d *Directory) UsePlaces(places place.Map) {
	d.network.places = places
	d.severalRegions = len(places.Regions()) > 1
}

// IsOtherRegion reports whether a zone is in another region than this gateway.
func (d *Directory) IsOtherRegion(zone string) bool {
	return d.network.places.Distance(d.zone, zone) == place.OtherRegion
}

// SetSeed makes this gateway's choices among equal instances differ from those of
// gateways with other names.
func (d *Directory) SetSeed(node string) { d.seed = xxhash.Sum64String(node) }

// ObserveDial tells in what time a connection to an instance came up.
func (d *Directory) ObserveDial(instance Instance, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.network.dialed(instance.Zone, took)
}

// isStaying reports whether the instance serves on, as far as its entry says.
func (m *member) isStaying(now time.Time) bool {
	return !m.instance.Leaving && (m.unlistedUntil.IsZero() || now.Before(m.unlistedUntil))
}

// mayServe reports whether the instance may get new work.
func (m *member) mayServe(now time.Time) bool {
	return !m.evacuated && m.isStaying(now)
}

// Placed is signalled after a request was placed; one signal may stand for several.
func (d *Directory) Placed() <-chan struct{} { return d.placed }

// Size returns the number of instances.
func (d *Directory) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.members)
}

// Loads returns this gateway's requests in flight by instance, with those that failed at
// once and count on, without zeros.
func (d *Directory) Loads(now time.Time) map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := map[string]int{}
	for id, known := range d.loaded {
		load := known.inFlight + known.heldFailures(now)
		if load == 0 || d.members[id] != known {
			delete(d.loaded, id)
			continue
		}
		loads[id] = load
	}
	return loads
}

// ZoneLoads returns the requests in flight of the own zone's gateways by instance, as
// far as they are known here.
func (d *Directory) ZoneLoads(now time.Time) map[string]int {
	loads := d.Loads(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	for source, report := range d.reports {
		if source.Zone != "" {
			continue
		}
		for id, requests := range report.loads {
			loads[id] += requests
		}
	}
	return loads
}

// SetRemoteLoads replaces a source's requests in flight, in place of what was heard of
// it before. Reports that are too old are dropped.
func (d *Directory) SetRemoteLoads(now time.Time, source LoadSource, loads map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if before, known := d.reports[source]; known {
		d.intervals.heard(source, now.Sub(before.at))
	}
	d.addRemote(d.reports[source].loads, -1)
	d.addRemote(loads, 1)
	d.reports[source] = remoteReport{loads: loads, at: now}
	for name, report := range d.reports {
		if now.Sub(report.at) > d.remoteLimit() {
			d.addRemote(report.loads, -1)
			delete(d.reports, name)
		}
	}
}

// remoteLimit is how long a report counts: the more sources there are, the more
// seldom each one is heard of here.
func (d *Directory) remoteLimit() time.Duration {
	const sourcesAtOnce = 8
	return remoteLoadLimit * time.Duration(1+len(d.reports)/sourcesAtOnce)
}

func (d *Directory) addRemote(loads map[string]int, sign int) {
	for id, requests := range loads {
		if known := d.members[id]; known != nil {
			known.remote = max(0, known.remote+sign*requests)
		}
	}
}

// Observe adds the figures of a request that its instance answered whole.
func (d *Directory) Observe(now time.Time, choice Choice, seen Observation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.chosen(choice)
	if known == nil {
		return
	}
	if choice.byExpectedEnd {
		d.learnSpeed(now, known, seen)
	}
	slower, ok := d.paceOf(known.instance.Service).observe(seen, known.instance.Slots)
	switch {
	case ok && seen.Events > 0:
		known.slowness.add(now, slower, slowStreamGain)
	case ok:
		known.slowness.add(now, slower, slowPlainGain)
	}
}

// MeanTimeToFirstEvent returns how long streams of a service usually wait for their first event.
func (d *Directory) MeanTimeToFirstEvent(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.paceOf(service).firstMS() * float64(time.Millisecond))
}

// paceOf returns what is known of how fast a service works. The caller holds the lock.
func (d *Directory) paceOf(service string) *pace {
	known := d.paces[service]
	if known == nil {
		known = newPace()
		d.paces[service] = known
	}
	return known
}

// Outcome is what is learned from the end of an exchange.
type Outcome uint8

const (
	// Answered means that the instance spoke the protocol.
	Answered Outcome = iota + 1
	// Unreachable means that no connection came up, or it went silent.
	Unreachable
	// Full means that the instance had no room.
	Full
	// Failed means that it answered with a failure of its own, or broke its answer off.
	Failed
	// NotSent means that the request was not sent after all: it tells nothing of the instance.
	NotSent
)

// End takes a request off its instance, unless that is gone or has started again since.
func (d *Directory) End(now time.Time, choice Choice, ended Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.chosen(choice)
	if known == nil {
		return
	}
	known.inFlight--
	d.inFlight[known.instance.Service]--
	if choice.byExpectedEnd {
		d.learnEnd(now, known, ended)
	}
	switch ended {
	case Answered:
		known.answered()
	case Unreachable:
		known.failures++
		avoid := min(suspicionMost, suspicionFirst<<min(known.failures-1, 4))
		known.avoidUntil = now.Add(avoid)
	case Full:
		known.avoidUntil = now.Add(fullPause)
	case Failed:
		known.failing = known.recentFailures(now) + 1
		known.failingAt = now
	}
}

// chosen returns the member of a choice, nil if it is gone or has started again since. The
// caller holds the lock.
func (d *Directory) chosen(choice Choice) *member {
	if known := d.members[choice.Instance.ID]; known == choice.member {
		return known
	}
	return nil
}

// recentFailures returns the failures of late, the older the less.
func (m *member) recentFailures(now time.Time) float64 {
	if m.failing == 0 {
		return 0
	}
	return m.failing * math.Exp2(-now.Sub(m.failingAt).Seconds()/failureHalfLife.Seconds())
}
