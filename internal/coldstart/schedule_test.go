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

// removed names the guard that a schedule goes without.
type removed string

const (
	nothing         removed = ""
	countToAnswer   removed = "a place is held until a second after the answer"
	countUnanswered removed = "a send that was given up holds its place"
	waitAtStart     removed = "a gateway that starts waits"
	waitForMoved    removed = "a place that moved is not used at once"
	checkAtSend     removed = "a permit is checked again just before the send"
	margin          removed = "room is kept for lists that differ"
)

const (
	step = 10 * time.Millisecond
	// longestWay is how long a request may be on its way.
	longestWay = 1500 * time.Millisecond
	// manyChanges is how often the registry's list may change if all gateways hear of it.
	manyChanges = 30
)

// fleetGateway is a gateway of the schedule.
type fleetGateway struct {
	name string
	gate *Limiter
	// cutOff gateways hear of no change of the lists.
	cutOff bool
	// frozenUntil is until when the process stands still, restarts how often it ended.
	frozenUntil time.Time
	restarts    int
}

// schedule is one random run of a fleet before one instance that turns cold.
type schedule struct {
	random   *rand.Rand
	without  removed
	services map[string]ServiceConfig
	policy   Policy
	gateways []*fleetGateway
	// names is the registry's list of gateways, changes how often it may change.
	names   []string
	changes int
	// near is how many of 100 gateways stand in the instance's zone.
	near uint64
	// events is what happens at later steps.
	events map[int][]func(now time.Time)
	// listing is the list of instances; coldFrom and coldUntil are when arrivals count.
	// knownBefore is set if the instance was listed as warm before it turned cold.
	listing             []Entry
	knownBefore         bool
	coldFrom, coldUntil time.Time
	// arrivals are the requests that reached the instance.
	arrivals []time.Time
	// How likely each trouble is: a gateway that freezes between a permit and its send, one
	// that restarts at a step, a request that is held up on its way, one without an answer.
	freezing, restarting, late, unanswered float64
}

var begin = time.Unix(1000, 0)

func newSchedule(seed uint64, without removed) *schedule {
	random := rand.New(rand.NewPCG(seed, 7))
	s := &schedule{
		random: random, without: without, policy: Policy{Overage: 1.5, Slack: 5}, events: map[int][]func(time.Time){},
		services: map[string]ServiceConfig{"engines": {Limit: Limit{PerSecond: float64(2 + random.IntN(40))}, ColdPeriod: 6 * time.Second}},
	}
	for number := range 2 + random.IntN(50) {
		s.names = append(s.names, fmt.Sprint("gateway-", number))
	}
	s.setTroubles()
	s.near = []uint64{0, 30, 100}[random.IntN(3)]
	s.changes = disagreement(len(s.names), s.bound())
	if s.knownBefore = s.chance(0.4); s.knownBefore {
		s.listing = []Entry{{ID: "instance", Service: "engines", Zone: "near"}}
	}
	allInTouch := s.chance(0.3)
	if allInTouch {
		s.changes = manyChanges
	}
	for number, name := range s.names {
		s.start(begin, &fleetGateway{name: name, cutOff: !allInTouch && number < len(s.names)/4})
	}
	return s
}

// setTroubles draws the troubles, and in half of the schedules a limit of which each gateway
// has the largest part that is safe.
func (s *schedule) setTroubles() {
	s.freezing = []float64{0, 0.02, 0.3}[s.random.IntN(3)]
	s.restarting = []float64{0, 0.001, 0.01}[s.random.IntN(3)]
	s.late = []float64{0, 0.2, 1}[s.random.IntN(3)]
	s.unanswered = []float64{0, 0.1, 0.7}[s.random.IntN(3)]
	if s.chance(0.5) {
		count := len(s.names)
		most := (count + min(maxDisagreement, (count+disagreementDivisor-1)/disagreementDivisor)) * (1 + s.random.IntN(2))
		s.policy = Policy{Overage: 1}
		s.services["engines"] = ServiceConfig{Limit: Limit{PerSecond: float64(most)}, ColdPeriod: 6 * time.Second}
	}
}

func (s *schedule) bound() int { return s.policy.MaxPerWindow(s.services["engines"].Limit) }

func (s *schedule) chance(share float64) bool { return s.random.Float64() < share }

// within returns a random time below the longest.
func (s *schedule) within(longest time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(longest)))
}

