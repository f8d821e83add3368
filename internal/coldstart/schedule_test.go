package coldstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// guard names the safety rule that a schedule omits.
type guard string

const (
	none              guard = ""
	holdUntilResponse guard = "a place is held until one second after the response"
	holdAbandoned     guard = "an abandoned request holds its place"
	waitAtStart       guard = "a starting gateway waits"
	waitAfterMove     guard = "a reassigned place is not used immediately"
	checkAtSend       guard = "a permit is checked again before the send"
	membershipMargin  guard = "places are reserved for differing lists"
)

const (
	step = 10 * time.Millisecond
	// maxDelay is the longest time between the send and the arrival of a request.
	maxDelay = 1500 * time.Millisecond
	// maxChanges is the number of changes of the registry's list if all gateways receive them.
	maxChanges = 30
)

// fleetGateway is a gateway of the schedule.
type fleetGateway struct {
	name    string
	limiter *Limiter
	// partitioned gateways receive no changes of the lists of gateways.
	partitioned bool
	// frozenUntil is until when the process is suspended, restarts the number of its restarts.
	frozenUntil time.Time
	restarts    int
}

// schedule is a random run of a fleet and one instance that becomes cold.
type schedule struct {
	random   *rand.Rand
	without  guard
	services map[string]ServiceConfig
	policy   Policy
	gateways []*fleetGateway
	// names is the registry's list of gateways, changes the number of changes left to it.
	names   []string
	changes int
	// nearPercent is how many of 100 gateways are in the instance's zone.
	nearPercent uint64
	// events holds the events of later steps.
	events map[int][]func(now time.Time)
	// instances is the list of instances; coldFrom and coldUntil are the time in which arrivals
	// count. knownBefore is set if the instance was listed as warm before it became cold.
	instances           []Entry
	knownBefore         bool
	coldFrom, coldUntil time.Time
	// arrivals are the arrival times of requests at the instance.
	arrivals []time.Time
	// Probabilities of faults: a gateway is suspended between a permit and its send, a gateway
	// restarts at a step, a request is delayed, a request gets no response.
	freezeRate, restartRate, delayRate, noResponseRate float64
}

var begin = time.Unix(1000, 0)

func newSchedule(seed uint64, without guard) *schedule {
	random := rand.New(rand.NewPCG(seed, 7))
	s := &schedule{
		random: random, without: without, policy: Policy{Overage: 1.5, Slack: 5}, events: map[int][]func(time.Time){},
		services: map[string]ServiceConfig{"engines": {Limit: Limit{PerSecond: float64(2 + random.IntN(40))}, ColdPeriod: 6 * time.Second}},
	}
	for number := range 2 + random.IntN(50) {
		s.names = append(s.names, fmt.Sprint("gateway-", number))
	}
	s.setFaults()
	s.nearPercent = []uint64{0, 30, 100}[random.IntN(3)]
	s.changes = membershipDifference(len(s.names), s.bound())
	if s.knownBefore = s.chance(0.4); s.knownBefore {
		s.instances = []Entry{{ID: "instance", Service: "engines", Zone: "near"}}
	}
	allConnected := s.chance(0.3)
	if allConnected {
		s.changes = maxChanges
	}
	for number, name := range s.names {
		s.start(begin, &fleetGateway{name: name, partitioned: !allConnected && number < len(s.names)/4})
	}
	return s
}

// setFaults chooses the faults. In half of the schedules it also sets a limit that gives each
// gateway the largest safe share.
func (s *schedule) setFaults() {
	s.freezeRate = []float64{0, 0.02, 0.3}[s.random.IntN(3)]
	s.restartRate = []float64{0, 0.001, 0.01}[s.random.IntN(3)]
	s.delayRate = []float64{0, 0.2, 1}[s.random.IntN(3)]
	s.noResponseRate = []float64{0, 0.1, 0.7}[s.random.IntN(3)]
	if s.chance(0.5) {
		count := len(s.names)
		limit := (count + min(maxMembershipDifference, (count+membershipDifferenceDivisor-1)/membershipDifferenceDivisor)) * (1 + s.random.IntN(2))
		s.policy = Policy{Overage: 1}
		s.services["engines"] = ServiceConfig{Limit: Limit{PerSecond: float64(limit)}, ColdPeriod: 6 * time.Second}
	}
}

func (s *schedule) bound() int { return s.policy.MaxPerWindow(s.services["engines"].Limit) }

func (s *schedule) chance(share float64) bool { return s.random.Float64() < share }

// randomTime returns a random time below the longest.
func (s *schedule) randomTime(longest time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(longest)))
}

func (s *schedule) schedule(at time.Time, do func(time.Time)) {
	due := int((at.Sub(begin) + step - 1) / step)
	s.events[due] = append(s.events[due], do)
}

