// Package overload decides what to do with a request that no instance of its service accepts: poll
// again after a delay, or reject it with a Retry-After for its caller. The decision does no I/O and
// takes the time from its caller, so the gateway and the tests that replay recorded loads use the
// same code.
//
// Gateways decide independently and compete for free slots. A gateway that queued its requests and
// let only the first one poll would poll less often than other gateways and lose the slots to them.
// Each waiting request polls by itself instead, at an interval set by its rank: urgent requests
// poll more often and get more of the free slots. A poll tries a few instances in sequence.
package overload

import (
	"math"
	"time"
)

const (
	// pollInterval is the delay between two polls of the most urgent requests: a few round trips to
	// another zone, and well below the duration of a request.
	pollInterval = 25 * time.Millisecond
	// maxRank limits how many times the poll interval is doubled for the least urgent requests.
	// With more than twice the interval they would detect free slots too late.
	maxRank = 1
	// minStartProbability is the minimum probability of being served at which a request starts to
	// wait: a rejection at its first poll costs the caller only a retry.
	minStartProbability = 0.95
	// minContinueProbability is the minimum probability at which a waiting request continues to
	// wait: below it, waiting fails more often than it succeeds.
	minContinueProbability = 0.5
	// minProgramProbability is the minimum probability at which a later request of a program waits:
	// a rejection may end the program, and the resources it has used would be wasted.
	minProgramProbability = 0.05
	// retryJitter is the relative jitter of a Retry-After, to either side, so that callers rejected
	// at the same time do not retry at the same time.
	retryJitter = 0.5
	// minRetryAfter is the minimum Retry-After: two round trips of a caller.
	minRetryAfter = 20 * time.Millisecond
	// maxRetryShare is the part of the time left within which a caller is asked to retry: a later
	// attempt would have less time than this one had.
	maxRetryShare = 0.5
	// urgentReserve is the part of the slots that first requests of less urgent programs leave
	// free: what urgent ones occupy before the load reports of other gateways arrive.
	urgentReserve = 0.1
	// maxFirstEventShare is the part of the latency objective that the mean time to a stream's
	// first event may reach while new programs start: single streams take twice the mean and more,
	// and a program is late as soon as some of its streams are.
	maxFirstEventShare = 0.75
	// maxFirstEventShareLessUrgent is the same for less urgent programs, which are held earlier.
	maxFirstEventShareLessUrgent = 0.6
	// lowUtilization is the part of the slots that must be busy before a request is rejected for
	// lack of capacity: below it, refusals by instances have another, temporary cause.
	lowUtilization = 0.5
	// minSendShare is the part of its timeout that a request must have left to be sent.
	minSendShare = 0.1
	// maxMinSendTime is the upper bound of that time: even a busy machine in another region refuses
	// a request within it.
	maxMinSendTime = 100 * time.Millisecond
)

// MinSendTime returns how much time a request must have left to be sent, given the time from its
// arrival to its deadline. With less, the deadline may pass before an instance refuses the request,
// and the caller could no longer be told that it did not run.
func MinSendTime(timeout time.Duration) time.Duration {
	return min(maxMinSendTime, time.Duration(minSendShare*float64(timeout)))
}

// Request is the input of a decision that describes the request.
type Request struct {
	ID string
	// FirstOfProgram is set for the first request of a program, whose failure wastes no work;
	// LaterOfProgram for later ones, whose failure may waste the work of the program so far.
	FirstOfProgram, LaterOfProgram bool
	// RouteRank and TenantRank are how much less urgent the request is than the most urgent
	// requests of its service.
	RouteRank, TenantRank int
	// Arrived is the arrival time; the caller gives up at Deadline.
	Arrived, Deadline time.Time
	// StartBy is the time by which the answer should start. A program whose first request waits
	// longer is late from the start, and takes slots from programs that are not.
	StartBy time.Time
	// NotPolled is set if no instance could be asked since the last decision, which then says nothing about free slots.
	NotPolled bool
	// LatencyObjective is the time from Arrived to StartBy; 0 if there is no objective.
	LatencyObjective time.Duration
}

// lessUrgent reports whether the service has more urgent requests.
func (r Request) lessUrgent() bool { return r.RouteRank+r.TenantRank > 0 }

