// Package overload decides what becomes of a request that no instance of its service takes:
// whether it asks again, and when, or is refused, and when its caller should come back. It
// is a pure decision on the caller's clock: the gateway and the tests that replay recorded
// loads drive it alike.
//
// Gateways decide alone and compete for the slots that instances free. A gateway that held
// its requests in a line and let only the first one ask would ask less often than others
// and lose those slots to them. So each request asks by itself, and its rank sets how
// often: of the next free slots, wherever they are, urgent requests get more.
package overload

import (
	"math"
	"time"
)

const (
	// leastPause is the pause between two looks of the most urgent requests: a few round
	// trips to another zone, and well below the time that a request takes.
	leastPause = 25 * time.Millisecond
	// mostRank bounds how much less often the least urgent requests ask. Beyond twice
	// they would not notice for long that there is room again.
	mostRank = 1
	// sure is the chance to be served from which a request begins to wait, and likely the one
	// down to which it goes on: refused at its first look it costs its caller nothing but a
	// new attempt, while one that has waited is told only once it would more often be held
	// in vain than served.
	sure   = 0.95
	likely = 0.5
	// possible is the chance down to which a program that has begun waits: a refusal may end
	// it, and what it has used would be lost.
	possible = 0.05
	// retrySpread is the part of a Retry-After by which callers are spread to either side, so
	// that those refused at one moment do not come back at one moment.
	retrySpread = 0.5
	// leastRetry bounds a Retry-After from below: two round trips of a caller.
	leastRetry = 20 * time.Millisecond
	// retryShare is the part of the time left after which a caller must come back: later, a
	// new attempt has less time than this one had.
	retryShare = 0.5
	// urgentShare is the part of the slots that the first requests of less urgent programs
	// leave free: as many as urgent ones take until the loads of other gateways are heard of.
	urgentShare = 0.1
	// slowShare is the part of the objective up to which the first event of streams may take
	// in the mean while new programs begin: the times of single streams spread to twice the
	// mean and more, and a program is late once some of its streams are.
	// Less urgent programs hold off sooner.
	slowShare, slowShareLess = 0.75, 0.6
	// calmShare is the part of the slots that must be busy before a request is refused
	// for lack of room: below it, what instances refuse has another cause that passes.
	calmShare = 0.5
)

// Request is what the decision knows of a request.
type Request struct {
	ID string
	// First says that it is the first request of a program, whose failure loses nothing; Begun
	// that it is a later one, whose failure may lose what the program has used.
	First, Begun bool
	// RouteRank and TenantRank say how much less urgent it is than the most urgent requests
	// of its service.
	RouteRank, TenantRank int
	// Deadline is when the caller leaves.
	Deadline time.Time
	// Objective is until when its answer should begin. A program whose first request waits
	// longer is late from the start, and takes the slots of others that are not.
	Objective time.Time
	// ObjectiveTime is how long after its arrival that is.
	ObjectiveTime time.Duration
}

// lessUrgent reports whether others of its service are more urgent.
func (r Request) lessUrgent() bool { return r.RouteRank+r.TenantRank > 0 }

// rank is how much less often than the most urgent requests this one asks, in doublings.
func (r Request) rank() int {
	rank := r.RouteRank + r.TenantRank
	if r.First {
		rank++
	}
	return min(mostRank, max(0, rank))
}

// Capacity is what is believed of a service's instances.
type Capacity struct {
	// Slots is how many requests they work on at once, Busy how many they have.
	Slots, Busy int
	// Usual is how long a request takes, RecentFirst how long the last few streams waited for
	// their first event; zero if there were none.
	Usual, RecentFirst time.Duration
}

// calm reports whether there should be room.
func (c Capacity) calm() bool {
	return c.Slots > 0 && float64(c.Busy) < calmShare*float64(c.Slots)
}

// slow reports whether streams begin too slowly for the request's objective.
func (c Capacity) slow(request Request) bool {
	share := slowShare
	if request.lessUrgent() {
		share = slowShareLess
	}
	return request.ObjectiveTime > 0 && float64(c.RecentFirst) > share*float64(request.ObjectiveTime)
}

// Verdict is what a request is told.
type Verdict uint8

const (
	// Wait means to ask again after the pause.
	Wait Verdict = iota + 1
	// Reject means to refuse now.
	Reject
)

// String returns the name used in logs.
func (v Verdict) String() string {
	if v == Wait {
		return "wait"
	}
	return "reject"
}

// Decision is what becomes of a request, with what it rests on.
type Decision struct {
	Verdict Verdict
	// Pause is when to ask again, RetryAfter when a refused caller should come back.
	Pause, RetryAfter time.Duration
	// Expected is the forecast time until a slot, Chance the chance to get one in time.
	Expected time.Duration
	Chance   float64
	// Left is the time in which a slot is still of use.
	Left time.Duration
	// Rank is the request's rank, Waiting how many requests wait here.
	Rank, Waiting int
}

// decide weighs one request by the chance of each look.
func decide(request Request, capacity Capacity, now time.Time, chancePerLook float64, waiting int, waits bool) Decision {
	rank := request.rank()
	pause := leastPause << rank
	// A request that starts with less than half of its usual time left seldom ends.
	left := request.Deadline.Sub(now) - capacity.Usual/2
	if request.First {
		left = min(left, request.Objective.Sub(now))
	}
	looks := math.Floor(max(0, float64(left)/float64(pause)))
	decision := Decision{Verdict: Wait, Pause: pause, Left: left, Rank: rank, Waiting: waiting}
	decision.Expected = time.Duration(float64(pause) / chancePerLook)
	decision.Chance = 1 - math.Pow(1-chancePerLook, looks)
	if left > pause && (decision.Chance >= leastChance(request, waits) || capacity.calm()) {
		return decision
	}
	decision.Verdict = Reject
	decision.RetryAfter = retryAfter(request, decision.Expected, request.Deadline.Sub(now))
	return decision
}

// leastChance returns the chance below which a request is refused.
func leastChance(request Request, waits bool) float64 {
	switch {
	case request.Begun:
		return possible
	case waits:
		return likely
	default:
		return sure
	}
}

// retryAfter returns the forecast time until a slot, spread by the request's id.
func retryAfter(request Request, expected, left time.Duration) time.Duration {
	most := time.Duration(retryShare * float64(left))
	centre := min(expected, time.Duration(float64(most)/(1+retrySpread)))
	return max(leastRetry, time.Duration((1+retrySpread*(2*uniform(request.ID)-1))*float64(centre)))
}