// start starts a gateway's process, which reads both lists.
func (s *schedule) start(now time.Time, gateway *fleetGateway) {
	policy := s.policy
	if s.without == membershipMargin {
		rounds := (s.bound() + len(s.names) - 1) / len(s.names)
		policy.Slack += float64(2 * rounds * membershipDifference(len(s.names), s.bound()))
	}
	gateway.limiter = NewLimiter(gateway.name, policy)
	gateway.limiter.SetServices(s.services)
	gateway.limiter.SetGateways(now, s.listed(s.names))
	if s.without == waitAtStart || now.Equal(begin) {
		gateway.limiter.memberships[0].since = now.Add(-settlePeriod)
	}
	gateway.limiter.List(now, s.instances)
	if !slices.Contains(s.gateways, gateway) {
		s.gateways = append(s.gateways, gateway)
	}
}

// listed returns gateways with their zones.
func (s *schedule) listed(names []string) []Gateway {
	var gateways []Gateway
	for _, name := range names {
		zone := "far"
		if xxhash.Sum64String(name)%100 < s.nearPercent {
			zone = "near"
		}
		gateways = append(gateways, Gateway{Name: name, Zone: zone})
	}
	return gateways
}

func (s *schedule) setGateways(now time.Time, gateway *fleetGateway, names []string) {
	gateway.limiter.SetGateways(now, s.listed(names))
	if s.without == waitAfterMove {
		gateway.limiter.memberships = gateway.limiter.memberships[len(gateway.limiter.memberships)-1:]
		gateway.limiter.memberships[0].since = now.Add(-settlePeriod)
	}
}

// broadcast delivers a message to the connected gateways with a delay, sometimes twice.
func (s *schedule) broadcast(now time.Time, longest time.Duration, deliver func(now time.Time, gateway *fleetGateway)) {
	for _, gateway := range s.gateways {
		if gateway.partitioned {
			continue
		}
		for range 1 + s.random.IntN(2) {
			s.schedule(now.Add(s.randomTime(longest)), func(then time.Time) { s.whenRunning(then, gateway, deliver) })
		}
	}
}

// whenRunning calls a function for a gateway as soon as it is not suspended.
func (s *schedule) whenRunning(now time.Time, gateway *fleetGateway, do func(time.Time, *fleetGateway)) {
	if now.Before(gateway.frozenUntil) {
		s.schedule(gateway.frozenUntil, func(then time.Time) { s.whenRunning(then, gateway, do) })
		return
	}
	do(now, gateway)
}

// change adds a gateway to the registry or removes one. Partitioned gateways are removed first:
// they keep running and do not learn of it.
func (s *schedule) change(now time.Time) {
	names := slices.Clone(s.names)
	if len(names) > 1 && s.chance(0.6) {
		names = slices.Delete(names, 0, 1)
	} else {
		added := &fleetGateway{name: fmt.Sprint("added-", len(s.gateways))}
		names = append(names, added.name)
		s.names = names
		s.start(now, added)
	}
	s.names = names
	s.broadcast(now, time.Second, func(then time.Time, gateway *fleetGateway) { s.setGateways(then, gateway, names) })
}

// turnCold makes the instance appear, or changes the entry of a listed instance to cold. In the
// latter case arrivals count only after all gateways have received the entry and all earlier
// requests have arrived: requests to an instance that is assumed to be warm are not limited.
func (s *schedule) turnCold(now time.Time) {
	const maxPropagation = 500 * time.Millisecond
	entry := Entry{ID: "instance", Service: "engines", Zone: "near", ColdFor: s.services["engines"].ColdPeriod}
	s.coldFrom, s.coldUntil = now, now.Add(entry.ColdFor)
	if s.knownBefore {
		s.coldFrom = now.Add(maxPropagation + maxDelay + Window)
	}
	s.instances = []Entry{entry}
	entries := s.instances
	for _, gateway := range s.gateways { // partitioned gateways receive only the list of instances
		for range 1 + s.random.IntN(2) {
			s.schedule(now.Add(s.randomTime(maxPropagation)), func(then time.Time) { gateway.limiter.List(then, entries) })
		}
	}
}

// request tries to send one request. Each gateway always has more requests than it may send.
func (s *schedule) request(now time.Time, gateway *fleetGateway) {
	if gateway.limiter.instances["instance"] == nil || !gateway.limiter.Admits(now, "instance") {
		return
	}
	permit := gateway.limiter.Acquire(now, "instance")
	if s.chance(s.freezeRate) {
		gateway.frozenUntil = now.Add(s.randomTime(4 * time.Second))
	}
	process := gateway.restarts
	s.schedule(now.Add(s.randomTime(20*time.Millisecond)), func(then time.Time) {
		s.whenRunning(then, gateway, func(then time.Time, gateway *fleetGateway) {
			if gateway.restarts == process {
				s.send(then, gateway, permit)
			}
		})
	})
}

