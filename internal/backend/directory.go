// Package backend tracks the instances that run requests and their estimated load, chooses an
// instance for each request, and exchanges requests with instances over pooled connections.
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

// Instance is a running back end as listed in the registry.
type Instance struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Leaving is set on an instance that finishes its requests and accepts no new ones.
	Leaving bool
	// ColdFor is how much longer the instance is cold as of the time it wrote its entry; 0 if it is
	// warm.
	ColdFor time.Duration
	// Born is the instance's start time in Unix milliseconds; 0 if unknown. An instance may restart
	// under the same id and then has none of its earlier state.
	Born uint64
	// Version is the version of the instance's software; "" if it does not report one.
	Version string
}

// Changes are changes to the list of instances.
type Changes struct {
	// Snapshot means that Listed contains all instances. Otherwise Listed contains the new and
	// changed entries, and Removed the ids of deleted entries.
	Snapshot bool
	Listed   []Instance
	Removed  []string
}

const (
	// minAvoidTime and maxAvoidTime bound how long an instance is avoided after a failed
	// connection; the time doubles with each consecutive failure.
	minAvoidTime = 250 * time.Millisecond
	maxAvoidTime = 2 * time.Second
	// failureHalfLife is the half-life of the weight of a failure.
	failureHalfLife = 2 * time.Second
	// baseReportTTL is how long a load report is used; see Directory.reportTTL.
	baseReportTTL = 1500 * time.Millisecond
)

// member is an instance with this gateway's state and estimates for it.
type member struct {
	instance Instance
	// inFlight is the number of this gateway's requests in flight.
	inFlight int
	// suspects is the number of those under which instances ended before.
	suspects int
	// remoteInFlight is the number of requests in flight of all other gateways, by their last
	// reports.
	remoteInFlight int
	// failures counts consecutive connection failures, which set avoidUntil.
	failures   int
	avoidUntil time.Time
	// decayedFailures is the number of recent failures, decayed by failureHalfLife up to decayedAt.
	decayedFailures float64
	decayedAt       time.Time
	// failureHolds are the times until which requests that failed immediately still count as load;
	// quickFailures is the number of consecutive failures of that kind.
	failureHolds  []time.Time
	quickFailures int
	// unlistedUntil is set on an instance that is missing from a list that may be incomplete: it
	// stays in service until then.
	unlistedUntil time.Time
	// evacuated is set while the instance's zone gets no new requests.
	evacuated bool
	// lastSample is the number of the last placement that considered the instance.
	lastSample uint64
	cache      promptCache
	slowness   slowness
	// key identifies this run of the instance in the speed statistics shared by all gateways.
	key instancespeed.Key
}

// Directory holds the instances of all services. It is safe for concurrent use.
type Directory struct {
	zone string
	// network estimates the cost of the network path to other zones and regions.
	network networkCosts
	// severalRegions is set if there is more than one region.
	severalRegions bool
	// evacuated lists the zones whose instances get no new requests.
	evacuated map[string]bool
	// connected reports whether there is an idle connection to an instance for a request id, idle lists the
	// instances with one. Both are nil if connections are not considered.
	connected func(instance, requestID string) bool
	idle      func() []string

	// placed is signaled when a request was placed.
	placed chan struct{}

	mu      sync.Mutex
	members map[string]*member
	// unlisted holds the ids of members that are missing from the list, loaded the members with
	// requests of this gateway. They keep frequent operations from scanning all members.
	unlisted map[string]bool
	loaded   map[string]*member
	// addresses maps each address to the instance that was listed there last.
	addresses map[string]string
	// byService holds the members of each service, sorted by id.
	byService map[string][]*member
	// sameZone holds those in the gateway's zone; sameRegion those in the gateway's region, if
	// there are several regions.
	sameZone   map[string][]*member
	sameRegion map[string][]*member
	reports    map[LoadSource]loadReport
	// lastInstances maps a prompt part to the instance that last processed it for a request of this
	// gateway.
	lastInstances map[string]string
	// sequence and seed are the state of the pseudorandom numbers of placements; the seed differs
	// between gateways.
	sequence, seed uint64
	// samples counts the placements.
	samples uint64
	// inFlight counts this gateway's requests by service; sums caches the capacity of services.
	inFlight map[string]int
	sums     map[string]capacitySum
	// remoteSums caches the sums of the loads that other gateways report; intervals are the mean
	// intervals between their reports.
	remoteSums map[string]remoteSum
	// versions caches the software versions of services.
	versions  map[string]serviceVersions
	intervals reportIntervals
	// serviceSpeeds holds the estimated speed of each service.
	serviceSpeeds map[string]*serviceSpeed
	// cold limits the requests to cold instances; nextColdChange is when the first of them becomes
	// warm. coldObserver may be nil.
	cold           *coldstart.Limiter
	nextColdChange time.Time
	coldObserver   ColdObserver
	// speeds aggregates the speed statistics of all gateways by instance, models holds this
	// gateway's model of each service, and spreads caches how much the speeds of a service's
	// instances differ. They are used for requests that are placed by expected completion time.
	speeds  *instancespeed.Aggregator
	models  map[string]*instancespeed.Model
	spreads map[string]speedSpread
}

