package core

import (
	"container/heap"
	"time"
)

// timerQueue runs callbacks at their time, those of equal time in the order in
// which they were added. Only calls in progress have timers, never idle sessions.
type timerQueue struct {
	entries timerHeap
	next    uint64
}

type timerEntry struct {
	at    time.Time
	order uint64
	run   func(now time.Time)
}

func (q *timerQueue) add(at time.Time, run func(now time.Time)) {
	q.next++
	heap.Push(&q.entries, timerEntry{at: at, order: q.next, run: run})
}

func (q *timerQueue) run(now time.Time) {
	for len(q.entries) > 0 && !now.Before(q.entries[0].at) {
		entry := heap.Pop(&q.entries).(timerEntry)
		entry.run(now)
	}
}

type timerHeap []timerEntry

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timerEntry)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