func (s *schedule) send(now time.Time, gateway *fleetGateway, permit Permit) {
	if !gateway.limiter.BeginSend(now, permit) && s.without != checkAtSend {
		return
	}
	if s.without == holdUntilResponse {
		gateway.limiter.ResponseStarted(now, permit)
	}
	arrival := now.Add(s.randomTime(5 * time.Millisecond))
	if s.chance(s.delayRate) { // delayed
		arrival = now.Add(s.randomTime(maxDelay))
	}
	s.arrivals = append(s.arrivals, arrival)
	process := gateway.restarts
	if s.chance(s.noResponseRate) { // no response
		s.schedule(now.Add(s.randomTime(300*time.Millisecond)), func(then time.Time) {
			if gateway.restarts != process {
				return
			}
			gateway.limiter.Abandon(then, permit)
			if s.without == holdAbandoned {
				gateway.limiter.Release(permit)
			}
		})
		return
	}
	s.schedule(arrival.Add(s.randomTime(50*time.Millisecond)), func(then time.Time) {
		s.whenRunning(then, gateway, func(then time.Time, gateway *fleetGateway) {
			if gateway.restarts == process {
				gateway.limiter.ResponseStarted(then, permit)
				gateway.limiter.ResponseStarted(then.Add(-time.Second), permit) // duplicate
			}
		})
	})
}

// injectFaults restarts gateways and changes their list.
func (s *schedule) injectFaults(now time.Time) {
	for _, gateway := range s.gateways {
		switch {
		case now.Before(gateway.frozenUntil):
		case s.chance(s.restartRate):
			gateway.restarts++
			s.start(now, gateway)
		}
	}
	if s.changes > 0 && s.chance(0.02) {
		s.changes--
		s.change(now)
	}
}

// run runs the schedule until the instance is warm again.
func (s *schedule) run() {
	const steps, coldAt = 1100, 400
	for number := range steps {
		now := begin.Add(time.Duration(number) * step)
		for len(s.events[number]) > 0 { // an event may add others to the same step
			due := s.events[number]
			delete(s.events, number)
			for _, event := range due {
				event(now)
			}
		}
		s.injectFaults(now)
		if number == coldAt {
			s.turnCold(now)
		}
		for _, gateway := range s.gateways {
			if number >= coldAt-100 && !now.Before(gateway.frozenUntil) && (number >= coldAt || s.chance(0.01)) {
				s.request(now, gateway)
			}
		}
	}
}

// peakRate returns the largest number of arrivals in any second while the instance was cold. It
// uses only the arrival times.
func (s *schedule) peakRate() int {
	counted := slices.DeleteFunc(s.arrivals, func(at time.Time) bool {
		return at.Before(s.coldFrom) || !at.Before(s.coldUntil)
	})
	slices.SortFunc(counted, time.Time.Compare)
	peak, first := 0, 0
	for last, at := range counted {
		for at.Sub(counted[first]) >= Window {
			first++
		}
		peak = max(peak, last-first+1)
	}
	return peak
}

const seeds = 300

// TestArrivalRateStaysWithinLimit runs fleets whose gateways always have more requests to send,
// with late, duplicated and missing lists, restarts, suspended gateways, and late or lost
// responses, and checks the arrivals of every second.
func TestArrivalRateStaysWithinLimit(t *testing.T) {
	for seed := range uint64(seeds) {
		s := newSchedule(seed, none)
		s.run()
		peak := s.peakRate()
		require.LessOrEqual(t, peak, s.bound(), "seed %d, %d gateways", seed, len(s.gateways))
	}
}

// Without faults most of the limit must be used, or instances would warm up slowly.
func TestFleetWithoutFaultsUsesMostOfLimit(t *testing.T) {
	used, allowed := 0, 0
	for seed := range uint64(seeds / 4) {
		s := newSchedule(seed, none)
		if s.nearPercent == 0 {
			continue // most places belong to gateways of the instance's zone
		}
		s.freezeRate, s.restartRate, s.delayRate, s.noResponseRate, s.changes = 0, 0, 0, 0, 0
		s.run()
		used, allowed = used+s.peakRate(), allowed+s.bound()
	}
	require.Greater(t, 10*used, 6*allowed)
}

// Without any one of the guards, some schedule must exceed the limit.
func TestEachGuardIsNecessary(t *testing.T) {
	for _, removed := range []guard{holdUntilResponse, holdAbandoned, waitAtStart, waitAfterMove, checkAtSend, membershipMargin} {
		exceeded := false
		for seed := uint64(0); seed < seeds && !exceeded; seed++ {
			s := newSchedule(seed, removed)
			s.run()
			exceeded = s.peakRate() > s.bound()
		}
		require.True(t, exceeded, "without: %s", removed)
	}
}