func (s *schedule) later(at time.Time, do func(time.Time)) {
	due := int((at.Sub(begin) + step - 1) / step)
	s.events[due] = append(s.events[due], do)
}

// start begins a process of a gateway, which reads both lists.
func (s *schedule) start(now time.Time, gateway *fleetGateway) {
	policy := s.policy
	if s.without == margin {
		rounds := (s.bound() + len(s.names) - 1) / len(s.names)
		policy.Slack += float64(2 * rounds * disagreement(len(s.names), s.bound()))
	}
	gateway.gate = NewLimiter(gateway.name, policy)
	gateway.gate.SetServices(s.services)
	gateway.gate.SetGateways(now, s.listed(s.names))
	if s.without == waitAtStart || now.Equal(begin) {
		gateway.gate.rosters[0].since = now.Add(-settleTime)
	}
	gateway.gate.List(now, s.listing)
	if !slices.Contains(s.gateways, gateway) {
		s.gateways = append(s.gateways, gateway)
	}
}

// listed returns gateways with their zones.
func (s *schedule) listed(names []string) []Gateway {
	var gateways []Gateway
	for _, name := range names {
		zone := "far"
		if xxhash.Sum64String(name)%100 < s.near {
			zone = "near"
		}
		gateways = append(gateways, Gateway{Name: name, Zone: zone})
	}
	return gateways
}

func (s *schedule) tellGateways(now time.Time, gateway *fleetGateway, names []string) {
	gateway.gate.SetGateways(now, s.listed(names))
	if s.without == waitForMoved {
		gateway.gate.rosters = gateway.gate.rosters[len(gateway.gate.rosters)-1:]
		gateway.gate.rosters[0].since = now.Add(-settleTime)
	}
}

// spread hands news to the gateways in touch, late, sometimes twice.
func (s *schedule) spread(now time.Time, longest time.Duration, tell func(now time.Time, gateway *fleetGateway)) {
	for _, gateway := range s.gateways {
		if gateway.cutOff {
			continue
		}
		for range 1 + s.random.IntN(2) {
			s.later(now.Add(s.within(longest)), func(then time.Time) { s.awake(then, gateway, tell) })
		}
	}
}

// awake does something at a gateway once it is not frozen.
func (s *schedule) awake(now time.Time, gateway *fleetGateway, do func(time.Time, *fleetGateway)) {
	if now.Before(gateway.frozenUntil) {
		s.later(gateway.frozenUntil, func(then time.Time) { s.awake(then, gateway, do) })
		return
	}
	do(now, gateway)
}

// change adds a gateway to the registry or removes one, first those that are cut off: they
// run on and do not hear of it.
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
	s.spread(now, time.Second, func(then time.Time, gateway *fleetGateway) { s.tellGateways(then, gateway, names) })
}

// turnCold makes the instance appear, or one that is known say that it is cold. In that case
// arrivals count once all have heard of it and what was sent before has arrived: nobody can
// bound what goes to an instance that is believed to be warm.
func (s *schedule) turnCold(now time.Time) {
	const spreading = 500 * time.Millisecond
	entry := Entry{ID: "instance", Service: "engines", Zone: "near", ColdFor: s.services["engines"].ColdPeriod}
	s.coldFrom, s.coldUntil = now, now.Add(entry.ColdFor)
	if s.knownBefore {
		s.coldFrom = now.Add(spreading + longestWay + Window)
	}
	s.listing = []Entry{entry}
	listing := s.listing
	for _, gateway := range s.gateways { // those cut off hear of instances only
		for range 1 + s.random.IntN(2) {
			s.later(now.Add(s.within(spreading)), func(then time.Time) { gateway.gate.List(then, listing) })
		}
	}
}

// request is what a gateway with more callers than it may serve does for each of them.
func (s *schedule) request(now time.Time, gateway *fleetGateway) {
	if gateway.gate.instances["instance"] == nil || !gateway.gate.Admits(now, "instance") {
		return
	}
	permit := gateway.gate.Acquire(now, "instance")
	if s.chance(s.freezing) {
		gateway.frozenUntil = now.Add(s.within(4 * time.Second))
	}
	process := gateway.restarts
	s.later(now.Add(s.within(20*time.Millisecond)), func(then time.Time) {
		s.awake(then, gateway, func(then time.Time, gateway *fleetGateway) {
			if gateway.restarts == process {
				s.send(then, gateway, permit)
			}
		})
	})
}