// rank returns how many times the poll interval of the request is doubled.
func (r Request) rank() int {
	rank := r.RouteRank + r.TenantRank
	if r.FirstOfProgram {
		rank++
	}
	return min(maxRank, max(0, rank))
}

// Capacity is the state of a service's instances as the gateway knows it.
type Capacity struct {
	// Slots is how many requests the instances run concurrently, Busy how many slots are in use.
	Slots, Busy int
	// Usual is the usual duration of a request, RecentFirst the mean time to the first event of
	// recent streams; 0 if there were none.
	Usual, RecentFirst time.Duration
}

// underutilized reports whether free slots are expected.
func (c Capacity) underutilized() bool {
	return c.Slots > 0 && float64(c.Busy) < lowUtilization*float64(c.Slots)
}

// firstEventsSlow reports whether streams start too slowly for the request's objective.
func (c Capacity) firstEventsSlow(request Request) bool {
	maxShare := maxFirstEventShare
	if request.lessUrgent() {
		maxShare = maxFirstEventShareLessUrgent
	}
	return request.LatencyObjective > 0 && float64(c.RecentFirst) > maxShare*float64(request.LatencyObjective)
}

// Verdict is the outcome of a decision.
type Verdict uint8

const (
	// Wait lets the request poll again after the pause.
	Wait Verdict = iota + 1
	// Reject rejects the request.
	Reject
)

// String returns the name used in logs.
func (v Verdict) String() string {
	if v == Wait {
		return "wait"
	}
	return "reject"
}

// Decision is the outcome for a request, with the figures it is based on.
type Decision struct {
	Verdict Verdict
	// Pause is the delay until the next poll, RetryAfter the delay after which a rejected caller
	// should retry.
	Pause, RetryAfter time.Duration
	// ExpectedWait is the forecast time until a slot is found, Probability that of finding one in
	// time.
	ExpectedWait time.Duration
	Probability  float64
	// TimeLeft is the time within which a slot is still useful.
	TimeLeft time.Duration
	// Rank is the rank of the request, Waiting the number of requests waiting at this gateway.
	Rank, Waiting int
}

// decide decides about one request, given the probability that a poll finds a slot.
func decide(request Request, capacity Capacity, now time.Time, pollProbability float64, waiting int, isWaiting bool) Decision {
	rank := request.rank()
	pause := pollInterval << rank
	// A request that starts with less than half of its usual time left seldom completes.
	timeLeft := request.Deadline.Sub(now) - max(capacity.Usual/2, MinSendTime(request.Deadline.Sub(request.Arrived)))
	if request.FirstOfProgram {
		timeLeft = min(timeLeft, request.StartBy.Sub(now))
	}
	polls := math.Floor(max(0, float64(timeLeft)/float64(pause)))
	decision := Decision{Verdict: Wait, Pause: pause, TimeLeft: timeLeft, Rank: rank, Waiting: waiting}
	decision.ExpectedWait = time.Duration(float64(pause) / pollProbability)
	decision.Probability = 1 - math.Pow(1-pollProbability, polls)
	if timeLeft > pause && (decision.Probability >= minProbability(request, isWaiting) || capacity.underutilized()) {
		return decision
	}
	decision.Verdict = Reject
	decision.RetryAfter = retryAfter(request, decision.ExpectedWait, request.Deadline.Sub(now))
	return decision
}

// minProbability returns the probability below which a request is rejected.
func minProbability(request Request, isWaiting bool) float64 {
	switch {
	case request.LaterOfProgram:
		return minProgramProbability
	case isWaiting:
		return minContinueProbability
	default:
		return minStartProbability
	}
}

// retryAfter returns the forecast time until a slot is found, bounded by the time left, with a
// jitter derived from the request's id.
func retryAfter(request Request, expectedWait, timeLeft time.Duration) time.Duration {
	maxRetryAfter := time.Duration(maxRetryShare * float64(timeLeft))
	centre := min(expectedWait, time.Duration(float64(maxRetryAfter)/(1+retryJitter)))
	return max(minRetryAfter, time.Duration((1+retryJitter*(2*uniform(request.ID)-1))*float64(centre)))
}
