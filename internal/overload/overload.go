// Package overload decides what becomes of a request that no instance of its service takes:
// whether it asks again, and when, or is refused, and when its caller should come back. It
// is a pure decision on the caller's clock: the gateway and the tests that replay recorded
// loads drive it alike.
//
// Gateways decide alone and compete for the slots that instances free. A gateway that held
// its requests in one queue and let only the first one ask would ask less often than others
// and lose those slots to them. So each waiting request polls by itself, and its rank sets
// the interval: urgent requests poll more often and get more of the free slots. A poll asks
// a few instances in a row for a slot.
package overload

import (
	"math"
	"time"
)

const (
	// pollInterval is the pause between two polls of the most urgent requests: a few round
	// trips to another zone, and well below the time that a request takes.
	pollInterval = 25 * time.Millisecond
	// maxRank bounds by how many doublings the least urgent requests poll less often. At more
	// than twice the interval they would notice too late that there is room again.
	maxRank = 1
	// startWaitChance is the least chance to be served at which a request begins to wait: a
	// refusal at its first poll costs the caller only a new attempt.
	startWaitChance = 0.95
	// keepWaitChance is the least chance at which a waiting request goes on: below it, waiting
	// fails more often than it succeeds.
	keepWaitChance = 0.5
	// begunWaitChance is the least chance at which a program that has begun waits: a refusal
	// may end it, and what it has used would be lost.
	begunWaitChance = 0.05
	// retrySpread is the part of a Retry-After by which callers are spread to either side, so
	// that those refused at one moment do not come back at one moment.
	retrySpread = 0.5
	// minRetryAfter bounds a Retry-After from below: two round trips of a caller.
	minRetryAfter = 20 * time.Millisecond
	// retryShare is the part of the time left after which a caller must come back: later, a
	// new attempt has less time than this one had.
	retryShare = 0.5
	// urgentShare is the part of the slots that the first requests of less urgent programs
	// leave free: as many as urgent ones take until the loads of other gateways are heard of.
	urgentShare = 0.1
	// slowShare is the part of the objective that the mean time to a stream's first event may
	// reach while new programs begin: single streams take twice the mean and more, and a
	// program is late once some of its streams are.
	slowShare = 0.75
	// slowShareLess is the same for less urgent programs, which are held back sooner.
	slowShareLess = 0.6
	// calmShare is the part of the slots that must be busy before a request is refused
	// for lack of room: below it, what instances refuse has another cause that passes.
	calmShare = 0.5
	// leastSendShare is the part of its whole time that a request must have left to be sent.
	leastSendShare = 0.1
	// mostSendTime bounds that: even a busy machine in another region refuses within it.
	mostSendTime = 100 * time.Millisecond
)

// MinSendTime returns how much time a request must have left to be sent, given its whole time
// from its arrival to its deadline. With less, its deadline may pass before an instance's refusal
// comes, and nobody can tell its caller any more that it has not run.
func MinSendTime(whole time.Duration) time.Duration {
	return min(mostSendTime, time.Duration(leastSendShare*float64(whole)))
}

// Request is what the decision knows of a request.
type Request struct {
	ID string
	// FirstOfProgram says that it is the first request of a program, whose failure loses nothing; LaterOfProgram
	// that it is a later one, whose failure may lose what the program has used.
	FirstOfProgram, LaterOfProgram bool
	// RouteRank and TenantRank say how much less urgent it is than the most urgent requests
	// of its service.
	RouteRank, TenantRank int
	// Arrived is when it came, Deadline when its caller leaves.
	Arrived, Deadline time.Time
	// StartBy is until when its answer should begin. A program whose first request waits
	// longer is late from the start, and takes the slots of others that are not.
	StartBy time.Time
	// LatencyObjective is how long after its arrival that is.
	LatencyObjective time.Duration
}

// lessUrgent reports whether others of its service are more urgent.
func (r Request) lessUrgent() bool { return r.RouteRank+r.TenantRank > 0 }

// rank is by how many doublings its poll interval exceeds that of the most urgent requests.
func (r Request) rank() int {
	rank := r.RouteRank + r.TenantRank
	if r.FirstOfProgram {
		rank++
	}
	return min(maxRank, max(0, rank))
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
	return request.LatencyObjective > 0 && float64(c.RecentFirst) > share*float64(request.LatencyObjective)
}

// Verdict is what a request is told.
type Verdict uint8

const (
	// Wait means to poll again after the pause.
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
	// Pause is when to poll again, RetryAfter when a refused caller should come back.
	Pause, RetryAfter time.Duration
	// ExpectedWait is the forecast time until a slot, Chance the chance to get one in time.
	ExpectedWait time.Duration
	Probability  float64
	// TimeLeft is the time in which a slot is still of use.
	TimeLeft time.Duration
	// Rank is the request's rank, Waiting how many requests wait here.
	Rank, Waiting int
}

// decide weighs one request by the chance that a poll finds a slot.
func decide(request Request, capacity Capacity, now time.Time, chancePerPoll float64, waiting int, waits bool) Decision {
	rank := request.rank()
	pause := pollInterval << rank
	// A request that starts with less than half of its usual time left seldom ends.
	left := request.Deadline.Sub(now) - max(capacity.Usual/2, MinSendTime(request.Deadline.Sub(request.Arrived)))
	if request.FirstOfProgram {
		left = min(left, request.StartBy.Sub(now))
	}
	polls := math.Floor(max(0, float64(left)/float64(pause)))
	decision := Decision{Verdict: Wait, Pause: pause, TimeLeft: left, Rank: rank, Waiting: waiting}
	decision.ExpectedWait = time.Duration(float64(pause) / chancePerPoll)
	decision.Probability = 1 - math.Pow(1-chancePerPoll, polls)
	if left > pause && (decision.Probability >= leastChance(request, waits) || capacity.calm()) {
		return decision
	}
	decision.Verdict = Reject
	decision.RetryAfter = retryAfter(request, decision.ExpectedWait, request.Deadline.Sub(now))
	return decision
}

// leastChance returns the chance below which a request is refused.
func leastChance(request Request, waits bool) float64 {
	switch {
	case request.LaterOfProgram:
		return begunWaitChance
	case waits:
		return keepWaitChance
	default:
		return startWaitChance
	}
}

// retryAfter returns the forecast time until a slot, spread by the request's id.
func retryAfter(request Request, expected, left time.Duration) time.Duration {
	most := time.Duration(retryShare * float64(left))
	centre := min(expected, time.Duration(float64(most)/(1+retrySpread)))
	return max(minRetryAfter, time.Duration((1+retrySpread*(2*uniform(request.ID)-1))*float64(centre)))
}
