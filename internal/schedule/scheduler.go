package schedule

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// failurePenalty is how long a back end is passed over after a failed call.
	failurePenalty = 2 * time.Second
	// maxQueued bounds the calls that wait on one node.
	maxQueued = 4096
	// overloadRetry is when a caller may come back after the queue was full.
	overloadRetry = 2 * time.Second
	// freshness is how old a back end's own report may be for new calls. A node
	// that was paused wakes with old reports and waits for new ones; a back end
	// that cannot be asked cannot be called either.
	freshness = 2500 * time.Millisecond
	// noBackEndRetry is when a caller may come back when no instance is there.
	noBackEndRetry = 2 * time.Second
)

// backEndState is what this node knows of one back end.
type backEndState struct {
	BackEnd
	report LoadReport
	// dispatched holds this node's calls in flight with their start time.
	dispatched  map[shard.CallID]time.Time
	failedUntil time.Time
}

// Scheduler holds the waiting calls and the back ends of one node.
type Scheduler struct {
	zone     string
	random   *rand.Rand
	backEnds map[string]*backEndState
	// names is the sorted list of back ends, so that decisions do not depend on map order.
	names []string
	queue []Work
}

// New returns a scheduler for a node in the given zone.
func New(zone string, random *rand.Rand) *Scheduler {
	return &Scheduler{zone: zone, random: random, backEnds: map[string]*backEndState{}}
}

// SetBackEnds replaces the list of back ends; what is known of those that stay is kept.
func (s *Scheduler) SetBackEnds(list []BackEnd) {
	kept := map[string]*backEndState{}
	s.names = s.names[:0]
	for _, backEnd := range list {
		state := s.backEnds[backEnd.Name]
		if state == nil {
			state = &backEndState{dispatched: map[shard.CallID]time.Time{}}
		}
		state.BackEnd = backEnd
		kept[backEnd.Name] = state
		s.names = append(s.names, backEnd.Name)
	}
	for name, state := range s.backEnds {
		if kept[name] == nil && len(state.dispatched) > 0 {
			state.Leaving = true
			kept[name] = state
			s.names = append(s.names, name)
		}
	}
	slices.Sort(s.names)
	s.backEnds = kept
}

// BackEnd returns a back end by name.
func (s *Scheduler) BackEnd(name string) (BackEnd, bool) {
	state := s.backEnds[name]
	if state == nil {
		return BackEnd{}, false
	}
	return state.BackEnd, true
}

// BackEnds returns all known back ends by name.
func (s *Scheduler) BackEnds() []BackEnd {
	list := make([]BackEnd, 0, len(s.names))
	for _, name := range s.names {
		list = append(list, s.backEnds[name].BackEnd)
	}
	return list
}

// QueueLength returns the number of waiting calls.
func (s *Scheduler) QueueLength() int { return len(s.queue) }

// Enqueue admits a call to the queue or refuses it at once.
func (s *Scheduler) Enqueue(work Work) *verdict.Error {
	if len(s.queue) >= maxQueued {
		return verdict.Refuse(verdict.CodeOverloaded, overloadRetry, "too many calls wait on this node")
	}
	if len(s.feasible(&work)) == 0 {
		return verdict.Refuse(verdict.CodeNoBackEnd, noBackEndRetry, "no instance of %s can serve the call now", work.Service)
	}
	s.queue = append(s.queue, work)
	return nil
}

// Queued reports whether a call waits.
func (s *Scheduler) Queued(call shard.CallID) bool {
	return slices.ContainsFunc(s.queue, func(work Work) bool { return work.Call == call })
}

// Withdraw removes a waiting call.
func (s *Scheduler) Withdraw(call shard.CallID) {
	s.queue = slices.DeleteFunc(s.queue, func(work Work) bool { return work.Call == call })
}

// Expired removes and returns the waiting calls whose deadline has passed.
func (s *Scheduler) Expired(now time.Time) []Work {
	var expired []Work
	s.queue = slices.DeleteFunc(s.queue, func(work Work) bool {
		late := !work.Deadline.IsZero() && !now.Before(work.Deadline)
		if late {
			expired = append(expired, work)
		}
		return late
	})
	return expired
}