func (s *schedule) send(now time.Time, gateway *fleetGateway, permit Permit) {
	if !gateway.gate.BeginSend(now, permit) && s.without != checkAtSend {
		return
	}
	if s.without == countToAnswer {
		gateway.gate.ResponseStarted(now, permit)
	}
	arrival := now.Add(s.within(5 * time.Millisecond))
	if s.chance(s.late) { // held up on the way
		arrival = now.Add(s.within(longestWay))
	}
	s.arrivals = append(s.arrivals, arrival)
	process := gateway.restarts
	if s.chance(s.unanswered) { // no answer
		s.later(now.Add(s.within(300*time.Millisecond)), func(then time.Time) {
			if gateway.restarts != process {
				return
			}
			gateway.gate.Abandon(then, permit)
			if s.without == countUnanswered {
				gateway.gate.Release(permit)
			}
		})
		return
	}
	s.later(arrival.Add(s.within(50*time.Millisecond)), func(then time.Time) {
		s.awake(then, gateway, func(then time.Time, gateway *fleetGateway) {
			if gateway.restarts == process {
				gateway.gate.ResponseStarted(then, permit)
				gateway.gate.ResponseStarted(then.Add(-time.Second), permit) // told twice
			}
		})
	})
}

// disturb freezes and restarts gateways and changes their list.
func (s *schedule) disturb(now time.Time) {
	for _, gateway := range s.gateways {
		switch {
		case now.Before(gateway.frozenUntil):
		case s.chance(s.restarting):
			gateway.restarts++
			s.start(now, gateway)
		}
	}
	if s.changes > 0 && s.chance(0.02) {
		s.changes--
		s.change(now)
	}
}

// play runs until the instance is warm again.
func (s *schedule) play() {
	const steps, coldAt = 1100, 400
	for number := range steps {
		now := begin.Add(time.Duration(number) * step)
		for len(s.events[number]) > 0 { // an event may bring others about at once
			due := s.events[number]
			delete(s.events, number)
			for _, happen := range due {
				happen(now)
			}
		}
		s.disturb(now)
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

// mostInASecond returns the largest number of arrivals in any second while the instance was
// cold, from the times alone.
func (s *schedule) mostInASecond() int {
	counted := slices.DeleteFunc(s.arrivals, func(at time.Time) bool {
		return at.Before(s.coldFrom) || !at.Before(s.coldUntil)
	})
	slices.SortFunc(counted, time.Time.Compare)
	most, first := 0, 0
	for last, at := range counted {
		for at.Sub(counted[first]) >= Window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

const seeds = 300

// TestNoSecondExceedsTheBound plays fleets whose gateways always have more to send, under
// late, doubled and missing lists, restarts, frozen gateways, and answers that are late or
// lost, and counts every second from outside.
func TestNoSecondExceedsTheBound(t *testing.T) {
	for seed := range uint64(seeds) {
		s := newSchedule(seed, nothing)
		s.play()
		most := s.mostInASecond()
		require.LessOrEqual(t, most, s.bound(), "seed %d, %d gateways", seed, len(s.gateways))
	}
}

// Without troubles most of the bound is used, or instances would warm up slowly.
func TestACalmFleetUsesMostOfTheBound(t *testing.T) {
	used, allowed := 0, 0
	for seed := range uint64(seeds / 4) {
		s := newSchedule(seed, nothing)
		if s.near == 0 {
			continue // most places belong to gateways of the instance's zone
		}
		s.freezing, s.restarting, s.late, s.unanswered, s.changes = 0, 0, 0, 0, 0
		s.play()
		used, allowed = used+s.mostInASecond(), allowed+s.bound()
	}
	require.Greater(t, 10*used, 6*allowed)
}

// Without any one of the guards, some schedule exceeds the bound.
func TestEachGuardIsNeeded(t *testing.T) {
	for _, guard := range []removed{countToAnswer, countUnanswered, waitAtStart, waitForMoved, checkAtSend, margin} {
		exceeded := false
		for seed := uint64(0); seed < seeds && !exceeded; seed++ {
			s := newSchedule(seed, guard)
			s.play()
			exceeded = s.mostInASecond() > s.bound()
		}
		require.True(t, exceeded, "without: %s", guard)
	}
}
