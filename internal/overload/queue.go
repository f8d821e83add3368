package overload

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Queue is the requests of one service that wait at one gateway, with what their polls
// taught. It is a pure value; the caller locks it.
type Queue struct {
	waiting  map[string]bool
	forecast forecast
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{waiting: map[string]bool{}} }

// Admits reports whether a request may ask instances now. The first request of a program
// does not while all slots are busy: instances would let it wait in queues of their own,
// where it makes itself and all programs behind it late. The same holds while streams begin
// so slowly that programs which have begun are late: engines that run many requests at once
// work on each more slowly, well before all slots are busy. Less urgent programs leave some
// slots to the more urgent ones that may begin next.
func (q *Queue) Admits(request Request, capacity Capacity) bool {
	if !request.FirstOfProgram || capacity.Slots == 0 {
		return true
	}
	if !capacity.calm() && capacity.slow(request) {
		return false
	}
	most := float64(capacity.Slots)
	if request.lessUrgent() {
		most *= 1 - urgentShare
	}
	return float64(capacity.Busy) < most
}

// Decide decides about a request that asked instances and was not taken.
func (q *Queue) Decide(now time.Time, request Request, capacity Capacity) Decision {
	q.forecast.add(now, 0, 1)
	chance := q.forecast.perPoll(now, capacity.Usual)
	decision := decide(request, capacity, now, chance, len(q.waiting), q.waiting[request.ID])
	if decision.Verdict == Wait {
		q.waiting[request.ID] = true
	} else {
		delete(q.waiting, request.ID)
	}
	return decision
}

// Accepted notes that an instance took a request. While none waits, that tells nothing of how
// long others would wait.
func (q *Queue) Accepted(now time.Time, id string) {
	if len(q.waiting) > 0 {
		q.forecast.add(now, 1, 1)
	}
	delete(q.waiting, id)
}

// Remove notes that a waiting request's caller is gone.
func (q *Queue) Remove(id string) { delete(q.waiting, id) }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// uniform maps an id to a number from 0 to 1.
func uniform(id string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}