// Assign takes calls that can run now off the queue, in the order of waiting.
func (s *Scheduler) Assign(now time.Time) []Assignment {
	if len(s.queue) == 0 {
		return nil
	}
	slices.SortStableFunc(s.queue, func(a, b Work) int { return compareWork(&a, &b) })
	var assignments []Assignment
	waiting := s.queue[:0]
	for _, work := range s.queue {
		assignment, found := s.place(now, work)
		if !found {
			waiting = append(waiting, work)
			continue
		}
		assignments = append(assignments, assignment)
	}
	s.queue = waiting
	return assignments
}

// compareWork orders waiting calls: priority, then the program with the least
// attained service, then first come.
func compareWork(a, b *Work) int {
	if order := cmp.Compare(b.Priority, a.Priority); order != 0 {
		return order
	}
	if order := cmp.Compare(a.ServedTokens, b.ServedTokens); order != 0 {
		return order
	}
	return a.EnqueuedAt.Compare(b.EnqueuedAt)
}

// feasible returns the back ends that could ever serve the work.
func (s *Scheduler) feasible(work *Work) []*backEndState {
	var list []*backEndState
	for _, name := range s.names {
		state := s.backEnds[name]
		if state.Leaving || state.report.Leaving || state.Kind != work.Kind || state.Service != work.Service {
			continue
		}
		if work.Kind == shard.EngineCall && !slices.Contains(state.Models, work.Model) {
			continue
		}
		list = append(list, state)
	}
	return list
}

// place chooses a back end with a free slot.
func (s *Scheduler) place(now time.Time, work Work) (Assignment, bool) {
	candidates := s.feasible(&work)
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var best *backEndState
	var bestCost float64
	for _, state := range candidates {
		load := state.load()
		if load >= state.Slots || now.Sub(state.report.MeasuredAt) > freshness {
			continue
		}
		cost := s.cost(now, state, &work, load)
		if best == nil || cost < bestCost {
			best, bestCost = state, cost
		}
	}
	if best == nil {
		return Assignment{}, false
	}
	best.dispatched[work.Call] = now
	return Assignment{
		Work: work, BackEnd: best.Name, EnginePriority: work.Priority,
		Explanation: fmt.Sprintf("lowest cost %.2f of %d feasible; load %d of %d", bestCost, len(candidates), best.load(), best.Slots),
	}, true
}

// cost is lower for better back ends.
func (s *Scheduler) cost(now time.Time, state *backEndState, work *Work, load int) float64 {
	cost := float64(load) / float64(max(state.Slots, 1))
	if slices.Contains(work.CachedOn, state.Name) {
		cost -= 0.5
	}
	if state.Zone != s.zone {
		cost += 0.05
	}
	if now.Before(state.failedUntil) || slices.Contains(work.Avoid, state.Name) {
		cost += 10
	}
	return cost
}

// load predicts the calls on a back end: its last report, corrected by this
// node's own dispatches since.
func (b *backEndState) load() int {
	since := 0
	for _, startedAt := range b.dispatched {
		if startedAt.After(b.report.MeasuredAt) {
			since++
		}
	}
	return max(b.report.Running+b.report.Waiting+since, len(b.dispatched))
}

// NoteDispatch records a call that this node runs on a back end without having
// placed it, as after a takeover.
func (s *Scheduler) NoteDispatch(now time.Time, backEnd string, call shard.CallID) {
	if state := s.backEnds[backEnd]; state != nil {
		state.dispatched[call] = now
	}
}

// Finished records the end of a call on a back end.
func (s *Scheduler) Finished(now time.Time, backEnd string, call shard.CallID, failed bool) {
	state := s.backEnds[backEnd]
	if state == nil {
		return
	}
	delete(state.dispatched, call)
	if failed {
		state.failedUntil = now.Add(failurePenalty)
	} else {
		state.failedUntil = time.Time{}
	}
}

// Report takes in a back end's own load report.
func (s *Scheduler) Report(report LoadReport) {
	if state := s.backEnds[report.BackEnd]; state != nil && report.MeasuredAt.After(state.report.MeasuredAt) {
		state.report = report
	}
}
