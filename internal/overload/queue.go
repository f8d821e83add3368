package overload

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Queue holds the waiting requests of one service at one gateway, with the success rate of their
// polls. It is not safe for concurrent use.
type Queue struct {
	waiting  map[string]bool
	forecast forecast
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{waiting: map[string]bool{}} }

// Admits reports whether a request may poll instances now. The first request of a program may not
// while all slots are busy: instances would queue it, which makes it and all programs behind it
// late. Nor may it while streams start so slowly that active programs are late: engines that run
// many requests concurrently run each more slowly, well before all slots are busy. Less urgent
// programs leave some slots to more urgent ones that may start next.
func (q *Queue) Admits(request Request, capacity Capacity) bool {
	if !request.FirstOfProgram || capacity.Slots == 0 {
		return true
	}
	if !capacity.underutilized() && capacity.firstEventsSlow(request) {
		return false
	}
	limit := float64(capacity.Slots)
	if request.lessUrgent() {
		limit *= 1 - urgentReserve
	}
	return float64(capacity.Busy) < limit
}

// Decide decides about a request that polled instances and was accepted by none, or could poll none.
func (q *Queue) Decide(now time.Time, request Request, capacity Capacity) Decision {
	if !request.NotPolled {
		q.forecast.add(now, 0, 1)
	}
	probability := q.forecast.pollProbability(now, capacity.Usual)
	decision := decide(request, capacity, now, probability, len(q.waiting), q.waiting[request.ID])
	if decision.Verdict == Wait {
		q.waiting[request.ID] = true
	} else {
		delete(q.waiting, request.ID)
	}
	return decision
}

// Accepted records that an instance accepted a request. While no requests wait, this contains no
// information about how long they would.
func (q *Queue) Accepted(now time.Time, id string) {
	if len(q.waiting) > 0 {
		q.forecast.add(now, 1, 1)
	}
	delete(q.waiting, id)
}

// Remove removes a waiting request, for instance because its caller disconnected.
func (q *Queue) Remove(id string) { delete(q.waiting, id) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// uniform maps an id to a pseudo-random number from 0 to 1.
func uniform(id string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}