// NewDirectory returns an empty directory for a gateway in the given zone.
func NewDirectory(zone string) *Directory {
	return &Directory{
		zone: zone, placed: make(chan struct{}, 1), members: map[string]*member{}, unlisted: map[string]bool{}, loaded: map[string]*member{}, addresses: map[string]string{},
		byService: map[string][]*member{}, sameZone: map[string][]*member{}, sameRegion: map[string][]*member{},
		reports: map[LoadSource]loadReport{}, lastInstances: map[string]string{},
		inFlight: map[string]int{}, sums: map[string]capacitySum{}, remoteSums: map[string]remoteSum{}, versions: map[string]serviceVersions{}, serviceSpeeds: map[string]*serviceSpeed{}, network: networkCosts{zone: zone, roundTrips: map[string]*mean{}},
		cold:   coldstart.NewLimiter("", coldstart.Policy{}),
		speeds: instancespeed.NewAggregator(), models: map[string]*instancespeed.Model{}, spreads: map[string]speedSpread{},
	}
}

// UseConnections makes placements prefer instances with an idle connection in the pool. It must be
// called before the first Pick.
func (d *Directory) UseConnections(pool *Pool) {
	d.connected, d.idle = pool.isIdle, pool.idleInstances
	pool.dialed = d.ObserveDial
}

// UsePlaces sets the regions of the zones. It must be called before the first Pick.
func (d *Directory) UsePlaces(places place.Map) {
	d.network.places = places
	d.severalRegions = len(places.Regions()) > 1
}

// IsServing reports whether an instance is known and does not leave.
func (d *Directory) IsServing(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[id]
	return m != nil && !m.instance.Leaving
}

// Find returns an instance that is known.
func (d *Directory) Find(id string) (instance Instance, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[id]
	if m == nil {
		return Instance{}, false
	}
	return m.instance, true
}

// IsOtherRegion reports whether a zone is in a different region than this gateway.
func (d *Directory) IsOtherRegion(zone string) bool {
	return d.network.places.Distance(d.zone, zone) == place.OtherRegion
}

// SetSeed seeds the choice among equal instances, so that it differs between gateways. It must be
// called before the first Pick.
func (d *Directory) SetSeed(node string) { d.seed = xxhash.Sum64String(node) }

// ObserveDial adds the time that it took to open a connection to an instance.
func (d *Directory) ObserveDial(instance Instance, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.network.observeDial(instance.Zone, took)
}

// isActive reports whether the instance is neither leaving nor removed, according to its entry.
func (m *member) isActive(now time.Time) bool {
	return !m.instance.Leaving && (m.unlistedUntil.IsZero() || now.Before(m.unlistedUntil))
}

// mayServe reports whether the instance may get new requests.
func (m *member) mayServe(now time.Time) bool {
	return !m.evacuated && m.isActive(now)
}

// Placed returns a channel that is signaled after requests were placed; one signal may stand for
// several requests.
func (d *Directory) Placed() <-chan struct{} { return d.placed }

// Size returns the number of instances.
func (d *Directory) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.members)
}

// Observe adds the measurements of a request whose response was complete.
func (d *Directory) Observe(now time.Time, choice Choice, observed Observation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.memberOf(choice)
	if m == nil {
		return
	}
	if choice.byExpectedEnd {
		d.learnSpeed(now, m, observed)
	}
	slower, ok := d.serviceSpeedOf(m.instance.Service).observe(observed, m.instance.Slots)
	switch {
	case ok && observed.Events > 0:
		m.slowness.add(now, slower, slowStreamGain)
	case ok:
		m.slowness.add(now, slower, slowPlainGain)
	}
}

// MeanTimeToFirstEvent returns the mean time to the first event of a service's streams.
func (d *Directory) MeanTimeToFirstEvent(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.serviceSpeedOf(service).firstEventMS() * float64(time.Millisecond))
}

// serviceSpeedOf returns the estimated speed of a service. The caller must hold the lock.
func (d *Directory) serviceSpeedOf(service string) *serviceSpeed {
	speed := d.serviceSpeeds[service]
	if speed == nil {
		speed = newServiceSpeed()
		d.serviceSpeeds[service] = speed
	}
	return speed
}

// Outcome is what the end of an exchange says about its instance.
type Outcome uint8

const (
	// Answered means that the instance sent a valid response.
	Answered Outcome = iota + 1
	// Unreachable means that no connection could be opened, or that the instance stopped
	// responding.
	Unreachable
	// Full means that the instance refused the request for lack of capacity.
	Full
	// Failed means that the instance returned an error of its own or ended its response early.
	Failed
	// NotSent means that the request was not sent; it says nothing about the instance.
	NotSent
)

// End records the end of a request that Pick placed. It does nothing if the instance was removed or
// has restarted since.
func (d *Directory) End(now time.Time, choice Choice, outcome Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.memberOf(choice)
	if m == nil {
		return
	}
	m.inFlight--
	if choice.suspect {
		m.suspects--
	}
	d.inFlight[m.instance.Service]--
	if choice.byExpectedEnd {
		d.learnOutcome(now, m, outcome)
	}
	switch outcome {
	case Answered:
		m.resetFailures()
	case Unreachable:
		m.failures++
		avoid := min(maxAvoidTime, minAvoidTime<<min(m.failures-1, 4))
		m.avoidUntil = now.Add(avoid)
	case Full:
		m.avoidUntil = now.Add(fullBackoff)
	case Failed:
		m.decayedFailures = m.recentFailures(now) + 1
		m.decayedAt = now
	}
}

// memberOf returns the member of a choice, nil if it was removed or has restarted since. The caller
// must hold the lock.
func (d *Directory) memberOf(choice Choice) *member {
	if m := d.members[choice.Instance.ID]; m == choice.member {
		return m
	}
	return nil
}

// recentFailures returns the number of recent failures, weighted by age.
func (m *member) recentFailures(now time.Time) float64 {
	if m.decayedFailures == 0 {
		return 0
	}
	return m.decayedFailures * math.Exp2(-now.Sub(m.decayedAt).Seconds()/failureHalfLife.Seconds())
}
